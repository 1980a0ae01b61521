// Plays one case of the review against the daemons as separate processes.
//
//   review_standin CASE DAEMON RECORD   (TROUBLE=0: without the disruption)
//
// Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

#include <signal.h>
#include <sys/prctl.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <set>

#include "cluster.h"
#include "runner.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Of the users' small deployments.
constexpr int kRunners = 9;
constexpr int kRunnersOfRack = 4;
constexpr int kCancelMs = 3000;
constexpr unsigned kMaxAttempts = 2;
constexpr int kFinishMs = 14'000;

constexpr char kService[] = "teklif";
constexpr char kPrefix[] = "/puxa400/";
constexpr char kJob[] = "5c0e7a21d94b36f8";

struct CaseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void Require(bool is_so, const std::string& what) {
  if (!is_so) {
    throw CaseError(what);
  }
}

/// A deployment with its runners, and what a case needs of both.
class Stage {
 public:
  Stage(const std::string& daemon,
        const std::string& folder,
        Record& record,
        Runner::Plan plan)
      : m_record(record),
        m_plan(std::move(plan)),
        m_seen([&record](const RunEvent& event) {
          record.Line("runner " + event.runner + ": " + event.what + " " +
                      event.task + " run " + std::to_string(event.run) +
                      (event.checkpoint.empty()
                           ? ""
                           : " checkpoint " + event.checkpoint) +
                      (event.spec.empty() ? "" : " spec " + event.spec));
        }),
        m_cluster(daemon, folder, record) {
    Require(m_cluster.Put(Base(1)), "no configuration was acknowledged");
    for (int number = 1; number <= kRunners; ++number) {
      Add(number);
    }
    const long long end = NowMs() + 20'000;
    const auto is_registered = [](const auto& entry) {
      return entry.second->is_registered();
    };
    while (!std::all_of(m_runners.begin(), m_runners.end(), is_registered)) {
      Require(NowMs() < end, "the runners were not registered");
      SleepMs(50);
    }
    Require(m_cluster.AwaitReady(), "the entry daemons were not ready");
    SleepMs(3000);  // Each has been called and its room is known.
  }

  static Configuration Base(int version) {
    Configuration base;
    base.version = version;
    base.services = {kService};
    base.routes = {{"r-anu6wsj", kPrefix, kService, 2},
                   {"r-k9m68k7", "/wuhu344/", kService, 2}};
    return base;
  }

  static std::string Target() { return std::string(kPrefix) + kJob; }

  static std::string RackOf(int number) {
    return "r1-" + std::to_string(1 + (number - 1) / kRunnersOfRack);
  }

  /// A new life of a machine, at the same address.
  void Add(int number) {
    RunnerInit init;
    init.id =
        "i-" + std::to_string(number) + "-" + std::to_string(++m_lives[number]);
    init.machine = "m-" + std::to_string(number);
    init.address = m_cluster.RunnerAddress(number);
    init.service = kService;
    init.labels = {"a", RackOf(number)};
    m_cluster.AddMachine(init);
    m_runners[number] =
        std::make_unique<Runner>(init, m_cluster.control(), m_plan, m_seen);
  }

  /// The number of the runner where a task is at work; 0 where it isn't.
  int Where(const std::string& task) const {
    for (const auto& [number, runner] : m_runners) {
      const auto running = runner->Running();
      if (std::find(running.begin(), running.end(), task) != running.end()) {
        return number;
      }
    }
    return 0;
  }

  /// Waits until a task is at work; 0 where it isn't in time.
  int AwaitWhere(const std::string& task, int timeout_ms) const {
    const long long end = NowMs() + timeout_ms;
    int number = 0;
    while ((number = Where(task)) == 0 && NowMs() < end) {
      SleepMs(10);
    }
    return number;
  }

  /// Ends the runs of tasks on one runner, all at one moment.
  void End(int number,
           const std::vector<std::string>& tasks,
           const std::string& how) {
    m_runners.at(number)->End(tasks, how);
  }

  void Crash(int number) {
    m_record.Line("platform: runner " + m_runners.at(number)->init().id +
                  " crashes");
    m_runners.at(number)->Crash();
  }

  Cluster& cluster() { return m_cluster; }
  const Seen& seen() const { return m_seen; }
  Record& record() { return m_record; }

 private:
  Record& m_record;
  const Runner::Plan m_plan;
  Seen m_seen;
  Cluster m_cluster;
  std::map<int, int> m_lives;
  std::map<int, std::unique_ptr<Runner>> m_runners;
};

struct CaseInput {
  std::string daemon;
  std::string folder;
  Record& record;
  bool has_trouble = true;
};

int Verdict(Record& record, bool is_broken, const std::string& text) {
  record.Line(std::string(is_broken ? "BROKEN: " : "held: ") + text);
  std::cout << (is_broken ? "BROKEN: " : "held: ") << text << std::endl;
  return is_broken ? kBroken : kHeld;
}

// A worker fails all that it starts for some seconds, and a task has to run
// there, as it asks for a label that the others of its service lack.
int LastAttempt(const CaseInput& input) {
  constexpr int kGreyMs = 3000;
  constexpr int kWatchMs = 30'000;
  constexpr int kCalmMs = 3000;
  const std::string label = Stage::RackOf(kRunners);
  std::atomic<long long> grey_until{0};
  Stage stage(input.daemon, input.folder, input.record,
              [&](const std::string&, unsigned, const Runner& runner) {
                const auto& labels = runner.init().labels;
                const bool is_grey = NowMs() < grey_until &&
                                     std::find(labels.begin(), labels.end(),
                                               label) != labels.end();
                return is_grey ? Course{300, "failed"} : Course{1000, "done"};
              });
  if (input.has_trouble) {
    grey_until = NowMs() + kGreyMs;
    input.record.Line("runner i-" + std::to_string(kRunners) +
                      "-1 fails all that it starts for 3 s");
  }
  // The worker is sound again before the second attempt could end.
  const std::string body =
      R"({"spec":"quote","steps":[{"count":1,"cpu":1100,"mem_mb":4200,)"
      R"("estimate_ms":1000,"required_label":")" +
      label + R"("}]})";
  Require(
      stage.cluster().AskUntilAnswered("POST", Stage::Target(), body) == 200,
      "the job was not accepted");
  const long long handed_in_at = NowMs();
  const std::string task = std::string(kJob) + ".0.0.0";
  const long long end = handed_in_at + kWatchMs;
  std::string state;
  while (NowMs() < end && state != "succeeded" && state != "failed") {
    SleepMs(1000);
    state = stage.cluster().StateOf(Stage::Target());
  }
  const bool is_over = state == "succeeded" || state == "failed";
  Require(is_over || state == "running" || state == "queued",
          "the job's state was not answered");
  // finish_s after the last hand-in, or after the last moment at which
  // something of the job ran.
  long long idle_since =
      std::max<long long>(handed_in_at + kFinishMs, grey_until);
  for (const RunEvent& event : stage.seen().All()) {
    idle_since = std::max(idle_since, event.at_ms);
  }
  const long long idle = NowMs() - idle_since;
  const bool is_broken = !is_over && stage.Where(task) == 0 && idle > kCalmMs;
  return Verdict(
      input.record, is_broken,
      "LOST: the job is shown as " + state + " after " +
          std::to_string(stage.seen().Of("start", task).size()) +
          " starts and " +
          std::to_string(stage.seen().Of("failed", task).size()) +
          " failures of 2" +
          (is_over ? std::string()
                   : "; for " + std::to_string(idle) +
                         " ms, counted from 14 s after the hand-in, nothing "
                         "of it has run, with its worker sound and empty"));
}

// A change of the configuration drops a queue whose job can never be done.
int DroppedQueue(const CaseInput& input) {
  constexpr int kWatchMs = 20'000;
  Stage stage(input.daemon, input.folder, input.record,
              [](const std::string&, unsigned, const Runner&) {
                return Course{1000, "failed"};
              });
  Require(stage.cluster().AskUntilAnswered(
              "POST", Stage::Target(),
              R"({"spec":"poison","steps":[{"count":1,"cpu":1100,)"
              R"("mem_mb":4200,"estimate_ms":1000}]})") == 200,
          "the job was not accepted");
  const std::string task = std::string(kJob) + ".0.0.0";
  Require(stage.AwaitWhere(task, 5000) != 0, "the task was not started");
  if (input.has_trouble) {
    Configuration changed = Stage::Base(2);
    changed.routes.erase(changed.routes.begin());
    Require(stage.cluster().Put(changed), "the change was not acknowledged");
  }
  SleepMs(kWatchMs / 2);
  // For the record: what its client is told meanwhile.
  stage.cluster().AskUntilAnswered("GET", Stage::Target());
  if (input.has_trouble) {
    stage.cluster().AskUntilAnswered("DELETE", Stage::Target());
  }
  SleepMs(kWatchMs / 2);
  if (input.has_trouble) {
    input.record.Line("the queue comes back");
    Require(stage.cluster().Put(Stage::Base(3)),
            "the change was not acknowledged");
    SleepMs(3000);
  }
  const std::string state = stage.cluster().StateOf(Stage::Target());
  const auto starts = stage.seen().Of("start", task);
  Require(starts.size() >= 2, "the task was not tried twice");
  // Starts after two ends as failed that are taken note of then or later.
  std::set<unsigned> noted;
  for (const RunEvent& event : stage.seen().Of("noted failed", task)) {
    noted.insert(event.run);
  }
  size_t failed = 0;
  size_t beyond = 0;
  for (const RunEvent& event : stage.seen().All()) {
    if (event.task == task && event.what == "failed") {
      failed += noted.count(event.run);
    } else if (event.task == task && event.what == "start") {
      beyond += failed >= kMaxAttempts ? 1 : 0;
    }
  }
  return Verdict(input.record, beyond > 0,
                 "BUDGET: max_attempts is 2; " + std::to_string(starts.size()) +
                     " starts, " + std::to_string(beyond) +
                     " of them after two ends as failed that were taken note "
                     "of; at the end the job is shown as " +
                     state);
}

// A client whose hand-in got no answer cancels the job at another daemon, while
// the first one is frozen with the hand-in unread.
int CancelledBefore(const CaseInput& input) {
  constexpr int kFreezeMs = 4000;
  constexpr int kClientMs = 3000;
  constexpr int kWatchMs = 15'000;
  Stage stage(input.daemon, input.folder, input.record,
              [](const std::string&, unsigned, const Runner&) {
                return Course{1500, "done"};
              });
  Cluster& cluster = stage.cluster();
  const long long frozen_at = NowMs();
  if (input.has_trouble) {
    cluster.Signal(0, SIGSTOP);
    SleepMs(200);
  }
  Message post;
  post.method = "POST";
  post.target = Stage::Target();
  post.headers["host"] = "pule25.example";
  post.headers["deadline-ms"] = std::to_string(kClientMs);
  post.body =
      R"({"spec":"estimate","steps":[)"
      R"({"count":1,"cpu":2500,"mem_mb":7100,"estimate_ms":1500},)"
      R"({"count":1,"cpu":2500,"mem_mb":7100,"estimate_ms":1500,"depends_on":[0]},)"
      R"({"count":1,"cpu":2500,"mem_mb":7100,"estimate_ms":1500,"depends_on":[1]},)"
      R"({"count":1,"cpu":2500,"mem_mb":7100,"estimate_ms":1500,"depends_on":[2]}]})";
  {
    OpenCall hand_in(cluster.entry(0), post);
    const auto answer = hand_in.Wait(kClientMs);
    input.record.Line(
        "client: POST " + post.target + " at entry-1 " + post.body + " -> " +
        (answer ? std::to_string(answer->status) : "no answer, closed"));
    Require(!input.has_trouble || !answer, "the frozen daemon answered");
  }
  const int cancelled = cluster.Ask(1, "DELETE", Stage::Target());
  const long long cancelled_at = NowMs();
  Require(cancelled == 200 || cancelled == 410,
          "the cancel was not acknowledged");
  if (input.has_trouble) {
    SleepMs(static_cast<int>(
        std::max<long long>(0, frozen_at + kFreezeMs - NowMs())));
    cluster.Signal(0, SIGCONT);
  }
  SleepMs(kWatchMs);
  size_t late = 0;
  for (const RunEvent& event : stage.seen().Of("start", kJob)) {
    late += event.at_ms > cancelled_at + kCancelMs ? 1 : 0;
  }
  const std::string state = cluster.StateOf(Stage::Target());
  return Verdict(input.record, late > 0,
                 "UNASKED: the cancel was acknowledged with " +
                     std::to_string(cancelled) + "; " + std::to_string(late) +
                     " tasks were started later than 3000 ms after it; the "
                     "job is shown as " +
                     (state.empty() ? "unknown" : state));
}

// A worker fails all that it starts, the tasks of a gang among it, and is sound
// again before the gang's second attempt could end.
int GangFailure(const CaseInput& input) {
  constexpr int kWatchMs = 20'000;
  constexpr int kFailsAfterMs = 50;
  std::atomic<bool> is_grey{input.has_trouble};
  Stage stage(input.daemon, input.folder, input.record,
              [&](const std::string&, unsigned run, const Runner&) {
                return is_grey && run == 1 ? Course{kFailsAfterMs, "failed"}
                                           : Course{-1, ""};
              });
  Require(stage.cluster().AskUntilAnswered(
              "POST", Stage::Target(),
              R"({"spec":"estimate","steps":[{"count":2,"cpu":2500,)"
              R"("mem_mb":7100,"estimate_ms":1000,"gang":true}]})") == 200,
          "the job was not accepted");
  const std::string job(kJob);
  const std::vector<std::string> tasks{job + ".0.0.0", job + ".0.0.1"};
  const long long end = NowMs() + kWatchMs;
  std::string state;
  while (NowMs() < end && state != "succeeded" && state != "failed") {
    SleepMs(1000);
    const int first = stage.Where(tasks[0]);
    const int second = stage.Where(tasks[1]);
    if (first != 0 && second != 0) {  // All are present, and end together.
      stage.End(first, {tasks[0]}, "done");
      stage.End(second, {tasks[1]}, "done");
    }
    state = stage.cluster().StateOf(Stage::Target());
  }
  const auto starts = stage.seen().Of("start", tasks[0]);
  const auto others = stage.seen().Of("start", tasks[1]);
  Require(!starts.empty() && !others.empty() &&
              (!input.has_trouble ||
               starts.front().runner == others.front().runner),
          "the gang was not started on one worker");
  return Verdict(
      input.record, state == "failed" && starts.size() < 2 && others.size() < 2,
      "LOST: max_attempts is 2; the job is shown as " + state + " after " +
          std::to_string(starts.size()) + " run of its gang");
}

// A worker is unhealthy and refuses what it is told to start, while the jobs of
// a queue wait for it, as they ask for a label that the others lack.
int CountOfWaiting(const CaseInput& input) {
  constexpr int kJobs = 4;
  constexpr int kGreyMs = 6500;
  // More than visible_ms and 2 s after the last hand-in.
  constexpr int kAskedMs = 5500;
  const std::string label = Stage::RackOf(kRunners);
  std::atomic<long long> grey_until{0};
  Stage stage(input.daemon, input.folder, input.record,
              [&](const std::string&, unsigned, const Runner& runner) {
                const auto& labels = runner.init().labels;
                const bool is_grey = NowMs() < grey_until &&
                                     std::find(labels.begin(), labels.end(),
                                               label) != labels.end();
                return is_grey ? Course{0, kRefused} : Course{1000, "done"};
              });
  Cluster& cluster = stage.cluster();
  const long long begun = NowMs();
  if (input.has_trouble) {
    grey_until = begun + kGreyMs;
    input.record.Line("runner i-" + std::to_string(kRunners) +
                      "-1 answers 503 to all that it is told to start");
  }
  for (int job = 1; job <= kJobs; ++job) {
    const std::string target =
        std::string(kPrefix) + "000000000000000" + std::to_string(job);
    Require(cluster.AskUntilAnswered(
                "POST", target,
                R"({"spec":"quote","steps":[{"count":1,"cpu":1100,)"
                R"("mem_mb":4200,"estimate_ms":1000,"required_label":")" +
                    label + R"("}]})") == 200,
            "a job was not accepted");
  }
  Require(NowMs() - begun < 400, "the hand-ins took too long");
  SleepMs(static_cast<int>(begun + kAskedMs - NowMs()));
  std::string body;
  Require(cluster.AskUntilAnswered("GET", kPrefix, {}, &body) == 200,
          "the count was not answered");
  Require(NowMs() < begun + kGreyMs, "the count came too late");
  const long long pending =
      boost::json::parse(body).at("pending").to_number<long long>();
  const size_t starts = stage.seen().Of("start", "").size();
  const std::string state =
      cluster.StateOf(std::string(kPrefix) + "0000000000000001");
  SleepMs(4000);
  const auto waiting = kJobs - static_cast<long long>(starts);
  return Verdict(input.record, starts == 0 && 2 * pending < waiting,
                 "MIXED: pending is given as " + std::to_string(pending) +
                     " where " + std::to_string(waiting) +
                     " jobs wait that were accepted over 5 s before; " +
                     std::to_string(starts) +
                     " tasks have started, the first job is shown as " + state);
}

using Case = int (*)(const CaseInput&);

const std::map<std::string, Case>& Cases() {
  static const std::map<std::string, Case> cases{
      {"last-attempt", &LastAttempt},
      {"dropped-queue", &DroppedQueue},
      {"cancelled-before", &CancelledBefore},
      {"gang-failure", &GangFailure},
      {"count-of-waiting", &CountOfWaiting}};
  return cases;
}

int Play(const std::string& name,
         const std::string& daemon,
         const std::string& file) {
  Record record(file);
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  record.Line("case " + name + (has_trouble ? "" : ", without the disruption"));
  std::string folder =
      (std::filesystem::temp_directory_path() / "laurelhall-review-XXXXXX")
          .string();
  if (mkdtemp(folder.data()) == nullptr) {
    return kNotRun;
  }
  int result = kNotRun;
  try {
    result = Cases().at(name)({daemon, folder, record, has_trouble});
  } catch (const std::exception& error) {
    record.Line(std::string("could not run: ") + error.what());
    std::cerr << "could not run: " << error.what() << std::endl;
  }
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::cerr << folder << std::endl;
  }
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4 || !review::Cases().contains(argv[1])) {
    std::cerr << "usage: review_standin CASE DAEMON RECORD" << std::endl;
    return review::kNotRun;
  }
  std::_Exit(review::Play(argv[1], argv[2], argv[3]));
}
