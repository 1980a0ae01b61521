#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laurelhall/entry/problem.h"
#include "laurelhall/model/config.h"
#include "laurelhall/net/http.h"

namespace laurelhall::entry {

/// Where a caller's path leads.
struct CallerPath {
  std::string service;
  std::string target;  ///< What the endpoint is asked for.
};

/// Reads /v1/services/{service}/requests[/rest]; none for any other path.
std::optional<CallerPath> ParseCallerPath(std::string_view target);

/// A caller's request, understood and allowed.
struct CallerRequest {
  std::string service;
  std::string target;
  std::string organisation;
  std::string key;  ///< Empty: idempotent.
  model::Priority priority = model::Priority::kStandard;
  Millis timeout{0};         ///< From its arrival to its deadline.
  std::string digest;        ///< Of method, target and body.
  net::HttpHeaders headers;  ///< What is passed on to the endpoint.

  bool is_keyed() const { return !key.empty(); }
};

/// Thrown when a request is refused before it is admitted.
class RefusedRequest : public std::runtime_error {
 public:
  RefusedRequest(ProblemKind kind, const std::string& detail)
      : std::runtime_error(detail), m_kind(kind) {}
  ProblemKind kind() const { return m_kind; }

 private:
  ProblemKind m_kind;
};

/// Understands a request under the settings in force.
///
/// @param path Of ParseCallerPath().
/// @param allows_unproven Whether its word is enough for an organisation
///   without a token.
/// @throws RefusedRequest
CallerRequest ParseCallerRequest(const CallerPath& path,
                                 const net::HttpRequest& request,
                                 const model::Config& config,
                                 bool allows_unproven);

}  // namespace laurelhall::entry
