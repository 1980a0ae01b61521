#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fault_file_system.h"
#include "laurelhall/base/log.h"
#include "laurelhall/storage/log_store.h"

namespace laurelhall::storage {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::HardState;
using consensus::Index;
using consensus::Snapshot;

constexpr int kDefaultSeeds = 300;
constexpr int kStepsPerSeed = 120;

int SeedCount() {
  const char* text = std::getenv("LAURELHALL_SEEDS");
  return text != nullptr ? std::atoi(text) : kDefaultSeeds;
}

/// What the store should hold, without files.
struct ModelState {
  HardState hard_state;
  Index snapshot_index = 0;
  consensus::Term snapshot_term = 0;
  std::string snapshot_data;
  std::vector<Entry> entries;

  friend bool operator==(const ModelState&, const ModelState&) = default;

  Index last() const { return snapshot_index + entries.size(); }
  consensus::Term TermAt(Index index) const {
    return index == snapshot_index ? snapshot_term
                                   : entries[index - snapshot_index - 1].term;
  }
  void Cut(Index from) { entries.resize(from - snapshot_index - 1); }
};

ModelState StateOf(const Recovered& recovered) {
  ModelState state;
  state.hard_state = recovered.hard_state;
  state.entries = recovered.entries;
  if (recovered.snapshot) {
    state.snapshot_index = recovered.snapshot->meta.index;
    state.snapshot_term = recovered.snapshot->meta.term;
    state.snapshot_data = recovered.snapshot->data;
  }
  return state;
}

/// What follows a failed call while the process lives on.
enum class AfterFailure { kRestart, kReopen };

/// One run: random calls, faults and crashes, each recovery compared with
/// the states that the model allows.
class Schedule {
 public:
  Schedule(uint64_t seed,
           FaultMutations mutations,
           AfterFailure after_failure = AfterFailure::kRestart)
      : m_random(seed), m_files(seed * 7 + 1), m_after_failure(after_failure) {
    m_files.mutations() = mutations;
    m_seed = seed;
  }

  /// Empty, or what was wrong.
  std::string Run() {
    try {
      Open();
      for (int step = 0; step < kStepsPerSeed && m_wrong.empty(); ++step) {
        Step();
      }
    } catch (const CorruptionError& error) {
      m_wrong = error.what();
    }
    return m_wrong;
  }

  int recoveries() const { return m_recoveries; }
  int reopenings() const { return m_reopenings; }

 private:
  uint64_t Pick(uint64_t bound) { return m_random() % bound; }

  void Step() {
    if (Pick(8) == 0) {
      ArmFault();
    }
    try {
      if (m_is_failed) {
        Reopen();
      } else if (m_store) {
        Act();
      } else {
        Open();
      }
    } catch (const StoreFailedError&) {
      CheckStaysFailed();
      m_is_failed = m_store != nullptr && !m_is_power_lost &&
                    m_after_failure == AfterFailure::kReopen;
      if (!m_is_failed) {
        m_store.reset();
        CrashOrRestart();
      }
    }
  }

  /// The disk may still refuse.
  void Reopen() {
    if (Pick(3) == 0) {
      m_files.ClearFaults();
    }
    CheckRecovered(m_store->Reopen());
    m_is_failed = false;
    ++m_reopenings;
  }

  void ArmFault() {
    const uint64_t kind = Pick(3);
    const int nth = 1 + static_cast<int>(Pick(9));
    if (kind == 0) {
      m_files.CrashAfter(nth);
      m_is_power_lost = true;
    } else if (kind == 1) {
      m_files.FailSync(nth);
    } else {
      m_files.LimitSpace(Pick(3000));
    }
  }

  void CheckStaysFailed() {
    if (m_store) {
      try {
        m_store->Sync();
        m_wrong = "a failed store went on";
      } catch (const StoreFailedError&) {
      }
    }
  }

  /// The process starts again, after a loss of power or without one.
  void CrashOrRestart() {
    if (m_is_power_lost || Pick(2) == 0) {
      m_files.Crash();
    }
    m_files.ClearFaults();
    m_is_power_lost = false;
  }

  void Open() {
    LogStoreInit init;
    init.folder = "/data";
    init.segment_bytes = 1500;
    init.identity_seed = m_seed + 1 + m_opened++;
    init.file_system = &m_files;
    auto store = std::make_unique<LogStore>(init);
    const Recovered recovered = store->TakeRecovered();
    CheckRecovered(recovered);
    m_identity = recovered.identity;
    m_store = std::move(store);
    ++m_recoveries;
  }

  void CheckRecovered(const Recovered& recovered) {
    if (m_identity && recovered.identity != *m_identity) {
      m_wrong = "the identity changed";
    }
    const ModelState state = StateOf(recovered);
    if (std::find(m_history.begin(), m_history.end(), state) ==
        m_history.end()) {
      m_wrong = "recovered a state that never was or lost a synced one";
    }
    // What was read may have been acted upon: from here on it must stay.
    m_history.assign(1, state);
  }

  ModelState& Next() {
    m_history.push_back(m_history.back());
    return m_history.back();
  }

  void ForgetBefore() {
    m_history.erase(m_history.begin(), m_history.end() - 1);
  }

  void Act() {
    switch (Pick(12)) {
      case 0:
      case 1:
        ActHardState();
        break;
      case 2:
        ActTruncate();
        break;
      case 3:
      case 4:
      case 5:
      case 6:
        ActAppend();
        break;
      case 7:
      case 8:
      case 9:
        m_store->Sync();
        ForgetBefore();
        break;
      case 10:
        ActSnapshot();
        break;
      default:
        m_store.reset();
        CrashOrRestart();
        break;
    }
  }

  void ActHardState() {
    ModelState& state = Next();
    m_term += Pick(2);
    state.hard_state.term = m_term;
    state.hard_state.vote.value = Pick(4);
    state.hard_state.commit = std::max(
        state.hard_state.commit,
        state.snapshot_index + Pick(state.last() - state.snapshot_index + 1));
    m_store->SaveHardState(state.hard_state);
  }

  void ActTruncate() {
    ModelState& state = Next();
    const Index kept = std::max(state.hard_state.commit, state.snapshot_index);
    if (state.last() > kept) {
      const Index from = kept + 1 + Pick(state.last() - kept);
      state.Cut(from);
      m_store->Truncate(from);
    }
  }

  void ActAppend() {
    ModelState& state = Next();
    std::vector<Entry> entries(1 + Pick(3));
    for (Entry& entry : entries) {
      entry.index = state.last() + 1;
      m_term = std::max(m_term, state.TermAt(state.last()));
      entry.term = m_term;
      entry.kind = Pick(2) == 0 ? EntryKind::kCommand : EntryKind::kMembership;
      entry.payload.assign(Pick(700), static_cast<char>(Pick(256)));
      state.entries.push_back(entry);
    }
    m_store->Append(entries);
  }

  void ActSnapshot() {
    const ModelState before = m_history.back();
    const Index kept = std::max(before.hard_state.commit, before.last());
    Snapshot snapshot;
    snapshot.data = "state " + std::to_string(m_random());
    snapshot.data.append(Pick(2000), 'x');
    const bool is_installed = Pick(3) == 0;
    if (is_installed) {
      m_term = std::max(m_term, before.TermAt(before.last())) + 1;
      snapshot.meta.index = kept + Pick(5);
      snapshot.meta.term = m_term;
    } else {
      snapshot.meta.index =
          before.snapshot_index + Pick(before.entries.size() + 1);
      snapshot.meta.term = before.TermAt(snapshot.meta.index);
    }
    if (snapshot.meta.index > before.snapshot_index) {
      ModelState& state = Next();
      const Index dropped = is_installed
                                ? before.entries.size()
                                : snapshot.meta.index - before.snapshot_index;
      state.entries.erase(
          state.entries.begin(),
          state.entries.begin() + static_cast<int64_t>(dropped));
      state.snapshot_index = snapshot.meta.index;
      state.snapshot_term = snapshot.meta.term;
      state.snapshot_data = snapshot.data;
    }
    m_store->SaveSnapshot(snapshot);
    ForgetBefore();
  }

  std::mt19937_64 m_random;
  FaultFileSystem m_files;
  uint64_t m_seed = 0;
  uint64_t m_opened = 0;
  std::unique_ptr<LogStore> m_store;
  std::optional<consensus::NodeId> m_identity;
  std::vector<ModelState> m_history{ModelState{}};  // From the last sync on.
  consensus::Term m_term = 1;
  bool m_is_power_lost = false;
  const AfterFailure m_after_failure;
  bool m_is_failed = false;  // And to be opened again.
  int m_recoveries = 0;
  int m_reopenings = 0;
  std::string m_wrong;
};

/// Thousands of crashes would log as many lines.
struct QuietFixture {
  QuietFixture() { InitLogs({"off", "text"}); }
  ~QuietFixture() { InitLogs({}); }
};

/// How many of the seeds find something wrong.
int FailuresWith(FaultMutations mutations, int seeds) {
  int failures = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    failures += Schedule(seed, mutations).Run().empty() ? 0 : 1;
  }
  return failures;
}

TEST_CASE_FIXTURE(
    QuietFixture,
    "LogStore, seeded crashes and faults, recovers a synced prefix") {
  int recoveries = 0;
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed, {});
    CHECK(schedule.Run() == "");
    recoveries += schedule.recoveries();
  }
  MESSAGE("schedules: " << SeedCount() << ", recoveries: " << recoveries);
}

TEST_CASE_FIXTURE(QuietFixture,
                  "LogStore, seeded faults and reopenings, recovers a synced "
                  "prefix") {
  int reopenings = 0;
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed, {}, AfterFailure::kReopen);
    CHECK(schedule.Run() == "");
    reopenings += schedule.reopenings();
  }
  MESSAGE("schedules: " << SeedCount() << ", reopenings: " << reopenings);
  CHECK(reopenings > 0);
}

TEST_CASE_FIXTURE(QuietFixture,
                  "LogStore, file syncs skipped, the schedules find it") {
  FaultMutations mutations;
  mutations.is_file_sync_skipped = true;
  CHECK(FailuresWith(mutations, 20) > 0);
}

TEST_CASE_FIXTURE(QuietFixture,
                  "LogStore, folder syncs skipped, the schedules find it") {
  FaultMutations mutations;
  mutations.is_folder_sync_skipped = true;
  CHECK(FailuresWith(mutations, 20) > 0);
}

}  // namespace
}  // namespace laurelhall::storage
