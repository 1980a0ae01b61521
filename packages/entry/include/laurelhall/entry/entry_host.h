#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "laurelhall/control/control_client.h"
#include "laurelhall/entry/problem.h"
#include "laurelhall/net/http.h"
#include "laurelhall/net/io_threads.h"

namespace laurelhall::entry {

struct EntryInit {
  model::EntryIdentity identity;
  std::string availability_zone;
  Millis view_bound{std::chrono::seconds(3)};  ///< How old a view may be.
  Millis connect_timeout{std::chrono::seconds(1)};
  Millis commit_timeout{std::chrono::seconds(5)};  ///< Of one commit.
  int commit_tries = 5;           ///< Of a commit that nobody waits for.
  Millis claim_poll{200};         ///< First pause before asking again.
  Millis claim_poll_most{2'000};  ///< Longest pause.
  Millis balancer_delay{
      std::chrono::seconds(2)};  ///< Drain: goes on accepting for so long.
  Millis drain_grace{std::chrono::seconds(30)};  ///< Then in flight may finish.
  int64_t max_announcement_bytes = 16 << 10;
  /// Whether callers and endpoints are believed without a token or client
  /// certificate where none is set; meant for loopback.
  bool allows_unproven = true;
  uint64_t seed = 1;
};

/// What one service looks like at this entry host.
struct ServiceStats {
  int queued = 0;
  int64_t queued_bytes = 0;
  int usable_endpoints = 0;
  int ejected_endpoints = 0;
  int capacity = 0;    ///< Slots lent to this entry host.
  int held_slots = 0;  ///< Kept back because a run may still go on.
  uint64_t good = 0;   ///< All since the start, like the three below.
  uint64_t bad_failure = 0;
  uint64_t bad_overload = 0;
  uint64_t bad_wave = 0;
};

/// Counters since the start and the state of now, for metrics.
struct EntryStats {
  uint64_t requests = 0;
  uint64_t answers = 0;  ///< Whole answers of endpoints handed on.
  uint64_t replays = 0;  ///< Of these, kept answers of earlier runs.
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t unsent = 0;      ///< Attempts that ended with no byte sent.
  uint64_t mismatches = 0;  ///< Answers of other requests, discarded.
  uint64_t announcements = 0;
  std::array<uint64_t, static_cast<size_t>(ProblemKind::kCount)> problems{};
  int open = 0;  ///< Requests not yet through, runs without caller included.
  uint64_t settings_version = 0;
  bool is_view_fresh = false;
  std::map<std::string, ServiceStats> services;
};

/// The entry host's request path: from a caller's request, over admission,
/// claim, slot and endpoint, to its whole answer; and endpoints' announcements.
///
/// @remarks Thread-safe. The caller starts the link with this object as its
///   listener. Order of the end: Drain(), the HTTP server, CloseLink(), the
///   link, this object, the IoThreads.
class EntryHost : public net::HttpHandler, public control::ViewListener {
 public:
  EntryHost(const EntryInit& init,
            net::IoThreads& threads,
            control::ControlLink& link);
  ~EntryHost() override;

  int64_t MaxBodyBytes(const net::HttpRequest& head) override;
  void OnRequest(std::shared_ptr<net::HttpExchange> exchange) override;

  void OnView(const control::View& view) override;
  std::vector<routing::SlotDemand> SlotDemands() override;
  std::vector<state::BurnSample> TakeBurnSamples() override;

  /// Stops gracefully: unhealthy at once, accepts for `balancer_delay` more,
  /// and calls back once nothing is open or `drain_grace` has passed as well,
  /// and the leader has answered the return of the slots, 3 s later at most.
  void Drain(std::function<void()> done);

  /// Makes no more calls into the link, so that it may go away. Requests that
  /// are still open lose their connections unanswered.
  ///
  /// @pre Not called from one of the link's callbacks.
  void CloseLink();

  /// Whether the balancer should send here: not draining, and a fresh view.
  bool IsHealthy() const;

  EntryStats Stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall::entry
