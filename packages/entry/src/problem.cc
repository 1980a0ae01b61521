#include "laurelhall/entry/problem.h"

#include <array>
#include <boost/json.hpp>

namespace laurelhall::entry {
namespace {

constexpr std::array<ProblemType, static_cast<size_t>(ProblemKind::kCount)>
    kTypes{{
        {"not-run", 503, "The request was not run and will not be"},
        {"not-accepted", 503, "This copy of the request was not accepted"},
        {"outcome-unknown", 504, "It is not known whether the request ran"},
        {"failed", 502, "No endpoint gave a whole answer"},
        {"in-progress", 409, "The first run of this key still goes on"},
        {"gone", 410, "It ran; its answer is no longer kept"},
        {"key-conflict", 422, "The key was used with another request"},
        {"bad-request", 400, "The request cannot be understood"},
        {"payload-too-large", 413, "The body is longer than allowed"},
        {"unauthorised", 401, "The organisation is not known"},
        {"unknown-service", 404, "There is no such service"},
        {"not-found", 404, "There is nothing at this path"},
        {"announcement-refused", 409, "The announcement was refused"},
    }};

}  // namespace

const ProblemType& ProblemTypeOf(ProblemKind kind) {
  return kTypes.at(static_cast<size_t>(kind));
}

net::HttpResponse MakeProblem(ProblemKind kind,
                              const std::string& detail,
                              std::optional<Millis> retry_after) {
  const ProblemType& type = ProblemTypeOf(kind);
  boost::json::object problem{{"type", type.slug},
                              {"title", type.title},
                              {"status", type.status},
                              {"detail", detail}};
  net::HttpResponse response;
  response.status = type.status;
  if (retry_after) {
    const auto seconds = std::chrono::ceil<Seconds>(*retry_after).count();
    response.headers.Set("Retry-After", std::to_string(seconds));
    problem["retry_after_ms"] = retry_after->count();
  }
  response.headers.Set("Content-Type", "application/problem+json");
  response.body = boost::json::serialize(problem);
  return response;
}

}  // namespace laurelhall::entry
