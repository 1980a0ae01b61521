#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laurelhall/trace/trace.h"

namespace laurelhall::trace {

/// Reads a line with or without a collector's prefix.
/// @param source Names the process where the prefix does not.
/// @returns Nothing when the line is none of ours.
std::optional<Line> ParseLine(std::string_view text, const std::string& source);

/// The text of a member of a line that is not parsed, a quick look; empty when
/// there is none.
std::string_view Glance(std::string_view text, std::string_view quoted_key);

/// Which field of a line carries an id.
/// @returns Nothing when none does.
std::optional<Subject> SubjectIn(const Line& line, const std::string& id);

/// The job of a task's id; empty when it is no task's.
std::string JobOfTask(const std::string& task);

}  // namespace laurelhall::trace
