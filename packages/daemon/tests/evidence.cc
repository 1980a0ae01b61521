#include "evidence.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <sstream>

namespace laurelhall::scenario {
namespace {

// What says that this copy of a request was never sent to an endpoint.
const std::set<std::string> kNothingSent{"not-run", "not-accepted",
                                         "no-connection"};

std::vector<std::string> WholeLines(const std::filesystem::path& file) {
  std::ifstream stream(file);
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(stream, line) && !stream.eof()) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace

std::vector<JournalLine> ReadJournal(const std::filesystem::path& file) {
  std::vector<JournalLine> lines;
  for (const std::string& text : WholeLines(file)) {
    std::istringstream stream(text);
    JournalLine line;
    stream >> line.event >> line.request_id >> line.key >> line.digest >>
        line.running >> line.at_ms >> line.holds_from_ms;
    lines.push_back(line);
  }
  return lines;
}

std::vector<AnswerLine> ReadAnswers(const std::filesystem::path& file) {
  std::vector<AnswerLine> lines;
  for (const std::string& text : WholeLines(file)) {
    std::istringstream stream(text);
    AnswerLine line;
    stream >> line.key >> line.digest >> line.kind >> line.target;
    lines.push_back(line);
  }
  return lines;
}

std::map<std::string, int> RunsByKey(const std::vector<JournalLine>& lines) {
  std::map<std::string, int> runs;
  for (const JournalLine& line : lines) {
    if (line.event == "start" && line.key != "-") {
      ++runs[line.key];
    }
  }
  return runs;
}

int MostConcurrent(const std::vector<JournalLine>& lines) {
  int most = 0;
  for (const JournalLine& line : lines) {
    most = std::max(most, line.running);
  }
  return most;
}

int StartsAfterLeaving(const std::vector<JournalLine>& lines) {
  int64_t last = std::numeric_limits<int64_t>::max();
  int late = 0;
  for (const JournalLine& line : lines) {
    if (line.event == "leaving") {
      last = line.at_ms + line.holds_from_ms;
    }
    late += line.event == "start" && line.at_ms > last ? 1 : 0;
  }
  return late;
}

std::set<std::string> FalselyNotRun(const std::vector<AnswerLine>& answers,
                                    const std::vector<JournalLine>& lines) {
  std::set<std::string> told;
  std::set<std::string> other;
  for (const AnswerLine& answer : answers) {
    (kNothingSent.contains(answer.kind) ? told : other).insert(answer.digest);
  }
  std::set<std::string> false_ones;
  for (const JournalLine& line : lines) {
    if (line.event == "start" && told.contains(line.digest) &&
        !other.contains(line.digest)) {
      false_ones.insert(line.digest);
    }
  }
  return false_ones;
}

}  // namespace laurelhall::scenario
