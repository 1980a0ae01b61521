#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace laurelhall::scenario {

/// One line of a scenario file.
struct Step {
  int line = 0;
  std::string text;
  std::vector<std::string> words;
};

/// Reads a scenario's steps: without comments and empty lines, and with what
/// stands between "repeat N" and "end" written out N times.
///
/// @throws std::runtime_error when the file cannot be read or a repeat does
///   not end.
std::vector<Step> ReadSteps(const std::filesystem::path& file);

/// Takes a step's words one by one; all must be taken in the end.
class Arguments {
 public:
  explicit Arguments(std::vector<std::string> words);

  /// Takes the next word.
  /// @throws std::runtime_error "expected NAME" when there is none.
  std::string Next(const char* name);
  int64_t NextNumber(const char* name);

  /// Takes "name value" from wherever it stands.
  std::optional<std::string> Option(const std::string& name);
  std::string Option(const std::string& name, const std::string& fallback);
  int64_t NumberOption(const std::string& name, int64_t fallback);

  /// Takes a word if it stands anywhere; whether it did.
  bool Flag(const std::string& word);

  /// @throws std::runtime_error naming a word that nobody took.
  void Finish() const;

 private:
  std::vector<std::string> m_words;
};

}  // namespace laurelhall::scenario
