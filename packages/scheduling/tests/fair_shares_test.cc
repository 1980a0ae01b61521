#include "laurelhall/scheduling/fair_shares.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <queue>
#include <random>

#include "laurelhall/scheduling/planner.h"
#include "laurelhall/scheduling/weighted_shares.h"

namespace laurelhall::scheduling {
namespace {

using std::chrono::hours;

// A pool of equal workers on which organisations run jobs of one step, in
// virtual time.
class Pool {
 public:
  explicit Pool(bool has_shares = true, bool has_organisations = true)
      : m_planner(Without(has_shares)) {
    m_configuration.version = 1;
    m_configuration.queues.push_back(
        {"quotes", "q.example", "/quotes/", "teklif", 0, 2, 1.6, Millis(600)});
    m_configuration.services.push_back({"teklif"});
    if (has_organisations) {
      m_configuration.identities.emplace();
    }
  }

  void AddOrganisation(const std::string& name,
                       double weight,
                       const Resources& cap = {}) {
    m_configuration.identities->organisations.push_back(
        {name, {"key-" + name}, weight, cap});
  }

  void AddWorkers(int count, const Resources& capacity) {
    m_ledger.Apply(ConfigurationWithIdentitiesSet{m_configuration});
    for (int index = 0; index < count; ++index) {
      WorkerInfo info;
      info.id = "w" + std::to_string(index);
      info.service = "teklif";
      info.rack = "r" + std::to_string(index % 2);
      info.capacity = capacity;
      m_ledger.Apply(WorkerSeen{info});
      m_workers.push_back(info);
    }
  }

  static StepSpec Step(uint32_t count, const Resources& need, Millis estimate) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.estimate = estimate;
    return step;
  }

  std::string Submit(const std::string& organisation, const StepSpec& step) {
    JobSpec spec;
    spec.steps = {step};
    const std::string id = "j" + std::to_string(++m_jobs);
    const JobAccepted job{id, "quotes", "teklif", WallTime(), spec};
    if (organisation.empty()) {
      m_ledger.Apply(job);
    } else {
      m_ledger.Apply(OrganisationJobAccepted{job, organisation});
    }
    m_seen_at[id] = m_now;
    return id;
  }

  // Plans, commits, and returns the starts.
  std::vector<RunStarted> Plan() {
    const auto status_of = [](const Worker&) {
      return WorkerStatus{.is_usable = true};
    };
    const std::vector<RunStarted> starts =
        m_planner.Plan({m_ledger, m_now, WallTime(), status_of, m_seen_at});
    for (const RunStarted& start : starts) {
      m_ledger.Apply(start);
      m_planner.ReleaseReservation(start);
    }
    return starts;
  }

  void End(const RunStarted& run) {
    m_ledger.Apply(RunEnded{run.task, run.run, run.worker, RunEnd::kDone, ""});
  }

  // Plans, and ends what started after about `run_time`, until nothing happens
  // before `until`.
  template <typename OnStart>
  void RunUntil(SteadyTime until, Millis run_time, OnStart on_start) {
    while (true) {
      for (const RunStarted& start : Plan()) {
        m_ends.push({m_now + run_time * m_stretch(m_random) / 100, start});
        on_start(start);
      }
      if (m_ends.empty() || m_ends.top().at > until) {
        m_now = until;
        return;
      }
      m_now = m_ends.top().at;
      while (!m_ends.empty() && m_ends.top().at <= m_now) {
        End(m_ends.top().run);
        m_ends.pop();
      }
    }
  }

  Resources HeldBy(const std::string& organisation) const {
    const PoolUse& use = m_ledger.PoolUseOf("teklif");
    const auto found = use.find(organisation);
    return found == use.end() ? Resources() : found->second;
  }

  const std::string& OrganisationOf(const RunStarted& run) const {
    return m_ledger.FindJob(run.task.job)->organisation;
  }

  SteadyTime now() const { return m_now; }
  SteadyTime SeenAt(const std::string& job) const { return m_seen_at.at(job); }
  Ledger& ledger() { return m_ledger; }
  const Planner& planner() const { return m_planner; }

 private:
  struct PendingEnd {
    SteadyTime at;
    RunStarted run;
    bool operator<(const PendingEnd& other) const { return at > other.at; }
  };

  static MechanismSet Without(bool has_shares) {
    MechanismSet mechanisms;
    if (!has_shares) {
      mechanisms.SwitchOff(Mechanism::kShares);
    }
    return mechanisms;
  }

  Configuration m_configuration;
  Ledger m_ledger;
  Planner m_planner;
  std::vector<WorkerInfo> m_workers;
  std::unordered_map<std::string, SteadyTime> m_seen_at;
  std::priority_queue<PendingEnd> m_ends;
  std::mt19937 m_random;
  std::uniform_int_distribution<int> m_stretch{60, 140};  // In percent.
  SteadyTime m_now{hours(1)};
  int m_jobs = 0;
};

constexpr Resources kCore{1'000, 100, 0};

TEST_CASE("PoolShares, not divided, all are below their parts") {
  PoolShares pool;
  const PoolShares::Claim a = pool.ClaimOf("a");
  pool.Want(a, kCore, 4);
  pool.Hold(a, {64'000, 0, 0});
  CHECK_FALSE(pool.is_divided());
  CHECK(pool.IsBelowPart(a));
}

TEST_CASE("PoolShares, one asks for little, the other gets the rest") {
  PoolShares pool;
  const PoolShares::Claim a = pool.ClaimOf("a");
  const PoolShares::Claim b = pool.ClaimOf("b");
  pool.SetLimits(a, 1, {});
  pool.SetLimits(b, 1, {});
  pool.Want(a, kCore, 2);
  pool.Want(b, kCore, 20);
  pool.Divide({10'000, 10'000, 0}, 1);
  CHECK(pool.shares()[a].part == doctest::Approx(0.2));
  CHECK(pool.shares()[b].part == doctest::Approx(0.8));
  pool.Hold(a, {2'000, 200, 0});
  CHECK_FALSE(pool.IsBelowPart(a));
  pool.Hold(b, {7'000, 700, 0});
  CHECK(pool.IsBelowPart(b));
}

TEST_CASE("PoolShares, memory is scarcest, part counts in memory") {
  PoolShares pool;
  const PoolShares::Claim a = pool.ClaimOf("a");
  const PoolShares::Claim b = pool.ClaimOf("b");
  pool.SetLimits(a, 1, {});
  pool.SetLimits(b, 1, {});
  pool.Want(a, {1'000, 4'000, 0}, 10);
  pool.Want(b, {1'000, 100, 0}, 10);
  pool.Divide({10'000, 16'000, 0}, 1);
  pool.Hold(a, {1'000, 4'000, 0});
  CHECK(pool.IsBelowPart(a));
  pool.Hold(a, {1'000, 4'000, 0});
  CHECK_FALSE(pool.IsBelowPart(a));
}

TEST_CASE("PoolShares, cap below the part, others get what it leaves") {
  PoolShares pool;
  const PoolShares::Claim a = pool.ClaimOf("a");
  const PoolShares::Claim b = pool.ClaimOf("b");
  pool.SetLimits(a, 1, {2'000, 0, 0});
  pool.SetLimits(b, 1, {});
  pool.Want(a, kCore, 20);
  pool.Want(b, kCore, 20);
  pool.Divide({10'000, 10'000, 0}, 1);
  CHECK(pool.shares()[a].part == doctest::Approx(0.2));
  CHECK(pool.shares()[b].part == doctest::Approx(0.8));
}

TEST_CASE("PoolShares, claim without a weight, gets what others leave") {
  PoolShares pool;
  const PoolShares::Claim a = pool.ClaimOf("a");
  const PoolShares::Claim nobody = pool.ClaimOf("");
  pool.SetLimits(a, 1, {});
  pool.Want(a, kCore, 8);
  pool.Want(nobody, kCore, 8);
  pool.Divide({10'000, 10'000, 0}, 1);
  CHECK(pool.shares()[nobody].part == doctest::Approx(0.2));
}

TEST_CASE("Shares, one fills the pool, newcomer gets the next places") {
  Pool pool;
  pool.AddOrganisation("large", 3);
  pool.AddOrganisation("new", 1);
  pool.AddWorkers(2, {8'000, 8'000, 0});
  for (int job = 0; job < 10; ++job) {
    pool.Submit("large", Pool::Step(8, kCore, Millis(800)));
  }
  std::vector<RunStarted> running = pool.Plan();
  CHECK(pool.HeldBy("large") == Resources{16'000, 1'600, 0});
  pool.Submit("new", Pool::Step(4, kCore, Millis(800)));
  pool.Submit("new", Pool::Step(4, kCore, Millis(800)));
  for (size_t run = 0; run < 4; ++run) {
    pool.End(running[run]);
    const std::vector<RunStarted> next = pool.Plan();
    REQUIRE(next.size() == 1);
    CHECK(pool.OrganisationOf(next[0]) == "new");
  }
  // It has its quarter. The rest goes by deadline.
  pool.End(running[4]);
  const std::vector<RunStarted> next = pool.Plan();
  REQUIRE(next.size() == 1);
  CHECK(pool.OrganisationOf(next[0]) == "large");
}

TEST_CASE("Shares, organisation stops asking, others get its part at once") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddOrganisation("b", 1);
  pool.AddWorkers(1, {8'000, 8'000, 0});
  pool.Submit("a", Pool::Step(4, kCore, Millis(800)));
  pool.Submit("b", Pool::Step(20, kCore, Millis(800)));
  std::vector<RunStarted> running = pool.Plan();
  CHECK(pool.HeldBy("a").millicores == 4'000);
  CHECK(pool.HeldBy("b").millicores == 4'000);
  for (const RunStarted& run : running) {
    pool.End(run);
  }
  CHECK(pool.Plan().size() == 8);
  CHECK(pool.HeldBy("b").millicores == 8'000);
}

TEST_CASE("Shares, organisation comes back, gets its part and no more") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddOrganisation("b", 1);
  pool.AddWorkers(1, {8'000, 8'000, 0});
  for (int job = 0; job < 20; ++job) {
    pool.Submit("b", Pool::Step(8, kCore, Millis(800)));
  }
  const auto ignore = [](const RunStarted&) {};
  pool.RunUntil(pool.now() + Millis(5'000), Millis(100), ignore);
  for (int job = 0; job < 20; ++job) {
    pool.Submit("a", Pool::Step(8, kCore, Millis(800)));
    pool.Submit("b", Pool::Step(8, kCore, Millis(800)));
  }
  pool.RunUntil(pool.now() + Millis(1'000), Millis(100), ignore);
  CHECK(pool.HeldBy("a").millicores == 4'000);
  CHECK(pool.HeldBy("b").millicores == 4'000);
}

TEST_CASE("Shares, gang below its part, starts as a whole") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddOrganisation("b", 1);
  pool.AddWorkers(1, {8'000, 8'000, 0});
  StepSpec gang = Pool::Step(4, kCore, Millis(800));
  gang.is_gang = true;
  pool.Submit("b", Pool::Step(20, kCore, Millis(800)));
  pool.Submit("a", gang);
  pool.Plan();
  CHECK(pool.HeldBy("a").millicores == 4'000);
  CHECK(pool.HeldBy("b").millicores == 4'000);
}

TEST_CASE("Shares, leader loads a snapshot, what is held counts") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddOrganisation("b", 1);
  pool.AddWorkers(1, {8'000, 8'000, 0});
  pool.Submit("b", Pool::Step(8, kCore, Millis(800)));
  pool.Plan();
  Ledger loaded;
  loaded.Load(pool.ledger().Save());
  CHECK(loaded.PoolUseOf("teklif").at("b") == Resources{8'000, 800, 0});
}

// How long jobs of the small organisations waited until all of their tasks ran.
struct Waits {
  size_t jobs = 0;
  size_t late = 0;  // Started too late to be on time.
  Millis longest{0};
};

// One organisation sends seven times its usual to a pool of 100 places; 17
// others send their usual, 60 % of the pool together with its usual.
Waits FloodByOne(bool has_shares, unsigned seed) {
  constexpr double kWeights[] = {181, 27, 18, 14, 11, 9, 8, 7, 6,
                                 5,   4,  4,  3,  3,  2, 2, 1, 1};
  constexpr double kUsualJobsPerSecond = 0.6 * 100 / (8 * 0.64);
  constexpr Millis kRunTime(640);
  constexpr Millis kSlack(980);
  const double sum =
      std::accumulate(std::begin(kWeights), std::end(kWeights), 0.0);
  Pool pool(has_shares);
  for (size_t index = 0; index < std::size(kWeights); ++index) {
    pool.AddOrganisation("o" + std::to_string(index), kWeights[index]);
  }
  pool.AddWorkers(10, {64'000, 128'000, 0});
  std::mt19937 random(seed);
  std::vector<double> credit(std::size(kWeights));  // Jobs that are due.
  for (double& each : credit) {
    each = std::uniform_real_distribution<double>(0, 1)(random);
  }
  std::map<std::string, uint32_t> left;  // Tasks of small jobs, not started.
  Waits waits;
  const SteadyTime end = pool.now() + Seconds(15);
  while (pool.now() < end) {
    for (size_t index = 0; index < credit.size(); ++index) {
      const double factor = index == 0 ? 7 : 1;
      credit[index] +=
          factor * kUsualJobsPerSecond * kWeights[index] / sum * 0.01;
      while (credit[index] >= 1) {
        credit[index] -= 1;
        const std::string job =
            pool.Submit("o" + std::to_string(index),
                        Pool::Step(8, {6'200, 9'000, 0}, kRunTime));
        if (index > 0) {
          left[job] = 8;
        }
      }
    }
    pool.RunUntil(pool.now() + Millis(10), kRunTime,
                  [&](const RunStarted& start) {
                    const auto job = left.find(start.task.job);
                    if (job != left.end() && --job->second == 0) {
                      const Millis wait = std::chrono::floor<Millis>(
                          pool.now() - pool.SeenAt(job->first));
                      ++waits.jobs;
                      waits.late += wait > kSlack ? 1 : 0;
                      waits.longest = std::max(waits.longest, wait);
                      left.erase(job);
                    }
                  });
  }
  for (const auto& [job, tasks] : left) {
    waits.late += pool.now() - pool.SeenAt(job) > kSlack ? 1 : 0;
    ++waits.jobs;
  }
  return waits;
}

TEST_CASE("Shares, one sends seven times its usual, others are in time") {
  Waits today;
  Waits shares;
  for (unsigned seed = 0; seed < 3; ++seed) {
    const Waits without = FloodByOne(false, seed);
    const Waits with = FloodByOne(true, seed);
    today.jobs += without.jobs;
    today.late += without.late;
    shares.jobs += with.jobs;
    shares.late += with.late;
  }
  CHECK(shares.jobs > 200);
  CHECK(shares.late * 100 < shares.jobs);
  // The load is one that is too much without shares.
  CHECK(today.late * 100 > today.jobs * 80);
}

// Organisations with jobs of equal tasks, started and ended at random.
class RandomPool {
 public:
  // @param all_ask Whether all organisations always have tasks waiting, rather
  //   than the first one only.
  RandomPool(unsigned seed, bool all_ask, bool has_shares = true)
      : m_random(seed), m_all_ask(all_ask), m_pool(has_shares) {
    m_weights.resize(Pick(2, 5));
    for (size_t index = 0; index < m_weights.size(); ++index) {
      m_weights[index] = static_cast<double>(Pick(1, 30));
      m_pool.AddOrganisation(Name(index), m_weights[index]);
    }
    m_workers = Pick(1, 3);
    m_places = Pick(2, 6);
    m_pool.AddWorkers(static_cast<int>(m_workers),
                      {1'000 * m_places, 1'000 * m_places, 0});
    m_waiting.resize(m_weights.size());
    m_held.resize(m_weights.size());
  }

  // Ends some tasks, submits some jobs, plans, and checks the plan.
  void Round() {
    EndSome();
    for (size_t index = 0; index < m_weights.size(); ++index) {
      const bool always_asks = m_all_ask || index == 0;
      while (always_asks && m_waiting[index] < 2 * Places()) {
        Submit(index);
      }
      if (!always_asks && Pick(0, 3) == 0) {
        Submit(index);
      }
    }
    const std::vector<double> parts = Parts();
    bool is_beyond = false;
    for (const RunStarted& start : m_pool.Plan()) {
      const size_t index = m_pool.OrganisationOf(start)[0] - 'a';
      is_beyond = is_beyond || m_held[index] >= parts[index] - 1e-6;
      ++m_held[index];
      --m_waiting[index];
      m_running.push_back(start);
    }
    // Whoever always asks and lacks more than a task a worker comes before all
    // that have their parts.
    const double lacks = parts[0] - m_held[0];
    CHECK_FALSE((is_beyond && lacks > static_cast<double>(m_workers) + 1e-6));
    if (m_all_ask && m_ended_all) {
      CHECK(lacks <= static_cast<double>(m_workers) + 1e-6);
    }
  }

 private:
  static std::string Name(size_t index) {
    return std::string(1, static_cast<char>('a' + index));
  }

  int64_t Pick(int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(m_random);
  }

  int64_t Places() const { return m_workers * m_places; }

  void Submit(size_t index) {
    const auto count = static_cast<uint32_t>(Pick(1, 4));
    m_pool.Submit(Name(index), Pool::Step(count, {1'000, 1'000, 0}, Millis(9)));
    m_waiting[index] += count;
  }

  void EndSome() {
    std::shuffle(m_running.begin(), m_running.end(), m_random);
    const int64_t ended = Pick(0, static_cast<int64_t>(m_running.size()));
    for (int64_t each = 0; each < ended; ++each) {
      const RunStarted run = m_running.back();
      m_running.pop_back();
      --m_held[m_pool.OrganisationOf(run)[0] - 'a'];
      m_pool.End(run);
    }
    m_ended_all = m_ended_all || (ended > 0 && m_running.empty());
  }

  std::vector<double> Parts() const {
    std::vector<ShareClaim> claims;
    for (size_t index = 0; index < m_weights.size(); ++index) {
      claims.push_back({m_weights[index],
                        static_cast<double>(m_held[index] + m_waiting[index])});
    }
    return DivideByWeight(static_cast<double>(Places()), claims);
  }

  std::mt19937 m_random;
  bool m_all_ask;
  Pool m_pool;
  std::vector<double> m_weights;
  int64_t m_workers = 0;
  int64_t m_places = 0;  // On each worker.
  std::vector<int64_t> m_waiting;
  std::vector<int64_t> m_held;
  std::vector<RunStarted> m_running;
  bool m_ended_all =
      false;  // Since then, only plans with shares started tasks.
};

TEST_CASE("Shares, all ask all the time, each holds its part") {
  for (unsigned seed = 0; seed < 5'000; ++seed) {
    CAPTURE(seed);
    RandomPool pool(seed, true);
    for (int round = 0; round < 12; ++round) {
      pool.Round();
    }
  }
}

TEST_CASE("Shares, others come and go, one that always asks comes first") {
  for (unsigned seed = 0; seed < 5'000; ++seed) {
    CAPTURE(seed);
    RandomPool pool(seed, false);
    for (int round = 0; round < 12; ++round) {
      pool.Round();
    }
  }
}

// The starts of a random sequence of jobs and ends.
std::vector<RunStarted> RandomStarts(Pool& pool,
                                     unsigned seed,
                                     const std::vector<std::string>& names,
                                     uint32_t max_tasks) {
  std::mt19937 random(seed);
  std::vector<RunStarted> all;
  std::vector<RunStarted> running;
  for (int round = 0; round < 10; ++round) {
    for (uint32_t job = random() % 4; job > 0; --job) {
      StepSpec step = Pool::Step(
          1 + random() % max_tasks,
          {static_cast<int64_t>(500 + random() % 3'000), 500, 0}, Millis(800));
      step.is_gang = random() % 4 == 0;
      step.is_persistent = random() % 8 == 0;
      step.data_rack = random() % 4 == 0 ? "r1" : "";
      pool.Submit(names[random() % names.size()], step);
    }
    for (const RunStarted& start : pool.Plan()) {
      all.push_back(start);
      running.push_back(start);
    }
    while (!running.empty() && random() % 3 != 0) {
      std::swap(running[random() % running.size()], running.back());
      pool.End(running.back());
      running.pop_back();
    }
  }
  return all;
}

void CheckSameStarts(const std::vector<RunStarted>& a,
                     const std::vector<RunStarted>& b) {
  REQUIRE(a.size() == b.size());
  for (size_t index = 0; index < a.size(); ++index) {
    CHECK(a[index].task == b[index].task);
    CHECK(a[index].worker == b[index].worker);
  }
}

TEST_CASE("Shares, no organisations, plans as without shares") {
  for (unsigned seed = 0; seed < 500; ++seed) {
    CAPTURE(seed);
    Pool with(true, false);
    Pool without(false, false);
    with.AddWorkers(3, {8'000, 8'000, 0});
    without.AddWorkers(3, {8'000, 8'000, 0});
    CheckSameStarts(RandomStarts(with, seed, {""}, 12),
                    RandomStarts(without, seed, {""}, 12));
  }
}

TEST_CASE("Shares, room for all, plans as without shares") {
  for (unsigned seed = 0; seed < 500; ++seed) {
    CAPTURE(seed);
    Pool with(true);
    Pool without(false);
    for (Pool* pool : {&with, &without}) {
      pool->AddOrganisation("a", 20);
      pool->AddOrganisation("b", 1);
      pool->AddWorkers(10, {64'000, 64'000, 0});
    }
    CheckSameStarts(RandomStarts(with, seed, {"a", "b", ""}, 4),
                    RandomStarts(without, seed, {"a", "b", ""}, 4));
  }
}

TEST_CASE("Shares, memory is scarcest, divided by memory") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddOrganisation("b", 1);
  pool.AddWorkers(1, {64'000, 16'000, 0});
  pool.Submit("a", Pool::Step(20, {1'000, 1'000, 0}, Millis(800)));
  pool.Submit("b", Pool::Step(20, {100, 1'000, 0}, Millis(800)));
  CHECK(pool.Plan().size() == 16);
  CHECK(pool.HeldBy("a").memory_mb == 8'000);
  CHECK(pool.HeldBy("b").memory_mb == 8'000);
}

TEST_CASE("Shares, work of nobody, gets what organisations leave") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddWorkers(1, {8'000, 8'000, 0});
  pool.Submit("", Pool::Step(8, kCore, Millis(800)));
  pool.Submit("a", Pool::Step(6, kCore, Millis(800)));
  pool.Plan();
  CHECK(pool.HeldBy("a").millicores == 6'000);
  CHECK(pool.HeldBy("").millicores == 2'000);
}

TEST_CASE("Shares, queue moves to another service, its runs count there") {
  Pool pool;
  pool.AddOrganisation("a", 1);
  pool.AddWorkers(1, {8'000, 8'000, 0});
  pool.Submit("a", Pool::Step(8, kCore, Millis(800)));
  std::vector<RunStarted> running = pool.Plan();
  Configuration moved = pool.ledger().configuration();
  ++moved.version;
  moved.queues[0].service = "other";
  pool.ledger().Apply(ConfigurationWithIdentitiesSet{moved});
  CHECK(pool.HeldBy("a") == Resources());
  CHECK(pool.ledger().PoolUseOf("other").at("a").millicores == 8'000);
  for (const RunStarted& run : running) {
    pool.End(run);
  }
  CHECK(pool.ledger().PoolUseOf("other").at("a") == Resources());
}

}  // namespace
}  // namespace laurelhall::scheduling
