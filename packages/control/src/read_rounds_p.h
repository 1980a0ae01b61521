#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::control {

/// Confirmed reads: all that come in one turn of the loop share one round.
///
/// @remarks On the loop's thread only.
class ReadRounds {
 public:
  /// Asks the node for a read; false when it does not lead.
  using Request = std::function<bool(uint64_t context)>;
  /// Called with whether the applied state may be served as confirmed.
  using Done = std::function<void(bool is_confirmed)>;

  explicit ReadRounds(Request request);

  /// Queues a read for the next round.
  void Add(Done done);

  /// Starts a round for what waits.
  void Flush();

  /// Takes in what the node confirmed.
  void Confirmed(const std::vector<consensus::ReadState>& reads);

  /// Serves what is confirmed up to an applied index.
  void Applied(consensus::Index applied);

  /// Refuses all that waits: this host leads no more.
  void LostLeadership();

  bool is_empty() const { return m_waiting.empty(); }

 private:
  Request m_request;
  uint64_t m_next_context = 1;
  std::vector<Done> m_waiting;
  std::map<uint64_t, std::vector<Done>> m_asked;  // By context.
  std::multimap<consensus::Index, std::vector<Done>> m_confirmed;  // By index.
};

}  // namespace laurelhall::control
