#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "laurelhall/dispatch/relayed.h"
#include "laurelhall/scheduling/record.h"
#include "laurelhall/scheduling/worker_clock.h"

// Requests of callers, workers and operators to the scheduler, and its replies.
// Daemons forward requests to the leader in the same encoding.
namespace laurelhall::dispatch {

/// Submits a job. Idempotent: a known id stands for the job that has it.
struct SubmitJob {
  std::string host;
  std::string path;  ///< The queue's path prefix, followed by the id.
  std::string id;
  scheduling::JobSpec spec;
  std::string key;  ///< Fingerprint of the caller's API key; empty for none.
  /// Whether the entry host sends one and the same request of its caller again,
  /// since an earlier try may have been carried out.
  bool is_repeat = false;
};

struct GetJob {
  std::string host;
  std::string path;
  std::string id;
  std::string key;  ///< As in SubmitJob.
};

struct CancelJob {
  std::string host;
  std::string path;
  std::string id;
  std::string key;  ///< As in SubmitJob.
};

/// Asks how many jobs of a queue wait for their first start.
struct CountWaiting {
  std::string host;
  std::string path;
  std::string key;  ///< As in SubmitJob.
};

struct PutConfiguration {
  scheduling::Configuration configuration;
};

struct GetConfiguration {};

/// A worker's announcement that it is alive, or that it is draining.
struct AnnounceWorker {
  scheduling::WorkerInfo info;
  /// Rises with each announcement of one incarnation; 0 if unknown.
  uint64_t sequence = 0;
  WallTime born{};  ///< When its incarnation started; zero if unknown.
  /// When it was sent, by the worker's own clock; zero if unknown.
  scheduling::WorkerTime clock{0};

  bool operator==(const AnnounceWorker&) const = default;
};

/// A worker's notice that it shuts down now.
struct WorkerLeaves {
  std::string id;
};

/// Starts the maintenance of a set of hosts.
struct OpenWave {
  uint64_t wave = 0;  ///< Its number.
  std::vector<std::string> hosts;
  Millis duration{0};         ///< Within which all hosts are to be done.
  uint32_t most_at_once = 1;  ///< The most hosts down at a time.
};

struct GetWave {
  uint64_t wave = 0;
};

/// A relay reports the results of its orders and asks for more; see relayed.h.
struct RelayOrders {
  std::string relay;  ///< The relay's name.
  std::string availability_zone;
  bool is_leaving = false;  ///< Accepts no more orders.
  std::vector<RelayedResult> results;
};

/// An announcement as a control host forwards it.
struct ForwardedAnnouncement {
  AnnounceWorker announcement;
};

/// A control host forwards the announcements that came to it to the leader. The
/// answer's epoch tells it which ones it must send again.
struct ForwardAnnouncements {
  std::vector<ForwardedAnnouncement> announcements;
};

/// The leader's answer to ForwardAnnouncements.
struct ForwardAnnouncementsReply {
  /// Identifies the period in which the leader has kept what it was told. When
  /// it changes, all recent announcements must be sent again.
  uint64_t epoch = 0;
};

/// Append new kinds at the end: the encoding holds the index of the kind.
using Request = std::variant<SubmitJob,
                             GetJob,
                             CancelJob,
                             CountWaiting,
                             PutConfiguration,
                             GetConfiguration,
                             AnnounceWorker,
                             WorkerLeaves,
                             OpenWave,
                             GetWave,
                             RelayOrders,
                             ForwardAnnouncements>;

/// The result of a request.
enum class Outcome : uint8_t {
  kOk,
  kNoQueue,      ///< No queue serves this host and path.
  kNoJob,        ///< The job is unknown or was forgotten.
  kNotFound,     ///< No such wave, or no such service for a worker.
  kUnavailable,  ///< Certainly not carried out; may be retried later.
  kUnknown,      ///< May have been carried out; a retry is safe.
  kNoAccess,     ///< The configuration in force has no such key for the queue.
  kConflict,     ///< Another organisation has a job of this id.
  kOverloaded,   ///< Not accepted, as the job could not be done in time.
  kCount,
};

/// The reply to a request; a request sets only the fields that it uses.
struct Reply {
  Outcome outcome = Outcome::kUnavailable;
  scheduling::JobState job_state = scheduling::JobState::kCount;
  uint64_t waiting = 0;  ///< The number of jobs that CountWaiting asks for.
  /// For GetConfiguration, the document as it was sent; for RelayOrders, an
  /// encoded RelayedBatch; for ForwardAnnouncements, an encoded
  /// ForwardAnnouncementsReply.
  std::string document;
  bool is_wave_done = false;
  /// With kUnavailable and kOverloaded, how long to wait before a retry; zero
  /// if the caller may choose.
  Millis retry_after{0};
};

using ReplyDone = std::function<void(Reply)>;

template <typename Archive>
void Visit(Archive& archive, SubmitJob& value) {
  archive(value.host, value.path, value.id, value.spec);
  archive.TrailingFields(value.key);
  // Only where it is set, so that earlier versions can read all others.
  std::vector<uint64_t> marks(value.is_repeat ? 1 : 0);
  archive.TrailingList(marks);
  value.is_repeat = !marks.empty();
}

template <typename Archive>
void Visit(Archive& archive, GetJob& value) {
  archive(value.host, value.path, value.id);
  archive.TrailingFields(value.key);
}

template <typename Archive>
void Visit(Archive& archive, CancelJob& value) {
  archive(value.host, value.path, value.id);
  archive.TrailingFields(value.key);
}

template <typename Archive>
void Visit(Archive& archive, CountWaiting& value) {
  archive(value.host, value.path);
  archive.TrailingFields(value.key);
}

template <typename Archive>
void Visit(Archive& archive, PutConfiguration& value) {
  archive(value.configuration);
  archive.TrailingFields(value.configuration.identities);
}

template <typename Archive>
void Visit(Archive&, GetConfiguration&) {}

template <typename Archive>
void Visit(Archive& archive, AnnounceWorker& value) {
  archive(value.info);
  archive.TrailingFields(value.sequence, value.born);
  archive.TrailingFields(value.clock);
}

// An element of a list can't have optional trailing fields (Later()), so each
// field is always written.
template <typename Archive>
void Visit(Archive& archive, ForwardedAnnouncement& value) {
  AnnounceWorker& announcement = value.announcement;
  archive(announcement.info, announcement.sequence, announcement.born,
          announcement.clock);
}

template <typename Archive>
void Visit(Archive& archive, ForwardAnnouncements& value) {
  archive(value.announcements);
}

template <typename Archive>
void Visit(Archive& archive, ForwardAnnouncementsReply& value) {
  archive(value.epoch);
}

template <typename Archive>
void Visit(Archive& archive, WorkerLeaves& value) {
  archive(value.id);
}

template <typename Archive>
void Visit(Archive& archive, OpenWave& value) {
  archive(value.wave, value.hosts, value.duration, value.most_at_once);
}

template <typename Archive>
void Visit(Archive& archive, GetWave& value) {
  archive(value.wave);
}

template <typename Archive>
void Visit(Archive& archive, RelayOrders& value) {
  std::vector<uint64_t> omitting = NumbersOfOmittingLists(value.results);
  archive(value.relay, value.availability_zone, value.is_leaving,
          value.results);
  archive.TrailingList(omitting);
  MarkOmittingLists(omitting, value.results);
}

template <typename Archive>
void Visit(Archive& archive, Reply& value) {
  archive(value.outcome, value.job_state, value.waiting, value.document,
          value.is_wave_done, value.retry_after);
}

}  // namespace laurelhall::dispatch
