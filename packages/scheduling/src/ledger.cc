#include "laurelhall/scheduling/ledger.h"

#include <algorithm>
#include <span>
#include <utility>

#include "laurelhall/scheduling/crash.h"

namespace laurelhall::scheduling {

namespace {

// Number of ended workers whose ids are kept, so that a late announcement does
// not add one of them again. Covers about four days at the expected fleet size,
// with 477 ended workers a day.
constexpr size_t kMaxEndedWorkers = 2'000;
// Number of changes of workers that are recorded, and of new jobs. Callers that
// are further behind have to look at all. A leader of 1000 workers sees a few
// changes per tick.
constexpr size_t kMaxListedChanges = 256;
// Number of crashes that make a task a suspect, even without any blame.
constexpr size_t kCrashesToSuspect = 2;
// Number of crashes from which on a task runs alone: it is given up after
// kMaxCrashesPerTask, also without blame, so that another crash beside other
// tasks might be one too many.
constexpr size_t kCrashesToIsolate = 3;
// Attempts of a job whose queue is not known at all.
constexpr uint32_t kAttemptsWithoutQueue = 2;

// Computes step_offset and occurrence_size from the steps of a job.
void ComputeLayout(Job& job) {
  job.step_offset.clear();
  job.occurrence_size = 0;
  for (const StepSpec& step : job.spec.steps) {
    job.step_offset.push_back(job.occurrence_size);
    job.occurrence_size += step.count;
  }
}

// The tasks of a task's gang, or only the task itself.
template <typename AnyJob>
auto MembersOf(AnyJob& job, size_t index) {
  const TaskId task = job.IdOf(index);
  const StepSpec& step = job.spec.steps[task.step];
  return std::span(job.tasks).subspan(step.is_gang ? index - task.index : index,
                                      step.is_gang ? step.count : 1);
}

}  // namespace

Resources ReservedResources(const StepSpec& step) {
  Resources reserved = step.need;
  if (step.is_best_effort) {
    reserved.millicores = 0;
  }
  return reserved;
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

bool Job::IsStepReady(uint32_t occurrence, uint32_t step) const {
  const size_t base = static_cast<size_t>(occurrence) * spec.steps.size();
  const auto& needed = spec.steps[step].depends_on;
  return std::all_of(needed.begin(), needed.end(), [&](uint32_t earlier) {
    return tasks_left_by_step[base + earlier] == 0;
  });
}

bool Job::IsOpenTo(const std::string& caller_organisation) const {
  return organisation.empty() || organisation == caller_organisation;
}

bool Job::Holds(const TaskId& task) const {
  return task.job == id && task.occurrence < spec.occurrences &&
         task.step < spec.steps.size() &&
         task.index < spec.steps[task.step].count;
}

bool Job::IsSuspect(size_t index) const {
  const auto is_suspect = [](const Task& task) { return task.IsSuspect(); };
  return may_have_suspects &&
         std::ranges::any_of(MembersOf(*this, index), is_suspect);
}

bool Job::IsIsolated(size_t index) const {
  const auto is_isolated = [](const Task& task) { return task.IsIsolated(); };
  return may_have_suspects &&
         std::ranges::any_of(MembersOf(*this, index), is_isolated);
}

bool Job::has_persistent_tasks() const {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) { return step.is_persistent; });
}

bool Task::IsSuspect() const {
  return blame > 0 || crashed.size() + unresolved_lapses >= kCrashesToSuspect;
}

bool Task::IsIsolated() const {
  return crashed.size() + unresolved_lapses >= kCrashesToIsolate;
}

bool Task::IsHeldBack() const {
  return unresolved_lapses > 0 &&
         crashed.size() + unresolved_lapses >= kMaxCrashesPerTask;
}

void Ledger::Apply(const Record& record) {
  std::visit([this](const auto& known) { ApplyRecord(known); }, record);
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
  const auto found = m_workers_by_host.find(host);
  return found == m_workers_by_host.end() ? none : found->second;
}

const QueueSpec* Ledger::FindQueueByName(const std::string& name) const {
  const auto found = m_queue_index.find(name);
  return found == m_queue_index.end() ? nullptr
                                      : &m_configuration.queues[found->second];
}

Resources Ledger::InUseBy(const std::string& organisation) const {
  const auto found = m_in_use.find(organisation);
  return found == m_in_use.end() ? Resources() : found->second;
}

const PoolUse& Ledger::PoolUseOf(const std::string& service) const {
  static const PoolUse none;
  const auto found = m_pool_use.find(service);
  return found == m_pool_use.end() ? none : found->second;
}

void Ledger::AddPoolUse(const Job& job, const StepSpec& step) {
  if (!step.is_persistent) {
    Add(m_pool_use[ServiceOf(job)][job.organisation], ReservedResources(step));
  }
}

void Ledger::SubtractPoolUse(const Job& job, const StepSpec& step) {
  if (!step.is_persistent) {
    Subtract(m_pool_use[ServiceOf(job)][job.organisation],
             ReservedResources(step));
  }
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
  const bool is_other_incarnation = known != nullptr && born != WallTime() &&
                                    known->born != WallTime() &&
                                    born != known->born;
  if (is_other_incarnation) {
    return born < known->born;
  }
  return known != nullptr && sequence != 0 && sequence < known->sequence;
}

bool Ledger::IsGone(const std::string& worker,
                    WallTime born,
                    uint64_t sequence) const {
  const auto found = m_ended_workers.find(worker);
  if (found == m_ended_workers.end()) {
    return false;
  }
  const EndedWorker& ended = found->second;
  if (ended.cause == WorkerEndCause::kSilent && born == ended.born) {
    return sequence != 0 && sequence < ended.sequence;  // It came late.
  }
  return born == WallTime() || born <= ended.born;
}

std::optional<WorkerEndCause> Ledger::EndCauseOf(
    const std::string& worker) const {
  const auto found = m_ended_workers.find(worker);
  return found == m_ended_workers.end() ? std::nullopt
                                        : std::optional(found->second.cause);
}

const QueueSpec* Ledger::QueueOf(const Job& job) const {
  if (const QueueSpec* queue = FindQueueByName(job.queue)) {
    return queue;
  }
  const auto dropped = m_dropped_queues.find(job.queue);
  return dropped == m_dropped_queues.end() ? nullptr : &dropped->second;
}

uint32_t Ledger::MaxAttemptsOf(const QueueSpec* queue) {
  return queue == nullptr ? kAttemptsWithoutQueue : queue->max_attempts;
}

const std::string& Ledger::ServiceOf(const Job& job) const {
  return ServiceOf(job, QueueOf(job));
}

const std::string& Ledger::ServiceOf(const Job& job, const QueueSpec* queue) {
  return queue == nullptr ? job.service : queue->service;
}

void Ledger::ApplyRecord(const ConfigurationSet& record) {
  SetConfigurationIfNewer(record.configuration);
}

void Ledger::ApplyRecord(const ConfigurationWithIdentitiesSet& record) {
  SetConfigurationIfNewer(record.configuration);
}

void Ledger::SetConfigurationIfNewer(const Configuration& configuration) {
  if (configuration.version > m_configuration.version) {
    SetConfiguration(configuration);
  }
}

void Ledger::SetConfiguration(Configuration configuration) {
  KeepDroppedQueues(configuration);
  m_configuration = std::move(configuration);
  m_keys = KeyRing(m_configuration);
  m_queue_index.clear();
  for (size_t index = 0; index < m_configuration.queues.size(); ++index) {
    m_queue_index.try_emplace(m_configuration.queues[index].name, index);
  }
  RecountPoolUse();
  GiveUpExhaustedTasks();
}

// Open jobs of a queue that is dropped go on under its last terms.
void Ledger::KeepDroppedQueues(const Configuration& next) {
  std::set<std::string> used;
  if (!m_dropped_queues.empty()) {
    for (const auto& [id, job] : m_open_jobs) {
      used.insert(job->queue);
    }
  }
  std::erase_if(m_dropped_queues, [&used](const auto& dropped) {
    return !used.contains(dropped.first);
  });
  for (const QueueSpec& queue : m_configuration.queues) {
    m_dropped_queues[queue.name] = queue;
  }
  for (const QueueSpec& queue : next.queues) {
    m_dropped_queues.erase(queue.name);
  }
}

// A configuration may grant fewer attempts than tasks have used up.
void Ledger::GiveUpExhaustedTasks() {
  const auto is_idle = [](const Task& task) { return task.active.empty(); };
  std::vector<std::string> ids;  // Giving up a task may close its job.
  for (const auto& [id, job] : m_open_jobs) {
    ids.push_back(id);
  }
  for (const std::string& id : ids) {
    Job& job = m_jobs.at(id);
    for (size_t index = 0; index < job.tasks.size(); ++index) {
      if (job.tasks[index].failures > 0 && IsExhausted(job, index) &&
          std::ranges::all_of(MembersOf(job, index), is_idle)) {
        GiveUpTask(job, index);
      }
    }
  }
}

// A configuration may move a queue, and with it the runs of its jobs, to
// another service.
void Ledger::RecountPoolUse() {
  m_pool_use.clear();
  for (const auto& [id, open_job] : m_open_jobs) {
    const Job& job = *open_job;
    for (size_t index = 0; job.active_runs > 0 && index < job.tasks.size();
         ++index) {
      const size_t runs = job.tasks[index].active.size();
      for (size_t run = 0; run < runs; ++run) {
        AddPoolUse(job, job.StepOf(index));
      }
    }
  }
}

void Ledger::ApplyRecord(const JobAccepted& record) {
  AddJob(record);
}

void Ledger::ApplyRecord(const OrganisationJobAccepted& record) {
  if (Job* job = AddJob(record.job, record.organisation)) {
    job->is_excess = record.is_excess;
  }
}

Job* Ledger::AddJob(const JobAccepted& record,
                    const std::string& organisation) {
  const auto [found, is_new] = m_jobs.try_emplace(record.id);
  if (!is_new) {
    return nullptr;
  }
  Job& job = found->second;
  job.id = record.id;
  job.queue = record.queue;
  job.service = record.service;
  job.organisation = organisation;
  job.accepted_at = record.at;
  job.spec = record.spec;
  ComputeLayout(job);
  job.tasks_left = job.occurrence_size * job.spec.occurrences;
  job.tasks.resize(job.tasks_left);
  for (uint32_t occurrence = 0; occurrence < job.spec.occurrences;
       ++occurrence) {
    for (const StepSpec& step : job.spec.steps) {
      job.tasks_left_by_step.push_back(step.count);
    }
  }
  if (job.tasks_left == 0) {
    job.state = JobState::kSucceeded;
  } else if (IsCancelledEarly(job.id, organisation)) {
    job.state = JobState::kCancelled;
  }
  UpdateQueuedJobs(job);
  UpdateOpenJobs(job);
  m_new_jobs.Add(job.id);
  return &job;
}

void Ledger::ApplyRecord(const JobCancelled& record) {
  const auto found = m_jobs.find(record.id);
  if (found != m_jobs.end() && !found->second.is_over()) {
    SetState(found->second, JobState::kCancelled);
  }
}

Ledger::CancelHolder Ledger::HolderOf(const std::string& queue,
                                      const std::string& organisation) {
  return {organisation, organisation.empty() ? queue : std::string()};
}

void Ledger::ApplyRecord(const JobCancelledEarly& record) {
  // It may have been accepted meanwhile. Another organisation's job stays.
  const Job* job = FindJob(record.id);
  if (job != nullptr && job->IsOpenTo(record.organisation)) {
    ApplyRecord(JobCancelled{record.id});
    return;
  }
  if (HasRoomForEarlyCancel(record.queue, record.organisation)) {
    AddEarlyCancel(record);
  }
}

void Ledger::AddEarlyCancel(const JobCancelledEarly& cancel) {
  const bool is_new =
      m_early_cancels
          .try_emplace({cancel.id, cancel.organisation}, cancel.queue)
          .second;
  if (is_new) {
    ++m_early_cancel_counts[HolderOf(cancel.queue, cancel.organisation)];
  }
}

void Ledger::ApplyRecord(const EarlyCancelsForgotten& record) {
  for (const std::string& job : record.jobs) {
    auto cancel = m_early_cancels.lower_bound({job, {}});
    while (cancel != m_early_cancels.end() && cancel->first.job == job) {
      const auto count = m_early_cancel_counts.find(
          HolderOf(cancel->second, cancel->first.organisation));
      if (--count->second == 0) {
        m_early_cancel_counts.erase(count);
      }
      cancel = m_early_cancels.erase(cancel);
    }
  }
}

// As with a job that is known: who cancels must be of its organisation, unless
// it has none.
bool Ledger::IsCancelledEarly(const std::string& job,
                              const std::string& organisation) const {
  if (!organisation.empty()) {
    return m_early_cancels.contains({job, organisation});
  }
  const auto first = m_early_cancels.lower_bound({job, {}});
  return first != m_early_cancels.end() && first->first.job == job;
}

bool Ledger::HasRoomForEarlyCancel(const std::string& queue,
                                   const std::string& organisation) const {
  const auto held = m_early_cancel_counts.find(HolderOf(queue, organisation));
  return m_early_cancels.size() < kMaxEarlyCancels &&
         (held == m_early_cancel_counts.end() ||
          held->second < kMaxEarlyCancelsPerCaller);
}

std::vector<std::string> Ledger::EarlyCancels() const {
  std::vector<std::string> jobs;
  jobs.reserve(m_early_cancels.size());
  for (const auto& [cancel, queue] : m_early_cancels) {
    jobs.push_back(cancel.job);
  }
  return jobs;
}

void Ledger::ApplyRecord(const JobsForgotten& record) {
  for (const std::string& id : record.ids) {
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.is_over() &&
        found->second.active_runs == 0) {
      m_open_jobs.erase(id);
      m_jobs.erase(found);
    }
  }
}

void Ledger::ApplyRecord(const RunStarted& record) {
  const auto found = m_jobs.find(record.task.job);
  const auto worker = m_workers.find(record.worker);
  if (found == m_jobs.end() || worker == m_workers.end() ||
      !found->second.Holds(record.task)) {
    return;
  }
  Job& job = found->second;
  const size_t index = job.IndexOf(record.task);
  Task& task = job.tasks[index];
  // A start that was planned on an older state of the ledger must not run a
  // task a second time.
  const bool is_startable =
      task.active.empty() || job.StepOf(index).is_speculative;
  if (job.is_over() || task.is_done || !is_startable ||
      record.run <= task.last_run ||
      worker->second.active.contains(record.task)) {
    return;
  }
  task.last_run = record.run;
  task.was_started = true;
  task.active.push_back({record.run, record.worker});
  ++job.active_runs;
  ClearLapses(worker->second);
  ReserveResources(worker->second, job, index);
  if (job.state == JobState::kQueued) {
    SetState(job, JobState::kRunning);
  }
}

void Ledger::ReserveResources(Worker& worker, const Job& job, size_t index) {
  const TaskId id = job.IdOf(index);
  const StepSpec& step = job.spec.steps[id.step];
  const Resources reserved = ReservedResources(step);
  worker.active.insert(id);
  if (job.IsSuspect(index)) {
    worker.suspects.insert(id);
  }
  if (!job.organisation.empty()) {
    Add(m_in_use[job.organisation], step.need);
  }
  AddPoolUse(job, step);
  Add(worker.used, reserved);
  if (step.is_persistent) {
    ++worker.persistent_runs;
    worker.persistent_millicores += reserved.millicores;
  }
}

void Ledger::ReleaseResources(Worker& worker,
                              const TaskId& task,
                              const StepSpec& step) {
  const Resources reserved = ReservedResources(step);
  worker.active.erase(task);
  worker.suspects.erase(task);
  Subtract(worker.used, reserved);
  if (step.is_persistent) {
    --worker.persistent_runs;
    worker.persistent_millicores -= reserved.millicores;
  }
}

void Ledger::ApplyRecord(const RunEnded& record) {
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
    // The lease expired before the end of the run was reported. If no other run
    // was started since, its result still counts.
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
  SubtractPoolUse(job, step);
  const auto worker = m_workers.find(record.worker);
  if (worker != m_workers.end()) {
    ReleaseResources(worker->second, record.task, step);
  }
  if (!record.checkpoint.empty()) {
    task.checkpoint = record.checkpoint;
  }
  if (record.end == RunEnd::kDone) {
    FinishTask(job, index);
  } else if (record.end == RunEnd::kFailed) {
    CountFailure(job, index, record);
  }
  if (record.end != RunEnd::kDone && task.active.empty() &&
      IsExhausted(job, index)) {
    GiveUpTask(job, index);
  }
  UpdateOpenJobs(job);
}

void Ledger::FinishTask(Job& job, size_t index) {
  const TaskId id = job.IdOf(index);
  const StepSpec& step = job.spec.steps[id.step];
  if (step.is_persistent || job.is_over()) {
    return;
  }
  bool has_runs_to_stop = false;
  for (Task& member : MembersOf(job, index)) {
    has_runs_to_stop = has_runs_to_stop || !member.active.empty();
    if (!member.is_done) {
      member.is_done = true;
      --job.tasks_left;
      --job.tasks_left_by_step[id.occurrence * job.spec.steps.size() + id.step];
    }
  }
  if (has_runs_to_stop) {
    m_jobs_with_runs_to_stop.Add(job.id);
  }
  if (job.tasks_left == 0) {
    SetState(job, JobState::kSucceeded);
  }
}

void Ledger::CountFailure(Job& job, size_t index, const RunEnded& record) {
  const TaskId id = job.IdOf(index);
  const StepSpec& step = job.spec.steps[id.step];
  job.tasks[index].failed_on = record.worker;
  // A gang fails as a whole, once per run, however many members report it. Its
  // first task holds the failure count.
  Task& counted = job.tasks[step.is_gang ? index - id.index : index];
  if (step.is_gang &&
      std::exchange(counted.last_failed_run, record.run) == record.run) {
    return;
  }
  ++counted.failures;
}

// Whether a task, or its gang, has failed as often as its queue allows and is
// not given up yet.
bool Ledger::IsExhausted(const Job& job, size_t index) const {
  const Task& counted = MembersOf(job, index).front();
  return !job.StepOf(index).is_persistent && !counted.is_done &&
         !counted.is_given_up && !job.is_over() &&
         counted.failures >= MaxAttemptsOf(QueueOf(job));
}

// Gives up all tasks of a gang, which cannot work without one of them. Fails
// the whole job, unless it has another persistent task that may still run and
// serve its users.
void Ledger::GiveUpTask(Job& job, size_t index) {
  for (Task& member : MembersOf(job, index)) {
    member.is_given_up = true;
  }
  bool has_persistent_left = false;
  for (size_t other = 0; job.has_persistent_tasks() && other < job.tasks.size();
       ++other) {
    has_persistent_left =
        has_persistent_left ||
        (job.StepOf(other).is_persistent && !job.tasks[other].is_given_up);
  }
  if (!has_persistent_left) {
    SetState(job, JobState::kFailed);
  }
}

void Ledger::SetState(Job& job, JobState state) {
  job.state = state;
  if (job.is_over() && job.active_runs > 0) {
    m_jobs_with_runs_to_stop.Add(job.id);
  }
  UpdateQueuedJobs(job);
  UpdateOpenJobs(job);
}

size_t Ledger::CountQueued(const std::string& queue) const {
  const auto count = [this](const std::string& name) {
    const auto found = m_queued_jobs.find(name);
    return found == m_queued_jobs.end() ? 0 : found->second.size();
  };
  size_t queued = count(queue);
  const QueueSpec* spec = FindQueueByName(queue);
  for (const auto& [name, dropped] : m_dropped_queues) {
    const bool is_renamed = spec != nullptr && dropped.host == spec->host &&
                            dropped.prefix == spec->prefix;
    queued += is_renamed ? count(name) : 0;
  }
  return queued;
}

void Ledger::UpdateQueuedJobs(const Job& job) {
  if (job.state == JobState::kQueued) {
    m_queued_jobs[job.queue].insert(job.id);
    return;
  }
  const auto queued = m_queued_jobs.find(job.queue);
  if (queued != m_queued_jobs.end()) {
    queued->second.erase(job.id);
  }
}

void Ledger::UpdateOpenJobs(const Job& job) {
  if (job.is_over() && job.active_runs == 0) {
    m_open_jobs.erase(job.id);
  } else {
    m_open_jobs[job.id] = &job;
  }
}

void Ledger::ApplyRecord(const WorkerSeen& record) {
  if (IsGone(record.info.id)) {
    return;
  }
  // Draining is final within an incarnation: an announcement without it is an
  // older one that arrived late.
  Worker& worker = m_workers[record.info.id];
  const bool was_draining = worker.info.is_draining;
  SetWorkerInfo(worker, record.info);
  worker.info.is_draining = worker.info.is_draining || was_draining;
}

void Ledger::ApplyRecord(const WorkerAnnounced& record) {
  const std::string& id = record.info.id;
  if (IsGone(id, record.born, record.sequence) ||
      IsOutdated(id, record.born, record.sequence)) {
    return;
  }
  Worker& worker = m_workers[id];
  const auto ended = m_ended_workers.find(id);
  if (ended != m_ended_workers.end()) {
    const bool has_returned = ended->second.cause == WorkerEndCause::kSilent &&
                              ended->second.born == record.born;
    worker.earlier_incarnations =
        ended->second.earlier_incarnations + (has_returned ? 0 : 1);
    m_ended_workers.erase(ended);
    std::erase(m_ended_order, id);
  }
  ReplaceSilentWorkersOn(record.info, record.born);
  BeginWorkerIncarnation(id, worker, record.born);
  ApplyRecord(WorkerSeen{record.info});
  worker.sequence = record.sequence;
}

void Ledger::ApplyRecord(const WorkerRestarted& record) {
  const auto worker = m_workers.find(record.worker);
  if (worker != m_workers.end()) {
    BeginWorkerIncarnation(record.worker, worker->second, record.born);
  }
}

// A host runs one worker at a time: those that fell silent there before do not
// come back, however late their announcements arrive.
void Ledger::ReplaceSilentWorkersOn(const WorkerInfo& info, WallTime born) {
  if (info.host.empty() || WorkersOn(info.host).contains(info.id)) {
    return;
  }
  for (auto& [id, ended] : m_ended_workers) {
    const bool is_later = born != WallTime() && born < ended.born;
    if (ended.cause == WorkerEndCause::kSilent && ended.host == info.host &&
        id != info.id && !is_later) {
      ended.cause = WorkerEndCause::kReplaced;
    }
  }
}

void Ledger::BeginWorkerIncarnation(const std::string& id,
                                    Worker& worker,
                                    WallTime born) {
  if (born <= worker.born) {
    return;
  }
  if (worker.born != WallTime()) {
    m_changed_workers.Add(id);
    ++worker.earlier_incarnations;
    worker.is_restart_unassessed = true;
    worker.sequence = 0;
    worker.info.is_draining = false;
    for (const TaskId& task : worker.active) {
      Job& job = m_jobs.at(task.job);
      for (ActiveRun& run : job.tasks[job.IndexOf(task)].active) {
        run.is_of_earlier_incarnation =
            run.is_of_earlier_incarnation || run.worker == id;
      }
    }
  }
  worker.born = born;
}

void Ledger::ChangeList::Add(const std::string& id) {
  ++version;
  ids.push_back(id);
  if (ids.size() > kMaxListedChanges) {
    ids.pop_front();
  }
}

bool Ledger::ChangeList::VisitSince(
    uint64_t since,
    const std::function<void(const std::string&)>& visit) const {
  const uint64_t behind = version - since;
  if (since > version || behind > ids.size()) {
    return false;
  }
  for (auto id = ids.end() - static_cast<ptrdiff_t>(behind); id != ids.end();
       ++id) {
    visit(*id);
  }
  return true;
}

bool Ledger::ChangeList::Follow(
    std::optional<uint64_t>& known,
    const std::function<void(const std::string&)>& visit) const {
  const auto before = std::exchange(known, version);
  return before && VisitSince(*before, visit);
}

bool Ledger::VisitChangedWorkers(
    uint64_t since,
    const std::function<void(const std::string&)>& visit) const {
  return m_changed_workers.VisitSince(since, visit);
}

bool Ledger::FollowChangedWorkers(
    std::optional<uint64_t>& version,
    const std::function<void(const std::string&)>& visit) const {
  return m_changed_workers.Follow(version, visit);
}

bool Ledger::FollowNewJobs(
    std::optional<uint64_t>& version,
    const std::function<void(const std::string&)>& visit) const {
  return m_new_jobs.Follow(version, visit);
}

bool Ledger::FollowJobsWithRunsToStop(
    std::optional<uint64_t>& version,
    const std::function<void(const std::string&)>& visit) const {
  return m_jobs_with_runs_to_stop.Follow(version, visit);
}

void Ledger::SetWorkerInfo(Worker& worker, const WorkerInfo& info) {
  m_changed_workers.Add(info.id);
  RemoveFromHost(worker.info);
  worker.info = info;
  if (!info.host.empty()) {
    m_workers_by_host[info.host].insert(info.id);
  }
}

void Ledger::RemoveFromHost(const WorkerInfo& info) {
  const auto host = m_workers_by_host.find(info.host);
  if (host == m_workers_by_host.end()) {
    return;
  }
  host->second.erase(info.id);
  if (host->second.empty()) {
    m_workers_by_host.erase(host);
  }
}

void Ledger::ApplyRecord(const WorkerLapsed& record) {
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
        const bool is_open = !run.is_proven && !run.is_assessed &&
                             found->second.lapsed.insert(id).second;
        job.tasks[index].unresolved_lapses += is_open ? 1 : 0;
        job.may_have_suspects = job.may_have_suspects || is_open;
        EndRun(job, index, {id, run.run, run.worker, RunEnd::kLapsed, {}});
      }
    }
  }
}

void Ledger::ApplyRecord(const WorkerGone& record) {
  const Worker* known = FindWorker(record.worker);
  const WallTime born = known == nullptr ? WallTime() : known->born;
  ApplyRecord(IncarnationEnded{record.worker, born});
}

void Ledger::ApplyRecord(const IncarnationEnded& record) {
  EndWorkerIncarnation(record.worker, record.born, WorkerEndCause::kUnknown);
}

void Ledger::ApplyRecord(const WorkerLeft& record) {
  EndWorkerIncarnation(record.worker, record.born, WorkerEndCause::kLeft);
}

void Ledger::ApplyRecord(const WorkerEnded& record) {
  EndWorkerIncarnation(record.worker, record.born, record.cause);
}

void Ledger::EndWorkerIncarnation(const std::string& id,
                                  WallTime born,
                                  WorkerEndCause cause) {
  EndedWorker ended;
  ended.born = born;
  ended.cause = cause;
  const auto found = m_workers.find(id);
  if (found != m_workers.end() && born != WallTime() &&
      born < found->second.born) {
    return;
  }
  if (found != m_workers.end() && cause != WorkerEndCause::kLeft) {
    CountUnassessedRuns(id, found->second);
  }
  ApplyRecord(WorkerLapsed{id});
  if (found != m_workers.end()) {
    ended.host = found->second.info.host;
    ended.sequence = found->second.sequence;
    ended.earlier_incarnations = found->second.earlier_incarnations;
    ClearLapses(found->second);
    m_changed_workers.Add(id);
    RemoveFromHost(found->second.info);
    m_workers.erase(found);
  }
  AddEndedWorker(id, ended);
}

// Counts a crash, without blame, for each run on an ended worker that was not
// assessed: kMaxCrashesPerTask limits the starts of a task even without
// evidence.
void Ledger::CountUnassessedRuns(const std::string& id, const Worker& worker) {
  std::vector<TaskId> unassessed(worker.lapsed.begin(), worker.lapsed.end());
  for (const TaskId& task : worker.active) {
    const Job& job = m_jobs.at(task.job);
    const auto& active = job.tasks[job.IndexOf(task)].active;
    const bool is_open =
        std::any_of(active.begin(), active.end(), [&id](const ActiveRun& run) {
          return run.worker == id && !run.is_proven && !run.is_assessed;
        });
    if (is_open && !worker.lapsed.contains(task)) {
      unassessed.push_back(task);
    }
  }
  for (const TaskId& task : unassessed) {
    const auto job = m_jobs.find(task.job);
    if (job != m_jobs.end() && job->second.Holds(task)) {
      CountCrash(job->second, job->second.IndexOf(task), id,
                 Suspicion::kBystander);
    }
  }
}

void Ledger::AddEndedWorker(const std::string& worker,
                            const EndedWorker& ended) {
  const auto [known, is_new] = m_ended_workers.try_emplace(worker, ended);
  if (!is_new) {
    // A silent one that is then known to have ended does not come back.
    const bool is_final = known->second.cause == WorkerEndCause::kSilent &&
                          ended.born == known->second.born;
    if (ended.born > known->second.born) {
      known->second = ended;
    } else if (is_final) {
      known->second.cause = ended.cause;
    }
    return;
  }
  m_ended_order.push_back(worker);
  if (m_ended_order.size() > kMaxEndedWorkers) {
    m_ended_workers.erase(m_ended_order.front());
    m_ended_order.pop_front();
  }
}

void Ledger::ApplyRecord(const WorkerCrashed& record) {
  const auto worker = m_workers.find(record.worker);
  if (worker == m_workers.end()) {
    return;
  }
  worker->second.is_restart_unassessed = false;
  for (const auto& [id, suspicion] : record.suspects) {
    const auto found = m_jobs.find(id.job);
    const bool ran_there = worker->second.active.contains(id) ||
                           worker->second.lapsed.contains(id);
    if (found == m_jobs.end() || !found->second.Holds(id) || !ran_there) {
      continue;
    }
    Job& job = found->second;
    const size_t index = job.IndexOf(id);
    for (ActiveRun& run : job.tasks[index].active) {
      run.is_assessed = run.is_assessed || run.worker == record.worker;
    }
    CountCrash(job, index, record.worker, suspicion);
  }
  ClearLapses(worker->second);
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
  job.may_have_suspects = true;
  task.crashed.push_back(worker);
  task.blame += BlameScore(suspicion);
  if (!job.is_over() && !task.is_done &&
      ShouldGiveUp(task.crashed.size(), task.blame, suspicion,
                   job.StepOf(index).is_persistent)) {
    GiveUpTask(job, index);
  }
}

void Ledger::ApplyRecord(const RunProven& record) {
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

void Ledger::ClearLapses(Worker& worker) {
  for (const TaskId& id : worker.lapsed) {
    const auto job = m_jobs.find(id.job);
    if (job != m_jobs.end()) {
      --job->second.tasks[job->second.IndexOf(id)].unresolved_lapses;
    }
  }
  worker.lapsed.clear();
}

void Ledger::ApplyRecord(const WaveOpened& record) {
  const auto [found, is_new] = m_waves.try_emplace(record.wave);
  if (!is_new) {
    return;
  }
  WaveState& wave = found->second;
  wave.opened = record;
  for (const std::string& host : record.hosts) {
    wave.hosts[host] = WaveStage::kWaiting;
  }
  wave.hosts_left = wave.hosts.size();
}

void Ledger::ApplyRecord(const WaveHostStageSet& record) {
  const auto found = m_waves.find(record.wave);
  if (found == m_waves.end() || !found->second.hosts.contains(record.host)) {
    return;
  }
  WaveState& wave = found->second;
  WaveStage& stage = wave.hosts[record.host];
  if (record.stage <= stage) {
    return;
  }
  stage = record.stage;
  if (stage == WaveStage::kOrdered) {
    wave.ordered.insert(record.host);
  } else {
    wave.ordered.erase(record.host);
    --wave.hosts_left;
  }
}

// --- Snapshots --------------------------------------------------------------

template <typename Archive>
void Visit(Archive& archive, ActiveRun& value) {
  archive(value.run, value.worker);
}

template <typename Archive>
void Visit(Archive& archive, Task& value) {
  archive(value.is_done, value.was_started, value.last_run, value.failures,
          value.failed_on, value.checkpoint, value.active);
}

template <typename Archive>
void Visit(Archive& archive, Job& value) {
  archive(value.id, value.queue, value.service, value.accepted_at, value.spec,
          value.state, value.tasks, value.tasks_left, value.active_runs,
          value.tasks_left_by_step);
}

namespace {

struct SavedWave {
  WaveOpened opened;
  std::vector<WaveHostStageSet> hosts;
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

struct SavedIncarnation {
  std::string worker;
  uint64_t sequence = 0;
  WallTime born{};
  uint32_t earlier_incarnations = 0;
  bool is_restart_unassessed = false;
};

template <typename Archive>
void Visit(Archive& archive, SavedIncarnation& value) {
  archive(value.worker, value.sequence, value.born, value.earlier_incarnations,
          value.is_restart_unassessed);
}

struct SavedSupersededRun {
  TaskId task;
  uint32_t run = 0;
};

template <typename Archive>
void Visit(Archive& archive, SavedSupersededRun& value) {
  archive(value.task, value.run);
}

struct SavedRunFlags {
  TaskId task;
  uint32_t run = 0;
  bool is_proven = false;
  bool is_assessed = false;
};

template <typename Archive>
void Visit(Archive& archive, SavedRunFlags& value) {
  archive(value.task, value.run, value.is_proven, value.is_assessed);
}

struct SavedGangFailure {
  TaskId task;  ///< The first task of the gang.
  uint32_t last_failed_run = 0;
};

template <typename Archive>
void Visit(Archive& archive, SavedGangFailure& value) {
  archive(value.task, value.last_failed_run);
}

struct SavedJobOwner {
  std::string job;
  std::string organisation;
  bool is_excess = false;
};

template <typename Archive>
void Visit(Archive& archive, SavedJobOwner& value) {
  archive(value.job, value.organisation, value.is_excess);
}

struct SavedEnd {
  std::string worker;
  WorkerEndCause cause = WorkerEndCause::kUnknown;
  std::string host;
  uint64_t sequence = 0;
  uint32_t earlier_incarnations = 0;
};

template <typename Archive>
void Visit(Archive& archive, SavedEnd& value) {
  archive(value.worker, value.cause, value.host, value.sequence,
          value.earlier_incarnations);
}

struct SavedLedger {
  Configuration configuration;
  std::vector<Job> jobs;
  std::vector<WorkerInfo> workers;
  std::vector<SavedWave> waves;
  std::vector<std::string> ended_workers;
  std::vector<SavedCrashes> crashes;
  std::vector<SavedLapse> lapses;
  std::vector<SavedIncarnation> incarnations;
  std::vector<SavedSupersededRun> superseded_runs;
  std::vector<WallTime> ended_start_times;  ///< Parallel to ended_workers.
  std::vector<SavedEnd> ends;  ///< Of ended_workers, where the cause is known.
  std::vector<SavedJobOwner> owners;  ///< Of jobs that have an organisation.
  std::vector<TaskId> given_up;
  std::vector<SavedRunFlags> run_flags;
  std::vector<SavedGangFailure> gang_failures;
  std::vector<JobCancelledEarly> early_cancels;
  std::vector<QueueSpec> dropped_queues;
};

template <typename Archive>
void Visit(Archive& archive, SavedLedger& value) {
  archive(value.configuration, value.jobs, value.workers, value.waves,
          value.ended_workers);
  archive.TrailingFields(value.crashes, value.lapses, value.incarnations,
                         value.superseded_runs, value.ended_start_times);
  archive.TrailingFields(value.configuration.identities, value.owners);
  archive.TrailingFields(value.given_up, value.run_flags);
  archive.TrailingFields(value.ends);
  archive.TrailingFields(value.gang_failures, value.early_cancels,
                         value.dropped_queues);
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
  // The order of the hash maps depends on their history: sort, so that equal
  // ledgers have equal snapshots.
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
  saved.ended_workers.assign(m_ended_order.begin(), m_ended_order.end());
  for (const std::string& id : saved.ended_workers) {
    const EndedWorker& ended = m_ended_workers.at(id);
    saved.ended_start_times.push_back(ended.born);
    if (ended.cause != WorkerEndCause::kUnknown) {
      saved.ends.push_back({id, ended.cause, ended.host, ended.sequence,
                            ended.earlier_incarnations});
    }
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
      if (task.last_failed_run > 0) {
        saved.gang_failures.push_back({job.IdOf(index), task.last_failed_run});
      }
      for (const ActiveRun& run : task.active) {
        if (run.is_of_earlier_incarnation) {
          saved.superseded_runs.push_back({job.IdOf(index), run.run});
        }
        if (run.is_proven || run.is_assessed) {
          saved.run_flags.push_back(
              {job.IdOf(index), run.run, run.is_proven, run.is_assessed});
        }
      }
    }
  }
  for (const auto& [name, queue] : m_dropped_queues) {
    saved.dropped_queues.push_back(queue);
  }
  for (const auto& [cancel, queue] : m_early_cancels) {
    saved.early_cancels.push_back({cancel.job, queue, cancel.organisation});
  }
  for (const WorkerInfo& info : saved.workers) {
    const Worker& worker = m_workers.at(info.id);
    saved.incarnations.push_back({info.id, worker.sequence, worker.born,
                                  worker.earlier_incarnations,
                                  worker.is_restart_unassessed});
    const std::set<TaskId>& lapsed = worker.lapsed;
    if (!lapsed.empty()) {
      saved.lapses.push_back({info.id, {lapsed.begin(), lapsed.end()}});
    }
  }
  return Encode(std::move(saved));
}

void Ledger::Load(std::string_view text) {
  SavedLedger saved = Decode<SavedLedger>(text);
  const uint64_t workers_version = m_changed_workers.version;
  const uint64_t jobs_version = m_new_jobs.version;
  const uint64_t stops_version = m_jobs_with_runs_to_stop.version;
  *this = Ledger();
  m_changed_workers.version = workers_version + 1;
  m_new_jobs.version = jobs_version + 1;
  m_jobs_with_runs_to_stop.version = stops_version + 1;
  SetConfiguration(std::move(saved.configuration));
  for (QueueSpec& queue : saved.dropped_queues) {
    m_dropped_queues[queue.name] = std::move(queue);
  }
  for (const WorkerInfo& info : saved.workers) {
    SetWorkerInfo(m_workers[info.id], info);
  }
  for (Job& loaded : saved.jobs) {
    Job& job = m_jobs[loaded.id];
    job = std::move(loaded);
    ComputeLayout(job);
    UpdateQueuedJobs(job);
    UpdateOpenJobs(job);
  }
  for (SavedJobOwner& owner : saved.owners) {
    Job& job = m_jobs.at(owner.job);
    job.organisation = std::move(owner.organisation);
    job.is_excess = owner.is_excess;
  }
  for (SavedCrashes& crashes : saved.crashes) {
    Job& job = m_jobs.at(crashes.task.job);
    Task& task = job.tasks[job.IndexOf(crashes.task)];
    job.may_have_suspects = true;
    task.crashed = std::move(crashes.workers);
    task.blame = crashes.blame;
  }
  for (const TaskId& id : saved.given_up) {
    Job& job = m_jobs.at(id.job);
    job.tasks[job.IndexOf(id)].is_given_up = true;
  }
  for (const JobCancelledEarly& cancel : saved.early_cancels) {
    AddEarlyCancel(cancel);
  }
  for (const SavedGangFailure& failure : saved.gang_failures) {
    Job& job = m_jobs.at(failure.task.job);
    job.tasks[job.IndexOf(failure.task)].last_failed_run =
        failure.last_failed_run;
  }
  for (const SavedIncarnation& incarnation : saved.incarnations) {
    Worker& worker = m_workers[incarnation.worker];
    worker.sequence = incarnation.sequence;
    worker.born = incarnation.born;
    worker.earlier_incarnations = incarnation.earlier_incarnations;
    worker.is_restart_unassessed = incarnation.is_restart_unassessed;
  }
  for (const SavedSupersededRun& superseded : saved.superseded_runs) {
    Job& job = m_jobs.at(superseded.task.job);
    for (ActiveRun& run : job.tasks[job.IndexOf(superseded.task)].active) {
      run.is_of_earlier_incarnation =
          run.is_of_earlier_incarnation || run.run == superseded.run;
    }
  }
  for (const SavedRunFlags& flags : saved.run_flags) {
    Job& job = m_jobs.at(flags.task.job);
    for (ActiveRun& run : job.tasks[job.IndexOf(flags.task)].active) {
      if (run.run == flags.run) {
        run.is_proven = flags.is_proven;
        run.is_assessed = flags.is_assessed;
      }
    }
  }
  for (const SavedLapse& lapse : saved.lapses) {
    m_workers[lapse.worker].lapsed.insert(lapse.tasks.begin(),
                                          lapse.tasks.end());
    for (const TaskId& id : lapse.tasks) {
      const auto job = m_jobs.find(id.job);
      if (job != m_jobs.end()) {
        job->second.may_have_suspects = true;
        ++job->second.tasks[job->second.IndexOf(id)].unresolved_lapses;
      }
    }
  }
  for (const auto& [id, job] : m_jobs) {
    for (size_t index = 0; index < job.tasks.size(); ++index) {
      const Task& task = job.tasks[index];
      for (const ActiveRun& run : task.active) {
        ReserveResources(m_workers[run.worker], job, index);
      }
    }
  }
  for (SavedWave& wave : saved.waves) {
    ApplyRecord(wave.opened);
    for (const WaveHostStageSet& host : wave.hosts) {
      ApplyRecord(host);
    }
  }
  saved.ended_start_times.resize(saved.ended_workers.size());
  for (size_t index = 0; index < saved.ended_workers.size(); ++index) {
    m_ended_workers[saved.ended_workers[index]].born =
        saved.ended_start_times[index];
    m_ended_order.push_back(saved.ended_workers[index]);
  }
  for (SavedEnd& end : saved.ends) {
    EndedWorker& ended = m_ended_workers[end.worker];
    ended.cause = end.cause;
    ended.host = std::move(end.host);
    ended.sequence = end.sequence;
    ended.earlier_incarnations = end.earlier_incarnations;
  }
}

}  // namespace laurelhall::scheduling
