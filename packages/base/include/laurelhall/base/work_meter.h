#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laurelhall {

/// What a control host spends its time on.
enum class Duty : uint8_t {
  kTickSync,    ///< Follows workers, jobs and runs of the ledger.
  kTickStops,   ///< Searches for runs to stop.
  kTickLeases,  ///< Searches for lapsed leases and silent workers.
  kTickWaves,
  kTickMoves,
  kTickReport,
  kTickOrders,  ///< Searches for starts and stops to send again.
  kTickHolds,   ///< Searches for hold calls and renewals that are due.
  kPlan,
  kBatch,  ///< Hands a batch to the log and handles its outcome.
  kRelayRequest,
  kWorkerResult,
  kRequest,      ///< Requests of entry hosts, workers and operators.
  kLoopTask,     ///< Tasks that other threads post to the control loop.
  kPeerMessage,  ///< Consensus messages that other control hosts send.
  kPeerSend,     ///< Consensus messages to one other control host.
  kDiskWrite,
  kApply,
  kCount,
};

/// The duty's name in log lines.
const char* DutyName(Duty duty);

/// How often something was done since the process started, and for how long.
struct WorkDone {
  uint64_t count = 0;
  std::chrono::microseconds time{0};
};

/// The processor time of one thread.
struct ThreadWork {
  std::string name;
  std::chrono::microseconds processor_time{0};
};

/// Counts the work of this process by duty and by thread. Thread-safe.
class WorkMeter {
 public:
  static constexpr size_t kDutyCount = static_cast<size_t>(Duty::kCount);

  /// The process's meter.
  static WorkMeter& Get();

  /// Adds work that was done. DutyTimer measures it.
  void Add(Duty duty, std::chrono::nanoseconds time);

  std::array<WorkDone, kDutyCount> work() const;

  /// Includes the calling thread in threads() until it ends.
  ///
  /// @param name Names what the thread does; threads may share a name.
  void RegisterThread(std::string name);

  /// The registered threads. A thread whose time can't be read is left out.
  static std::vector<ThreadWork> threads();

 private:
  struct Counter {
    std::atomic<uint64_t> count{0};
    std::atomic<int64_t> nanoseconds{0};
  };

  std::array<Counter, kDutyCount> m_counters;
};

/// Measures a duty from its construction to its destruction, without the duties
/// that are measured within it.
///
/// @remarks Time counts while the thread waits for a processor, too: a thread's
///   own clock would cost a system call for each reading.
class DutyTimer {
 public:
  explicit DutyTimer(Duty duty);
  ~DutyTimer();
  DutyTimer(const DutyTimer&) = delete;
  DutyTimer& operator=(const DutyTimer&) = delete;

 private:
  const Duty m_duty;
  DutyTimer* const m_outer;
  const std::chrono::steady_clock::time_point m_begun_at;
  std::chrono::nanoseconds m_inner_time{0};
};

}  // namespace laurelhall
