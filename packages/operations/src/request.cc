#include <sstream>

#include "operations_p.h"

namespace laurelhall::operations {

const std::string& Request::Segment(size_t n) const {
  if (n >= segments.size()) {
    throw RequestError(404, "path: too short");
  }
  return segments[n];
}

std::string Request::Query(const std::string& name,
                           const std::string& fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

std::set<std::string> SplitCommas(const std::string& text) {
  std::set<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.insert(part);
  }
  return parts;
}

state::OperatorRequest Request::Operator() const {
  state::OperatorRequest request;
  request.operator_name = BodyValue<std::string>(body, "operator");
  request.request_id = BodyValue<std::string>(body, "request_id");
  request.at = now;
  request.digest = digest;
  if (request.operator_name.empty() || request.request_id.empty()) {
    throw RequestError(400, "operator, request_id: expected a text");
  }
  return request;
}

bool Request::is_dry_run() const {
  return BodyValueOr<bool>(body, "dry_run", false);
}

}  // namespace laurelhall::operations
