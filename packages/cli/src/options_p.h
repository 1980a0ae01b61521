#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::cli {

enum class OutputFormat { kTable, kJson, kCount };

/// The command line, taken apart.
struct CommandLine {
  std::string server;
  std::string token_file;
  std::string operator_name;
  std::string request_id;
  OutputFormat output = OutputFormat::kTable;
  Millis timeout{std::chrono::seconds(10)};
  bool is_dry_run = false;
  bool is_help = false;
  std::vector<std::string> words;                   ///< Verb and arguments.
  std::map<std::string, std::string> verb_options;  ///< Those given, by name.
};

/// What the environment sets.
struct Defaults {
  std::string server = "127.0.0.1:9101";
  std::string operator_name = "operator";
};

/// Reads the command line. @throws UsageError.
CommandLine ParseCommandLine(const std::vector<std::string>& arguments,
                             const Defaults& defaults);

/// The text on the options that all verbs share.
std::string GlobalOptionsHelp();

}  // namespace laurelhall::cli
