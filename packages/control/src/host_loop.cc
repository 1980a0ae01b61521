#include "host_loop_p.h"

#include <algorithm>
#include <utility>

#include "command_stamp_p.h"
#include "laurelhall/base/log.h"
#include "laurelhall/base/work_meter.h"

namespace laurelhall::control {

namespace {

constexpr Millis kTick{20};
// Half of the shortest time in which a leader is missed.
constexpr Millis kLongLag{250};
constexpr Millis kHelloPeriod{250};
constexpr Millis kHeartbeat{200};
// While a leader commits all the time, the next append says what is committed
// and saves a message to each host and its answer. Well under a heartbeat.
constexpr Millis kCommitDelay{60};
// How long syncs wait for one another. Less than a heartbeat, so that their
// round comes in place of it.
constexpr Millis kSyncRound{160};
constexpr Millis kPublishPeriod{50};
// How long commands wait for others while a sync is under way.
constexpr Millis kSubmitAge{2};
constexpr uint64_t kMaxBacklogBytes = 64 << 20;
constexpr size_t kMaxWorkerTasks = 4'096;
constexpr size_t kMaxDiskTasks = 16;

EnvelopeInfo MakeEnvelope(const ControlHostInit& init,
                          const std::string& address) {
  return {{init.cluster, init.cluster_key}, address};
}

HostHello BootstrapSelf(const ControlHostInit& init, consensus::NodeId self) {
  HostHello hello;
  hello.node = self;
  hello.name = init.name;
  hello.may_bootstrap = init.may_bootstrap;
  return hello;
}

std::optional<consensus::Membership> FirstMembership(
    const std::vector<consensus::Entry>& entries) {
  const bool is_first =
      !entries.empty() && entries.front().index == 1 &&
      entries.front().kind == consensus::EntryKind::kMembership;
  return is_first ? std::optional(
                        consensus::DecodeMembership(entries.front().payload))
                  : std::nullopt;
}

}  // namespace

HostParts::HostParts(const ControlHostInit& host_init,
                     std::vector<std::unique_ptr<LeaderDuty>> host_duties,
                     std::unique_ptr<OperatorService> host_operators)
    : init(host_init),
      store([&host_init] {
        storage::LogStoreInit store_init;
        store_init.folder = host_init.data_folder;
        store_init.file_system = host_init.file_system;
        return store_init;
      }()),
      duties(std::move(host_duties)),
      operators(std::move(host_operators)),
      disk("disk", kMaxDiskTasks),
      apply("apply", kMaxDiskTasks),
      worker("worker", kMaxWorkerTasks) {}

HostLoop::HostLoop(LoopContext loop,
                   HostParts& parts,
                   storage::Recovered recovered,
                   std::string address)
    : m_loop(std::move(loop)),
      m_parts(parts),
      m_address(std::move(address)),
      m_self(recovered.identity),
      m_peers(m_loop,
              MakeEnvelope(parts.init, m_address),
              parts.init.filter,
              m_tasks,
              [this](const PeerLinks::Messages& messages) { Step(messages); }),
      m_submits([this](std::string payload) {
        return m_node->Propose(std::move(payload), Now());
      }),
      m_reads([this](uint64_t context) {
        return m_node && m_node->RequestRead(context, Now());
      }),
      m_bootstrap(BootstrapSelf(parts.init, m_self), parts.init.first_members),
      m_retry(m_self.value),
      m_tasks(*this) {
  consensus::Index applied = 0;
  if (recovered.snapshot) {
    m_parts.machine.Load(recovered.snapshot->data);
    applied = recovered.snapshot->meta.index;
  }
  m_writer = std::make_unique<DiskWriter>(
      m_loop, parts.disk, parts.store, recovered.last(), recovered.hard_state,
      DiskWriter::Events{[this](DiskBatch batch, bool is_all) {
                           OnSynced(std::move(batch), is_all);
                         },
                         [this](const std::string& why) { StoreFailed(why); }});
  m_applier = std::make_unique<Applier>(
      m_loop, parts.apply, parts.machine, applied, parts.init.snapshot_every,
      Applier::Events{[this](const std::vector<AppliedEntry>& entries) {
                        OnApplied(entries);
                      },
                      [this](consensus::Index index, std::string data) {
                        OnSaved(index, std::move(data));
                      },
                      [this](const std::string& why) { Fail(why); }});
  MakeNode(std::move(recovered));
  m_tasks.add(RunEvery(m_loop.timer, kTick, [this] { Tick(); }));
}

HostLoop::~HostLoop() = default;

void HostLoop::taskFailed(kj::Exception&& exception) {
  PartLog("control")->error("A task failed: {}.",
                            exception.getDescription().cStr());
}

consensus::NodeInit HostLoop::NodeDefaults() const {
  consensus::NodeInit init;
  init.self = m_self;
  init.seed = m_parts.init.seed;
  init.heartbeat = kHeartbeat;
  init.commit_delay = kCommitDelay;
  init.longest_tick_gap = kLongLag;
  return init;
}

void HostLoop::MakeNode(consensus::NodeInit init) {
  m_node = std::make_unique<consensus::Node>(std::move(init), Now());
  m_status = m_node->status();
  m_peers.SetMembership(m_status.membership);
}

void HostLoop::MakeNode(storage::Recovered recovered) {
  consensus::NodeInit init = NodeDefaults();
  m_recovered_hard_state = recovered.hard_state;
  m_first_membership = FirstMembership(recovered.entries);
  init.hard_state = recovered.hard_state;
  init.log = std::move(recovered.entries);
  if (recovered.snapshot) {
    init.snapshot = recovered.snapshot->meta;
  }
  MakeNode(std::move(init));
  if (recovered.snapshot) {
    m_node->Compact(std::move(*recovered.snapshot));
  }
  Advance();
}

// A late tick tells a loop that does not get to run from a disk or a peer that
// is slow.
void HostLoop::CountTickLag(SteadyTime now) {
  const auto lag = std::max(
      Millis(0), std::chrono::floor<Millis>(now - m_ticked_at) - kTick);
  m_ticked_at = now;
  m_last_lag = lag;
  m_counters.tick_lags.Add(lag);
  if (lag >= kLongLag) {
    PartLog("control")->warn("The loop's tick came {} ms late.", lag.count());
  }
}

void HostLoop::Tick() {
  const SteadyTime now = Now();
  CountTickLag(now);
  FollowFitness(now);
  if (m_node) {
    m_node->Tick(now);
    Advance();
  }
  if ((IsWaiting() || IsForgotten(now)) && now >= m_next_hello) {
    m_next_hello = now + kHelloPeriod;
    SayHello();
  }
  m_peers.ReleaseHeld();
  if (!m_submits.is_empty()) {
    FlushSubmits();
  }
  FlushSyncReads();
  TickLeader();
  if (now >= m_next_publish) {
    m_next_publish = now + kPublishPeriod;
    Publish();
  }
}

void HostLoop::Step(const std::vector<consensus::Message>& messages) {
  const DutyTimer timer(Duty::kPeerMessage);
  const bool is_backed_up = m_applier->backlog_bytes() > kMaxBacklogBytes;
  for (const consensus::Message& message : messages) {
    const bool is_append = message.kind == consensus::MessageKind::kAppend;
    if (!m_node || (is_backed_up && is_append)) {
      continue;
    }
    try {
      m_node->Receive(message, Now());
    } catch (const consensus::ProtocolError& error) {
      Fail(error.what());
    } catch (const std::invalid_argument& error) {
      PartLog("control")->warn("A peer's message is refused: {}.",
                               error.what());
    }
  }
  Advance();
}

void HostLoop::Advance() {
  if (!m_node) {
    return;
  }
  consensus::Ready ready = m_node->TakeReady();
  consensus::Status status = m_node->status();
  if (!(status.membership == m_status.membership)) {
    m_peers.SetMembership(status.membership);
  }
  m_status = std::move(status);
  FollowRole();
  if (ready.is_empty()) {
    return;
  }
  if (ready.snapshot) {
    m_applier->AddSnapshot(*ready.snapshot);
  }
  m_peers.Send(std::move(ready.messages_now));
  m_writer->Add(ready);
  if (!ready.committed.empty()) {
    m_submits.Committed(ready.committed.back().index);
  }
  m_applier->Add(std::move(ready.committed));
  m_reads.Confirmed(ready.reads);
  m_reads.Applied(m_applier->applied());
}

void HostLoop::OnSynced(DiskBatch batch, bool is_all) {
  for (DiskBatch::Part& part : batch.parts) {
    if (part.snapshot && !part.is_compaction) {
      m_applier->Installed();
    } else if (part.snapshot && m_node) {
      m_node->Compact(std::move(*part.snapshot));
      ++m_counters.snapshots;
    }
  }
  if (IsOut()) {
    return;
  }
  m_peers.Send(std::move(batch.messages));
  if (m_is_adopting && batch.last.index == 1) {
    FinishAdopting();
    return;
  }
  if (!m_node || batch.parts.empty()) {
    return;
  }
  m_submits.Persisted(batch.last.index);
  if (is_all) {
    m_node->Persisted(batch.last.index, batch.last.term);
  } else {
    // Later writes are on their way; the entries up to here count already.
    m_node->EntriesPersisted(batch.last.index, batch.last.term);
  }
  FlushSubmits();
}

void HostLoop::OnApplied(const std::vector<AppliedEntry>& entries) {
  m_counters.commits += entries.size();
  m_submits.Applied(entries);
  m_reads.Applied(m_applier->applied());
  FlushSubmits();
}

void HostLoop::OnSaved(consensus::Index index, std::string data) {
  if (!m_node) {
    return;
  }
  try {
    m_writer->SaveSnapshot({m_node->MetaAt(index), std::move(data)});
  } catch (const std::invalid_argument&) {
    PartLog("control")->info(
        "The snapshot at {} is not saved: the log does not hold that entry.",
        index);
  }
}

void HostLoop::Fail(const std::string& why) {
  if (m_is_failed) {
    return;
  }
  m_is_failed = true;
  PartLog("control")->critical("This host votes no more: {}.", why);
  LeaveQuorum(why);
}

void HostLoop::Submit(std::vector<state::Command> commands,
                      size_t bytes,
                      SubmitDone done) {
  if (!IsLeading()) {
    done({SubmitStatus::kNotLeader, {}});
    return;
  }
  if (m_applier->backlog_bytes() > kMaxBacklogBytes) {
    done({SubmitStatus::kBusy, {}});
    return;
  }
  StampCommands(commands, m_parts.machine.config().get(), WallNow());
  m_submits.Add(std::move(commands), bytes, std::move(done));
  ScheduleSubmits();
}

// One turn's commands go together; while the disk is busy, they wait a little
// longer, for the entry would wait there anyway.
void HostLoop::ScheduleSubmits() {
  if (m_is_submit_scheduled) {
    return;
  }
  m_is_submit_scheduled = true;
  kj::Promise<void> due = m_writer->is_busy()
                              ? m_loop.timer.afterDelay(ToKj(kSubmitAge))
                              : kj::evalLast([] {});
  m_tasks.add(due.then([this] {
    m_is_submit_scheduled = false;
    FlushSubmits();
  }));
}

void HostLoop::FlushSubmits() {
  if (IsLeading()) {
    m_submits.Flush();
  }
  Advance();
}

void HostLoop::Read(ReadRounds::Done done) {
  m_reads.Add(std::move(done));
  ScheduleReads();
}

void HostLoop::ReadWithHeartbeat(ReadRounds::Done done) {
  m_sync_reads.push_back(std::move(done));
}

void HostLoop::FlushSyncReads() {
  if (m_sync_reads.empty() || (IsLeading() && Now() < m_next_sync_round)) {
    return;
  }
  m_next_sync_round = Now() + kSyncRound;
  for (ReadRounds::Done& done : std::exchange(m_sync_reads, {})) {
    Read(std::move(done));
  }
}

void HostLoop::ScheduleReads() {
  if (m_is_read_scheduled) {
    return;
  }
  m_is_read_scheduled = true;
  m_tasks.add(kj::evalLast([this] {
    m_is_read_scheduled = false;
    m_reads.Flush();
    Advance();
  }));
}

std::string HostLoop::LeaderAddress() const {
  const auto found = m_status.membership.members.find(m_status.leader);
  return found == m_status.membership.members.end() ? std::string()
                                                    : found->second.address;
}

bool HostLoop::IsPeerAddress(const std::string& sender) const {
  for (const auto& [id, member] : m_status.membership.members) {
    if (member.address == sender) {
      return true;
    }
  }
  return false;
}

void HostLoop::Publish() {
  ControlStatus status;
  status.consensus = m_status;
  status.applied = m_applier->applied();
  status.disk_bytes = m_writer->disk_bytes();
  status.is_store_failed = IsOut();
  status.is_store_unfit = m_is_unfit;
  const auto leader = m_status.membership.members.find(m_status.leader);
  if (leader != m_status.membership.members.end()) {
    status.leader_name = leader->second.name;
    status.leader_address = leader->second.address;
  }
  status.is_waiting = IsWaiting();
  status.waits_for = status.is_waiting ? m_join.waits_for : std::string();
  if (IsLeading()) {
    status.entries = m_leader_sync->Entries(Now());
    status.repair = m_repair_notes;
    status.zones_at_risk = ZonesAtRisk(
        m_status.membership, SilentMembers(m_status, m_leads_since, Now()));
  }
  m_counters.commands = m_submits.commands();
  m_counters.store_failures = m_retry.failures();
  m_counters.disk_syncs = m_writer->syncs();
  m_counters.sync_times = m_writer->sync_times();
  m_counters.commit_times = m_submits.commit_times();
  m_counters.messages_sent = m_peers.sent();
  m_counters.messages_dropped = m_peers.dropped();
  m_counters.bytes_sent = m_peers.bytes();
  status.counters = m_counters;
  m_parts.board.Set(std::move(status));
}

}  // namespace laurelhall::control
