#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/handle.h"
#include "laurelhall/base/time.h"
#include "laurelhall/model/fleet.h"

namespace laurelhall::routing {

using RequestHandle = Handle<struct RequestTag>;

/// What admission knows of a request.
struct AdmissionRequest {
  std::string organisation;
  model::Priority priority = model::Priority::kStandard;
  SteadyTime deadline{};
  int64_t bytes = 0;
};

enum class RefusalReason {
  kQueueFull,
  kQueueBytesFull,
  kCannotMeetDeadline,
  kNoEndpoint,
  kDraining,
  kCount,
};

/// Why a request was given up on, and when to come back.
struct Refusal {
  RefusalReason reason = RefusalReason::kQueueFull;
  Millis retry_after{0};
};

struct AdmissionInit {
  int max_requests = 500;
  int64_t max_bytes = 64 << 20;
  Millis expected_run_time{200};    ///< Until runs have been seen.
  double retry_after_spread = 0.5;  ///< Of the computed time, to each side.
  uint64_t seed = 1;
};

/// The queue of one service at one entry host: priority, then fair between
/// organisations by weight, then by deadline; hopeless requests are given up.
///
/// Priority is strict but for a floor: a priority that waits and was passed
/// over kFloorPeriod times in a row is served next. Between organisations,
/// virtual time counts slot time used over weight. What one organisation
/// leaves idle the others borrow. It is given back from the first dispatch
/// after it returns: of the dispatches from then on, an organisation that
/// waits gets its share, less one, when runs are of equal length.
///
/// @remarks Not thread-safe: its shard's lock is held by the caller.
class AdmissionQueue {
 public:
  /// Dispatches that a waiting priority is passed over before it is served.
  static constexpr int kFloorPeriod = 15;

  /// Dispatches after which a request can no longer be put back.
  static constexpr int kPutBackWindow = 64;

  explicit AdmissionQueue(const AdmissionInit& init);
  ~AdmissionQueue();

  void SetWeight(const std::string& organisation, double weight);

  /// Sets the slots that this entry host may use, for estimates of waiting.
  void SetCapacity(int slots);

  /// Takes a request in, or refuses it at once. When the queue is full a less
  /// urgent waiting one may give way; it then comes out of TakeGivenUp().
  ///
  /// @returns The refusal, if refused; otherwise `handle` is set.
  std::optional<Refusal> Offer(const AdmissionRequest& request,
                               SteadyTime now,
                               RequestHandle* handle);

  /// Takes the next request to run; none when the queue is empty.
  std::optional<RequestHandle> Next(SteadyTime now);

  /// Puts back a request that Next() gave but no slot was to be had for. No
  /// effect later than kPutBackWindow dispatches after that.
  void PutBack(RequestHandle handle);

  /// Removes a waiting request whose caller has gone.
  void Cancel(RequestHandle handle);

  /// Says how long a run took, for estimates; also ends its share accounting.
  void Finished(const std::string& organisation,
                Millis run_time,
                SteadyTime now);

  /// The same with the run's priority: estimates are then kept by priority, so
  /// that long valuations don't make counter estimates look hopeless.
  void Finished(const std::string& organisation,
                model::Priority priority,
                Millis run_time,
                SteadyTime now);

  struct GivenUp {
    RequestHandle handle;
    Refusal refusal;
  };

  /// Requests given up on since the last call; answered at once.
  std::vector<GivenUp> TakeGivenUp(SteadyTime now);

  /// When TakeGivenUp() next has something to give, if nothing else changes.
  std::optional<SteadyTime> NextGiveUp(SteadyTime now) const;

  int size() const;
  int64_t bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::routing
