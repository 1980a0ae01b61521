#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <iterator>

#include "laurelhall/base/log.h"
#include "laurelhall/operations/operations.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

constexpr std::string_view kPrefix = "/v1/";
constexpr int kOk = 200;

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return parts;
}

int DigitOf(char c) {
  constexpr std::string_view digits = "0123456789abcdef";
  const size_t digit = digits.find(
      static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
  return digit == std::string_view::npos ? -1 : static_cast<int>(digit);
}

/// Reads one part of a path or query, in which "%2F" stands for a slash.
std::string Decode(std::string_view part) {
  std::string text;
  for (size_t i = 0; i < part.size(); ++i) {
    if (part[i] != '%') {
      text += part[i];
      continue;
    }
    const int high = i + 2 < part.size() ? DigitOf(part[i + 1]) : -1;
    const int low = i + 2 < part.size() ? DigitOf(part[i + 2]) : -1;
    if (high < 0 || low < 0) {
      throw RequestError(400, "path: expected two digits after %");
    }
    text += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return text;
}

std::vector<std::string> ParsePath(std::string_view path) {
  std::vector<std::string> segments = Split(path, '/');
  std::ranges::transform(segments, segments.begin(), &Decode);
  return segments;
}

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  for (const std::string& pair : Split(text, '&')) {
    const size_t equals = pair.find('=');
    query[Decode(pair.substr(0, equals))] =
        equals == std::string::npos ? "" : Decode(pair.substr(equals + 1));
  }
  return query;
}

boost::json::object ParseBody(const std::string& body) {
  if (body.empty()) {
    return {};
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    throw RequestError(400, "body: expected a JSON object");
  }
  return std::move(value.as_object());
}

/// A request as it came in.
struct RawRequest {
  const std::string& method;
  const std::string& target;
  const std::string& body;
};

std::string DigestOf(const RawRequest& raw) {
  const std::string text = raw.method + ' ' + raw.target + '\n' + raw.body;
  return std::to_string(XXH3_64bits(text.data(), text.size()));
}

Request MakeRequest(const RawRequest& raw,
                    const state::Machine& machine,
                    const control::ControlStatus& status,
                    WallTime now) {
  const std::string& target = raw.target;
  if (!target.starts_with(kPrefix)) {
    throw RequestError(404, "path: expected /v1/...");
  }
  const std::string_view rest = std::string_view(target).substr(kPrefix.size());
  const size_t mark = rest.find('?');
  const std::string_view query =
      mark == std::string_view::npos ? "" : rest.substr(mark + 1);
  return {raw.method,        ParsePath(rest.substr(0, mark)),
          ParseQuery(query), ParseBody(raw.body),
          DigestOf(raw),     now,
          machine,           status};
}

bool Matches(const Route& route, const Request& request) {
  if (request.method != route.method) {
    return false;
  }
  const std::vector<std::string> pattern = Split(route.pattern, '/');
  return std::equal(pattern.begin(), pattern.end(), request.segments.begin(),
                    request.segments.end(),
                    [](const std::string& want, const std::string& got) {
                      return want == "*" || want == got;
                    });
}

/// JSON text; a page that is a plain text goes out as it is.
std::string TextOf(const boost::json::value& body) {
  return body.is_string() ? std::string(body.get_string())
                          : boost::json::serialize(body);
}

control::OperatorReply Problem(int status, const std::string& text) {
  const boost::json::object problem{
      {"type", "refused"}, {"status", status}, {"detail", text}};
  return {status, boost::json::serialize(problem)};
}

/// One committed command's result as an operator sees it.
control::OperatorReply ReplyOf(const state::Result& result) {
  const auto* act = std::get_if<state::ActResult>(&result);
  if (act == nullptr) {
    return Problem(500, "not an operator's command");
  }
  if (!act->is_accepted) {
    control::OperatorReply reply = Problem(409, act->error);
    return reply;
  }
  return {200, model::ToJsonText(*act)};
}

control::OperatorReply ReplyOf(
    const std::optional<std::vector<state::Result>>& results) {
  if (!results) {
    return Problem(504, "outcome not known; resend with the same request_id");
  }
  for (const state::Result& result : *results) {
    control::OperatorReply reply = ReplyOf(result);
    if (reply.status != kOk) {
      return reply;
    }
  }
  return results->empty() ? control::OperatorReply{200, "{}"}
                          : ReplyOf(results->back());
}

/// Whether an earlier copy of the request did it.
bool IsResend(const std::vector<state::Result>& results) {
  return std::ranges::any_of(results, [](const state::Result& result) {
    const auto* act = std::get_if<state::ActResult>(&result);
    return act != nullptr && act->is_resend;
  });
}

class RoutedService : public control::OperatorService {
 public:
  RoutedService(const std::shared_ptr<JobBoard>& jobs,
                const std::shared_ptr<InFlightBoard>& in_flight,
                std::function<WallTime()> clock)
      : m_clock(std::move(clock)) {
    for (const auto& rows :
         {StatusRoutes(), ControlRoutes(), SettingsRoutes(), HostRoutes(),
          ActRoutes(), JobRoutes(jobs), ReportRoutes(in_flight)}) {
      std::ranges::copy(rows, std::back_inserter(m_routes));
    }
  }

  void Attach(control::ControlActions& actions) override {
    m_actions = &actions;
  }

  void Handle(const std::string& method,
              const std::string& path,
              const std::string& body,
              const state::Machine& machine,
              const control::ControlStatus& status,
              const Commit& commit,
              std::function<void(control::OperatorReply)> done) override {
    Outcome outcome;
    try {
      const Request request =
          MakeRequest({method, path, body}, machine, status, m_clock());
      if (const auto first = AnswerOfFirst(request)) {
        done(*first);
        return;
      }
      outcome = Run(request);
    } catch (const RequestError& error) {
      done(Problem(error.status(), error.what()));
      return;
    } catch (const std::exception& error) {
      done(Problem(400, error.what()));
      return;
    }
    if (outcome.action) {
      CommitAct(std::move(outcome), commit, std::move(done));
    } else if (outcome.commands.empty()) {
      done({outcome.status, TextOf(outcome.body)});
    } else {
      CommitOutcome(std::move(outcome), commit, std::move(done));
    }
  }

 private:
  /// The first answer when the request is a resend: what it asked for may
  /// make another command now, or none.
  static std::optional<control::OperatorReply> AnswerOfFirst(
      const Request& request) {
    if (request.method != "POST" || !request.body.contains("request_id")) {
      return std::nullopt;
    }
    const auto first = request.machine.FindRequest(request.Operator());
    return first ? std::optional(ReplyOf(state::Result(*first))) : std::nullopt;
  }

  Outcome Run(const Request& request) const {
    for (const Route& route : m_routes) {
      if (Matches(route, request)) {
        return route.function(request);
      }
    }
    throw RequestError(404, "path: no such resource for " + request.method);
  }

  static void CommitOutcome(Outcome outcome,
                            const Commit& commit,
                            std::function<void(control::OperatorReply)> done) {
    commit(std::move(outcome.commands),
           [done = std::move(done), accepted = std::move(outcome.on_accepted)](
               const std::optional<std::vector<state::Result>>& results) {
             const control::OperatorReply reply = ReplyOf(results);
             if (reply.status == kOk && accepted && !IsResend(*results)) {
               accepted();
             }
             done(reply);
           });
  }

  // A resend does it once more: the first may have got no further than the
  // commit, and each act asks for an end state.
  void CommitAct(Outcome outcome,
                 const Commit& commit,
                 std::function<void(control::OperatorReply)> done) const {
    commit(std::move(outcome.commands),
           [actions = m_actions, action = std::move(outcome.action),
            done = std::move(done)](
               const std::optional<std::vector<state::Result>>& results) {
             const control::OperatorReply reply = ReplyOf(results);
             if (reply.status != kOk) {
               done(reply);
               return;
             }
             action(*actions, [done](const control::ActionOutcome& result) {
               done(result.is_accepted
                        ? control::OperatorReply{kOk, R"({"is_accepted":true})"}
                        : Problem(409, result.error));
             });
           });
  }

  const std::function<WallTime()> m_clock;
  std::vector<Route> m_routes;
  control::ControlActions* m_actions = nullptr;  // Set before any request.
};

}  // namespace

std::unique_ptr<control::OperatorService> MakeOperatorService(
    const std::shared_ptr<JobBoard>& jobs,
    const std::shared_ptr<InFlightBoard>& in_flight,
    std::function<WallTime()> clock) {
  return std::make_unique<RoutedService>(jobs, in_flight, std::move(clock));
}

}  // namespace laurelhall::operations
