#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>

namespace laurelhall::scheduling {

/// Parts of the policy that can be switched off one by one: to measure what
/// each is worth, or when one misleads the others.
enum class Mechanism : uint8_t {
  kTurns,          ///< Hosts move ahead of a rush when services take turns.
  kPeriod,         ///< Hosts move ahead of a load that came a period before.
  kParking,        ///< Hosts that nobody needs are switched off.
  kHeadroom,       ///< More cores are kept than the mean need.
  kLeastStay,      ///< A host that has moved stays for some seconds.
  kEmptyingLimit,  ///< Hosts with long work left do not move.
  kGathering,      ///< Short tasks go to few hosts, so that others can move.
  kDoubt,          ///< Workers that fail what others do are avoided.
  kHopelessOrder,  ///< What is too late goes behind what can be on time.
  kLastCall,       ///< Late work goes first before its caller would lose it.
  kDataWait,       ///< A task waits for the rack of its data.
  kLearnedTimes,   ///< Run times are learned by queue.
  kPacing,         ///< Filling tasks are slowed beside serving ones.
  kRelays,         ///< Other hosts make a leader's calls to many workers.
  kCount,
};

/// A lower-case word for settings and logs. Thread-safe.
std::string_view MechanismName(Mechanism mechanism);

/// The mechanism of a name; none for another text. Thread-safe.
std::optional<Mechanism> FindMechanism(std::string_view name);

/// Which mechanisms are in use; all by default. Not thread-safe.
class MechanismSet {
 public:
  bool Has(Mechanism mechanism) const {
    return !m_off.test(static_cast<size_t>(mechanism));
  }
  void SwitchOff(Mechanism mechanism) {
    m_off.set(static_cast<size_t>(mechanism));
  }

 private:
  std::bitset<static_cast<size_t>(Mechanism::kCount)> m_off;
};

}  // namespace laurelhall::scheduling
