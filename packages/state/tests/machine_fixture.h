#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "laurelhall/state/machine.h"

namespace laurelhall::state {

/// A machine, a replica that gets the same entries, and a virtual wall clock.
struct MachineFixture {
  static constexpr Millis kRetention = std::chrono::hours(24);

  explicit MachineFixture(const MachineLimits& limits = {})
      : m_limits(limits),
        m_machine(std::make_unique<Machine>(limits)),
        m_replica(std::make_unique<Machine>(limits)) {}

  /// Commits a command; the replica must answer the same.
  Result Commit(const Command& command) {
    const std::string payload = EncodeCommands({command});
    ++m_index;
    const Result result = m_machine->Apply(m_index, payload).at(0);
    const Result other = m_replica->Apply(m_index, payload).at(0);
    CHECK(TextOf(result) == TextOf(other));
    return result;
  }

  ActResult Act(const Command& command) {
    return std::get<ActResult>(Commit(command));
  }

  ClaimResult Claim(const ClaimCommand& command) {
    return std::get<ClaimResult>(Commit(command));
  }

  void Expire() { CHECK(Act(ExpireCommand{m_now}).is_accepted); }

  /// Goes on with a machine that was loaded from a snapshot.
  void Reload() {
    auto loaded = std::make_unique<Machine>(m_limits);
    loaded->Load(m_machine->Save());
    CHECK(loaded->Digest() == m_replica->Digest());
    m_machine = std::move(loaded);
  }

  OperatorRequest RequestOf(const std::string& name,
                            const std::string& id = "") const {
    return {name, id, m_now};
  }

  ActResult Change(const std::string& name,
                   const std::string& id,
                   uint64_t expected_version,
                   const std::string& path,
                   const std::optional<std::string>& value) {
    return Act(SettingsCommand{
        RequestOf(name, id), expected_version, {{path, value}}});
  }

  static std::string TextOf(const Result& result) {
    return std::visit(
        [](const auto& known) { return model::ToJsonText(known); }, result);
  }

  const MachineLimits m_limits;
  std::unique_ptr<Machine> m_machine;
  std::unique_ptr<Machine> m_replica;
  uint64_t m_index = 0;
  WallTime m_now{std::chrono::hours(500'000)};
};

}  // namespace laurelhall::state
