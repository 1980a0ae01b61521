#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace laurelhall::cli {

class Session;

enum class FieldType { kText, kNumber, kMillis, kList, kFlag, kCount };

/// A member of the body, and which argument or option it comes from.
struct Field {
  const char* member;
  /// An option's name; or an argument's number, "0" the first. A list takes
  /// that argument and all after it.
  const char* source;
  FieldType type = FieldType::kText;
  bool is_required = false;
};

/// One row of the table of verbs.
struct Verb {
  const char* name;       ///< One or two words.
  const char* arguments;  ///< As in the synopsis.
  size_t min_arguments;
  size_t max_arguments;
  const char* summary;
  const char* example;
  const char* method;
  const char* path;                  ///< "{0}" stands for the first argument.
  std::vector<Field> fields;         ///< Of the body, or of the query.
  std::vector<std::string> columns;  ///< Shown in a table; empty is all.
  /// How it runs; most send one request.
  void (Session::*run)() const;
  /// Adds to the body what no field says; null for none.
  void (Session::*add_to_body)(boost::json::object&) const = nullptr;
  std::vector<const char*> options = {};  ///< Besides those of the fields.
};

/// All verbs, in order of the help.
const std::vector<Verb>& Verbs();

/// The verb that the words begin with; null for none.
const Verb* FindVerb(const std::vector<std::string>& words);

/// How many words the verb's name has.
size_t WordCount(const Verb& verb);

/// Synopsis, summary and example of one verb.
std::string VerbHelp(const Verb& verb);

/// The list of verbs and the options of all.
std::string OverviewHelp();

/// A script for bash that completes the verbs.
std::string BashCompletion();

}  // namespace laurelhall::cli
