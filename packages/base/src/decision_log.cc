#include "laurelhall/base/decision_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <utility>

namespace laurelhall {

namespace {

constexpr size_t kClasses = static_cast<size_t>(LineClass::kCount);
// Lines a second and a process, by class: what a line costs, about 3 µs, stays
// under three thousandths of a core for all. Decisions come at 100 to 200 a
// second when a thousand hosts move and are maintained, jobs at 200 in a rush.
constexpr std::array<uint64_t, kClasses> kMaxLinesPerSecond{400, 200, 400};
constexpr std::array<const char*, kClasses> kDroppedFields{"decisions", "tasks",
                                                           "requests"};
// What waits for a slow reader.
constexpr size_t kMaxWaitingBytes = 256 << 10;
// A pipe that has room takes at least this without blocking.
constexpr size_t kAtomicWrite = 4'096;
// Gathered before it is written, so that lines share system calls.
constexpr size_t kFlushBytes = 4'096;

constexpr std::string_view kHex = "0123456789abcdef";

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char letter : text) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      out += '\\';
      out += letter;
    } else if (code < 0x20) {
      out += "\\u00";
      out += kHex[code >> 4];
      out += kHex[code & 15];
    } else {
      out += letter;
    }
  }
}

}  // namespace

DecisionLine::DecisionLine(std::string_view part,
                           std::string_view event,
                           LineClass line_class)
    : m_is_kept(DecisionLog::Get().Admit(line_class)) {
  if (!m_is_kept) {
    return;
  }
  m_text = R"({"time":")" + FormatWallTime(WallNow()) + R"(","part":")";
  m_text += part;
  m_text += R"(","event":")";
  m_text += event;
  m_text += '"';
}

DecisionLine& DecisionLine::With(std::string_view key, std::string_view text) {
  if (!m_is_kept) {
    return *this;
  }
  m_text += ",\"";
  m_text += key;
  m_text += "\":\"";
  AppendEscaped(m_text, text);
  m_text += '"';
  return *this;
}

DecisionLine& DecisionLine::With(std::string_view key, int64_t number) {
  if (!m_is_kept) {
    return *this;
  }
  m_text += ",\"";
  m_text += key;
  m_text += "\":";
  m_text += std::to_string(number);
  return *this;
}

std::string DecisionLine::Finish() const {
  return m_is_kept ? m_text + "}\n" : std::string();
}

class DecisionLog::Impl {
 public:
  bool Admit(LineClass line_class) {
    const std::lock_guard lock(m_mutex);
    const auto second = std::chrono::floor<Seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    if (second != m_second) {
      m_second = second;
      m_lines = {};
    }
    const auto place = static_cast<size_t>(line_class);
    if (m_lines[place] >= kMaxLinesPerSecond[place] ||
        m_waiting.size() >= kMaxWaitingBytes) {
      ++m_dropped[place];
      return false;
    }
    ++m_lines[place];
    return true;
  }

  void Write(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    if (m_dropped != m_told) {
      AppendDropped();
    }
    m_waiting += line;
    if (m_waiting.size() >= kFlushBytes) {
      FlushLocked();
    }
  }

  void Flush() {
    const std::lock_guard lock(m_mutex);
    FlushLocked();
  }

  uint64_t dropped(LineClass line_class) const {
    const std::lock_guard lock(m_mutex);
    return m_dropped[static_cast<size_t>(line_class)];
  }

 private:
  using Counts = std::array<uint64_t, kClasses>;

  // By hand: a line would ask to be admitted under this lock.
  void AppendDropped() {
    m_waiting += R"({"time":")" + FormatWallTime(WallNow()) +
                 R"(","part":"log","event":"dropped")";
    for (size_t place = 0; place < kClasses; ++place) {
      m_waiting += ",\"";
      m_waiting += kDroppedFields[place];
      m_waiting += "\":" + std::to_string(m_dropped[place] - m_told[place]);
    }
    m_waiting += "}\n";
    m_told = m_dropped;
  }

  void FlushLocked() {
    size_t written = 0;
    while (written < m_waiting.size()) {
      pollfd ready{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        break;
      }
      const size_t size = std::min(kAtomicWrite, m_waiting.size() - written);
      const ssize_t taken =
          write(STDOUT_FILENO, m_waiting.data() + written, size);
      if (taken <= 0) {
        break;
      }
      written += static_cast<size_t>(taken);
    }
    m_waiting.erase(0, written);
  }

  mutable std::mutex m_mutex;  // Guards all below.
  std::string m_waiting;
  Seconds m_second{0};
  Counts m_lines{};  // Of this second.
  Counts m_dropped{};
  Counts m_told{};  // Of m_dropped, what a line has told.
};

DecisionLog::DecisionLog() : m_impl(std::make_shared<Impl>()) {}

DecisionLog& DecisionLog::Get() {
  static DecisionLog log;
  return log;
}

void DecisionLog::Write(const DecisionLine& line) {
  if (line.is_kept()) {
    m_impl->Write(line.Finish());
  }
}

bool DecisionLog::Admit(LineClass line_class) {
  return m_impl->Admit(line_class);
}

void DecisionLog::Flush() {
  m_impl->Flush();
}

uint64_t DecisionLog::dropped(LineClass line_class) const {
  return m_impl->dropped(line_class);
}

}  // namespace laurelhall
