#include "laurelhall/base/decision_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace laurelhall {

namespace {

// Lines a second and a process: three for each of a hundred task starts. What
// a line costs, about 3 µs, stays under a thousandth of a core.
constexpr uint64_t kMaxLinesPerSecond = 300;
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

DecisionLine::DecisionLine(std::string_view part, std::string_view event) {
  m_text = R"({"time":")" + FormatWallTime(WallNow()) + R"(","part":")";
  m_text += part;
  m_text += R"(","event":")";
  m_text += event;
  m_text += '"';
}

DecisionLine& DecisionLine::With(std::string_view key, std::string_view text) {
  m_text += ",\"";
  m_text += key;
  m_text += "\":\"";
  AppendEscaped(m_text, text);
  m_text += '"';
  return *this;
}

DecisionLine& DecisionLine::With(std::string_view key, int64_t number) {
  m_text += ",\"";
  m_text += key;
  m_text += "\":";
  m_text += std::to_string(number);
  return *this;
}

std::string DecisionLine::Finish() const {
  return m_text + "}\n";
}

class DecisionLog::Impl {
 public:
  void Write(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    const auto second = std::chrono::floor<Seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    if (second != m_second) {
      m_second = second;
      m_lines = 0;
    }
    if (m_lines >= kMaxLinesPerSecond ||
        m_waiting.size() + line.size() > kMaxWaitingBytes) {
      ++m_dropped;
      return;
    }
    ++m_lines;
    if (m_dropped != m_told) {
      m_waiting += DecisionLine("log", "dropped")
                       .With("lines", m_dropped - m_told)
                       .Finish();
      m_told = m_dropped;
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

  uint64_t dropped() const {
    const std::lock_guard lock(m_mutex);
    return m_dropped;
  }

 private:
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
  uint64_t m_lines = 0;
  uint64_t m_dropped = 0;
  uint64_t m_told = 0;  // Of m_dropped, what a line has told.
};

DecisionLog::DecisionLog() : m_impl(std::make_shared<Impl>()) {}

DecisionLog& DecisionLog::Get() {
  static DecisionLog log;
  return log;
}

void DecisionLog::Write(const DecisionLine& line) {
  m_impl->Write(line.Finish());
}

void DecisionLog::Flush() {
  m_impl->Flush();
}

uint64_t DecisionLog::dropped() const {
  return m_impl->dropped();
}

}  // namespace laurelhall
