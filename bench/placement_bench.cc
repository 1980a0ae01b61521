// Placement against first fit, over the same seeded load: deadlines met, urgent
// starts, work lost, utilisation, and the time that a step takes.
//
// A host whose runs use more processors than it has slows all of them in
// proportion; one that is out of memory runs at a quarter of its speed.

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <initializer_list>
#include <new>
#include <random>

#include "../packages/placement/tests/fake_workers.h"
#include "first_fit.h"

namespace {

// What is allocated, to see what a step needs. The bench has one thread.
size_t allocated = 0;
size_t most_allocated = 0;

}  // namespace

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  allocated += malloc_usable_size(memory);
  most_allocated = std::max(most_allocated, allocated);
  return memory;
}

void operator delete(void* memory) noexcept {
  allocated -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, size_t) noexcept {
  operator delete(memory);
}

namespace laurelhall::bench {
namespace {

using model::HostState;
using model::Job;
using model::JobState;
using model::Priority;
using model::Resources;
using placement::ActualJob;
using placement::FakeWorkers;
using placement::JobReport;

constexpr WallTime kBegin{Millis(1'000'000'000)};
constexpr Millis kStep{500};
constexpr Millis kUrgentBound{7'200};
constexpr int kKinds = 6;
constexpr double kSwapSpeed = 0.25;

struct Scale {
  const char* name = "";
  int hosts = 0;
  int pools = 0;
  int teams = 0;
  int hosts_per_rack = 4;
  int zones = 0;
  int accelerators = 0;  // On every fourth host or so, eight or four each.
  Resources host{32, 128, 0};
  bool is_misdeclared = true;
  double load = 0.85;  // Of the processors, by the jobs' true sizes.
  Millis horizon{0};
};

struct Result {
  int deadlines = 0;
  int deadlines_met = 0;
  int deadlines_attainable = 0;  // On an empty fleet, started on arrival.
  std::vector<Millis> urgent_waits;
  double useful = 0;  // Processor milliseconds of runs that ended well.
  double capacity = 0;
  Millis work_lost{0};
  std::vector<double> step_ms;
  size_t most_jobs = 0;
};

// The load: arrivals at a steady rate, declared sizes and run times off by a
// factor that is each kind's own, some outliers, deadlines by priority.
class Load {
 public:
  Load(const Scale& scale, uint64_t seed) : m_scale(scale), m_random(seed) {
    for (double& factor : m_size_factors) {
      factor = std::exp(Between(std::log(0.2), std::log(3.0)));
    }
    for (double& factor : m_time_factors) {
      factor = std::exp(Between(std::log(0.2), std::log(5.0)));
    }
  }

  // Submits what arrives in a step; returns nothing that is not in the fleet.
  void Arrive(FakeWorkers& workers, WallTime now) {
    const double offered = m_scale.load * m_scale.hosts *
                           m_scale.host.processors *
                           static_cast<double>(kStep.count());
    m_owed += offered;
    while (m_owed > 0) {
      m_owed -= Submit(workers, now);
    }
  }

  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }

 private:
  // Returns the processor milliseconds that the job takes in truth.
  double Submit(FakeWorkers& workers, WallTime now) {
    Job job;
    job.id = fmt::format("j{:08}", m_next++);
    job.team = fmt::format("t{}", m_random() % m_scale.teams);
    job.pool = fmt::format("p{:03}", m_random() % m_scale.pools);
    const double kind = Between(0, 1);
    job.priority = kind < 0.3   ? Priority::kUrgent
                   : kind < 0.8 ? Priority::kStandard
                                : Priority::kBatch;
    job.submitted = now;
    ActualJob as_is;
    Shape(job, as_is);
    const double work =
        as_is.used.processors * static_cast<double>(as_is.run_time.count());
    workers.Submit(std::move(job), as_is);
    return work;
  }

  void Shape(Job& job, ActualJob& as_is) {
    const auto kind = m_random() % kKinds;
    job.kind = fmt::format("k{}", kind);
    job.can_checkpoint = m_random() % 2 == 0;
    as_is.used = {Between(1, 8), Between(2, 30), 0};
    const bool is_off = m_scale.is_misdeclared;
    const double size_factor =
        is_off ? m_size_factors[kind] * Between(0.9, 1.1) : 1;
    const double time_factor =
        is_off ? m_time_factors[kind] * Between(0.9, 1.1) : 1;
    switch (job.priority) {
      case Priority::kUrgent:
        as_is.used = {Between(1, 3), Between(2, 8), 0};
        as_is.run_time = Seconds(20);
        job.deadline = job.submitted + Seconds(60);
        break;
      case Priority::kStandard:
        as_is.run_time = Seconds(static_cast<int>(Between(120, 900)));
        job.deadline =
            job.submitted +
            Millis(static_cast<int64_t>(
                static_cast<double>(as_is.run_time.count()) * Between(1.5, 6)));
        break;
      default:
        as_is.run_time = Seconds(static_cast<int>(Between(600, 1'800)));
        job.deadline =
            job.submitted + Seconds(static_cast<int>(Between(3'600, 5'400)));
        break;
    }
    if (m_scale.accelerators > 0 && job.priority != Priority::kUrgent &&
        m_random() % 10 == 0) {
      as_is.used.accelerators = 1;
    }
    job.declared = {as_is.used.processors / size_factor,
                    as_is.used.memory_gb / size_factor,
                    as_is.used.accelerators};
    job.declared.processors =
        std::min(job.declared.processors, m_scale.host.processors);
    job.declared.memory_gb =
        std::min(job.declared.memory_gb, m_scale.host.memory_gb);
    job.declared_run_time = Millis(static_cast<int64_t>(
        static_cast<double>(as_is.run_time.count()) / time_factor));
    if (is_off && job.priority != Priority::kUrgent && m_random() % 20 == 0) {
      as_is.run_time *= 5;
    }
  }

  const Scale& m_scale;
  std::mt19937_64 m_random;
  std::array<double, kKinds> m_size_factors{};
  std::array<double, kKinds> m_time_factors{};
  double m_owed = 0;
  int m_next = 0;
};

void AddHosts(const Scale& scale, FakeWorkers& workers) {
  int accelerators = scale.accelerators;
  for (int i = 0; i < scale.hosts; ++i) {
    model::Host host;
    host.id = fmt::format("h{:04}", i);
    host.pool = fmt::format("p{:03}", i % scale.pools);
    host.rack = fmt::format("r{}", i / scale.hosts_per_rack);
    host.availability_zone =
        fmt::format("z{}", i / scale.hosts_per_rack % scale.zones);
    host.capacity = scale.host;
    host.state = HostState::kInPool;
    if (accelerators > 0 && i / scale.pools % 3 == 0) {
      host.capacity.accelerators = std::min(accelerators, 5);
      accelerators -= host.capacity.accelerators;
    }
    workers.fleet.hosts[host.id] = host;
  }
  for (int i = 0; i < scale.pools; ++i) {
    const std::string name = fmt::format("p{:03}", i);
    workers.fleet.pools[name].name = name;
  }
  for (int i = 0; i < scale.teams; ++i) {
    const std::string name = fmt::format("t{}", i);
    const double share = 1.0 / scale.teams;
    workers.fleet.quotas[name] = {
        name,
        {scale.hosts * scale.host.processors * share,
         scale.hosts * scale.host.memory_gb * share,
         static_cast<int>(scale.accelerators * share) + 1},
        true};
  }
}

// How fast each host runs under what its runs use in truth.
void Contend(FakeWorkers& workers) {
  std::map<std::string, Resources> used;
  for (const auto& [id, runs] : workers.runs) {
    for (const auto& run : runs) {
      const Job& job = workers.fleet.jobs.at(id);
      const Resources& part = workers.truth.at(id).used;
      used[run.host].processors += part.processors * job.throttle;
      used[run.host].memory_gb += part.memory_gb;
    }
  }
  workers.speed.clear();
  for (const auto& [id, sum] : used) {
    const Resources& capacity = workers.fleet.hosts.at(id).capacity;
    double speed = std::min(1.0, capacity.processors / sum.processors);
    if (sum.memory_gb > capacity.memory_gb) {
      speed *= kSwapSpeed;
    }
    if (speed < 1) {
      workers.speed[id] = speed;
    }
  }
}

// A few hosts fail, and a few drain, at fixed times.
void ChangeHosts(const Scale& scale, FakeWorkers& workers, WallTime now) {
  const auto at = [&](double share) {
    const Millis since(static_cast<int64_t>(
        static_cast<double>(scale.horizon.count()) * share));
    return now >= kBegin + since && now < kBegin + since + kStep;
  };
  if (!at(0.4) && !at(0.5)) {
    return;
  }
  const int count = std::max(1, scale.hosts / 50);
  const bool fails = at(0.4);
  for (int i = 0; i < count; ++i) {
    const int index = (i * 47 + (fails ? 1 : 20)) % scale.hosts;
    model::Host& host = workers.fleet.hosts[fmt::format("h{:04}", index)];
    host.state = fails ? HostState::kFailed : HostState::kDraining;
    host.state_since = now;
    if (fails) {
      workers.silent.insert(host.id);
    }
  }
}

void NoteEnd(const Job& job,
             const ActualJob& as_is,
             WallTime now,
             Result& result) {
  result.useful +=
      as_is.used.processors * static_cast<double>(as_is.run_time.count());
  if (job.priority != Priority::kUrgent) {
    ++result.deadlines;
    result.deadlines_met += now <= job.deadline;
    result.deadlines_attainable +=
        job.submitted + as_is.run_time <= job.deadline;
  }
}

template <typename Scheduler>
void Take(FakeWorkers& workers,
          Scheduler& scheduler,
          const JobReport& report,
          WallTime now,
          Result& result) {
  Job& job = workers.fleet.jobs.at(report.job);
  const auto next = AfterReport(job, report, now);
  if (!next.has_value()) {
    return;
  }
  scheduler.Learn(job, report, now);
  job = *next;
  if (job.state == JobState::kSucceeded) {
    NoteEnd(job, workers.truth.at(job.id), now, result);
  }
}

void NoteStarts(FakeWorkers& workers,
                const std::vector<placement::JobAction>& actions,
                WallTime now,
                Result& result) {
  for (const auto& action : actions) {
    const Job& job = workers.fleet.jobs.at(action.job);
    if (action.kind == placement::JobActionKind::kStart && job.attempts == 1 &&
        job.priority == Priority::kUrgent) {
      result.urgent_waits.push_back(now - job.submitted);
    }
  }
}

// Jobs that should have ended by now and did not.
void NoteMisses(const FakeWorkers& workers, WallTime now, Result& result) {
  for (const auto& [id, job] : workers.fleet.jobs) {
    if (job.state == JobState::kSucceeded) {
      continue;
    }
    if (job.priority == Priority::kUrgent) {
      if (job.attempts == 0 && now - job.submitted > kUrgentBound) {
        result.urgent_waits.push_back(now - job.submitted);
      }
    } else if (job.deadline < now) {
      ++result.deadlines;
      result.deadlines_attainable +=
          job.submitted + workers.truth.at(id).run_time <= job.deadline;
    }
  }
}

template <typename Scheduler>
Result Run(const Scale& scale, Scheduler& scheduler, uint64_t seed) {
  FakeWorkers workers;
  AddHosts(scale, workers);
  workers.bad = {"h0003"};
  Load load(scale, seed);
  Result result;
  const WallTime end = kBegin + scale.horizon;
  for (WallTime now = kBegin; now < end; now += kStep) {
    load.Arrive(workers, now);
    ChangeHosts(scale, workers, now);
    const auto seen = workers.Observe(now);
    const auto begin = std::chrono::steady_clock::now();
    const auto actions = scheduler.Step(workers.fleet, seen, now);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - begin;
    result.step_ms.push_back(took.count());
    result.most_jobs = std::max(result.most_jobs, workers.fleet.jobs.size());
    workers.Commit(actions, now);
    NoteStarts(workers, actions, now, result);
    Contend(workers);
    for (const JobReport& report : workers.Tick(now + kStep, kStep)) {
      Take(workers, scheduler, report, now + kStep, result);
    }
    // As the daemon does: ended jobs leave the state after a while.
    std::erase_if(workers.fleet.jobs, [](const auto& entry) {
      return entry.second.state == JobState::kSucceeded ||
             entry.second.state == JobState::kFailed;
    });
  }
  NoteMisses(workers, end, result);
  result.work_lost = workers.work_lost;
  result.capacity = scale.hosts * scale.host.processors *
                    static_cast<double>(scale.horizon.count());
  return result;
}

template <typename T>
T Quantile(std::vector<T> values, double quantile) {
  if (values.empty()) {
    return T{};
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(quantile *
                                    static_cast<double>(values.size() - 1))];
}

void Print(const Scale& scale, const char* name, const Result& result) {
  double sum = 0;
  for (const double ms : result.step_ms) {
    sum += ms;
  }
  fmt::print(
      "{:10} {:26} deadlines met {:6.2f}% of {:6} (bound {:6.2f}%)  urgent "
      "start p50 {} p99 {} "
      "max {} of {:6}  work lost {:7} s  utilisation {:5.1f}%  step mean "
      "{:.2f} "
      "p99 {:.2f} max {:.2f} ms  jobs at most {}\n",
      scale.name, name, 100.0 * result.deadlines_met / result.deadlines,
      result.deadlines, 100.0 * result.deadlines_attainable / result.deadlines,
      FormatDuration(Quantile(result.urgent_waits, 0.5)),
      FormatDuration(Quantile(result.urgent_waits, 0.99)),
      FormatDuration(Quantile(result.urgent_waits, 1)),
      result.urgent_waits.size(), result.work_lost.count() / 1'000,
      100 * result.useful / result.capacity,
      sum / static_cast<double>(result.step_ms.size()),
      Quantile(result.step_ms, 0.99), Quantile(result.step_ms, 1),
      result.most_jobs);
  std::fflush(stdout);
}

void Compare(Scale scale,
             std::initializer_list<uint64_t> seeds,
             bool with_true_sizes) {
  for (const uint64_t seed : seeds) {
    placement::Placer placer;
    Print(scale, "placer", Run(scale, placer, seed));
    fmt::print("{:12} learned memory as text: {} bytes\n", scale.name,
               model::ToJsonText(placer.Save()).size());
    FirstFit first_fit;
    Print(scale, "first fit", Run(scale, first_fit, seed));
    if (!with_true_sizes) {
      continue;
    }
    scale.is_misdeclared = false;
    placement::Placer told_placer;
    Print(scale, "placer, told true sizes", Run(scale, told_placer, seed));
    Print(scale, "first fit, told true sizes", Run(scale, first_fit, seed));
    scale.is_misdeclared = true;
  }
}

// How a step grows: hosts filled to nine tenths, then a long queue, then a wave
// that cancels it.
void Grow(int hosts, int pools) {
  Scale scale{"grow", hosts, pools, 41, 4, 19, hosts * 3 / 2};
  FakeWorkers workers;
  AddHosts(scale, workers);
  Load load(scale, 7);
  placement::Placer placer;
  WallTime now = kBegin;
  const auto step = [&] {
    const auto seen = workers.Observe(now);

    const auto begin = std::chrono::steady_clock::now();
    const auto actions = placer.Step(workers.fleet, seen, now);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - begin;

    workers.Commit(actions, now);
    now += kStep;
    for (const JobReport& report : workers.Tick(now, kStep)) {
      Result ignored;
      Take(workers, placer, report, now, ignored);
    }
    return took.count();
  };
  double steady = 0;
  constexpr int warm = 2'400;
  constexpr int measured = 100;
  for (int i = 0; i < warm + measured; ++i) {
    load.Arrive(workers, now);
    steady += i >= warm ? step() : (step(), 0.0);
    std::erase_if(workers.fleet.jobs, [](const auto& entry) {
      return entry.second.state == JobState::kSucceeded;
    });
  }
  const size_t jobs = workers.fleet.jobs.size();
  const size_t running = workers.runs.size();
  for (int i = 0; i < 5 * hosts; ++i) {
    load.Arrive(workers, now);
    if (workers.fleet.jobs.size() > jobs + 5UL * hosts) {
      break;
    }
  }
  const size_t before = most_allocated = allocated;
  const double queued = step();
  const size_t step_bytes = most_allocated - before;
  std::vector<std::string> cancelled;
  for (auto& [id, job] : workers.fleet.jobs) {
    if (job.state == JobState::kQueued) {
      job = placement::AfterCancel(job, now, "cancelled");
      cancelled.push_back(id);
    }
  }
  const double after = step();
  fmt::print(
      "grow         {:5} hosts {:3} pools {:6} jobs ({:6} running): steady "
      "step {:.2f} ms; {} more queued {:.2f} ms, at most {} KiB; {} cancelled "
      "{:.2f} ms\n",
      hosts, pools, jobs, running, steady / measured,
      workers.fleet.jobs.size() - jobs, queued, step_bytes / 1'024,
      cancelled.size(), after);
  std::fflush(stdout);
}

}  // namespace
}  // namespace laurelhall::bench

int main(int argc, char** argv) {
  using laurelhall::bench::Compare;
  using laurelhall::bench::Grow;
  using laurelhall::bench::Scale;
  using std::chrono::hours;
  using std::chrono::minutes;
  // Growth or the coming size alone, or all but the coming size, which takes
  // minutes.
  const std::string only = argc > 1 ? argv[1] : "";
  if (only != "--coming" && only != "--growth") {
    const Scale montevideo{"montevideo", 50,   1,    5,       4, 4, 0,
                           {32, 128, 0}, true, 0.85, hours(6)};
    const Scale marmara{"marmara", 50,          1,    5,    4,       3,
                        0,         {16, 64, 0}, true, 0.85, hours(6)};
    Compare(montevideo, {1, 2}, true);
    Compare(marmara, {1, 2}, true);
  }
  if (only != "--coming") {
    Grow(100, 4);
    Grow(475, 17);
    Grow(950, 34);
    Grow(1'900, 68);
    Grow(1'900, 1);
  }
  if (only != "--quick" && only != "--growth") {
    const Scale coming{"coming", 1'900,        68,   41,   4,          19,
                       2'900,    {32, 128, 0}, true, 0.85, minutes(40)};
    Compare(coming, {1}, false);
  }
  return 0;
}
