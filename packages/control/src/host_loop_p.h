#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "applier_p.h"
#include "bootstrap_p.h"
#include "disk_writer_p.h"
#include "laurelhall/control/control_host.h"
#include "laurelhall/storage/log_store.h"
#include "laurelhall/storage/store_retry.h"
#include "leader_sync_p.h"
#include "peer_links_p.h"
#include "read_rounds_p.h"
#include "repair_p.h"
#include "submit_queue_p.h"

namespace laurelhall::control {

/// The latest status, for other threads.
class StatusBoard {
 public:
  void Set(ControlStatus status) {
    const std::lock_guard lock(m_mutex);
    m_status = std::move(status);
  }
  ControlStatus Get() const {
    const std::lock_guard lock(m_mutex);
    return m_status;
  }

 private:
  mutable std::mutex m_mutex;  // Guards m_status.
  ControlStatus m_status;
};

/// What the threads of a control host share; outlives all of them.
struct HostParts {
  HostParts(const ControlHostInit& host_init,
            std::vector<std::unique_ptr<LeaderDuty>> host_duties,
            std::unique_ptr<OperatorService> host_operators);

  ControlHostInit init;
  storage::LogStore store;  // Disk thread, once that runs.
  state::Machine machine;
  StatusBoard board;
  std::vector<std::unique_ptr<LeaderDuty>> duties;  // Worker thread only.
  std::unique_ptr<OperatorService> operators;       // Worker thread only.
  TaskThread disk;
  TaskThread apply;
  TaskThread worker;
};

/// The control host's part on the KJ loop: owns the node and joins it to disk,
/// state machine, peers and callers.
///
/// @remarks On the loop's thread only.
class HostLoop final : private kj::TaskSet::ErrorHandler {
 public:
  HostLoop(LoopContext loop,
           HostParts& parts,
           storage::Recovered recovered,
           std::string address);
  ~HostLoop();

  /// Takes in messages of peers.
  void Step(const std::vector<consensus::Message>& messages);

  /// Commits commands, grouped with others.
  void Submit(std::vector<state::Command> commands,
              size_t bytes,
              SubmitDone done);

  /// Calls back once a read is confirmed and applied, or refused.
  void Read(ReadRounds::Done done);

  // Confirms as Read() does, in a round shared with others that may wait as
  // long as a heartbeat.
  void ReadWithHeartbeat(ReadRounds::Done done);
  void FlushSyncReads();

  /// Answers an entry host after a confirmed read; none when not the leader.
  void Sync(SyncQuestion question,
            std::function<void(std::optional<SyncAnswer>)> done);

  /// Takes in what another host says of itself and answers the same.
  HostHello Hello(const HostHello& hello);

  /// Answers an operator here, as the confirmed leader.
  void Operate(std::string method,
               std::string path,
               std::string body,
               std::function<void(std::optional<OperatorReply>)> done);

  /// Asks the scheduling of the host that leads; none when this one does, or
  /// when no answer came in time.
  void AskLeader(const std::string& request,
                 SteadyTime deadline,
                 const std::function<void(std::optional<std::string>)>& done);

  /// Changes the membership after the checks.
  void Change(const consensus::MembershipChange& change,
              const ControlActions::Done& done);
  void Transfer(consensus::NodeId node, const ControlActions::Done& done);
  void Repair(const std::string& name, const ControlActions::Done& done);
  void StepDown();

  std::string LeaderAddress() const;
  bool IsLeadingIn(uint64_t term) const {
    return IsLeading() && m_led_term == term;
  }
  bool IsPeerAddress(const std::string& sender) const;
  PeerLinks& peers() { return m_peers; }
  const std::shared_ptr<Mailbox>& mailbox() const { return m_loop.mailbox; }
  const ControlHostInit& init() const { return m_parts.init; }

 private:
  void taskFailed(kj::Exception&& exception) override;

  // host_loop.cc: the node.
  void MakeNode(consensus::NodeInit init);
  void MakeNode(storage::Recovered recovered);
  consensus::NodeInit NodeDefaults() const;
  void CountTickLag(SteadyTime now);
  void Tick();
  void Advance();
  void OnSynced(DiskBatch batch, bool is_all);
  void OnApplied(const std::vector<AppliedEntry>& entries);
  void OnSaved(consensus::Index index, std::string data);
  void Fail(const std::string& why);

  // host_store.cc: a disk that fails and comes back.
  void StoreFailed(const std::string& why);
  void ReopenLater(Millis wait);
  void Reopen();
  void Reopened(storage::Recovered recovered);
  void LeaveQuorum(const std::string& why);
  void FollowFitness(SteadyTime now);
  bool IsOut() const { return m_is_failed || m_retry.is_failed(); }
  void ScheduleSubmits();
  void ScheduleReads();
  void FlushSubmits();
  SteadyTime Now() const { return std::chrono::steady_clock::now(); }

  // host_leader.cc: what only a leader does.
  void FollowRole();
  void OnLeadershipGained();
  void OnLeadershipLost();
  bool IsLeading() const { return m_leader_sync != nullptr; }
  void TickLeader();
  void CommitDue();
  void Propose(std::vector<state::Command> commands);
  void StepDuties();
  void RunDuties(uint64_t term);
  void DutiesRan(uint64_t term, std::vector<state::Command> commands);
  std::string ChangeMembership(const consensus::MembershipChange& change);
  void StepRepair();
  OperatorService::Commit MakeCommit();

  // The scheduling beside the log.
  void TellSchedule();
  void AskSchedule(std::string request,
                   std::function<void(std::optional<OperatorReply>)> done);
  std::string MemberAddresses() const;

  void FindClaim(const std::string& body,
                 const std::function<void(std::optional<OperatorReply>)>& done);

  // host_join.cc: not yet a member.
  bool IsForgotten(SteadyTime now) const;
  HostHello SelfHello() const;
  bool IsWaiting() const;
  void SayHello();
  void SayHelloTo(const std::string& address, bool follows_leader);
  void TryToJoin();
  void AdoptFirst(const consensus::Membership& first);
  consensus::HardState EmptyHardState() const;
  void FinishAdopting();
  void JoinLater(const consensus::Membership& membership);

  void Publish();

  LoopContext m_loop;
  HostParts& m_parts;
  std::string m_address;
  consensus::NodeId m_self;
  consensus::HardState m_recovered_hard_state;
  std::optional<consensus::Membership> m_first_membership;
  PeerLinks m_peers;
  std::unique_ptr<DiskWriter> m_writer;
  std::unique_ptr<Applier> m_applier;
  std::unique_ptr<consensus::Node> m_node;
  SubmitQueue m_submits;
  ReadRounds m_reads;
  std::vector<ReadRounds::Done> m_sync_reads;
  SteadyTime m_next_sync_round{};
  Bootstrap m_bootstrap;
  JoinDecision m_join;
  bool m_is_adopting = false;
  std::map<std::string, WaitingHost> m_waiting;  // By name.

  consensus::Status m_status;  // As of the last Advance().
  bool m_is_failed = false;    // For good.
  storage::StoreRetry m_retry;
  bool m_is_unfit = false;  // As of the last Tick().
  bool m_is_submit_scheduled = false;
  bool m_is_read_scheduled = false;
  SteadyTime m_next_hello{};
  SteadyTime m_next_publish{};
  SteadyTime m_ticked_at = Now();
  Millis m_last_lag{0};             // Of the last tick.
  SteadyTime m_started_at = Now();  // Of the node.

  // For AskLeader(), by address: what the leader holds back must not end the
  // connections of the log.
  std::map<std::string, std::unique_ptr<RpcChannel>> m_ask_channels;

  // Leader only.
  std::unique_ptr<LeaderSync> m_leader_sync;
  uint64_t m_led_term = 0;
  SteadyTime m_leads_since{};
  SteadyTime m_next_leader_tick{};
  SteadyTime m_next_repair{};
  bool m_is_duty_running = false;
  bool m_is_schedule_asked = false;  // Whether its term may begin.
  bool m_is_schedule_told = false;
  std::set<std::string> m_approved;
  std::vector<std::string> m_repair_notes;
  ControlCounters m_counters;

  // Last, so that it ends before what its tasks use.
  kj::TaskSet m_tasks;
};

}  // namespace laurelhall::control
