#include "log_line_p.h"

#include <array>
#include <charconv>

namespace laurelhall::trace {

namespace {

// "2026-08-17T20:28:04"
constexpr size_t kToSeconds = 19;

struct SubjectField {
  const char* key;
  Subject subject;
};

constexpr std::array kSubjectFields{
    SubjectField{"job", Subject::kJob},
    SubjectField{"task", Subject::kTask},
    SubjectField{"worker", Subject::kWorker},
    SubjectField{"first_worker", Subject::kWorker},
    SubjectField{"new_life", Subject::kWorker},
    SubjectField{"host", Subject::kHost},
    SubjectField{"wave", Subject::kWave},
    SubjectField{"version", Subject::kVersion},
};

constexpr std::array<const char*, static_cast<size_t>(Subject::kCount)>
    kSubjectNames{"job", "task", "worker", "host", "wave", "version"};

// Year, month, day, hour, minute, second.
constexpr std::array<size_t, 6> kTimePlaces{0, 5, 8, 11, 14, 17};

bool ReadNumber(std::string_view text, int& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

// Milliseconds of ".415Z", ".4Z" or "Z".
std::optional<Millis> ReadFraction(std::string_view text) {
  if (text.empty() || text.back() != 'Z') {
    return std::nullopt;
  }
  text.remove_suffix(1);
  if (text.empty()) {
    return Millis(0);
  }
  std::string digits(text.substr(1, 3));
  digits.resize(3, '0');
  int number = 0;
  if (text.front() != '.' || text.size() == 1 || !ReadNumber(digits, number)) {
    return std::nullopt;
  }
  return Millis(number);
}

// A collector's time, count of seconds or separator: names no process.
bool IsName(std::string_view word) {
  const bool has_letter =
      word.find_first_of(
          "abcdefghijklmnopqrstuvwxyz"
          "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string_view::npos;
  return has_letter && !ParseTime(word);
}

std::string_view TakeLastWord(std::string_view& text) {
  const size_t end = text.find_last_not_of(" \t");
  if (end == std::string_view::npos) {
    text = {};
    return {};
  }
  text = text.substr(0, end + 1);
  const size_t space = text.find_last_of(" \t");
  const size_t begin = space == std::string_view::npos ? 0 : space + 1;
  const std::string_view word = text.substr(begin);
  text = text.substr(0, begin);
  return word;
}

// The last word that is a name. "program[12]:" stands after its machine's.
std::string ProcessOf(std::string_view prefix, const std::string& source) {
  while (!prefix.empty()) {
    std::string_view word = TakeLastWord(prefix);
    if (word.ends_with("]:") || !IsName(word)) {
      continue;
    }
    if (word.ends_with(':')) {
      word.remove_suffix(1);
    }
    return std::string(word);
  }
  return source;
}

std::string TakeText(boost::json::object& fields, std::string_view key) {
  const boost::json::value* found = fields.if_contains(key);
  if (found == nullptr || !found->is_string()) {
    return {};
  }
  std::string text(found->get_string());
  fields.stable_erase(fields.find(key));
  return text;
}

bool CarriesId(const Line& line, const char* key, const std::string& id) {
  const boost::json::value* found = line.fields.if_contains(key);
  if (found == nullptr) {
    return false;
  }
  return found->is_string() ? found->get_string() == id
                            : boost::json::serialize(*found) == id;
}

// A path of requests ends with the job's id, or has it before a further word.
bool IsInPath(std::string_view path, std::string_view id) {
  path = path.substr(0, path.find('?'));
  while (!path.empty()) {
    const size_t slash = path.find('/');
    if (path.substr(0, slash) == id) {
      return true;
    }
    path = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  }
  return false;
}

}  // namespace

std::optional<WallTime> ParseTime(std::string_view text) {
  if (text.size() <= kToSeconds || text[4] != '-' || text[7] != '-' ||
      text[10] != 'T' || text[13] != ':' || text[16] != ':') {
    return std::nullopt;
  }
  const auto fraction = ReadFraction(text.substr(kToSeconds));
  std::array<int, 6> numbers{};
  for (size_t each = 0; each < numbers.size(); ++each) {
    const size_t length = each == 0 ? 4 : 2;
    if (!ReadNumber(text.substr(kTimePlaces[each], length), numbers[each])) {
      return std::nullopt;
    }
  }
  const auto date = std::chrono::year(numbers[0]) /
                    std::chrono::month(static_cast<unsigned>(numbers[1])) /
                    std::chrono::day(static_cast<unsigned>(numbers[2]));
  if (!fraction || !date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(numbers[3]) +
         std::chrono::minutes(numbers[4]) + Seconds(numbers[5]) + *fraction;
}

std::optional<Line> ParseLine(std::string_view text,
                              const std::string& source) {
  const size_t begin = text.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  boost::json::error_code error;
  const auto value = boost::json::parse(text.substr(begin), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  Line line;
  line.fields = value.get_object();
  const auto time = ParseTime(TakeText(line.fields, "time"));
  line.part = TakeText(line.fields, "part");
  line.event = TakeText(line.fields, "event");
  if (!time || line.part.empty()) {
    return std::nullopt;
  }
  line.time = *time;
  line.process = ProcessOf(text.substr(0, begin), source);
  return line;
}

std::string_view Glance(std::string_view text, std::string_view quoted_key) {
  const size_t key = text.find(quoted_key);
  if (key == std::string_view::npos) {
    return {};
  }
  const size_t open = text.find('"', key + quoted_key.size());
  if (open == std::string_view::npos) {
    return {};
  }
  const size_t close = text.find('"', open + 1);
  return close == std::string_view::npos
             ? std::string_view()
             : text.substr(open + 1, close - open - 1);
}

std::optional<Subject> SubjectIn(const Line& line, const std::string& id) {
  for (const SubjectField& field : kSubjectFields) {
    if (CarriesId(line, field.key, id)) {
      return field.subject;
    }
  }
  if (IsInPath(line.Text("path"), id) || JobOfTask(line.Text("task")) == id) {
    return Subject::kJob;
  }
  return std::nullopt;
}

std::string JobOfTask(const std::string& task) {
  const size_t dot = task.find('.');
  return dot == std::string::npos ? std::string() : task.substr(0, dot);
}

std::string Line::Text(std::string_view key) const {
  const boost::json::value* found = fields.if_contains(key);
  return found != nullptr && found->is_string()
             ? std::string(found->get_string())
             : std::string();
}

int64_t Line::Number(std::string_view key) const {
  const boost::json::value* found = fields.if_contains(key);
  boost::json::error_code error;
  return found != nullptr ? found->to_number<int64_t>(error) : 0;
}

std::string Line::Rest() const {
  std::string rest;
  for (const auto& [key, value] : fields) {
    rest += rest.empty() ? "" : " ";
    rest += std::string(key) + "=";
    rest += value.is_string() ? std::string(value.get_string())
                              : boost::json::serialize(value);
  }
  return rest;
}

const char* SubjectName(Subject subject) {
  return kSubjectNames[static_cast<size_t>(subject)];
}

}  // namespace laurelhall::trace
