#include "laurelhall/base/time.h"

#include <array>
#include <charconv>
#include <ctime>
#include <limits>
#include <stdexcept>

namespace laurelhall {
namespace {

struct Unit {
  std::string_view suffix;
  int64_t millis;
};

// Longest suffix first within a shared start: "ms" before "m".
constexpr std::array<Unit, 5> kUnits{{{"ms", 1},
                                      {"s", 1000},
                                      {"m", 60'000},
                                      {"h", 3'600'000},
                                      {"d", 86'400'000}}};

const Unit* FindUnit(std::string_view text) {
  for (const Unit& unit : kUnits) {
    if (text.starts_with(unit.suffix)) {
      return &unit;
    }
  }
  return nullptr;
}

// Takes ".5" off the front, as thousandths; zero when there is none.
int64_t TakeFraction(std::string_view& text) {
  if (!text.starts_with('.')) {
    return 0;
  }
  text.remove_prefix(1);
  int64_t thousandths = 0;
  int64_t weight = 100;
  while (!text.empty() && text.front() >= '0' && text.front() <= '9') {
    thousandths += (text.front() - '0') * weight;
    weight /= 10;
    text.remove_prefix(1);
  }
  return thousandths;
}

[[noreturn]] void ThrowBadDuration(std::string_view text) {
  throw std::invalid_argument("expected a duration such as \"30s\", got \"" +
                              std::string(text) + "\"");
}

}  // namespace

BootTime BootClock::now() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return BootTime(Seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

WallTime WallNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

Millis ParseDuration(std::string_view text) {
  std::string_view rest = text;
  int64_t total = 0;
  if (rest.empty()) {
    ThrowBadDuration(text);
  }
  while (!rest.empty()) {
    int64_t count = 0;
    const char* end = rest.data() + rest.size();
    const auto [next, error] = std::from_chars(rest.data(), end, count);
    if (error != std::errc() || count < 0 || rest.front() == '-') {
      ThrowBadDuration(text);
    }
    rest.remove_prefix(static_cast<size_t>(next - rest.data()));
    const int64_t thousandths = TakeFraction(rest);
    const Unit* unit = FindUnit(rest);
    if (unit == nullptr) {
      ThrowBadDuration(text);
    }
    const int64_t room = std::numeric_limits<int64_t>::max() / 2 - total;
    if (count > room / unit->millis) {
      ThrowBadDuration(text);
    }
    total += count * unit->millis + thousandths * unit->millis / 1'000;
    rest.remove_prefix(unit->suffix.size());
  }
  return Millis(total);
}

std::string FormatDuration(Millis duration) {
  int64_t rest = duration.count();
  if (rest == 0) {
    return "0s";
  }
  std::string text;
  for (auto unit = kUnits.rbegin(); unit != kUnits.rend(); ++unit) {
    if (rest >= unit->millis) {
      text += std::to_string(rest / unit->millis);
      text += unit->suffix;
      rest %= unit->millis;
    }
  }
  return text;
}

std::string FormatWallTime(WallTime time) {
  const auto seconds = std::chrono::floor<Seconds>(time);
  const std::time_t raw = seconds.time_since_epoch().count();
  std::tm parts{};
  gmtime_r(&raw, &parts);
  std::array<char, 40> buffer{};
  const size_t length =
      std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const int64_t millis = (time - seconds).count();
  std::string text(buffer.data(), length);
  std::string fraction = std::to_string(1000 + millis);
  fraction[0] = '.';
  return text + fraction + "Z";
}

}  // namespace laurelhall
