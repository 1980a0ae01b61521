#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "laurelhall/control/control_client.h"
#include "laurelhall/entry/entry_host.h"
#include "laurelhall/routing/admission.h"
#include "laurelhall/routing/grants.h"
#include "laurelhall/routing/selector.h"

namespace laurelhall::entry {

/// A slot of an endpoint, for one attempt.
struct Turn {
  std::string endpoint;
  std::string address;
  uint64_t incarnation = 0;
  routing::SlotTicket ticket;
  routing::RequestHandle handle;
  SteadyTime started_at{};
};

/// A request as its service's shard sees it. Called without a lock held.
class QueueMember {
 public:
  virtual ~QueueMember() = default;
  virtual void OnTurn(const Turn& turn) = 0;
  virtual void OnGivenUp(const routing::Refusal& refusal) = 0;
  virtual void OnDeadline() = 0;
};

/// How a request takes part in the queue.
struct Entrant {
  std::shared_ptr<QueueMember> member;
  routing::AdmissionRequest request;
  std::string avoid;      ///< An endpoint already tried, or empty.
  bool may_probe = true;  ///< Whether it can be retried elsewhere.
  bool is_ready = true;   ///< False: its claim is still under way.
};

/// What became of an attempt's slot.
struct AttemptEnd {
  routing::AttemptOutcome outcome = routing::AttemptOutcome::kCancelled;
  bool has_run = false;        ///< A byte may have been sent.
  bool may_still_run = false;  ///< The slot stays taken until `run_until`.
  SteadyTime run_until{};
};

/// How one request counts against its service's budget.
enum class BurnKind { kGood, kBadFailure, kBadOverload, kBadWave, kCount };

/// All that this entry host knows and decides of one service, under one lock.
///
/// @remarks Thread-safe.
class ServiceShard {
 public:
  ServiceShard(std::string service,
               const EntryInit& init,
               routing::GrantHolder& grants);

  /// Takes in the settings in force; null when the service is not set up.
  void SetConfig(const std::shared_ptr<const model::Config>& config);
  model::RequestPolicy policy() const;

  /// Takes in what a view says of this service's endpoints.
  void Update(const model::Endpoint& endpoint, SteadyTime confirmed_at);
  void ConfirmAll(SteadyTime confirmed_at);
  void ConfirmOne(const model::Endpoint& endpoint, SteadyTime at);

  /// An endpoint's leaving is committed: no more work from here at once, also
  /// before the view shows it.
  void SetLeft(const std::string& endpoint, uint64_t incarnation);
  std::optional<model::Endpoint> Find(const std::string& endpoint) const;
  bool MaySend(const Turn& turn, SteadyTime now) const;
  bool IsAway(const Turn& turn) const;

  /// Lets a request take part, or refuses it at once.
  std::optional<routing::Refusal> Offer(Entrant entrant,
                                        SteadyTime now,
                                        routing::RequestHandle* handle);

  /// Its claim is there. False: its turn came before, so offer it again.
  bool SetReady(routing::RequestHandle handle);
  void Leave(routing::RequestHandle handle);

  /// Tells the member when its deadline has come.
  void WatchDeadline(SteadyTime deadline, std::weak_ptr<QueueMember> member);

  /// Ends an attempt, and gives its slot back when the run has surely ended.
  void EndAttempt(const Turn& turn,
                  const AttemptEnd& end,
                  const routing::AdmissionRequest& request,
                  SteadyTime now);

  void FirstAttempt();
  bool TryRetry();

  /// Hands out slots and gives up on what is hopeless.
  void Pump(SteadyTime now);

  /// Pump(), deadlines, and slots whose run has surely ended.
  void Tick(SteadyTime now);

  void Count(BurnKind kind);
  std::vector<state::BurnSample> TakeBurnSamples();
  void AddDemands(std::map<std::string, int>* queued, SteadyTime now) const;

  /// Adds the longest run of the service for each of its endpoints.
  void AddLongestRuns(std::map<std::string, Millis>* longest_runs) const;

  /// Sets the slots lent, by endpoint; those of other services are skipped.
  void SetLent(const std::map<std::string, int>& slots);
  ServiceStats Stats(SteadyTime now) const;

 private:
  struct HeldSlot {
    Turn turn;
    SteadyTime until;
  };
  struct Calls;

  routing::Selector MakeSelector() const;
  void RenewQueue();
  void PumpLocked(SteadyTime now, Calls* calls);
  bool GiveTurn(routing::RequestHandle handle, SteadyTime now, Calls* calls);
  std::vector<routing::Selector::Candidate> Candidates(SteadyTime now) const;
  std::optional<std::string> PickFor(
      const Entrant& entrant,
      const std::vector<routing::Selector::Candidate>& candidates,
      SteadyTime now);
  bool HasLeft(const std::string& endpoint, uint64_t incarnation) const;
  void ReleaseEnded(SteadyTime now);

  const std::string m_service;
  const EntryInit m_init;
  routing::GrantHolder& m_grants;

  mutable std::mutex m_mutex;  // Guards all below.
  std::shared_ptr<const model::Config> m_config;
  model::RequestPolicy m_policy;
  bool m_is_policy_new = false;
  std::unique_ptr<routing::AdmissionQueue> m_queue;
  routing::Selector m_selector;
  routing::RetryBudget m_retries;
  std::unordered_map<uint32_t, Entrant> m_entrants;  // By handle.
  std::map<std::string, uint64_t> m_left;            // Incarnations.
  std::multimap<SteadyTime, std::weak_ptr<QueueMember>> m_deadlines;
  std::vector<HeldSlot> m_held;
  int m_capacity = 0;
  std::map<WallTime, state::BurnSample> m_burn;  // By minute, not yet taken.
  std::array<uint64_t, static_cast<size_t>(BurnKind::kCount)> m_counts{};
};

}  // namespace laurelhall::entry
