#include "step.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace laurelhall::scenario {
namespace {

int64_t NumberOf(const std::string& text, const std::string& name) {
  size_t used = 0;
  try {
    const int64_t number = std::stoll(text, &used);
    if (used == text.size()) {
      return number;
    }
  } catch (const std::logic_error&) {
  }
  throw std::runtime_error(name + ": expected a number, not " + text);
}

std::vector<Step> ReadLines(const std::filesystem::path& file) {
  std::ifstream stream(file);
  if (!stream) {
    throw std::runtime_error("cannot read " + file.string());
  }
  std::vector<Step> steps;
  std::string text;
  for (int line = 1; std::getline(stream, text); ++line) {
    Step step{line, text.substr(0, text.find('#')), {}};
    std::istringstream words(step.text);
    for (std::string word; words >> word;) {
      step.words.push_back(word);
    }
    if (!step.words.empty()) {
      steps.push_back(step);
    }
  }
  return steps;
}

}  // namespace

std::vector<Step> ReadSteps(const std::filesystem::path& file) {
  const std::vector<Step> lines = ReadLines(file);
  std::vector<Step> steps;
  for (auto at = lines.begin(); at != lines.end(); ++at) {
    if (at->words.front() != "repeat") {
      steps.push_back(*at);
      continue;
    }
    const auto end = std::find_if(at, lines.end(), [](const Step& step) {
      return step.words.front() == "end";
    });
    if (end == lines.end()) {
      throw std::runtime_error(at->text + ": expected an end");
    }
    const int64_t times = NumberOf(at->words.back(), "repeat");
    for (int64_t time = 0; time < times; ++time) {
      steps.insert(steps.end(), at + 1, end);
    }
    at = end;
  }
  return steps;
}

Arguments::Arguments(std::vector<std::string> words)
    : m_words(std::move(words)) {}

std::string Arguments::Next(const char* name) {
  if (m_words.empty()) {
    throw std::runtime_error(std::string("expected ") + name);
  }
  std::string word = m_words.front();
  m_words.erase(m_words.begin());
  return word;
}

int64_t Arguments::NextNumber(const char* name) {
  return NumberOf(Next(name), name);
}

std::optional<std::string> Arguments::Option(const std::string& name) {
  const auto found = std::find(m_words.begin(), m_words.end(), name);
  if (found == m_words.end() || found + 1 == m_words.end()) {
    return std::nullopt;
  }
  std::string value = *(found + 1);
  m_words.erase(found, found + 2);
  return value;
}

std::string Arguments::Option(const std::string& name,
                              const std::string& fallback) {
  return Option(name).value_or(fallback);
}

int64_t Arguments::NumberOption(const std::string& name, int64_t fallback) {
  const auto value = Option(name);
  return value ? NumberOf(*value, name) : fallback;
}

bool Arguments::Flag(const std::string& word) {
  const auto found = std::find(m_words.begin(), m_words.end(), word);
  if (found == m_words.end()) {
    return false;
  }
  m_words.erase(found);
  return true;
}

void Arguments::Finish() const {
  if (!m_words.empty()) {
    throw std::runtime_error("not understood: " + m_words.front());
  }
}

}  // namespace laurelhall::scenario
