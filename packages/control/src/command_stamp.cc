#include "command_stamp_p.h"

#include <variant>

namespace laurelhall::control {

namespace {

Millis ClaimRetention(const model::Config* config, const std::string& service) {
  if (config != nullptr) {
    const auto found = config->services.find(service);
    if (found != config->services.end()) {
      return found->second.requests.claim_retention;
    }
  }
  return model::RequestPolicy().claim_retention;
}

class Stamper {
 public:
  Stamper(const model::Config* config, WallTime now)
      : m_config(config), m_now(now) {}

  void operator()(state::ClaimCommand& command) const {
    Set(command.at, m_now);
    Set(command.expires_at,
        command.at + ClaimRetention(m_config, command.key.service));
  }

  void operator()(state::EndpointCommand& command) const {
    Set(command.endpoint.state_since, m_now);
  }

  void operator()(state::SessionCommand& command) const {
    Set(command.at, m_now);
  }

  template <typename T>
  void operator()(T& command) const {
    if constexpr (requires { command.request.at; }) {
      Set(command.request.at, m_now);
    }
  }

 private:
  static void Set(WallTime& time, WallTime value) {
    if (time == WallTime()) {
      time = value;
    }
  }

  const model::Config* m_config;
  WallTime m_now;
};

}  // namespace

void StampCommands(std::vector<state::Command>& commands,
                   const model::Config* config,
                   WallTime now) {
  const Stamper stamper(config, now);
  for (state::Command& command : commands) {
    std::visit(stamper, command);
  }
}

}  // namespace laurelhall::control
