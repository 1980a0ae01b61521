#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

/// The end of a run that is not begun: the runner is unhealthy and answers 503.
inline constexpr char kRefused[] = "refused";

/// How one run goes, decided when it starts.
struct Course {
  int lasts_ms = 1000;  ///< -1: until it is stopped.
  std::string end = "done";
};

struct RunEvent {
  long long at_ms = 0;
  /// "start", how the run ended, or "noted HOW": `last_seen` has reached that
  /// end, and the runner's lease has not lapsed between the two.
  std::string what;
  std::string runner;
  std::string task;
  unsigned run = 0;
  std::string checkpoint;
  std::string spec;  ///< Of a start.
};

/// What all runners of a fleet saw, in order. Thread-safe.
class Seen {
 public:
  using Listener = std::function<void(const RunEvent&)>;

  explicit Seen(Listener listener) : m_listener(std::move(listener)) {}
  void Add(RunEvent event);
  std::vector<RunEvent> All() const;
  /// Events with `what` of tasks whose names begin with `task`.
  std::vector<RunEvent> Of(const std::string& what,
                           const std::string& task) const;

 private:
  Listener m_listener;
  mutable std::mutex m_mutex;
  std::vector<RunEvent> m_events;
};

struct RunnerInit {
  std::string id;
  std::string machine;
  std::string address;
  std::string service;
  std::vector<std::string> labels;
  int cpu = 16000;
  int mem_mb = 65536;
};

/// A sound runner, by the users' page of the protocol. Thread-safe.
class Runner {
 public:
  using Plan = std::function<
      Course(const std::string& task, unsigned run, const Runner& runner)>;

  Runner(RunnerInit init,
         std::vector<std::string> control,
         Plan plan,
         Seen& seen);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  const RunnerInit& init() const { return m_init; }
  /// Ends as a crashed process: silent at once, all runs gone.
  void Crash();
  /// Ends the runs of some tasks, all at one moment.
  void End(const std::vector<std::string>& tasks, const std::string& how);
  bool is_up() const;
  /// Whether a daemon has acknowledged a heartbeat.
  bool is_registered() const;
  /// Tasks at work.
  std::vector<std::string> Running() const;

 private:
  struct Run {
    unsigned number = 0;
    long long started_ms = 0;
    long long end_ms = -1;
    std::string end;
    std::string checkpoint;
  };
  struct EndRow {
    long long number;
    std::string task;
    unsigned run;
    std::string how;
    std::string checkpoint;
    int lapses;  // Of the lease, before it.
  };

  Message Handle(const Message& request);
  Message Start(const std::string& body);
  Message Stop(const std::string& body);
  Message Hold(const std::string& body);
  Message Answer(int status, const std::string& reason = {}) const;
  bool TakeFence(long long fence);
  void FollowLease();
  void ExtendLease(long long deadline_ms);
  void Finish(const std::string& task, const std::string& how);
  void Tick();
  void Beat();
  long long ClockMs() const;

  const RunnerInit m_init;
  const std::vector<std::string> m_control;
  const Plan m_plan;
  Seen& m_seen;
  const long long m_born_ms;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_is_up = true;
  bool m_is_registered = false;
  long long m_fence = 0;
  long long m_lease_ms = 0;
  int m_lapses = 0;
  bool m_is_lapsed = false;
  long long m_next_end = 1;
  std::map<std::string, Run> m_running;
  std::map<std::string, unsigned> m_barred;  // Highest run over, by task.
  std::deque<EndRow> m_ended;
  std::unique_ptr<Server> m_server;
  std::thread m_ticker;
  std::thread m_beater;
};

}  // namespace review
