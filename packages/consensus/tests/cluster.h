#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "laurelhall/consensus/node.h"

namespace laurelhall::consensus {

/// A guarantee of the protocol was seen broken.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct ClusterInit {
  size_t hosts = 3;
  uint64_t seed = 1;
  uint64_t max_append_bytes = 1 << 20;
  uint64_t max_uncommitted_bytes = 1 << 20;
  double loss = 0;
  int max_delay_ms = 5;
  std::vector<int> max_sync_ms{3};  ///< Each host has one of these.
  bool is_repaired = true;          ///< The leader repairs lost identities.
  size_t max_flights = 1;           ///< Readys that wait for their sync.
  Index snapshot_every = 1000;      ///< Entries between snapshots of a host.
  Millis commit_delay{0};           ///< Of each node; see NodeInit.
  Mutations mutations;
};

/// Nodes on a virtual clock, over a network and disks that fail on request.
/// Checks the guarantees at each step; throws Violation.
class Cluster {
 public:
  explicit Cluster(const ClusterInit& init);

  void Run(Millis duration);
  bool RunUntil(Millis limit, const auto& is_done) {
    for (Millis spent{0}; spent < limit; spent += kStep) {
      if (is_done()) {
        return true;
      }
      Step();
    }
    return is_done();
  }

  // Faults.
  void Cut(size_t from, size_t to) { m_cuts.insert({from, to}); }
  void Isolate(size_t host, bool is_in, bool is_out);
  void HealNetwork() { m_cuts.clear(); }
  /// Drops appends with entries of the sender's term that would be accepted.
  void HoldBackNewEntries(bool is_on) { m_are_new_entries_held = is_on; }
  void SetLoss(double loss) { m_init.loss = loss; }
  void Freeze(size_t host, Millis time);
  void Thaw(size_t host) { m_hosts[host].frozen_until = m_now; }
  void Crash(size_t host);  ///< Unsynced writes are lost, but for a prefix.
  void Start(size_t host);
  void StartAll();
  void LoseDisk(size_t host);  ///< Comes back with a new identity.
  /// Stays down; `is_renamed` unset: comes back as who it was, knowing nothing.
  void WipeDisk(size_t host, bool is_renamed = true);

  // Work.
  std::optional<EntryPosition> Propose(size_t host);
  bool Read(size_t host);
  void RepairStep();
  bool Change(size_t leader, MembershipChangeKind kind, NodeId node);
  void TryCompact(size_t host);

  // Views.
  size_t size() const { return m_hosts.size(); }
  bool is_up(size_t host) const { return m_hosts[host].node != nullptr; }
  Node& node(size_t host) { return *m_hosts[host].node; }
  Status status(size_t host) const { return m_hosts[host].node->status(); }
  NodeId id(size_t host) const { return m_hosts[host].id; }
  SteadyTime now() const { return m_now; }
  std::mt19937_64& random() { return m_random; }
  size_t reads_served() const { return m_reads_served; }
  Index acknowledged() const { return m_acknowledged; }
  Index committed() const { return m_committed.size(); }
  /// Synced there, in the log or in a snapshot.
  bool IsOnDisk(size_t host, Index index) const;
  /// The confirmed leader of the highest term, if any.
  std::optional<size_t> leader() const;
  std::optional<size_t> AnyLeader() const;  ///< Confirmed or not.
  /// All hosts are up, voters, and have applied the same entries.
  bool IsConverged() const;
  bool IsFullStrength() const;

  int Pick(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }

  static constexpr Millis kStep{5};
  static constexpr Millis kElectionMin{300};
  static constexpr Millis kElectionMax{600};

 private:
  struct Disk {
    HardState hard_state;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> log;
  };
  using DiskOp = std::function<void(Disk&)>;
  struct Flight {
    Ready ready;
    std::vector<DiskOp> ops;
    SteadyTime synced_at;
  };
  struct Host {
    NodeId id;
    Membership bootstrap;
    std::unique_ptr<Node> node;
    Disk disk;
    std::deque<Flight> flights;
    SteadyTime free_at{};
    int max_sync_ms = 0;
    SteadyTime frozen_until{};
    Index applied = 0;
    uint64_t hash = 0;
    std::map<Index, Term> proposals;
    std::map<uint64_t, Index> reads;  // What a read must at least see.
  };

  void Step();
  void Pump(Host& host);
  void FinishDue(Host& host);
  void Finish(Host& host);
  void Send(const std::vector<Message>& messages);
  void DeliverDue();
  void Apply(Host& host, const Entry& entry);
  void CheckLeader(const Host& host);
  std::vector<DiskOp> OpsOf(const Ready& ready);
  static void SaveSnapshot(Disk& disk, const Snapshot& snapshot);
  Host* Find(NodeId id);
  bool IsFrozen(const Host& host) const { return m_now < host.frozen_until; }
  bool IsCut(NodeId from, NodeId to);
  bool IsHeldBack(const Message& message);

  ClusterInit m_init;
  std::mt19937_64 m_random;
  SteadyTime m_now{Seconds{1000}};
  std::vector<Host> m_hosts;
  std::multimap<SteadyTime, Message> m_packets;
  std::set<std::pair<size_t, size_t>> m_cuts;
  bool m_are_new_entries_held = false;
  uint64_t m_next_id = 0;
  uint64_t m_next_payload = 0;
  size_t m_reads_served = 0;

  // What was seen, against which each host is checked.
  std::map<Term, NodeId> m_leaders;
  std::vector<Entry> m_committed;  // By index - 1.
  std::vector<uint64_t> m_hashes;  // Of the state after each.
  Index m_acknowledged = 0;
};

}  // namespace laurelhall::consensus
