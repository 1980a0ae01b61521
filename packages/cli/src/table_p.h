#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace laurelhall::cli {

/// Writes JSON for a reader: an array of objects as a table, an object as
/// lines of name and value with its inner tables after them.
///
/// @param columns Which members an array shows, in order; empty is all of
///   the first row.
/// @param is_coloured Whether headings stand out, for terminals.
std::string RenderTable(const boost::json::value& value,
                        const std::vector<std::string>& columns,
                        bool is_coloured);

}  // namespace laurelhall::cli
