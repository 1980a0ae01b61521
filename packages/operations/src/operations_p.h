#pragma once

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/control/control_host.h"
#include "laurelhall/model/fleet.h"
#include "laurelhall/state/command.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::operations {

class InFlightBoard;
class JobBoard;

/// A refusal of an operator's request, with its HTTP status.
class RequestError : public std::runtime_error {
 public:
  RequestError(int status, const std::string& text)
      : std::runtime_error(text), m_status(status) {}
  int status() const { return m_status; }

 private:
  int m_status;
};

/// One operator's request, taken apart.
struct Request {
  std::string method;
  std::vector<std::string> segments;  ///< Of the path after "/v1/".
  std::map<std::string, std::string> query;
  boost::json::object body;
  std::string digest;  ///< Of all of the request, to recognise a resend.
  WallTime now{};
  const state::Machine& machine;
  const control::ControlStatus& status;

  /// The n-th segment; throws RequestError 404 when there is none.
  const std::string& Segment(size_t n) const;
  /// A query value, or `fallback`.
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const;
  /// The operator's name and request id; throws RequestError 400 if missing.
  state::OperatorRequest Operator() const;
  bool is_dry_run() const;
};

/// What a route makes of a request: an answer now, or commands to commit.
struct Outcome {
  int status = 200;
  boost::json::value body;
  std::vector<state::Command> commands;
  std::function<void()> on_accepted;  ///< Once all commands are accepted.
  /// A change of membership, made once the commands are accepted.
  std::function<void(control::ControlActions&, control::ControlActions::Done)>
      action;
};

/// An answer that changes nothing.
inline Outcome Answer(boost::json::value body) {
  Outcome outcome;
  outcome.body = std::move(body);
  return outcome;
}

/// A command to commit, whose result is the answer.
inline Outcome Proposal(state::Command command) {
  Outcome outcome;
  outcome.commands.push_back(std::move(command));
  return outcome;
}

using RouteFunction = std::function<Outcome(const Request&)>;

/// One row of the table of routes. A segment "*" matches any.
struct Route {
  const char* method;
  const char* pattern;
  RouteFunction function;
};

/// Rows of each concern; the service looks them up in this order.
std::vector<Route> StatusRoutes();
std::vector<Route> SettingsRoutes();
std::vector<Route> HostRoutes();
std::vector<Route> ActRoutes();
std::vector<Route> JobRoutes(const std::shared_ptr<JobBoard>& board);
std::vector<Route> ControlRoutes();
std::vector<Route> ReportRoutes(
    const std::shared_ptr<InFlightBoard>& in_flight);

/// Reads a described value out of the body's member, or throws RequestError
/// 400 naming the member.
template <typename T>
T BodyValue(const boost::json::object& body, const std::string& name) {
  const auto* value = body.if_contains(name);
  if (value == nullptr) {
    throw RequestError(400, name + ": missing");
  }
  try {
    return boost::json::value_to<T>(*value);
  } catch (const std::exception& error) {
    throw RequestError(400, name + ": " + error.what());
  }
}

/// Same, with a fallback for a member that is not there.
template <typename T>
T BodyValueOr(const boost::json::object& body,
              const std::string& name,
              T fallback) {
  return body.contains(name) ? BodyValue<T>(body, name) : fallback;
}

/// The values of a map as a JSON array, in order of key.
template <typename Map>
boost::json::array ValuesOf(const Map& map) {
  boost::json::array array;
  for (const auto& [key, value] : map) {
    array.push_back(boost::json::value_from(value));
  }
  return array;
}

/// What a lookup found; throws RequestError 404 naming what it did not.
template <typename T>
T ValueOr404(std::optional<T> found,
             const std::string& kind,
             const std::string& id) {
  if (!found) {
    throw RequestError(404, kind + " " + id + ": not known");
  }
  return std::move(*found);
}

/// The parts of a text with commas between them.
std::set<std::string> SplitCommas(const std::string& text);

/// Finds by id or throws RequestError 404 naming it.
template <typename Map>
const typename Map::mapped_type& FindOr404(const Map& map,
                                           const std::string& kind,
                                           const std::string& id) {
  const auto found = map.find(id);
  if (found == map.end()) {
    throw RequestError(404, kind + " " + id + ": not known");
  }
  return found->second;
}

}  // namespace laurelhall::operations
