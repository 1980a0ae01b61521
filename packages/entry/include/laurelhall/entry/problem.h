#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laurelhall/base/time.h"
#include "laurelhall/net/http.h"

// What an entry host says when it has no endpoint's answer to hand on.
namespace laurelhall::entry {

enum class ProblemKind {
  kNotRun,
  kNotAccepted,
  kOutcomeUnknown,
  kFailed,
  kInProgress,
  kGone,
  kKeyConflict,
  kBadRequest,
  kPayloadTooLarge,
  kUnauthorised,
  kUnknownService,
  kNotFound,
  kAnnouncementRefused,
  kCount,
};

/// One row of the table of problems.
struct ProblemType {
  std::string_view slug;  ///< The `type` of the problem details.
  int status;
  std::string_view title;
};

/// Returns the row of a kind. Thread-safe.
const ProblemType& ProblemTypeOf(ProblemKind kind);

/// Makes an RFC 9457 answer.
///
/// @param detail One sentence for the caller; holds no other caller's text.
/// @param retry_after Set: when to come back, as Retry-After in whole seconds
///   and as `retry_after_ms`.
/// @remarks Thread-safe.
net::HttpResponse MakeProblem(ProblemKind kind,
                              const std::string& detail,
                              std::optional<Millis> retry_after = {});

}  // namespace laurelhall::entry
