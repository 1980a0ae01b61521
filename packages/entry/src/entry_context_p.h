#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "connection_pool_p.h"
#include "laurelhall/control/control_client.h"
#include "laurelhall/entry/entry_host.h"
#include "laurelhall/net/call_gate.h"
#include "laurelhall/net/io_threads.h"
#include "laurelhall/routing/grants.h"

namespace laurelhall::entry {

/// Counters behind EntryStats; each may be counted from any thread.
struct Counters {
  std::atomic<uint64_t> requests{0};
  std::atomic<uint64_t> answers{0};
  std::atomic<uint64_t> replays{0};
  std::atomic<uint64_t> attempts{0};
  std::atomic<uint64_t> retries{0};
  std::atomic<uint64_t> unsent{0};
  std::atomic<uint64_t> mismatches{0};
  std::atomic<uint64_t> announcements{0};
  std::array<std::atomic<uint64_t>, static_cast<size_t>(ProblemKind::kCount)>
      problems{};
  std::atomic<int> open{0};
};

/// What all requests of an entry host share. Thread-safe.
struct EntryContext {
  EntryContext(const EntryInit& entry_init,
               net::IoThreads& io_threads,
               control::ControlLink& control_link)
      : init(entry_init), threads(io_threads), link(control_link) {}

  SteadyTime Now() const { return threads.timers().Now(); }

  /// Whether a view was confirmed within the bound; asked after every wait.
  bool IsViewFresh(SteadyTime now) const {
    return now - confirmed_at.load() <= init.view_bound;
  }

  /// An id that no other request of the system has.
  std::string NextRequestId() {
    return init.identity.name + "-" +
           std::to_string(init.identity.incarnation) + "-" +
           std::to_string(++next_request);
  }

  /// A time around `base`, different for each caller, so that they don't all
  /// come back at once.
  Millis Spread(Millis base) {
    constexpr uint64_t k_golden = 0x9E3779B97F4A7C15;
    const uint64_t mixed = (++next_spread + init.seed) * k_golden;
    return base / 2 + base * static_cast<int64_t>(mixed >> 54) / 1024;
  }

  const EntryInit init;
  net::IoThreads& threads;
  control::ControlLink& link;  // Called through the gate only.
  net::CallGate link_gate;
  routing::GrantHolder grants;
  ConnectionPool pool;
  Counters counters;
  std::atomic<SteadyTime> confirmed_at{SteadyTime{}};
  std::atomic<uint64_t> next_request{0};
  std::atomic<uint64_t> next_spread{0};
};

}  // namespace laurelhall::entry
