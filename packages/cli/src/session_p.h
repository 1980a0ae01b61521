#pragma once

#include <boost/json.hpp>
#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "client_p.h"
#include "errors_p.h"
#include "options_p.h"
#include "verb_p.h"

namespace laurelhall::cli {

/// What the program uses of its surroundings.
struct Environment {
  FetchFunction fetch;
  std::function<void(Millis)> sleep;
  std::ostream& out;
  std::ostream& err;
  bool is_terminal = false;
  Defaults defaults;
  std::istream* in = nullptr;  ///< Standard input; null for none.
};

/// One verb with its command line, ready to run.
class Session {
 public:
  /// @throws UsageError when arguments or options do not fit the verb.
  Session(const Verb& verb, CommandLine line, const Environment& environment);

  /// Runs the verb. @throws UsageError, RefusedError, NoAnswerError.
  void Run() const { (this->*m_verb.run)(); }

  // How verbs run; rows of the table point here.
  void CallOnce() const;
  void WriteReport() const;
  void WatchAct() const;
  void WaitForSettings() const;
  void PrintCompletion() const;
  void ReplayTrace() const;
  void TraceId() const;

  // What verbs add to a body.
  void AddChanges(boost::json::object& body) const;
  void AddRemovals(boost::json::object& body) const;
  void AddTreeFile(boost::json::object& body) const;
  void AddJobFile(boost::json::object& body) const;

 private:
  void CheckArguments() const;
  bool IsOption(std::string_view name) const;
  void CheckOptions() const;
  const std::string* Source(const Field& field) const;
  boost::json::value FieldValue(const Field& field,
                                const std::string& text) const;
  boost::json::object Fields() const;
  boost::json::value Body() const;
  std::string Target() const;
  void Print(const boost::json::value& value) const;
  Millis DurationOption(const char* name, Millis fallback) const;
  std::optional<WallTime> TimeOption(const char* name) const;

  const Verb& m_verb;
  CommandLine m_line;
  std::vector<std::string> m_arguments;  // After the verb's own words.
  const Environment& m_environment;
  Client m_client;
};

/// The whole program. Never throws.
ExitCode RunCommandLine(const std::vector<std::string>& arguments,
                        const Environment& environment);

}  // namespace laurelhall::cli
