// Commits a second and their latency by group size and voters, the gain of
// group commit, and the time to a new leader; hosts in one process, loopback.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <vector>

#include "../packages/control/tests/cluster_fixture.h"
#include "laurelhall/base/log.h"

namespace laurelhall::control {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Seconds kMeasure{3};

/// Keeps a number of claims under way for a while and notes their latency.
class ClaimLoad {
 public:
  ClaimLoad(ControlLink& link, std::string prefix)
      : m_link(link), m_prefix(std::move(prefix)) {}

  void Run(int under_way) {
    m_end = Clock::now() + kMeasure;
    for (int i = 0; i < under_way; ++i) {
      Send();
    }
    Eventually([this] { return m_open == 0; });
  }

  void Print(const char* label, size_t hosts, int under_way, uint64_t syncs) {
    std::sort(m_latencies.begin(), m_latencies.end());
    const auto at = [this](double share) {
      const auto index = static_cast<size_t>(
          share * static_cast<double>(m_latencies.size() - 1));
      return std::chrono::duration<double, std::milli>(m_latencies[index])
          .count();
    };
    const double seconds = std::chrono::duration<double>(kMeasure).count();
    std::printf(
        "%-12s hosts %zu, under way %4d: %8.0f claims/s, p50 %6.2f ms, "
        "p99 %7.2f ms, leader's syncs/s %6.0f\n",
        label, hosts, under_way,
        static_cast<double>(m_latencies.size()) / seconds, at(0.5), at(0.99),
        static_cast<double>(syncs) / seconds);
  }

 private:
  void Send() {
    ++m_open;
    const auto sent = Clock::now();
    m_link.Claim(MakeClaim(m_prefix + std::to_string(m_next++)), sent + kCap,
                 [this, sent](const auto& result) { Done(sent, !!result); });
  }

  // On the link's thread only.
  void Done(Clock::time_point sent, bool is_known) {
    const auto now = Clock::now();
    if (is_known) {
      m_latencies.push_back(now - sent);
    }
    if (now < m_end) {
      Send();
    }
    --m_open;
  }

  ControlLink& m_link;
  std::string m_prefix;
  Clock::time_point m_end;
  std::atomic<int> m_open{0};
  std::atomic<int> m_next{0};
  std::vector<Clock::duration> m_latencies;
};

void MeasureCommits(size_t hosts) {
  Cluster cluster(hosts);
  cluster.StartAll();
  const size_t leader = cluster.AwaitLeader();
  const auto link = cluster.MakeLink("entry");
  for (const int under_way : {1, 16, 128, 512}) {
    const uint64_t before = cluster.host(leader).status().counters.disk_syncs;
    ClaimLoad load(*link, std::to_string(under_way) + "-");
    load.Run(under_way);
    const uint64_t after = cluster.host(leader).status().counters.disk_syncs;
    load.Print(under_way == 1 ? "one by one" : "grouped", hosts, under_way,
               after - before);
  }
}

void MeasureNewLeader(int rounds) {
  Cluster cluster(3);
  cluster.StartAll();
  std::vector<double> times;
  for (int round = 0; round < rounds; ++round) {
    const size_t leader = cluster.AwaitLeader();
    const auto stopped = Clock::now();
    cluster.Stop(leader);
    cluster.AwaitLeader(leader);
    times.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - stopped)
            .count());
    cluster.Start(leader);
  }
  std::sort(times.begin(), times.end());
  std::printf(
      "new leader after a stop: %d times, median %.0f ms, max %.0f ms\n",
      rounds, times[times.size() / 2], times.back());
}

}  // namespace
}  // namespace laurelhall::control

int main() {
  laurelhall::InitLogs({"error", "text"});
  for (const size_t hosts : {1, 3, 5}) {
    laurelhall::control::MeasureCommits(hosts);
  }
  laurelhall::control::MeasureNewLeader(10);
  return 0;
}
