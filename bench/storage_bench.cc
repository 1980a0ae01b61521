// Measures the log store on the disk that holds the working folder:
// syncs and bytes per second by group size, recovery time by log length.
#include <benchmark/benchmark.h>
#include <stdlib.h>

#include <filesystem>
#include <string>
#include <vector>

#include "laurelhall/storage/log_store.h"

namespace laurelhall::storage {
namespace {

constexpr size_t kPayloadBytes = 300;
constexpr int64_t kGroup = 100;  // Entries a sync in the recovered log.

/// A folder of its own below the working folder, removed at the end.
class BenchFolder {
 public:
  BenchFolder() {
    std::string name =
        (std::filesystem::current_path() / "storage_bench_XXXXXX").string();
    m_path = ::mkdtemp(name.data());
  }
  ~BenchFolder() { std::filesystem::remove_all(m_path); }

  LogStoreInit init() const {
    LogStoreInit init;
    init.folder = m_path;
    return init;
  }

 private:
  std::filesystem::path m_path;
};

std::vector<consensus::Entry> MakeGroup(consensus::Index first, int64_t count) {
  std::vector<consensus::Entry> entries(static_cast<size_t>(count));
  for (consensus::Entry& entry : entries) {
    entry = {first++, 1, consensus::EntryKind::kCommand,
             std::string(kPayloadBytes, 'x')};
  }
  return entries;
}

void SyncGroups(benchmark::State& state) {
  const BenchFolder folder;
  LogStore store(folder.init());
  consensus::Index next = 1;
  for (auto _ : state) {
    store.Append(MakeGroup(next, state.range(0)));
    store.Sync();
    next += static_cast<consensus::Index>(state.range(0));
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
  state.SetBytesProcessed(static_cast<int64_t>(store.disk_bytes()));
  state.counters["syncs"] = benchmark::Counter(
      static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}
BENCHMARK(SyncGroups)
    ->RangeMultiplier(8)
    ->Range(1, 4096)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);

void RecoverLog(benchmark::State& state) {
  const BenchFolder folder;
  uint64_t bytes = 0;
  {
    LogStore store(folder.init());
    for (int64_t next = 1; next <= state.range(0); next += kGroup) {
      store.Append(MakeGroup(static_cast<consensus::Index>(next), kGroup));
      store.Sync();
    }
    bytes = store.disk_bytes();
  }
  for (auto _ : state) {
    LogStore store(folder.init());
    benchmark::DoNotOptimize(store.TakeRecovered());
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
  state.SetBytesProcessed(state.iterations() * static_cast<int64_t>(bytes));
}
BENCHMARK(RecoverLog)
    ->RangeMultiplier(10)
    ->Range(1'000, 1'000'000)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace laurelhall::storage

BENCHMARK_MAIN();
