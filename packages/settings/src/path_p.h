#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhall::settings {

/// Splits a dotted path. A vendor's word may hold dots, so all behind
/// `state_words.` is one part.
std::vector<std::string> SplitPath(std::string_view path);

/// The value at a path; null when there is none.
const boost::json::value* FindPath(const boost::json::value& root,
                                   const std::vector<std::string>& path);

/// Puts a value at a path, making the objects on the way; false when
/// something on the way is no object.
bool PutPath(boost::json::value& root,
             const std::vector<std::string>& path,
             boost::json::value value);

/// Removes what stands at a path; false when nothing does.
bool RemovePath(boost::json::value& root, const std::vector<std::string>& path);

}  // namespace laurelhall::settings
