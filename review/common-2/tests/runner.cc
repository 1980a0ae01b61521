#include "runner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kHoldMaxMs = 6000;
constexpr int kBeatMs = 1000;
constexpr int kTickMs = 5;
constexpr int kMostWaitMs = 2000;
constexpr size_t kMostEnds = 500;
// What a runner's clock shows when it begins.
constexpr long long kFirstClockMs = 100'000;

long long Number(const json::object& body, const char* name, long long other) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? other : value->to_number<long long>();
}

std::string Text(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? std::string()
                          : std::string(value->as_string().c_str());
}

}  // namespace

void Seen::Add(RunEvent event) {
  {
    const std::lock_guard lock(m_mutex);
    m_events.push_back(event);
  }
  m_listener(event);
}

std::vector<RunEvent> Seen::All() const {
  const std::lock_guard lock(m_mutex);
  return m_events;
}

std::vector<RunEvent> Seen::Of(const std::string& what,
                               const std::string& task) const {
  std::vector<RunEvent> found;
  for (const RunEvent& event : All()) {
    if (event.what == what && event.task.rfind(task, 0) == 0) {
      found.push_back(event);
    }
  }
  return found;
}

Runner::Runner(RunnerInit init,
               std::vector<std::string> control,
               Plan plan,
               Seen& seen)
    : m_init(std::move(init)),
      m_control(std::move(control)),
      m_plan(std::move(plan)),
      m_seen(seen),
      m_born_ms(NowMs()) {
  m_server = std::make_unique<Server>(
      m_init.address,
      [this](const Message& request) { return Handle(request); });
  m_ticker = std::thread([this] { Tick(); });
  m_beater = std::thread([this] { Beat(); });
}

Runner::~Runner() {
  Crash();
  m_ticker.join();
  m_beater.join();
}

void Runner::Crash() {
  const std::lock_guard lock(m_mutex);
  if (std::exchange(m_is_up, false)) {
    m_server->Stop();
    for (const auto& [task, run] : m_running) {
      m_seen.Add({NowMs(), "crashed", m_init.id, task, run.number, {}, {}});
    }
    m_running.clear();
    m_changed.notify_all();
  }
}

void Runner::End(const std::vector<std::string>& tasks,
                 const std::string& how) {
  const std::lock_guard lock(m_mutex);
  for (const std::string& task : tasks) {
    if (m_running.count(task) > 0) {
      Finish(task, how);
    }
  }
}

bool Runner::is_up() const {
  const std::lock_guard lock(m_mutex);
  return m_is_up;
}

bool Runner::is_registered() const {
  const std::lock_guard lock(m_mutex);
  return m_is_registered;
}

std::vector<std::string> Runner::Running() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : m_running) {
    tasks.push_back(task);
  }
  return tasks;
}

long long Runner::ClockMs() const {
  return kFirstClockMs + NowMs() - m_born_ms;
}

Message Runner::Answer(int status, const std::string& reason) const {
  json::object body{{"clock_ms", ClockMs()}};
  if (!reason.empty()) {
    body["reason"] = reason;
  }
  Message answer;
  answer.status = status;
  answer.body = json::serialize(body);
  return answer;
}

Message Runner::Handle(const Message& request) {
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != m_init.id) {
    return Answer(421);
  }
  if (request.target == "/api/run-start") {
    return Start(request.body);
  }
  if (request.target == "/api/run-stop") {
    return Stop(request.body);
  }
  if (request.target == "/api/hold") {
    return Hold(request.body);
  }
  return Answer(200);  // Its health, and paces: nothing here fills.
}

bool Runner::TakeFence(long long fence) {
  if (fence < m_fence) {
    return false;
  }
  m_fence = fence;
  return true;
}

// With the lock held.
void Runner::FollowLease() {
  const bool is_over = ClockMs() > m_lease_ms;
  m_lapses += is_over && !m_is_lapsed ? 1 : 0;
  m_is_lapsed = is_over;
}

void Runner::ExtendLease(long long deadline_ms) {
  FollowLease();
  m_lease_ms =
      std::max(m_lease_ms, std::min(deadline_ms, ClockMs() + kHoldMaxMs));
}

Message Runner::Start(const std::string& body) {
  const json::object order = json::parse(body).as_object();
  const std::string task = Text(order, "task");
  const auto run = static_cast<unsigned>(Number(order, "run", 0));
  const long long deadline = Number(order, "deadline_ms", 0);
  Run begun;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_is_up) {
      return {};
    }
    if (!TakeFence(Number(order, "fence", 0))) {
      return Answer(409, "fence");
    }
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.number == run) {
      ExtendLease(deadline);
      return Answer(200);
    }
    const auto barred = m_barred.find(task);
    if (barred != m_barred.end() && run <= barred->second) {
      ExtendLease(deadline);
      return Answer(409, "old");
    }
    if (deadline <= ClockMs()) {
      return Answer(409, "late");
    }
    const Course course = m_plan(task, run, *this);
    if (course.end == kRefused) {
      m_seen.Add({NowMs(), kRefused, m_init.id, task, run, {}, {}});
      return Answer(503);
    }
    ExtendLease(deadline);
    begun = {run, ClockMs(),
             course.lasts_ms < 0 ? -1 : ClockMs() + course.lasts_ms, course.end,
             Text(order, "checkpoint")};
    m_running[task] = begun;
  }
  m_seen.Add({NowMs(), "start", m_init.id, task, run, begun.checkpoint,
              Text(order, "spec")});
  return Answer(200);
}

Message Runner::Stop(const std::string& body) {
  const json::object order = json::parse(body).as_object();
  const std::string task = Text(order, "task");
  const auto run = static_cast<unsigned>(Number(order, "run", 0));
  const std::lock_guard lock(m_mutex);
  if (!m_is_up) {
    return {};
  }
  if (!TakeFence(Number(order, "fence", 0))) {
    return Answer(409, "fence");
  }
  unsigned& barred = m_barred[task];
  barred = std::max(barred, run);
  const auto running = m_running.find(task);
  if (running != m_running.end() && running->second.number <= run) {
    Finish(task, "stopped");
  }
  return Answer(200);
}

Message Runner::Hold(const std::string& body) {
  const json::object order = json::parse(body).as_object();
  std::unique_lock lock(m_mutex);
  if (!m_is_up) {
    return {};
  }
  if (!TakeFence(Number(order, "fence", 0))) {
    return Answer(409, "fence");
  }
  FollowLease();
  const long long seen = Number(order, "last_seen", 0);
  while (!m_ended.empty() && m_ended.front().number <= seen) {
    const EndRow& end = m_ended.front();
    if (end.lapses == m_lapses) {
      m_seen.Add(
          {NowMs(), "noted " + end.how, m_init.id, end.task, end.run, {}, {}});
    }
    m_ended.pop_front();
  }
  if (order.contains("deadline_ms")) {
    ExtendLease(Number(order, "deadline_ms", 0));
  }
  const long long wait =
      std::min<long long>(kMostWaitMs, Number(order, "wait_ms", 0));
  m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                     [this] { return !m_ended.empty() || !m_is_up; });
  if (!m_is_up) {
    return {};
  }
  json::array running;
  for (const auto& [task, run] : m_running) {
    running.push_back(json::array{task, run.number, run.checkpoint, 100, 1000});
  }
  json::array ended;
  for (const EndRow& end : m_ended) {
    if (ended.size() < kMostEnds) {
      ended.push_back(
          json::array{end.number, end.task, end.run, end.how, end.checkpoint});
    }
  }
  Message answer;
  answer.status = 200;
  answer.body = json::serialize(json::object{{"clock_ms", ClockMs()},
                                             {"running", std::move(running)},
                                             {"ended", std::move(ended)}});
  return answer;
}

// With the lock held.
void Runner::Finish(const std::string& task, const std::string& how) {
  const Run run = m_running.at(task);
  m_running.erase(task);
  unsigned& barred = m_barred[task];
  barred = std::max(barred, run.number);
  m_ended.push_back(
      {m_next_end++, task, run.number, how, run.checkpoint, m_lapses});
  m_seen.Add({NowMs(), how, m_init.id, task, run.number, run.checkpoint, {}});
  m_changed.notify_all();
}

void Runner::Tick() {
  for (;;) {
    SleepMs(kTickMs);
    const std::lock_guard lock(m_mutex);
    if (!m_is_up) {
      return;
    }
    FollowLease();
    const long long now = ClockMs();
    const auto runs = m_running;
    for (const auto& [task, run] : runs) {
      if (now > m_lease_ms) {
        Finish(task, "lapsed");
      } else if (run.end_ms >= 0 && now >= run.end_ms) {
        Finish(task, run.end);
      }
    }
  }
}

void Runner::Beat() {
  size_t next = std::hash<std::string>()(m_init.id) % m_control.size();
  std::string target = m_control[next];
  for (long long sequence = 1; is_up(); ++sequence) {
    json::array labels;
    for (const std::string& label : m_init.labels) {
      labels.emplace_back(label);
    }
    Message beat;
    beat.method = "PUT";
    beat.target = "/api/instances/" + m_init.id;
    beat.body = json::serialize(json::object{
        {"service", m_init.service},
        {"machine", m_init.machine},
        {"address", m_init.address},
        {"zone", "zone-1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         json::object{
             {"cpu", m_init.cpu}, {"mem_mb", m_init.mem_mb}, {"gpu", 0}}},
        {"labels", labels},
        {"clock_ms", ClockMs()},
        {"seq", sequence}});
    bool is_acknowledged = false;
    for (size_t tries = 0; !is_acknowledged && tries < 2 * m_control.size();
         ++tries) {
      const auto answer = Call(target, beat, 1000);
      const auto to = answer && answer->status == 307
                          ? answer->headers.find("location")
                          : beat.headers.end();
      if (answer && answer->status / 100 == 2) {
        is_acknowledged = true;
        const json::object body = json::parse(answer->body).as_object();
        if (body.contains("heartbeat_url")) {
          target = Text(body, "heartbeat_url");
          target = target.substr(target.rfind('/') + 1);
        }
      } else if (to != beat.headers.end() && answer) {
        const std::string url =
            to->second.substr(std::string("http://").size());
        target = url.substr(0, url.find('/'));
      } else {
        target = m_control[++next % m_control.size()];
      }
    }
    {
      const std::lock_guard lock(m_mutex);
      m_is_registered = m_is_registered || is_acknowledged;
    }
    for (int slept = 0; slept < kBeatMs && is_up(); slept += 50) {
      SleepMs(50);
    }
  }
}

}  // namespace review
