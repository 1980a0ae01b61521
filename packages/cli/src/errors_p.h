#pragma once

#include <stdexcept>

namespace laurelhall::cli {

/// How the program ends.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,   ///< The system said no, a trace did not hold, or
                  ///< an id was not found.
  kUsage = 2,     ///< Bad usage or bad input; nothing was sent, or a 400.
  kNoAnswer = 3,  ///< The outcome is not known: resend with the same id.
};

/// The command line, or a file that it names, is not right.
class UsageError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The system answered, and said no.
class RefusedError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A replay came to other decisions than its trace states.
class MismatchError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The logs say nothing of an id.
class NotFoundError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// No answer came, or one that leaves the outcome open.
class NoAnswerError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace laurelhall::cli
