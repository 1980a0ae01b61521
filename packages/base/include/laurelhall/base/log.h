#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace laurelhall {

/// How a process logs.
struct LogInit {
  std::string level = "info";   ///< trace, debug, info, warning, error, off.
  std::string format = "text";  ///< "text" or "json".
};

/// Sets level and format for all parts; call once before threads start.
///
/// @throws std::invalid_argument when level or format is not known.
void InitLogs(const LogInit& init);

/// Returns the logger whose lines start with `part: `.
///
/// @param part The fixed prefix, for example "routing".
/// @remarks Thread-safe. Write one short sentence a line.
std::shared_ptr<spdlog::logger> PartLog(const std::string& part);

}  // namespace laurelhall
