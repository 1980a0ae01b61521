#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/scheduling/graph.h"
#include "laurelhall/scheduling/worker_clock.h"

// Interfaces through which the scheduler calls workers and the host platform.
// They are implemented outside of this package.
namespace laurelhall::dispatch {

/// Outcome of a call to a worker. With kFenced, kLate, kNoRoom, kNoTicket,
/// kRefused and kNotReached, nothing was done.
enum class CallOutcome {
  kDone,
  kFenced,            ///< The worker has taken orders from a newer leader.
  kOldRun,            ///< This run, or a later one, was stopped or ended there.
  kLate,              ///< The requested lease end has passed.
  kNoRoom,            ///< The worker has too little free capacity.
  kNoTicket,          ///< The worker is not permitted to run the task.
  kOtherIncarnation,  ///< Another incarnation answers there; the addressed one
                      ///< ended.
  kRefused,           ///< The order is malformed, or the worker is unhealthy.
  kNotReached,        ///< No connection: nothing was sent.
  kUnknown,  ///< Sent but not answered; may still be carried out later.
  kCount,
};

/// The outcome in lower case, for logs. Thread-safe.
const char* CallOutcomeName(CallOutcome outcome);

/// Low bits of a fence: a number that rises, within the term, with each
/// incarnation of the worker's id and each loss of contact. The leader's term
/// is in the bits above. With it, a later incarnation refuses an order that was
/// meant for an earlier one and arrives late.
constexpr int kFenceNumberBits = 16;
constexpr uint64_t kMaxFenceNumber = (uint64_t{1} << kFenceNumberBits) - 1;

/// Identifies a worker and tells how to connect to it.
struct WorkerAddress {
  std::string id;
  std::string address;
  std::string availability_zone;
};

struct StartOrder {
  WorkerAddress worker;
  scheduling::TaskId task;
  uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  scheduling::WorkerTime lease_end{0};
  uint64_t fence = 0;
  Millis timeout{450};  ///< For the answer; time spent queued does not count.
};

struct StopOrder {
  WorkerAddress worker;
  scheduling::TaskId task;
  uint32_t run = 0;
  uint64_t fence = 0;
  Millis timeout{450};  ///< For the answer; time spent queued does not count.
};

/// Sets the speed of a run, in percent of full speed.
struct PaceOrder {
  WorkerAddress worker;
  scheduling::TaskId task;
  uint32_t run = 0;
  uint32_t percent = 100;
  uint64_t fence = 0;
  Millis timeout{450};  ///< For the answer; time spent queued does not count.
};

/// A worker takes longer than this to restart, so an incarnation that answered
/// within this time still runs.
constexpr Millis kMinRestartTime{200};

/// A hold call or its answer that was on its way for longer may concern an
/// incarnation that has ended. Above the time that a busy relay adds.
constexpr Millis kMaxTransitTime{600};

/// Extends a worker's lease and polls it for its running and ended runs.
struct HoldOrder {
  WorkerAddress worker;
  std::optional<scheduling::WorkerTime> lease_end;  ///< None: only poll.
  uint64_t fence = 0;
  uint64_t ends_seen = 0;  ///< Ended runs up to this number are committed.
  Millis wait{0};          ///< How long the worker may wait for a run to end.
  Millis timeout{600};     ///< For the answer, including `wait`.
  /// Nothing that a caller waits for depends on it: it may be delayed a little
  /// to share a message with others. Not sent to the worker.
  bool may_be_delayed = false;
};

struct CallReply {
  CallOutcome outcome = CallOutcome::kUnknown;
  std::optional<scheduling::WorkerTime> clock;  ///< The worker's, if told.
  Millis took{0};  ///< Until the answer, without time spent queued.
};

/// A run that its worker lists as running.
struct RunningRun {
  scheduling::TaskId task;
  uint32_t run = 0;
  std::string checkpoint;
  uint32_t percent = 0;  ///< Progress of a persistent task; 100: in service.
  /// Tail latency in milliseconds of a serving task, else processors in use.
  int64_t figure = 0;
};

struct EndedRun {
  uint64_t number = 0;  ///< Ascending within the worker's incarnation.
  scheduling::TaskId task;
  uint32_t run = 0;
  scheduling::RunEnd end = scheduling::RunEnd::kCount;
  std::string checkpoint;
};

struct HoldReply {
  CallOutcome outcome = CallOutcome::kUnknown;
  std::optional<scheduling::WorkerTime> clock;
  WallTime born{};  ///< Start of the answering incarnation; zero: not reported.
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
  /// Further runs may have ended than `ended` lists.
  bool may_omit_ends = false;
};

/// Calls to workers.
///
/// @remarks Used on one thread; each callback is called on it once, after the
///   call has returned. Orders to one worker may overtake each other; hold
///   requests to it are made one at a time.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  virtual void Start(StartOrder order, std::function<void(CallReply)> done) = 0;
  virtual void Stop(StopOrder order, std::function<void(CallReply)> done) = 0;
  virtual void Pace(PaceOrder order, std::function<void(CallReply)> done) = 0;
  virtual void Hold(HoldOrder order, std::function<void(HoldReply)> done) = 0;

  /// Closes the connections to a worker that is gone.
  virtual void Forget(const WorkerAddress& worker) = 0;
};

/// Outcome of an act (a maintenance or a move) on a host.
enum class HostActOutcome {
  kDone,     ///< Done by this request or an earlier one.
  kBusy,     ///< The host is not up now.
  kRefused,  ///< Never possible: no such host, or the act does not apply.
  kFenced,
  kUnknown,  ///< May have been done.
  kLimited,  ///< Not done: too many acts.
  kNotSent,  ///< Not done: the sender was no longer sure to be the leader.
  kCount,
};

/// The outcome in lower case, for logs. Thread-safe.
const char* HostActOutcomeName(HostActOutcome outcome);

/// A maintenance or a move of one host.
struct HostAct {
  std::string host;
  uint64_t wave = 0;   ///< Only for a maintenance.
  std::string pool;    ///< Only for a move: the target pool.
  std::string holder;  ///< Name of the daemon that acts.
  uint64_t fence = 0;
  /// Called right before the act is sent, however long it was queued; where it
  /// returns false, the act is not sent.
  std::function<bool()> may_send;
};

/// A host as listed by the platform.
struct HostInfo {
  std::string host;
  std::string pool;
  bool is_up = false;  ///< Neither in transition nor lost.
  scheduling::Resources capacity;
};

struct HostPage {
  bool is_ok = false;
  std::vector<HostInfo> hosts;
  size_t unreadable = 0;  ///< Number of malformed entries, which were skipped.
  std::string next;       ///< Token of the next page; empty on the last page.
};

/// Acts on hosts. Threads and callbacks are as with WorkerPort.
class HostAdminPort {
 public:
  virtual ~HostAdminPort() = default;

  /// How many acts are carried out concurrently; further ones are queued.
  virtual size_t max_concurrent_acts() const = 0;

  virtual void Maintain(HostAct act,
                        std::function<void(HostActOutcome)> done) = 0;
  virtual void Move(HostAct act, std::function<void(HostActOutcome)> done) = 0;

  /// @param page Token from HostPage::next; empty for the first page.
  virtual void List(const std::string& page,
                    std::function<void(HostPage)> done) = 0;
};

}  // namespace laurelhall::dispatch
