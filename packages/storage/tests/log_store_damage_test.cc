#include <doctest/doctest.h>

#include <stdlib.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "fault_file_system.h"
#include "laurelhall/base/log.h"
#include "laurelhall/storage/log_store.h"

namespace laurelhall::storage {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::Snapshot;

constexpr const char* kFolder = "/data";
constexpr const char* kFirstSegment = "log-0000000000000001.wal";

std::filesystem::path FirstSegmentPath() {
  return std::filesystem::path(kFolder) / kFirstSegment;
}

Entry MakeEntry(consensus::Index index, size_t payload_bytes) {
  Entry entry{index, 1 + index / 4, EntryKind::kCommand, {}};
  for (size_t i = 0; i < payload_bytes; ++i) {
    entry.payload.push_back(static_cast<char>('a' + (index + i) % 26));
  }
  return entry;
}

Snapshot MakeSnapshot(consensus::Index index) {
  Snapshot snapshot;
  snapshot.meta.index = index;
  snapshot.meta.term = MakeEntry(index, 0).term;
  snapshot.meta.membership.members[{7}] = {"10.0.0.1:7", "zone-a", "one", true};
  snapshot.data = "state after " + std::to_string(index);
  return snapshot;
}

/// A store over files in memory, opened again after each damage.
struct DamageFixture {
  DamageFixture() { InitLogs({"off", "text"}); }
  ~DamageFixture() { InitLogs({}); }

  std::unique_ptr<LogStore> Open(uint64_t segment_bytes = 1 << 20) {
    LogStoreInit init;
    init.folder = kFolder;
    init.segment_bytes = segment_bytes;
    init.identity_seed = m_identity_seed;
    init.file_system = &m_files;
    return std::make_unique<LogStore>(init);
  }

  /// Appends entries [from, to], one sync each.
  static void Fill(LogStore& store,
                   consensus::Index from,
                   consensus::Index to,
                   size_t payload_bytes = 40) {
    for (consensus::Index index = from; index <= to; ++index) {
      store.SaveHardState({MakeEntry(index, 0).term, {3}, index - 1});
      store.Append({MakeEntry(index, payload_bytes)});
      store.Sync();
    }
  }

  /// Whether the folder, with all its syncs done, opens to the same entries
  /// or is refused; a cut or an altered entry is neither.
  bool IsWholeOrRefused(const FaultFileSystem& files, consensus::Index last) {
    FaultFileSystem copy = files.Copy();
    LogStoreInit init;
    init.folder = kFolder;
    init.file_system = &copy;
    try {
      const Recovered recovered = LogStore(init).TakeRecovered();
      consensus::Index next =
          recovered.snapshot ? recovered.snapshot->meta.index + 1 : 1;
      for (const Entry& entry : recovered.entries) {
        if (!(entry == MakeEntry(next++, entry.payload.size()))) {
          return false;
        }
      }
      return next == last + 1 && recovered.hard_state.commit == last - 1 &&
             recovered.identity == m_identity;
    } catch (const CorruptionError&) {
      return true;
    }
  }

  std::string& Bytes(const std::string& file) {
    return m_files.Contents(std::filesystem::path(kFolder) / file);
  }

  /// A store of three entries whose sync of the fourth one failed.
  std::unique_ptr<LogStore> OpenAndFailSync(size_t payload_bytes) {
    auto store = Open();
    Fill(*store, 1, 3);
    m_files.FailSync(1);
    store->Append({MakeEntry(4, payload_bytes)});
    CHECK_THROWS_AS(store->Sync(), StoreFailedError);
    return store;
  }

  void Empty() {
    for (const std::string& file : m_files.List(kFolder)) {
      m_files.Remove(std::filesystem::path(kFolder) / file);
    }
  }

  FaultFileSystem m_files{1};
  uint64_t m_identity_seed = 9;
  consensus::NodeId m_identity;
};

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, any bit flipped, refuses or loses nothing") {
  {
    auto store = Open(600);
    m_identity = store->TakeRecovered().identity;
    Fill(*store, 1, 4);
    store->SaveSnapshot(MakeSnapshot(3));
    Fill(*store, 5, 9);
    store->SaveSnapshot(MakeSnapshot(7));
    Fill(*store, 10, 14);
  }
  REQUIRE(IsWholeOrRefused(m_files, 14));
  int flips = 0;
  int bad = 0;
  for (const std::string& file : m_files.List(kFolder)) {
    for (size_t at = 0; at < Bytes(file).size(); ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        Bytes(file)[at] ^= static_cast<char>(1 << bit);
        bad += IsWholeOrRefused(m_files, 14) ? 0 : 1;
        Bytes(file)[at] ^= static_cast<char>(1 << bit);
        ++flips;
      }
    }
  }
  MESSAGE("flips: " << flips);
  CHECK(flips > 10'000);
  CHECK(bad == 0);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, last segment cut anywhere, keeps whole syncs") {
  std::vector<size_t> ends;
  {
    auto store = Open();
    for (consensus::Index index = 1; index <= 6; ++index) {
      ends.push_back(Bytes(kFirstSegment).size());
      Fill(*store, index, index, 300);
    }
  }
  std::string& bytes = Bytes(kFirstSegment);
  const std::string whole = bytes;
  for (size_t size = ends.front(); size < whole.size(); ++size) {
    CAPTURE(size);
    FaultFileSystem copy = m_files.Copy();
    copy.Contents(FirstSegmentPath()).resize(size);
    size_t kept = 0;
    while (kept + 1 < ends.size() && ends[kept + 1] <= size) {
      ++kept;
    }
    LogStoreInit init{kFolder, 1 << 20, 0, &copy};
    const Recovered recovered = LogStore(init).TakeRecovered();
    REQUIRE(recovered.entries.size() == kept);
    REQUIRE(recovered.torn_bytes == size - ends[kept]);
  }
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, a sector never written, cut only in the last") {
  bool is_frame_per_sector = false;
  SUBCASE("frames of several sectors") {}
  SUBCASE("each frame is one sector") {
    is_frame_per_sector = true;
  }
  {
    auto store = Open();
    Fill(*store, 1, 1, is_frame_per_sector ? 350 : 1200);
    Fill(*store, 2, 6, is_frame_per_sector ? 430 : 1200);
  }
  const size_t size = Bytes(kFirstSegment).size();
  const size_t last_frame = is_frame_per_sector ? size - 512 : size - 1280;
  for (size_t sector = 0; sector + 512 <= size; sector += 512) {
    CAPTURE(sector);
    FaultFileSystem copy = m_files.Copy();
    copy.Contents(FirstSegmentPath()).replace(sector, 512, 512, '\0');
    LogStoreInit init{kFolder, 1 << 20, 0, &copy};
    if (sector >= last_frame) {
      CHECK(LogStore(init).TakeRecovered().entries.size() == 5);
    } else {
      CHECK_THROWS_AS(LogStore{init}, CorruptionError);
    }
  }
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, last segment's start unwritten, refused if used") {
  {
    auto store = Open(1200);
    Fill(*store, 1, 8, 200);
  }
  const std::string last = m_files.List(kFolder).back();
  REQUIRE(last == "log-0000000000000002.wal");
  const size_t size = Bytes(last).size();
  REQUIRE(size > 1024);
  Bytes(last).replace(0, 512, 512, '\0');
  CHECK_THROWS_AS(Open(), CorruptionError);
  Bytes(last).resize(512);
  CHECK(Open()->TakeRecovered().torn_bytes == 512);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, middle damaged, names file and offset") {
  {
    auto store = Open();
    Fill(*store, 1, 3);
  }
  Bytes(kFirstSegment)[100] ^= 1;
  CHECK_THROWS_WITH_AS(Open(),
                       "log-0000000000000001.wal at offset 80: record is "
                       "damaged and more follows it",
                       CorruptionError);
  Bytes(kFirstSegment)[100] ^= 1;
  Bytes(kFirstSegment)[80] ^= 1;
  CHECK_THROWS_WITH_AS(Open(),
                       "log-0000000000000001.wal at offset 80: record is "
                       "damaged, no crash leaves it so",
                       CorruptionError);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, newest snapshot damaged, the log covers it") {
  {
    auto store = Open(300);
    Fill(*store, 1, 4);
    store->SaveSnapshot(MakeSnapshot(2));
    Fill(*store, 5, 9);
    store->SaveSnapshot(MakeSnapshot(8));
  }
  Bytes("snapshot-0000000000000008-0000000000000003.snap").back() ^= 1;
  const Recovered recovered = Open()->TakeRecovered();
  REQUIRE(recovered.snapshot);
  CHECK(recovered.snapshot->meta.index == 2);
  CHECK(recovered.snapshot->meta.membership == MakeSnapshot(2).meta.membership);
  CHECK(recovered.entries.size() == 7);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, installed snapshot damaged, refuses the gap") {
  {
    auto store = Open();
    Fill(*store, 1, 4);
    store->SaveSnapshot(MakeSnapshot(2));
    store->SaveSnapshot(MakeSnapshot(50));
    store->Append({MakeEntry(51, 10)});
    store->Sync();
  }
  {
    const Recovered recovered = Open()->TakeRecovered();
    CHECK(recovered.snapshot->meta.index == 50);
    CHECK(recovered.entries == std::vector<Entry>{MakeEntry(51, 10)});
  }
  Bytes("snapshot-0000000000000032-000000000000000d.snap").back() ^= 1;
  CHECK_THROWS_AS(Open(), CorruptionError);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, log or identity gone, never starts from empty") {
  {
    auto store = Open(600);
    Fill(*store, 1, 12);
  }
  for (const char* lost :
       {"identity", "log-0000000000000001.wal", "log-0000000000000002.wal"}) {
    CAPTURE(lost);
    FaultFileSystem copy = m_files.Copy();
    copy.Remove(std::filesystem::path(kFolder) / lost);
    LogStoreInit init{kFolder, 600, 0, &copy};
    CHECK_THROWS_AS(LogStore{init}, CorruptionError);
  }
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, many snapshots, disk use stays bounded") {
  auto store = Open(2000);
  uint64_t most = 0;
  for (consensus::Index index = 1; index <= 400; ++index) {
    Fill(*store, index, index);
    if (index % 20 == 0) {
      store->SaveSnapshot(MakeSnapshot(index));
      most = std::max(most, store->disk_bytes());
    }
  }
  CHECK(most < 12'000);
  uint64_t bytes = 0;
  for (const std::string& file : m_files.List(kFolder)) {
    bytes += Bytes(file).size();
  }
  CHECK(store->disk_bytes() == bytes - Bytes("identity").size());
}

TEST_CASE_FIXTURE(DamageFixture, "LogStore, one Sync, syncs the disk once") {
  auto store = Open();
  const int before = m_files.sync_count();
  store->SaveHardState({1, {2}, 0});
  for (consensus::Index index = 1; index <= 50; ++index) {
    store->Append({MakeEntry(index, 100)});
  }
  store->Sync();
  store->Sync();
  CHECK(m_files.sync_count() == before + 1);
}

TEST_CASE_FIXTURE(DamageFixture, "LogStore, sync fails once, fails for good") {
  auto store = Open();
  m_files.FailSync(1);
  store->Append({MakeEntry(1, 10)});
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  const int before = m_files.sync_count();
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  CHECK_THROWS_AS(store->Append({MakeEntry(2, 10)}), StoreFailedError);
  CHECK_THROWS_AS(store->SaveHardState({}), StoreFailedError);
  CHECK_THROWS_AS(store->SaveSnapshot(MakeSnapshot(1)), StoreFailedError);
  CHECK(m_files.sync_count() == before);
}

TEST_CASE_FIXTURE(DamageFixture, "LogStore, disk full, fails and recovers") {
  auto store = Open();
  Fill(*store, 1, 3);
  m_files.LimitSpace(200);
  store->Append({MakeEntry(4, 5000)});
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  store.reset();
  m_files.ClearFaults();
  const Recovered recovered = Open()->TakeRecovered();
  CHECK(recovered.entries.size() == 3);
  CHECK(recovered.torn_bytes == 200);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, disk refuses for a while, reopened once it takes "
                  "writes") {
  auto store = Open();
  const consensus::NodeId identity = store->TakeRecovered().identity;
  Fill(*store, 1, 3);
  store->SaveHardState({3, {7}, 2});
  store->Sync();
  m_files.LimitSpace(200);
  store->SaveHardState({4, {8}, 2});
  store->Append({MakeEntry(4, 5000)});
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  m_files.LimitSpace(0);
  CHECK_THROWS_AS(store->Reopen(), StoreFailedError);
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  m_files.ClearFaults();
  const Recovered recovered = store->Reopen();
  CHECK(recovered.identity == identity);
  CHECK_FALSE(recovered.is_new);
  const consensus::HardState voted{3, {7}, 2};
  CHECK(recovered.hard_state == voted);
  CHECK(recovered.entries.size() == 3);
  Fill(*store, 4, 6);
  store.reset();
  CHECK(Open()->TakeRecovered().entries.size() == 6);
}

TEST_CASE_FIXTURE(
    DamageFixture,
    "LogStore, disk full within a snapshot, reopened without what "
    "is left of it") {
  auto store = Open();
  Fill(*store, 1, 3);
  const size_t files = m_files.List(kFolder).size();
  m_files.LimitSpace(20);
  CHECK_THROWS_AS(store->SaveSnapshot(MakeSnapshot(3)), StoreFailedError);
  CHECK(m_files.List(kFolder).size() == files + 1);
  m_files.ClearFaults();
  CHECK(store->Reopen().entries.size() == 3);
  for (const std::string& file : m_files.List(kFolder)) {
    CHECK_FALSE(file.ends_with(".tmp"));
  }
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, sync lost pages, reopened, what it returns "
                  "survives a crash") {
  auto store = OpenAndFailSync(5000);
  const size_t entries = store->Reopen().entries.size();
  store.reset();
  m_files.Crash();
  CHECK(Open()->TakeRecovered().entries.size() == entries);
}

TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, folder emptied under it, not reopened as new") {
  auto store = OpenAndFailSync(10);
  Empty();
  CHECK_THROWS_AS(store->Reopen(), StoreFailedError);
  CHECK_THROWS_AS(store->Sync(), StoreFailedError);
  CHECK(m_files.List(kFolder).empty());
}

// Guards against writes to the folder of another host, which its own process
// may be using: recovery mended what it found there before it looked whose it
// was.
TEST_CASE_FIXTURE(DamageFixture,
                  "LogStore, folder of another host in its place, not "
                  "touched") {
  auto store = OpenAndFailSync(10);
  Empty();
  m_identity_seed = 10;
  Fill(*Open(), 1, 3);
  Bytes(kFirstSegment).resize(Bytes(kFirstSegment).size() - 7);  // Torn.
  const std::string before = Bytes(kFirstSegment);
  const std::vector<std::string> files = m_files.List(kFolder);
  CHECK_THROWS_AS(store->Reopen(), StoreFailedError);
  CHECK(m_files.List(kFolder) == files);
  CHECK(Bytes(kFirstSegment) == before);
}

/// Files whose folder is emptied at the second lock, which is the first of a
/// store that is opened again.
class EmptiedAtLockFiles : public FaultFileSystem {
 public:
  EmptiedAtLockFiles() : FaultFileSystem(1) {}

  std::unique_ptr<FileLock> Lock(const Path& path) override {
    if (++m_locks == 2) {
      for (const std::string& file : List(kFolder)) {
        Remove(Path(kFolder) / file);
      }
    }
    return FaultFileSystem::Lock(path);
  }

 private:
  int m_locks = 0;
};

// Guards against an identity that is made anew in the running process: the
// folder went away between the look at whose it is and its recovery.
TEST_CASE("LogStore, folder emptied while it is reopened, not taken as new") {
  EmptiedAtLockFiles files;
  LogStoreInit init;
  init.folder = kFolder;
  init.identity_seed = 9;
  init.file_system = &files;
  LogStore store(init);
  files.FailSync(1);
  store.Append({MakeEntry(1, 10)});
  CHECK_THROWS_AS(store.Sync(), StoreFailedError);
  CHECK_THROWS_AS(store.Reopen(), StoreFailedError);
  CHECK(files.List(kFolder).empty());
}

TEST_CASE_FIXTURE(DamageFixture, "LogStore, entry out of order, refused") {
  auto store = Open();
  Fill(*store, 1, 3);
  CHECK_THROWS_AS(store->Append({MakeEntry(5, 1)}), std::invalid_argument);
  CHECK_THROWS_AS(store->Truncate(0), std::invalid_argument);
}

/// A folder of the machine's own, removed at the end.
struct RealFolderFixture {
  RealFolderFixture() {
    std::string name =
        (std::filesystem::temp_directory_path() / "log_store_XXXXXX").string();
    m_folder = ::mkdtemp(name.data());
    m_init.folder = m_folder / "deep" / "data";
  }
  ~RealFolderFixture() { std::filesystem::remove_all(m_folder); }

  std::filesystem::path m_folder;
  LogStoreInit m_init;
};

TEST_CASE_FIXTURE(RealFolderFixture,
                  "LogStore, real files opened again, hold everything") {
  consensus::NodeId identity;
  {
    LogStore store(m_init);
    const Recovered recovered = store.TakeRecovered();
    CHECK(recovered.is_new);
    identity = recovered.identity;
    DamageFixture::Fill(store, 1, 5);
    store.SaveSnapshot(MakeSnapshot(3));
    CHECK_THROWS_AS(LogStore{m_init}, StoreInUseError);
  }
  const Recovered recovered = LogStore(m_init).TakeRecovered();
  CHECK_FALSE(recovered.is_new);
  CHECK(recovered.identity == identity);
  CHECK(recovered.snapshot->data == "state after 3");
  CHECK(recovered.entries ==
        std::vector<Entry>{MakeEntry(4, 40), MakeEntry(5, 40)});
  CHECK(recovered.hard_state == consensus::HardState{2, {3}, 4});
}

/// A store that failed while its folder was away, as that of a volume that is
/// not mounted.
struct FolderAwayFixture : RealFolderFixture {
  FolderAwayFixture() : m_store(std::make_unique<LogStore>(m_init)) {
    m_identity = m_store->TakeRecovered().identity;
    DamageFixture::Fill(*m_store, 1, 3);
    std::filesystem::rename(folder(), away());
    // A snapshot is a new file, for which there is no folder.
    CHECK_THROWS_AS(m_store->SaveSnapshot(MakeSnapshot(3)), StoreFailedError);
    std::filesystem::create_directory(folder());
  }

  const std::filesystem::path& folder() const { return m_init.folder; }
  std::filesystem::path away() const { return m_folder / "away"; }

  void CheckReopened() {
    const Recovered recovered = m_store->Reopen();
    CHECK(recovered.identity == m_identity);
    CHECK(recovered.entries.size() == 3);
    DamageFixture::Fill(*m_store, 4, 5);
    CHECK_THROWS_AS(LogStore{m_init}, StoreInUseError);
  }

  std::unique_ptr<LogStore> m_store;
  consensus::NodeId m_identity;
};

// Guards against a host that is out of the quorum for good because its volume
// was away for a moment: an empty folder counted as damage, not as a fault that
// may pass.
TEST_CASE_FIXTURE(FolderAwayFixture,
                  "LogStore, folder away for a while, reopened once it is "
                  "back") {
  CHECK_THROWS_AS(m_store->Reopen(), StoreFailedError);
  CHECK(std::filesystem::is_empty(folder()));
  std::filesystem::remove(folder());
  CHECK_THROWS_AS(m_store->Reopen(), StoreFailedError);
  std::filesystem::rename(away(), folder());
  CheckReopened();
}

// Guards against two processes on one folder: the lock on the former folder
// does not cover the one in its place.
TEST_CASE_FIXTURE(
    FolderAwayFixture,
    "LogStore, folder comes back as a copy, held against others") {
  std::filesystem::remove(folder());
  std::filesystem::copy(away(), folder());
  CheckReopened();
}

TEST_CASE_FIXTURE(FolderAwayFixture,
                  "LogStore, folder comes back held by another process, not "
                  "reopened until it is free") {
  std::filesystem::remove(folder());
  std::filesystem::copy(away(), folder());
  auto other = std::make_unique<LogStore>(m_init);
  CHECK_THROWS_AS(m_store->Reopen(), StoreFailedError);
  other.reset();
  CheckReopened();
}

TEST_CASE_FIXTURE(RealFolderFixture,
                  "LogStore, folder lost, returns with another identity") {
  const consensus::NodeId first = LogStore(m_init).TakeRecovered().identity;
  std::filesystem::remove_all(m_init.folder);
  const Recovered again = LogStore(m_init).TakeRecovered();
  CHECK(again.is_new);
  CHECK(again.identity != first);
}

}  // namespace
}  // namespace laurelhall::storage
