#include "laurelhall/base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <stdexcept>

namespace laurelhall {
namespace {

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v";
constexpr const char* kJsonPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","text":"%v"})";

// One sink for all parts, so that one pattern and one lock serve them.
const spdlog::sink_ptr& SharedSink() {
  static const spdlog::sink_ptr sink =
      std::make_shared<spdlog::sinks::stderr_sink_mt>();
  return sink;
}

}  // namespace

void InitLogs(const LogInit& init) {
  const auto level = spdlog::level::from_str(init.level);
  if (level == spdlog::level::off && init.level != "off") {
    throw std::invalid_argument("expected a log level, got \"" + init.level +
                                "\"");
  }
  if (init.format != "text" && init.format != "json") {
    throw std::invalid_argument("expected \"text\" or \"json\", got \"" +
                                init.format + "\"");
  }
  const char* pattern = init.format == "json" ? kJsonPattern : kTextPattern;
  // The global formatter and level also hold for loggers made later.
  spdlog::set_pattern(pattern, spdlog::pattern_time_type::utc);
  spdlog::set_level(level);
}

std::shared_ptr<spdlog::logger> PartLog(const std::string& part) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  if (auto known = spdlog::get(part)) {
    return known;
  }
  auto made = std::make_shared<spdlog::logger>(part, SharedSink());
  spdlog::initialize_logger(made);
  return made;
}

}  // namespace laurelhall
