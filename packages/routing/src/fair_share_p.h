#pragma once

#include <deque>
#include <map>
#include <string>

namespace laurelhall::routing {

/// Virtual time of one organisation: slot time used over weight.
struct Share {
  double weight = 1;
  double virtual_time = 0;  ///< Milliseconds.
  int waiting = 0;
  std::deque<double> expected;  ///< Charged for runs not finished yet.
};

/// Start-time fair queuing between organisations.
///
/// @remarks Not thread-safe.
class FairShare {
 public:
  void SetWeight(const std::string& organisation, double weight);

  /// The organisation's record. One that was idle starts at the current virtual
  /// time: what it left unused is not carried over.
  Share& Join(const std::string& organisation);
  Share& Of(const std::string& organisation) { return m_shares[organisation]; }

  /// Advances the virtual time to that of the organisation that is served, and
  /// charges it the expected slot time.
  void Serve(const std::string& organisation, double expected_millis);

  /// Takes back the last charge: the run did not start.
  void Unserve(const std::string& organisation);

  /// Replaces what was charged for a run by the slot time that it took.
  void Finish(const std::string& organisation, double millis);

  /// Weights of the organisations that wait, over this one's.
  double Dilution(const std::string& organisation) const;

  /// Drops records of idle organisations that have nothing to remember.
  void Trim();

 private:
  double m_present = 0;
  std::map<std::string, Share> m_shares;
};

}  // namespace laurelhall::routing
