#include "laurelhall/scheduling/ledger.h"

#include <algorithm>
#include <utility>

#include "laurelhall/scheduling/crash.h"

namespace laurelhall::scheduling {

namespace {

// Ids of ended lives that are remembered, so that a late announcement does not
// bring one back: the lives of some days at the coming size (477 a day).
constexpr size_t kMaxGone = 2'000;
// Changes of workers that are told one by one; after more, who follows them
// looks at all. Between two ticks of a leader of a thousand there are a few.
constexpr size_t kMaxChanges = 256;
// Workers that went down under a task, though none is sure to be its fault.
constexpr size_t kCrashesToSuspect = 2;
// From then on a further one beside others could be one too many.
constexpr size_t kCrashesToIsolate = 3;

// Fills what follows from a job's steps.
void DeriveLayout(Job& job) {
  job.step_offset.clear();
  job.occurrence_size = 0;
  for (const StepSpec& step : job.spec.steps) {
    job.step_offset.push_back(job.occurrence_size);
    job.occurrence_size += step.count;
  }
}

}  // namespace

Resources RoomOf(const StepSpec& step) {
  Resources room = step.need;
  if (step.is_filling) {
    room.millicores = 0;
  }
  return room;
}

size_t Job::IndexOf(const TaskId& task) const {
  return static_cast<size_t>(task.occurrence) * occurrence_size +
         step_offset[task.step] + task.index;
}

TaskId Job::IdOf(size_t index) const {
  TaskId task{id, static_cast<uint32_t>(index / occurrence_size), 0, 0};
  const auto in_occurrence = static_cast<uint32_t>(index % occurrence_size);
  const auto next =
      std::upper_bound(step_offset.begin(), step_offset.end(), in_occurrence);
  task.step = static_cast<uint32_t>(next - step_offset.begin()) - 1;
  task.index = in_occurrence - step_offset[task.step];
  return task;
}

const StepSpec& Job::StepOf(size_t index) const {
  return spec.steps[IdOf(index).step];
}

bool Job::IsStepOpen(uint32_t occurrence, uint32_t step) const {
  const size_t base = static_cast<size_t>(occurrence) * spec.steps.size();
  const auto& needed = spec.steps[step].depends_on;
  return std::all_of(needed.begin(), needed.end(), [&](uint32_t earlier) {
    return step_left[base + earlier] == 0;
  });
}

bool Job::Holds(const TaskId& task) const {
  return task.job == id && task.occurrence < spec.occurrences &&
         task.step < spec.steps.size() &&
         task.index < spec.steps[task.step].count;
}

bool Job::is_standing() const {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) { return step.is_persistent; });
}

bool Task::IsSuspect() const {
  return blame > 0 || crashed.size() + open_lapses >= kCrashesToSuspect;
}

bool Task::IsIsolated() const {
  return crashed.size() + open_lapses >= kCrashesToIsolate;
}

bool Task::IsHeldBack() const {
  return open_lapses > 0 && crashed.size() + open_lapses >= kMostCrashes;
}

bool WaveState::is_done() const {
  return std::all_of(hosts.begin(), hosts.end(), [](const auto& host) {
    return host.second == WaveStage::kDone;
  });
}

void Ledger::Apply(const Record& record) {
  std::visit([this](const auto& known) { Run(known); }, record);
}

const Job* Ledger::FindJob(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : &found->second;
}

const Worker* Ledger::FindWorker(const std::string& id) const {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

const std::set<std::string>& Ledger::WorkersOn(const std::string& host) const {
  static const std::set<std::string> none;
  const auto found = m_workers_on.find(host);
  return found == m_workers_on.end() ? none : found->second;
}

const QueueSpec* Ledger::FindQueueByName(const std::string& name) const {
  const auto found = m_queue_places.find(name);
  return found == m_queue_places.end() ? nullptr
                                       : &m_configuration.queues[found->second];
}

Resources Ledger::InUseBy(const std::string& organisation) const {
  const auto found = m_in_use.find(organisation);
  return found == m_in_use.end() ? Resources() : found->second;
}

bool Ledger::IsWithinCapOf(const std::string& organisation,
                           const Resources& planned,
                           const Resources& need) const {
  const OrganisationSpec* spec = m_keys.Find(organisation);
  if (spec == nullptr || spec->cap == Resources()) {
    return true;
  }
  Resources in_use = InUseBy(organisation);
  Add(in_use, planned);
  return IsWithinCap(spec->cap, in_use, need);
}

bool Ledger::IsActive(const TaskId& task,
                      uint32_t run,
                      const std::string& worker) const {
  const Job* job = FindJob(task.job);
  if (job == nullptr || !job->Holds(task)) {
    return false;
  }
  const auto& active = job->tasks[job->IndexOf(task)].active;
  return std::any_of(active.begin(), active.end(), [&](const ActiveRun& each) {
    return each.run == run && each.worker == worker;
  });
}

bool Ledger::IsOutdated(const std::string& worker,
                        WallTime born,
                        uint64_t sequence) const {
  const Worker* known = FindWorker(worker);
  const bool is_other_life = known != nullptr && born != WallTime() &&
                             known->born != WallTime() && born != known->born;
  if (is_other_life) {
    return born < known->born;
  }
  return known != nullptr && sequence != 0 && sequence < known->sequence;
}

bool Ledger::IsGone(const std::string& worker, WallTime born) const {
  const auto gone = m_gone.find(worker);
  return gone != m_gone.end() && (born == WallTime() || born <= gone->second);
}

const std::string& Ledger::ServiceOf(const Job& job) const {
  const QueueSpec* queue = FindQueueByName(job.queue);
  return queue == nullptr ? job.service : queue->service;
}

void Ledger::Run(const ConfigurationSet& record) {
  Adopt(record.configuration);
}

void Ledger::Run(const ConfigurationAdopted& record) {
  Adopt(record.configuration);
}

void Ledger::Adopt(const Configuration& configuration) {
  if (configuration.version > m_configuration.version) {
    Configure(configuration);
  }
}

void Ledger::Configure(Configuration configuration) {
  m_configuration = std::move(configuration);
  m_keys = KeyRing(m_configuration);
  m_queue_places.clear();
  for (size_t place = 0; place < m_configuration.queues.size(); ++place) {
    m_queue_places.try_emplace(m_configuration.queues[place].name, place);
  }
}

void Ledger::Run(const JobAccepted& record) {
  Accept(record);
}

void Ledger::Run(const JobTaken& record) {
  if (Job* job = Accept(record.job)) {
    job->organisation = record.organisation;
    job->is_excess = record.is_excess;
  }
}

Job* Ledger::Accept(const JobAccepted& record) {
  const auto [found, is_new] = m_jobs.try_emplace(record.id);
  if (!is_new) {
    return nullptr;
  }
  Job& job = found->second;
  job.id = record.id;
  job.queue = record.queue;
  job.service = record.service;
  job.accepted_at = record.at;
  job.spec = record.spec;
  DeriveLayout(job);
  job.tasks_left = job.occurrence_size * job.spec.occurrences;
  job.tasks.resize(job.tasks_left);
  for (uint32_t occurrence = 0; occurrence < job.spec.occurrences;
       ++occurrence) {
    for (const StepSpec& step : job.spec.steps) {
      job.step_left.push_back(step.count);
    }
  }
  if (job.tasks_left == 0) {
    job.state = JobState::kSucceeded;
  }
  FollowQueued(job);
  FollowOpen(job);
  return &job;
}

void Ledger::Run(const JobCancelled& record) {
  const auto found = m_jobs.find(record.id);
  if (found != m_jobs.end() && !found->second.is_over()) {
    SetState(found->second, JobState::kCancelled);
  }
}

void Ledger::Run(const JobsForgotten& record) {
  for (const std::string& id : record.ids) {
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.is_over() &&
        found->second.active_runs == 0) {
      m_open.erase(id);
      m_jobs.erase(found);
    }
  }
}

void Ledger::Run(const RunStarted& record) {
  const auto found = m_jobs.find(record.task.job);
  const auto worker = m_workers.find(record.worker);
  if (found == m_jobs.end() || worker == m_workers.end() ||
      !found->second.Holds(record.task)) {
    return;
  }
  Job& job = found->second;
  const size_t index = job.IndexOf(record.task);
  Task& task = job.tasks[index];
  // A step that runs apart from the plan it was made on would run twice.
  const bool is_free = task.active.empty() || job.StepOf(index).is_speculative;
  if (job.is_over() || task.is_done || !is_free ||
      record.run <= task.last_run ||
      worker->second.active.contains(record.task)) {
    return;
  }
  task.last_run = record.run;
  task.is_hot = true;
  task.active.push_back({record.run, record.worker});
  ++job.active_runs;
  CloseLapses(worker->second);
  Occupy(worker->second, job, index);
  if (job.state == JobState::kQueued) {
    SetState(job, JobState::kRunning);
  }
}

void Ledger::Occupy(Worker& worker, const Job& job, size_t index) {
  const TaskId id = job.IdOf(index);
  const StepSpec& step = job.spec.steps[id.step];
  const Resources room = RoomOf(step);
  worker.active.insert(id);
  if (job.tasks[index].IsSuspect()) {
    worker.suspects.insert(id);
  }
  if (!job.organisation.empty()) {
    Add(m_in_use[job.organisation], step.need);
  }
  Add(worker.used, room);
  if (step.is_persistent) {
    ++worker.persistent_runs;
    worker.persistent_millicores += room.millicores;
  }
}

void Ledger::Vacate(Worker& worker, const TaskId& task, const StepSpec& step) {
  const Resources room = RoomOf(step);
  worker.active.erase(task);
  worker.suspects.erase(task);
  Subtract(worker.used, room);
  if (step.is_persistent) {
    --worker.persistent_runs;
    worker.persistent_millicores -= room.millicores;
  }
}

void Ledger::Run(const RunEnded& record) {
  const auto found = m_jobs.find(record.task.job);
  if (found == m_jobs.end() || !found->second.Holds(record.task)) {
    return;
  }
  EndRun(found->second, found->second.IndexOf(record.task), record);
}

void Ledger::EndRun(Job& job, size_t index, const RunEnded& record) {
  Task& task = job.tasks[index];
  const auto run = std::find_if(
      task.active.begin(), task.active.end(), [&](const ActiveRun& active) {
        return active.run == record.run && active.worker == record.worker;
      });
  if (run == task.active.end()) {
    // Its lease lapsed before its end was heard of, and nothing was started
    // since: what is done need not be done again.
    const bool is_last =
        record.run == task.last_run && task.active.empty() && !task.is_done;
    if (record.end == RunEnd::kDone && is_last) {
      FinishTask(job, index);
    }
    return;
  }
  task.active.erase(run);
  --job.active_runs;
  const StepSpec& step = job.StepOf(index);
  if (!job.organisation.empty()) {
    Subtract(m_in_use[job.organisation], step.need);
  }
  const auto worker = m_workers.find(record.worker);
  if (worker != m_workers.end()) {
    Vacate(worker->second, record.task, step);
  }
  if (!record.checkpoint.empty()) {
    task.checkpoint = record.checkpoint;
  }
  if (record.end == RunEnd::kDone) {
    FinishTask(job, index);
  } else if (record.end == RunEnd::kFailed) {
    CountFailure(job, index, record.worker);
  }
  FollowOpen(job);
}

void Ledger::FinishTask(Job& job, size_t index) {
  const TaskId id = job.IdOf(index);
  const StepSpec& step = job.spec.steps[id.step];
  if (step.is_persistent || job.is_over()) {
    return;
  }
  const size_t first = step.is_gang ? index - id.index : index;
  const size_t count = step.is_gang ? step.count : 1;
  for (size_t member = first; member < first + count; ++member) {
    if (!job.tasks[member].is_done) {
      job.tasks[member].is_done = true;
      --job.tasks_left;
      --job.step_left[id.occurrence * job.spec.steps.size() + id.step];
    }
  }
  if (job.tasks_left == 0) {
    SetState(job, JobState::kSucceeded);
  }
}

void Ledger::CountFailure(Job& job, size_t index, const std::string& worker) {
  const TaskId id = job.IdOf(index);
  const StepSpec& step = job.spec.steps[id.step];
  // A gang fails as one: its first task counts for all.
  Task& counted = job.tasks[step.is_gang ? index - id.index : index];
  ++counted.failures;
  job.tasks[index].failed_on = worker;
  const QueueSpec* queue = FindQueueByName(job.queue);
  const uint32_t most = queue == nullptr ? UINT32_MAX : queue->max_attempts;
  const bool is_final = !step.is_persistent && !counted.is_done &&
                        !job.is_over() && counted.failures >= most;
  if (is_final && job.tasks[index].active.empty()) {
    GiveUp(job, index);
  }
}

// A job fails as a whole, but for one with tasks that last: their users are
// served as long as one of them may run.
void Ledger::GiveUp(Job& job, size_t index) {
  job.tasks[index].is_given_up = true;
  bool may_serve = false;
  for (size_t other = 0; job.is_standing() && other < job.tasks.size();
       ++other) {
    may_serve = may_serve || (job.StepOf(other).is_persistent &&
                              !job.tasks[other].is_given_up);
  }
  if (!may_serve) {
    SetState(job, JobState::kFailed);
  }
}

void Ledger::SetState(Job& job, JobState state) {
  job.state = state;
  FollowQueued(job);
  FollowOpen(job);
}

size_t Ledger::CountQueued(const std::string& queue) const {
  const auto found = m_queued.find(queue);
  return found == m_queued.end() ? 0 : found->second.size();
}

void Ledger::FollowQueued(const Job& job) {
  if (job.state == JobState::kQueued) {
    m_queued[job.queue].insert(job.id);
    return;
  }
  const auto queued = m_queued.find(job.queue);
  if (queued != m_queued.end()) {
    queued->second.erase(job.id);
  }
}

void Ledger::FollowOpen(const Job& job) {
  if (job.is_over() && job.active_runs == 0) {
    m_open.erase(job.id);
  } else {
    m_open.insert(job.id);
  }
}

void Ledger::Run(const WorkerSeen& record) {
  if (IsGone(record.info.id)) {
    return;
  }
  // A life never comes back from draining: an older word may have been late.
  Worker& worker = m_workers[record.info.id];
  const bool was_draining = worker.info.is_draining;
  SetInfo(worker, record.info);
  worker.info.is_draining = worker.info.is_draining || was_draining;
}

void Ledger::Run(const WorkerTold& record) {
  const std::string& id = record.info.id;
  if (IsGone(id, record.born) || IsOutdated(id, record.born, record.sequence)) {
    return;
  }
  Worker& worker = m_workers[id];
  if (m_gone.erase(id) > 0) {
    std::erase(m_gone_order, id);
    ++worker.earlier_lives;
  }
  BeginLife(id, worker, record.born);
  Run(WorkerSeen{record.info});
  worker.sequence = record.sequence;
}

void Ledger::Run(const WorkerReborn& record) {
  const auto worker = m_workers.find(record.worker);
  if (worker != m_workers.end()) {
    BeginLife(record.worker, worker->second, record.born);
  }
}

void Ledger::BeginLife(const std::string& id, Worker& worker, WallTime born) {
  if (born <= worker.born) {
    return;
  }
  if (worker.born != WallTime()) {
    NoteChange(id);
    ++worker.earlier_lives;
    worker.is_unjudged = true;
    worker.sequence = 0;
    worker.info.is_draining = false;
    for (const TaskId& task : worker.active) {
      Job& job = m_jobs.at(task.job);
      for (ActiveRun& run : job.tasks[job.IndexOf(task)].active) {
        run.is_outlived = run.is_outlived || run.worker == id;
      }
    }
  }
  worker.born = born;
}

void Ledger::NoteChange(const std::string& worker) {
  ++m_workers_version;
  m_changed_workers.push_back(worker);
  if (m_changed_workers.size() > kMaxChanges) {
    m_changed_workers.pop_front();
  }
}

bool Ledger::VisitChangedWorkers(
    uint64_t since,
    const std::function<void(const std::string&)>& visit) const {
  const uint64_t behind = m_workers_version - since;
  if (since > m_workers_version || behind > m_changed_workers.size()) {
    return false;
  }
  for (auto id = m_changed_workers.end() - static_cast<ptrdiff_t>(behind);
       id != m_changed_workers.end(); ++id) {
    visit(*id);
  }
  return true;
}

void Ledger::SetInfo(Worker& worker, const WorkerInfo& info) {
  NoteChange(info.id);
  LeaveHost(worker.info);
  worker.info = info;
  if (!info.host.empty()) {
    m_workers_on[info.host].insert(info.id);
  }
}

void Ledger::LeaveHost(const WorkerInfo& info) {
  const auto host = m_workers_on.find(info.host);
  if (host == m_workers_on.end()) {
    return;
  }
  host->second.erase(info.id);
  if (host->second.empty()) {
    m_workers_on.erase(host);
  }
}

void Ledger::Run(const WorkerLapsed& record) {
  const auto found = m_workers.find(record.worker);
  if (found == m_workers.end()) {
    return;
  }
  const std::set<TaskId> active = found->second.active;
  for (const TaskId& id : active) {
    Job& job = m_jobs.at(id.job);
    const size_t index = job.IndexOf(id);
    const std::vector<ActiveRun> runs = job.tasks[index].active;
    for (const ActiveRun& run : runs) {
      if (run.worker == record.worker) {
        const bool is_open = !run.is_proven && !run.is_judged &&
                             found->second.lapsed.insert(id).second;
        job.tasks[index].open_lapses += is_open ? 1 : 0;
        job.has_crashes = job.has_crashes || is_open;
        EndRun(job, index, {id, run.run, run.worker, RunEnd::kLapsed, {}});
      }
    }
  }
}

void Ledger::Run(const WorkerGone& record) {
  const Worker* known = FindWorker(record.worker);
  const WallTime born = known == nullptr ? WallTime() : known->born;
  Run(LifeEnded{record.worker, born});
}

void Ledger::Run(const LifeEnded& record) {
  EndLife(record.worker, record.born, true);
}

void Ledger::Run(const WorkerLeft& record) {
  EndLife(record.worker, record.born, false);
}

void Ledger::EndLife(const std::string& id,
                     WallTime born,
                     bool may_have_crashed) {
  const auto found = m_workers.find(id);
  if (found != m_workers.end() && born != WallTime() &&
      born < found->second.born) {
    return;
  }
  if (found != m_workers.end() && may_have_crashed) {
    CountUnjudged(id, found->second);
  }
  Run(WorkerLapsed{id});
  if (found != m_workers.end()) {
    CloseLapses(found->second);
    NoteChange(id);
    LeaveHost(found->second.info);
    m_workers.erase(found);
  }
  Remember(id, born);
}

// Runs of which nobody has said why they ended with their worker count against
// their tasks: the limit on starts holds without evidence.
void Ledger::CountUnjudged(const std::string& id, const Worker& worker) {
  std::vector<TaskId> unjudged(worker.lapsed.begin(), worker.lapsed.end());
  for (const TaskId& task : worker.active) {
    const Job& job = m_jobs.at(task.job);
    const auto& active = job.tasks[job.IndexOf(task)].active;
    const bool is_open =
        std::any_of(active.begin(), active.end(), [&id](const ActiveRun& run) {
          return run.worker == id && !run.is_proven && !run.is_judged;
        });
    if (is_open && !worker.lapsed.contains(task)) {
      unjudged.push_back(task);
    }
  }
  for (const TaskId& task : unjudged) {
    const auto job = m_jobs.find(task.job);
    if (job != m_jobs.end() && job->second.Holds(task)) {
      CountCrash(job->second, job->second.IndexOf(task), id,
                 Suspicion::kBystander);
    }
  }
}

void Ledger::Remember(const std::string& worker, WallTime born) {
  const auto [gone, is_new] = m_gone.try_emplace(worker, born);
  gone->second = std::max(gone->second, born);
  if (!is_new) {
    return;
  }
  m_gone_order.push_back(worker);
  if (m_gone_order.size() > kMaxGone) {
    m_gone.erase(m_gone_order.front());
    m_gone_order.pop_front();
  }
}

void Ledger::Run(const WorkerCrashed& record) {
  const auto worker = m_workers.find(record.worker);
  if (worker == m_workers.end()) {
    return;
  }
  worker->second.is_unjudged = false;
  for (const auto& [id, suspicion] : record.suspects) {
    const auto found = m_jobs.find(id.job);
    const bool was_there = worker->second.active.contains(id) ||
                           worker->second.lapsed.contains(id);
    if (found == m_jobs.end() || !found->second.Holds(id) || !was_there) {
      continue;
    }
    Job& job = found->second;
    const size_t index = job.IndexOf(id);
    for (ActiveRun& run : job.tasks[index].active) {
      run.is_judged = run.is_judged || run.worker == record.worker;
    }
    CountCrash(job, index, record.worker, suspicion);
  }
  CloseLapses(worker->second);
}

void Ledger::CountCrash(Job& job,
                        size_t index,
                        const std::string& worker,
                        Suspicion suspicion) {
  Task& task = job.tasks[index];
  if (suspicion == Suspicion::kExcused) {
    return;
  }
  if (suspicion == Suspicion::kCleared) {
    task.crashed.clear();
    task.blame = 0;
    return;
  }
  job.has_crashes = true;
  task.crashed.push_back(worker);
  task.blame += BlameOf(suspicion);
  if (!job.is_over() && !task.is_done &&
      IsGivenUp(task.crashed.size(), task.blame, suspicion,
                job.StepOf(index).is_persistent)) {
    GiveUp(job, index);
  }
}

void Ledger::Run(const RunProven& record) {
  const auto found = m_jobs.find(record.task.job);
  if (found == m_jobs.end() || !found->second.Holds(record.task)) {
    return;
  }
  Task& task = found->second.tasks[found->second.IndexOf(record.task)];
  for (ActiveRun& run : task.active) {
    if (run.run == record.run) {
      run.is_proven = true;
      task.crashed.clear();
      task.blame = 0;
    }
  }
}

void Ledger::CloseLapses(Worker& worker) {
  for (const TaskId& id : worker.lapsed) {
    const auto job = m_jobs.find(id.job);
    if (job != m_jobs.end()) {
      --job->second.tasks[job->second.IndexOf(id)].open_lapses;
    }
  }
  worker.lapsed.clear();
}

void Ledger::Run(const WaveOpened& record) {
  const auto [found, is_new] = m_waves.try_emplace(record.wave);
  if (!is_new) {
    return;
  }
  found->second.opened = record;
  for (const std::string& host : record.hosts) {
    found->second.hosts[host] = WaveStage::kWaiting;
  }
}

void Ledger::Run(const WaveHostSet& record) {
  const auto found = m_waves.find(record.wave);
  if (found == m_waves.end() || !found->second.hosts.contains(record.host)) {
    return;
  }
  WaveStage& stage = found->second.hosts[record.host];
  stage = std::max(stage, record.stage);
}

// --- Snapshots --------------------------------------------------------------

template <typename Archive>
void Visit(Archive& archive, ActiveRun& value) {
  archive(value.run, value.worker);
}

template <typename Archive>
void Visit(Archive& archive, Task& value) {
  archive(value.is_done, value.is_hot, value.last_run, value.failures,
          value.failed_on, value.checkpoint, value.active);
}

template <typename Archive>
void Visit(Archive& archive, Job& value) {
  archive(value.id, value.queue, value.service, value.accepted_at, value.spec,
          value.state, value.tasks, value.tasks_left, value.active_runs,
          value.step_left);
}

namespace {

struct SavedWave {
  WaveOpened opened;
  std::vector<WaveHostSet> hosts;
};

template <typename Archive>
void Visit(Archive& archive, SavedWave& value) {
  archive(value.opened, value.hosts);
}

struct SavedCrashes {
  TaskId task;
  std::vector<std::string> workers;
  uint32_t blame = 0;
};

template <typename Archive>
void Visit(Archive& archive, SavedCrashes& value) {
  archive(value.task, value.workers, value.blame);
}

struct SavedLapse {
  std::string worker;
  std::vector<TaskId> tasks;
};

template <typename Archive>
void Visit(Archive& archive, SavedLapse& value) {
  archive(value.worker, value.tasks);
}

struct SavedWord {
  std::string worker;
  uint64_t sequence = 0;
  WallTime born{};
  uint32_t earlier_lives = 0;
  bool is_unjudged = false;
};

template <typename Archive>
void Visit(Archive& archive, SavedWord& value) {
  archive(value.worker, value.sequence, value.born, value.earlier_lives,
          value.is_unjudged);
}

struct SavedOutlived {
  TaskId task;
  uint32_t run = 0;
};

template <typename Archive>
void Visit(Archive& archive, SavedOutlived& value) {
  archive(value.task, value.run);
}

struct SavedMarks {
  TaskId task;
  uint32_t run = 0;
  bool is_proven = false;
  bool is_judged = false;
};

template <typename Archive>
void Visit(Archive& archive, SavedMarks& value) {
  archive(value.task, value.run, value.is_proven, value.is_judged);
}

struct SavedOwner {
  std::string job;
  std::string organisation;
  bool is_excess = false;
};

template <typename Archive>
void Visit(Archive& archive, SavedOwner& value) {
  archive(value.job, value.organisation, value.is_excess);
}

struct SavedLedger {
  Configuration configuration;
  std::vector<Job> jobs;
  std::vector<WorkerInfo> workers;
  std::vector<SavedWave> waves;
  std::vector<std::string> gone;
  std::vector<SavedCrashes> crashes;
  std::vector<SavedLapse> lapses;
  std::vector<SavedWord> words;
  std::vector<SavedOutlived> outlived;
  std::vector<WallTime> gone_births;  ///< As `gone`.
  std::vector<SavedOwner> owners;     ///< Of the jobs that are somebody's.
  std::vector<TaskId> given_up;
  std::vector<SavedMarks> marks;
};

template <typename Archive>
void Visit(Archive& archive, SavedLedger& value) {
  archive(value.configuration, value.jobs, value.workers, value.waves,
          value.gone);
  archive.Later(value.crashes, value.lapses, value.words, value.outlived,
                value.gone_births);
  archive.Later(value.configuration.identities, value.owners);
  archive.Later(value.given_up, value.marks);
}

}  // namespace

std::string Ledger::Save() const {
  SavedLedger saved;
  saved.configuration = m_configuration;
  for (const auto& [id, job] : m_jobs) {
    saved.jobs.push_back(job);
  }
  for (const auto& [id, worker] : m_workers) {
    saved.workers.push_back(worker.info);
  }
  // One ledger has one text, in whatever order it came about.
  const auto is_before = [](const auto& a, const auto& b) {
    return a.id < b.id;
  };
  std::sort(saved.jobs.begin(), saved.jobs.end(), is_before);
  std::sort(saved.workers.begin(), saved.workers.end(), is_before);
  for (const auto& [number, wave] : m_waves) {
    SavedWave& out = saved.waves.emplace_back();
    out.opened = wave.opened;
    for (const auto& [host, stage] : wave.hosts) {
      out.hosts.push_back({number, host, stage});
    }
  }
  saved.gone.assign(m_gone_order.begin(), m_gone_order.end());
  for (const std::string& id : saved.gone) {
    saved.gone_births.push_back(m_gone.at(id));
  }
  for (const Job& job : saved.jobs) {
    if (!job.organisation.empty()) {
      saved.owners.push_back({job.id, job.organisation, job.is_excess});
    }
    for (size_t index = 0; index < job.tasks.size(); ++index) {
      const Task& task = job.tasks[index];
      if (!task.crashed.empty()) {
        saved.crashes.push_back({job.IdOf(index), task.crashed, task.blame});
      }
      if (task.is_given_up) {
        saved.given_up.push_back(job.IdOf(index));
      }
      for (const ActiveRun& run : task.active) {
        if (run.is_outlived) {
          saved.outlived.push_back({job.IdOf(index), run.run});
        }
        if (run.is_proven || run.is_judged) {
          saved.marks.push_back(
              {job.IdOf(index), run.run, run.is_proven, run.is_judged});
        }
      }
    }
  }
  for (const WorkerInfo& info : saved.workers) {
    const Worker& worker = m_workers.at(info.id);
    saved.words.push_back({info.id, worker.sequence, worker.born,
                           worker.earlier_lives, worker.is_unjudged});
    const std::set<TaskId>& lapsed = worker.lapsed;
    if (!lapsed.empty()) {
      saved.lapses.push_back({info.id, {lapsed.begin(), lapsed.end()}});
    }
  }
  return Encode(std::move(saved));
}

void Ledger::Load(std::string_view text) {
  SavedLedger saved = Decode<SavedLedger>(text);
  const uint64_t version = m_workers_version;
  *this = Ledger();
  m_workers_version = version + 1;
  Configure(std::move(saved.configuration));
  for (const WorkerInfo& info : saved.workers) {
    SetInfo(m_workers[info.id], info);
  }
  for (Job& loaded : saved.jobs) {
    Job& job = m_jobs[loaded.id];
    job = std::move(loaded);
    DeriveLayout(job);
    FollowQueued(job);
    FollowOpen(job);
  }
  for (SavedOwner& owner : saved.owners) {
    Job& job = m_jobs.at(owner.job);
    job.organisation = std::move(owner.organisation);
    job.is_excess = owner.is_excess;
  }
  for (SavedCrashes& crashes : saved.crashes) {
    Job& job = m_jobs.at(crashes.task.job);
    Task& task = job.tasks[job.IndexOf(crashes.task)];
    job.has_crashes = true;
    task.crashed = std::move(crashes.workers);
    task.blame = crashes.blame;
  }
  for (const TaskId& id : saved.given_up) {
    Job& job = m_jobs.at(id.job);
    job.tasks[job.IndexOf(id)].is_given_up = true;
  }
  for (const SavedWord& word : saved.words) {
    Worker& worker = m_workers[word.worker];
    worker.sequence = word.sequence;
    worker.born = word.born;
    worker.earlier_lives = word.earlier_lives;
    worker.is_unjudged = word.is_unjudged;
  }
  for (const SavedOutlived& outlived : saved.outlived) {
    Job& job = m_jobs.at(outlived.task.job);
    for (ActiveRun& run : job.tasks[job.IndexOf(outlived.task)].active) {
      run.is_outlived = run.is_outlived || run.run == outlived.run;
    }
  }
  for (const SavedMarks& marks : saved.marks) {
    Job& job = m_jobs.at(marks.task.job);
    for (ActiveRun& run : job.tasks[job.IndexOf(marks.task)].active) {
      if (run.run == marks.run) {
        run.is_proven = marks.is_proven;
        run.is_judged = marks.is_judged;
      }
    }
  }
  for (const SavedLapse& lapse : saved.lapses) {
    m_workers[lapse.worker].lapsed.insert(lapse.tasks.begin(),
                                          lapse.tasks.end());
    for (const TaskId& id : lapse.tasks) {
      const auto job = m_jobs.find(id.job);
      if (job != m_jobs.end()) {
        job->second.has_crashes = true;
        ++job->second.tasks[job->second.IndexOf(id)].open_lapses;
      }
    }
  }
  for (const auto& [id, job] : m_jobs) {
    for (size_t index = 0; index < job.tasks.size(); ++index) {
      const Task& task = job.tasks[index];
      for (const ActiveRun& run : task.active) {
        Occupy(m_workers[run.worker], job, index);
      }
    }
  }
  for (SavedWave& wave : saved.waves) {
    Run(wave.opened);
    for (const WaveHostSet& host : wave.hosts) {
      Run(host);
    }
  }
  saved.gone_births.resize(saved.gone.size());
  for (size_t place = 0; place < saved.gone.size(); ++place) {
    m_gone[saved.gone[place]] = saved.gone_births[place];
    m_gone_order.push_back(saved.gone[place]);
  }
}

}  // namespace laurelhall::scheduling
