#include "laurelhall/scheduling/admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace laurelhall::scheduling {
namespace {

constexpr Millis kStep{10};
constexpr int kStepsPerUpdate = 15;
constexpr Millis kRunTime{640};
constexpr double kTaskCores = 3;
constexpr int kTasks = 8;
constexpr double kStepWork = kTasks * kTaskCores * 640;

/// An organisation whose callers submit at random times.
struct Sender {
  std::string name;
  std::string organisation;
  double weight = 1;
  double jobs_per_second = 1;
  /// How often a refused caller asks again; zero: when it was told to.
  Millis polls_every{0};
  bool is_excess = false;
  int sent = 0;
  int admitted = 0;
  int in_time = 0;
  int late = 0;
};

/// A pool that serves the admitted jobs by their deadlines, in steps of time.
class PoolSimulation {
 public:
  explicit PoolSimulation(double cores) : cores(cores) {}

  Sender& Add(const std::string& name, double weight, double jobs_per_second) {
    return senders.emplace_back(Sender{name, name, weight, jobs_per_second});
  }

  void Run(Millis time) {
    for (Millis gone{0}; gone < time; gone += kStep) {
      if (m_steps++ % kStepsPerUpdate == 0) {
        admission.Update("pool", Load(), Now());
      }
      Submit();
      EndSteps();
      StartTasks();
      busy_time += m_busy * kStep.count();
      m_now += kStep;
    }
  }

  Sender& Of(const std::string& name) {
    return *std::find_if(
        senders.begin(), senders.end(),
        [&](const Sender& sender) { return sender.name == name; });
  }

  Admission admission;
  double cores;
  double capacity_used = 1;  ///< The share of the cores that tasks can take.
  bool is_known = true;
  std::vector<Sender> senders;
  double busy_time = 0;  ///< In core-milliseconds.

 private:
  struct Job {
    AdmissionRequest request;
    size_t sender = 0;
    SteadyTime deadline{};
    int steps_left = 1;
    int tasks_to_start = kTasks;
    std::vector<SteadyTime> ends;  // Of running tasks.
    SteadyTime asks_at{};          // While it is not admitted.
    SteadyTime gives_up_at{};
  };

  SteadyTime Now() const { return m_now; }

  PoolLoad Load() const {
    PoolLoad load;
    load.is_known = is_known;
    load.usable_cores = cores;
    load.busy_cores = m_busy;
    for (const Job& job : m_open) {
      double waiting = (job.steps_left - 1) * kStepWork +
                       job.tasks_to_start * kTaskCores * 640;
      load.ready_work += job.tasks_to_start * kTaskCores * 640;
      const double running =
          static_cast<double>(job.ends.size()) * kTaskCores * 320;
      OpenWork& open = load.open[job.request.organisation];
      open.weight = job.request.weight;
      (job.request.is_excess ? open.excess : open.promised) +=
          waiting + running;
    }
    return load;
  }

  void Submit() {
    for (size_t index = 0; index < senders.size(); ++index) {
      Sender& sender = senders[index];
      const double due =
          sender.jobs_per_second * static_cast<double>(kStep.count()) / 1000;
      if (std::uniform_real_distribution<>(0, 1)(m_random) >= due) {
        continue;
      }
      Job job;
      job.sender = index;
      job.steps_left = m_random() % 5 < 3 ? 2 : 1;
      const Millis chain = kRunTime * job.steps_left;
      job.request = {sender.name + std::to_string(sender.sent++),
                     sender.organisation,
                     sender.weight,
                     "pool",
                     true,
                     sender.is_excess,
                     job.steps_left * kStepWork,
                     chain,
                     chain * 8 / 5 + Millis(600)};
      job.asks_at = Now();
      job.gives_up_at = Now() + kPatience;
      m_asking.push_back(std::move(job));
    }
    for (Job& job : std::exchange(m_asking, {})) {
      Ask(std::move(job));
    }
  }

  void Ask(Job job) {
    if (Now() >= job.gives_up_at) {
      return;
    }
    if (Now() < job.asks_at) {
      m_asking.push_back(std::move(job));
      return;
    }
    Sender& sender = senders[job.sender];
    const Decision decision = admission.Decide(job.request, Now());
    if (decision.is_admitted()) {
      admission.Settle(job.request, true);
      ++sender.admitted;
      job.deadline = Now() + job.request.objective;
      m_open.push_back(std::move(job));
    } else {
      job.asks_at =
          Now() + (sender.polls_every > Millis(0)
                       ? sender.polls_every
                       : std::chrono::ceil<Seconds>(decision.retry_after));
      m_asking.push_back(std::move(job));
    }
  }

  void EndSteps() {
    for (Job& job : m_open) {
      const auto ended = std::erase_if(
          job.ends, [this](SteadyTime end) { return end <= Now(); });
      m_busy -= static_cast<double>(ended) * kTaskCores;
      if (job.ends.empty() && job.tasks_to_start == 0) {
        --job.steps_left;
        job.tasks_to_start = job.steps_left > 0 ? kTasks : 0;
        const bool is_done = job.steps_left == 0;
        const bool is_late = Now() > job.deadline;
        senders[job.sender].in_time += is_done && !is_late ? 1 : 0;
        senders[job.sender].late += is_done && is_late ? 1 : 0;
      }
    }
    std::erase_if(m_open, [](const Job& job) { return job.steps_left == 0; });
  }

  void StartTasks() {
    std::sort(m_open.begin(), m_open.end(), [](const Job& a, const Job& b) {
      return std::pair(a.request.is_excess, a.deadline) <
             std::pair(b.request.is_excess, b.deadline);
    });
    for (Job& job : m_open) {
      while (job.tasks_to_start > 0 &&
             m_busy + kTaskCores <= cores * capacity_used) {
        job.ends.push_back(Now() + kRunTime);
        --job.tasks_to_start;
        m_busy += kTaskCores;
      }
    }
  }

  static constexpr Millis kPatience{6'000};

  std::mt19937_64 m_random{7};
  SteadyTime m_now{Millis(1'000'000)};
  int m_steps = 0;
  double m_busy = 0;
  std::vector<Job> m_open;
  std::vector<Job> m_asking;
};

// 20 organisations, three of which send seven times their usual: twice what
// the pool can do.
class RushFixture {
 protected:
  RushFixture() : pool(960) {
    for (int index = 0; index < 17; ++index) {
      pool.Add("usual-" + std::to_string(index), 0.9, 0.9);
    }
    for (const char* name : {"rush-a", "rush-b", "rush-c"}) {
      pool.Add(name, 3, 21);
    }
  }

  struct Sum {
    int sent = 0;
    int admitted = 0;
    int in_time = 0;
    int late = 0;
  };

  Sum Total(const std::string& prefix) const {
    Sum sum;
    for (const Sender& sender : pool.senders) {
      if (sender.name.starts_with(prefix)) {
        sum.sent += sender.sent;
        sum.admitted += sender.admitted;
        sum.in_time += sender.in_time;
        sum.late += sender.late;
      }
    }
    return sum;
  }

  PoolSimulation pool;
};

// Guards against one rush that makes nearly all jobs late.
TEST_CASE_FIXTURE(RushFixture,
                  "Admission, three rush, usual ones are admitted and all that "
                  "is admitted is in time") {
  pool.Run(Millis(20'000));
  const Sum usual = Total("usual");
  CHECK(usual.sent > 250);
  CHECK(usual.admitted >= 0.98 * usual.sent);
  CHECK(usual.late == 0);
  const Sum rush = Total("rush");
  CHECK(rush.admitted < 0.5 * rush.sent);
  CHECK(rush.late <= 0.02 * rush.admitted);
  CHECK(pool.busy_time >= 0.8 * pool.cores * 20'000);
}

TEST_CASE_FIXTURE(RushFixture,
                  "Admission, capacity of the pool is not known, all are "
                  "admitted") {
  pool.is_known = false;
  pool.Run(Millis(4'000));
  CHECK(Total("").admitted == Total("").sent);
}

TEST_CASE_FIXTURE(RushFixture,
                  "Admission, pool grows, more is admitted and in time") {
  pool.cores = 480;
  pool.Run(Millis(8'000));
  const Sum before = Total("");
  pool.cores = 960;
  pool.Run(Millis(8'000));
  const Sum after = Total("");
  CHECK(after.admitted - before.admitted > 1.5 * before.admitted);
  CHECK(after.late - before.late <= 0.02 * after.admitted);
}

TEST_CASE_FIXTURE(RushFixture,
                  "Admission, pool loses a rack, what is admitted later is in "
                  "time") {
  pool.Run(Millis(8'000));
  pool.cores = 640;
  pool.Run(Millis(4'000));  // What was admitted before is late.
  const Sum before = Total("");
  pool.Run(Millis(12'000));
  const Sum after = Total("");
  CHECK(after.late - before.late <= 0.02 * (after.admitted - before.admitted));
}

TEST_CASE_FIXTURE(RushFixture,
                  "Admission, organisation comes back in a rush, it is "
                  "admitted at once") {
  pool.Of("usual-3").jobs_per_second = 0;
  pool.Run(Millis(8'000));
  Sender& back = pool.Of("usual-3");
  back.sent = back.admitted = back.in_time = 0;
  back.jobs_per_second = 0.9;
  pool.Run(Millis(12'000));
  CHECK(back.sent > 5);
  CHECK(back.admitted == back.sent);
  CHECK(back.late == 0);
}

// Guards against refused jobs that keep new ones out when the rush is over.
TEST_CASE(
    "Admission, large organisation rushes for two seconds, all of its "
    "jobs are admitted in the end") {
  PoolSimulation pool(2'240);
  pool.Add("large", 181, 17.5);
  for (const double weight : {27, 18, 12, 9, 7, 6, 5, 4, 3, 3, 2, 2, 1, 1}) {
    pool.Add("other-" + std::to_string(pool.senders.size()), weight,
             weight * 17.5 / 181);
  }
  pool.Run(Millis(4'000));
  pool.Of("large").jobs_per_second = 122;
  pool.Run(Millis(2'000));
  CHECK(pool.Of("large").admitted < 0.95 * pool.Of("large").sent);
  pool.Of("large").jobs_per_second = 17.5;
  pool.Run(Millis(14'000));
  for (const Sender& sender : pool.senders) {
    CAPTURE(sender.name);
    CHECK(sender.admitted >= sender.sent - 1);
    CHECK(sender.late == 0);
  }
}

TEST_CASE(
    "Admission, tasks take only a part of the cores, what is admitted is "
    "in time") {
  PoolSimulation pool(960);
  pool.capacity_used = 0.7;
  pool.Add("a", 1, 60);
  pool.Run(Millis(6'000));  // The efficiency is learned meanwhile.
  const Sender before = pool.Of("a");
  pool.Run(Millis(10'000));
  const Sender after = pool.Of("a");
  CHECK(pool.admission.EfficiencyOf("pool") < 0.8);
  CHECK(after.late - before.late <= 0.05 * (after.admitted - before.admitted));
}

// Guards against a refusal that is worth more to those who insist.
TEST_CASE(
    "Admission, refused callers ask ten times a second, get no more than "
    "those that wait") {
  PoolSimulation pool(960);
  pool.Add("insists", 1, 30).polls_every = Millis(100);
  pool.Add("waits", 1, 30);
  for (Sender& sender : pool.senders) {
    sender.organisation = "a";
  }
  pool.Run(Millis(30'000));
  CHECK(pool.Of("insists").admitted <= 1.1 * pool.Of("waits").admitted);
}

class AdmissionFixture {
 protected:
  AdmissionFixture() {
    request.job = "job";
    request.organisation = "a";
    request.weight = 1;
    request.pool = "pool";
    request.work = 10'000;
    request.critical_path = Millis(1'000);
    request.objective = Millis(2'150);  // Of which dispatching takes 150 ms.
  }

  // 100 cores, which do 85 s of work within the slack of 1 s.
  void Open(double promised, double excess = 0) {
    PoolLoad load;
    load.is_known = true;
    load.usable_cores = 100;
    load.open["a"] = {1, promised, excess};
    admission.Update("pool", load, now);
  }

  Decision Decide(const std::string& job = "job") {
    request.job = job;
    return admission.Decide(request, now);
  }

  Admission admission;
  AdmissionRequest request;
  SteadyTime now{Millis(1'000'000)};
};

TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, open work fills the slack, refused until it has "
                  "shrunk") {
  Open(84'000);
  CHECK(Decide("fits").is_admitted());
  Open(127'500);
  const Decision refused = Decide();
  CHECK(refused.verdict == Verdict::kBeyondShare);
  CHECK(refused.slack == Millis(1'000));
  CHECK(refused.retry_after == Millis(617));  // With the 10 s of "fits".
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, no organisation or no short job, admitted") {
  Open(1'000'000);
  request.is_short = false;
  CHECK(Decide().is_admitted());
  request.is_short = true;
  request.organisation = "";
  CHECK(Decide().is_admitted());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, the other organisation's work fills the pool, "
                  "admitted up to the own half") {
  Open(1'000'000);
  request.organisation = "b";
  for (const char* job : {"1", "2", "3", "4", "5"}) {
    CHECK(Decide(job).is_admitted());
  }
  CHECK_FALSE(Decide("6").is_admitted());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, excess job, takes only what is left over") {
  request.is_excess = true;
  Open(80'000, 4'000);
  CHECK(Decide().is_admitted());
  Open(90'000, 4'000);
  CHECK(Decide("next").verdict == Verdict::kExcess);
  request.is_excess = false;
  Open(80'000, 1'000'000);
  CHECK(Decide("promised").is_admitted());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, several are refused, return times are apart") {
  Open(170'000);
  const Millis first = Decide("1").retry_after;
  const Millis second = Decide("2").retry_after;
  CHECK(second - first >= Millis(100));  // The pool does a job in 118 ms.
  now += Millis(50);
  const Decision early = Decide("1");
  CHECK(early.verdict == Verdict::kTooEarly);
  CHECK(early.retry_after == first - Millis(50));
}

// Guards against a pool that admits everything while new hosts arrive.
TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, many new workers are not reached yet, the pool "
                  "stays known") {
  Open(1'000'000);
  PoolLoad load;
  load.usable_cores = 100;
  load.open["a"] = {1, 1'000'000, 0};
  admission.Update("pool", load, now);
  CHECK_FALSE(Decide().is_admitted());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "Admission, admitted job is not committed, its work is "
                  "forgotten") {
  Open(80'000);
  CHECK(Decide("1").is_admitted());
  CHECK_FALSE(Decide("2").is_admitted());
  request.job = "1";
  admission.Settle(request, false);
  CHECK(Decide("3").is_admitted());
}
}  // namespace
}  // namespace laurelhall::scheduling
