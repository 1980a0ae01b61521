#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>

namespace laurelhall::scheduling {

/// Parts of the scheduling policy that can be switched off one by one, to
/// measure the benefit of each, or if one disturbs the others. MechanismName()
/// gives the names that settings use.
enum class Mechanism : uint8_t {
  kTurns,          ///< Hosts move before a rush if services take turns.
  kPeriod,         ///< Hosts move before a load that recurs periodically.
  kParking,        ///< Hosts that no service needs are switched off.
  kHeadroom,       ///< Services get more cores than their mean need.
  kLeastStay,      ///< A host that has moved stays for some seconds.
  kEmptyingLimit,  ///< Hosts whose tasks still run for long do not move.
  kGathering,      ///< Short tasks are packed onto few hosts, so that others
                   ///< can move.
  kDoubt,          ///< Workers that fail tasks which others complete are
                   ///< avoided.
  kHopelessOrder,  ///< Work that is too late goes behind work that can be on
                   ///< time.
  kLastCall,       ///< Late work goes first shortly before it would be of no
                   ///< use to its caller.
  kDataWait,       ///< A task waits for a worker on the rack of its data.
  kLearnedTimes,   ///< Estimated run times are corrected by queue.
  kPacing,         ///< Filling tasks are slowed down beside serving ones.
  kRelays,         ///< Other hosts relay a leader's calls to many workers.
  kShares,         ///< In a full pool, organisations below their parts go
                   ///< first.
  kAdmission,      ///< Jobs that can't be in time by their organisation's share
                   ///< are refused.
  kFloors,         ///< Pools keep hosts for the start of their next rush.
  kCount,
};

/// The kebab-case name of a mechanism in settings and logs. Thread-safe.
std::string_view MechanismName(Mechanism mechanism);

/// The mechanism of a name; nothing if the name is unknown. Thread-safe.
std::optional<Mechanism> FindMechanism(std::string_view name);

/// The mechanisms in use; all by default. Not thread-safe.
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
