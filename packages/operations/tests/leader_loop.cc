#include "leader_loop.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace laurelhall::operations {

using model::Fleet;
using model::Host;
using model::HostEvent;
using model::HostState;

namespace {

constexpr const char* kSettings = R"({
  "counter": {"target_hosts": 10, "drain_timeout": "5m", "warm_up": "40s"},
  "annex": {"target_hosts": 6, "drain_timeout": "5m", "warm_up": "40s"}})";
constexpr const char* kServices = R"({
  "quote": {"pools": ["counter", "annex"], "min_available": 15,
            "max_away_share": 0.25},
  "parts": {"pools": ["annex"], "min_available": 4, "max_away_share": 0.4}})";

bool Runs(const model::Service& service, const Host& host) {
  return std::ranges::count(service.pools, host.pool) > 0;
}

}  // namespace

LoopCounts& LoopCounts::operator+=(const LoopCounts& other) {
  for (auto member :
       {&LoopCounts::broken_budgets, &LoopCounts::cut_off,
        &LoopCounts::odd_pool_changes, &LoopCounts::doubled_runs,
        &LoopCounts::drains, &LoopCounts::refused_drains, &LoopCounts::stops,
        &LoopCounts::moves, &LoopCounts::job_runs, &LoopCounts::leaders}) {
    this->*member += other.*member;
  }
  return *this;
}

LeaderLoop::LeaderLoop(uint64_t seed) : m_random(seed) {
  ChangeLeader();
  AddFleet();
}

void LeaderLoop::AddFleet() {
  Commit(state::SettingsCommand{
      {"ana", "s", m_now}, 0, {{"pools", kSettings}, {"services", kServices}}});
  for (int i = 0; i < kHosts; ++i) {
    Host host;
    host.id = "h" + std::to_string(i);
    host.pool = i % 3 == 0 ? "annex" : "counter";
    host.rack = "r" + std::to_string(i / 2);
    host.availability_zone = "z" + std::to_string(i / 8);
    host.capacity = {32, 128, 0};
    host.last_maintained = m_now;
    Commit(state::HostAddCommand{{"ana", "", m_now}, host});
    Post("hosts/" + host.id + "/join");
    Post("hosts/" + host.id + "/warm");
  }
}

std::vector<state::Result> LeaderLoop::Commit(const state::Command& command) {
  const Fleet before = fleet();
  auto results = m_machine.Apply(++m_index, state::EncodeCommands({command}));
  const auto& act = std::get<state::ActResult>(results.front());
  if (const auto* host = std::get_if<state::HostCommand>(&command)) {
    Judge(*host, before, act.is_accepted);
  }
  if (const auto* job = std::get_if<state::JobCommand>(&command)) {
    const bool is_start = act.is_accepted && job->job.lease > 0 &&
                          !job->job.host.empty() &&
                          before.jobs.at(job->job.id).host.empty();
    m_counts.job_runs += is_start;
    m_counts.doubled_runs += is_start && m_runs.contains(job->job.id);
  }
  return results;
}

void LeaderLoop::Judge(const state::HostCommand& command,
                       const Fleet& before,
                       bool is_accepted) {
  const Fleet after = fleet();
  for (const auto& [id, host] : after.hosts) {
    const Host& was = before.hosts.at(id);
    const bool is_move = is_accepted && command.event == HostEvent::kMovePool &&
                         id == command.host && host.pool == was.move_to;
    m_counts.odd_pool_changes += host.pool != was.pool && !is_move;
  }
  if (command.event == HostEvent::kDrain) {
    m_counts.drains += is_accepted;
    m_counts.refused_drains += !is_accepted;
    m_counts.broken_budgets +=
        is_accepted && !HoldsBudgets(after, after.hosts.at(command.host));
  }
  const bool is_stop = command.event == HostEvent::kStopForMaintenance;
  const bool is_move = command.event == HostEvent::kMovePool;
  if (is_accepted && (is_stop || is_move)) {
    m_counts.stops += is_stop;
    m_counts.moves += is_move;
    m_counts.cut_off += InFlight(before, command.host) > 0;
  }
}

/// Counted here anew, without the budget package.
bool LeaderLoop::HoldsBudgets(const Fleet& fleet, const Host& drained) const {
  for (const auto& [name, service] : fleet.services) {
    int hosts = 0;
    int available = 0;
    for (const auto& [id, host] : fleet.hosts) {
      hosts += Runs(service, host);
      available += Runs(service, host) && host.state == HostState::kInPool;
    }
    const bool holds =
        available >= service.min_available &&
        hosts - available <= service.max_away_share * hosts + 1e-9;
    if (Runs(service, drained) && !holds) {
      return false;
    }
  }
  return true;
}

int LeaderLoop::InFlight(const Fleet& fleet, const std::string& host) const {
  const auto busy = m_busy_until.find(host);
  int count = busy != m_busy_until.end() && busy->second > m_now;
  for (const auto& [id, job] : fleet.jobs) {
    count += job.host == host;
  }
  return count;
}

void LeaderLoop::ChangeLeader() {
  ++m_counts.leaders;
  m_leader = MakeOperations("", [this] { return m_now; });
}

void LeaderLoop::Leader(int step) {
  control::LeaderView view{m_now, {}};
  for (const auto& [host, until] : m_busy_until) {
    view.slots_out_by_host[host] = until > m_now;
  }
  std::vector<state::Command> commands;
  for (const auto& duty : m_leader.duties) {
    std::ranges::copy(duty->Step(m_machine, view),
                      std::back_inserter(commands));
  }
  if (!m_is_calm && Chance(4)) {
    std::ranges::shuffle(commands, m_random);
  }
  for (auto& late : m_late) {
    if (late.first <= step) {
      Commit(late.second);
      late.first = INT32_MAX;
    }
  }
  for (const state::Command& command : commands) {
    if (m_is_calm || !Chance(10)) {
      Commit(command);
    }
    if (!m_is_calm && Chance(6)) {
      m_late.emplace_back(step + static_cast<int>(m_random() % 8), command);
    }
  }
}

void LeaderLoop::Platform() {
  m_now += kStep;
  const Fleet seen = fleet();
  EndRequests(seen);
  ReturnHosts(seen);
  RunJobs(seen);
}

// Requests keep coming to hosts in a pool; those of others end in time.
void LeaderLoop::EndRequests(const Fleet& fleet) {
  for (const auto& [id, host] : fleet.hosts) {
    if (host.state == HostState::kInPool) {
      const int64_t most = Chance(20) ? 600 : 60;  // Some runs are long.
      m_busy_until[id] =
          std::max(m_busy_until[id],
                   m_now + Seconds(m_random() % static_cast<uint64_t>(most)));
    }
    if (host.state == HostState::kFailed) {
      m_busy_until[id] = m_now;
    }
  }
}

void LeaderLoop::ReturnHosts(const Fleet& fleet) {
  for (const auto& [id, host] : fleet.hosts) {
    const bool is_maintained = host.state == HostState::kInMaintenance &&
                               m_now - host.state_since >= 3 * kStep;
    const bool is_repaired =
        host.state == HostState::kFailed && m_now >= m_repaired_at[id];
    if (is_maintained || is_repaired) {
      Post("hosts/" + id + "/return", R"(,"version":")" + host.install + '"');
    }
  }
}

void LeaderLoop::RunJobs(const Fleet& fleet) {
  for (const auto& [id, job] : fleet.jobs) {
    const auto run = m_runs.find(id);
    if (job.host.empty()) {
      m_runs.erase(id);
      continue;
    }
    const HostState state = fleet.hosts.at(job.host).state;
    if (state == HostState::kFailed) {
      m_runs.erase(id);  // It went with its worker.
      continue;
    }
    if (run == m_runs.end()) {
      m_runs[id] = {job.lease, m_now + Seconds(m_random() % 300)};
    } else if (job.state == model::JobState::kCheckpointing) {
      Report(job, "kCheckpointed");
    } else if (job.is_stopping || job.state == model::JobState::kCancelled) {
      Report(job, "kStopped");
    } else if (m_failing.contains(job.host)) {
      Report(job, "kFailed");
    } else if (run->second.ends <= m_now) {
      Report(job, "kSucceeded");
    }
  }
}

void LeaderLoop::Report(const model::Job& job, const std::string& kind) {
  const bool is_cancelled = job.state == model::JobState::kCancelled;
  placement::JobReport report;
  report.job = job.id;
  report.lease = job.lease - (is_cancelled ? 1 : 0);
  report.host = job.host;
  boost::describe::enum_from_string(kind.c_str(), report.kind);
  m_runs.erase(job.id);
  Post("jobs/" + job.id + "/report",
       ",\"report\":" + model::ToJsonText(report));
}

control::OperatorReply LeaderLoop::Send(const std::string& method,
                                        const std::string& path,
                                        const std::string& body) {
  control::OperatorReply reply;
  const auto commit = [this](const std::vector<state::Command>& commands,
                             const auto& done) {
    std::vector<state::Result> results;
    for (const state::Command& command : commands) {
      std::ranges::copy(Commit(command), std::back_inserter(results));
    }
    done(results);
  };
  m_leader.service->Handle(
      method, path, body, m_machine, {}, commit,
      [&](const control::OperatorReply& answer) { reply = answer; });
  return reply;
}

void LeaderLoop::Post(const std::string& path, const std::string& members) {
  const std::string body = R"({"operator":"ana","request_id":")" +
                           std::to_string(++m_requests) + '"' + members + '}';
  const auto first = Send("POST", "/v1/" + path, body);
  if (Chance(8)) {  // Its answer was lost.
    const auto again = Send("POST", "/v1/" + path, body);
    CHECK(first.status == again.status);
  }
}

void LeaderLoop::SubmitJob() {
  Post("jobs",
       R"(,"id":"j)" + std::to_string(m_requests) + R"(","team":"t","pool":")" +
           (Chance(2) ? "counter" : "annex") +
           R"(","processors":8,"memory_gb":16,"run_time_ms":60000,
                      "can_checkpoint":)" +
           (Chance(2) ? "true" : "false") + R"(,"deadline_in_ms":7200000)");
}

void LeaderLoop::Operators() {
  const std::string id = std::to_string(m_random() % 8);
  switch (m_random() % 14) {
    case 0:
      return Post("hosts/" + AnyHost() + "/drain");
    case 1:
      return Post("hosts/" + AnyHost() + "/undrain");
    case 2:
      return Post("hosts/" + AnyHost() + "/move",
                  Chance(2) ? R"(,"to":"annex")" : R"(,"to":"counter")");
    case 3:
      return Post("waves", R"(,"id":"w)" + id + R"(","pools":["counter"])");
    case 4:
      return Post("waves/w" + id + (Chance(2) ? "/pause" : "/resume"));
    case 5:
      return Post("waves/w" + id + (Chance(3) ? "/cancel" : "/resume"));
    case 6:
      return Post("rollouts", R"(,"id":"v)" + id +
                                  R"(","service":"parts","version":")" + id +
                                  R"(","previous_version":"0")");
    case 7:
      return Post("rollouts/v" + id + (Chance(2) ? "/pause" : "/resume"));
    case 8:
      return Post("rollouts/v" + id + (Chance(2) ? "/rollback" : "/halt"));
    case 9:
      return Post("jobs/j" + std::to_string(m_requests - 9) + "/cancel");
    default:
      return SubmitJob();
  }
}

void LeaderLoop::FailSome() {
  const Host chosen = fleet().hosts.at(AnyHost());
  const uint64_t how = m_random() % 12;
  for (const auto& [id, host] : fleet().hosts) {
    const bool is_hit =
        id == chosen.id || (how < 3 && host.rack == chosen.rack) ||
        (how == 0 && host.availability_zone == chosen.availability_zone);
    if (is_hit) {
      m_repaired_at[id] = m_now + Seconds(m_random() % 900);
      Post("hosts/" + id + "/fail");
    }
  }
}

void LeaderLoop::Settle() {
  m_is_calm = true;
  for (const auto& [id, host] : fleet().hosts) {
    if (host.drain_reason == model::DrainReason::kOperator) {
      Post("hosts/" + id + "/undrain");
    }
  }
  for (const auto& [id, wave] : fleet().waves) {
    Post("waves/" + id + "/resume");
  }
  for (const auto& [id, rollout] : fleet().rollouts) {
    Post("rollouts/" + id + "/resume");
  }
}

}  // namespace laurelhall::operations
