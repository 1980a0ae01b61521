#include "laurelhall/scheduling/planner.h"

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace laurelhall::scheduling {

namespace {

// Weight of one task in the moving average of its queue's run time ratio: low
// enough that one odd task changes little, while a burst of some ten tasks
// shows.
constexpr double kRatioLearningRate = 0.05;
constexpr double kMinRunTimeRatio = 0.2;
constexpr double kMaxRunTimeRatio = 5;
// Work counts as hopeless if its expected remaining time, multiplied by this
// factor, does not fit before its deadline. Estimates are off by about half: a
// smaller factor would require a clearer miss.
constexpr double kRemainingTimeFactor = 1.0;
// Steps of a job for which the critical path is computed without an
// allocation, because each plan computes it for every waiting step.
constexpr size_t kInlineSteps = 8;

// A job that takes longer than its latency objective by this factor is of no
// use to its caller.
constexpr int kUselessAfterFactor = 3;
// When less time than this is left to begin a late job before it is of no use,
// the job goes ahead with the work that is on time.
constexpr Millis kLastCallMargin{700};

// A job counts as just missed for this time, longer than two plans of a busy
// leader are apart.
constexpr Millis kMissedWithin{300};
// A pool counts as overloaded for this long after a job was missed there.
constexpr Millis kOverloadMemory{1'000};

// What a plan of a busy leader starts of a class of late work: one task for so
// many that it starts otherwise, and a few in any case.
constexpr size_t kStartsPerLateStart = 8;
constexpr size_t kMinLateStarts = 4;

// A suspect (a task that may crash its worker) that has found no empty worker
// for this long starts beside other tasks, unless another suspect's trial is
// running: its outcome soon tells whether that one is harmless.
constexpr Millis kMaxWaitForEmptyWorker{2'000};
// One worker is cordoned, and one more for every four waiting suspects, up to a
// third of a service's workers.
constexpr size_t kSuspectsPerCordonedWorker = 4;
constexpr size_t kWorkersPerCordonedWorker = 3;
// A suspect that has waited for this long goes before the work that is on time,
// so that the first worker to become free is cordoned for it.
constexpr Millis kStarvedSuspectWait{4'000};

// How long a last attempt waits for a worker that can't have caused the earlier
// failures. Without a bound, a task of which every eligible worker may have
// caused one would wait for good.
constexpr Millis kMaxLastAttemptWait{2'000};

// Penalties in the cost of a place, where 1 is the whole capacity of a worker.
constexpr double kOtherRackCost = 100;
constexpr double kFailedHereCost = 50;
constexpr double kUnreliableCost = 20;
constexpr double kShutdownDueCost = 10;
constexpr double kSameStepCost = 0.02;
constexpr double kPersistentTasksCost = 2;

constexpr const char* kObstacleNames[] = {
    "none",    "deferred",    "being-committed", "gang-incomplete", "no-worker",
    "no-room", "not-allowed", "no-empty-worker", "over-cap"};
static_assert(std::size(kObstacleNames) ==
              static_cast<size_t>(StartObstacle::kCount));

// Classes of work, the first to be served at the top.
enum class Urgency {
  kPersistent,
  kStarvedSuspect,  // See kStarvedSuspectWait.
  kOnTime,
  kLate,    // Misses its deadline, but may still be of use to its caller.
  kExcess,  // Beyond what its organisation is promised.
  kHopeless,
  kCount
};

bool MatchesLabel(const WorkerInfo& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

Millis Scaled(Millis time, double factor) {
  return std::chrono::duration_cast<Millis>(time * factor);
}

// The estimated work of one task of a step.
double CoreMilliseconds(const StepSpec& step) {
  return static_cast<double>(ReservedResources(step).millicores) / 1000 *
         static_cast<double>(step.estimate.count());
}

// Visits, in order, the steps that are due, not done, and wait for no other
// step, until a visit returns false.
template <typename Visit>
void VisitOpenSteps(const Job& job, WallTime wall_now, Visit visit) {
  for (uint32_t occurrence = 0; occurrence < job.spec.occurrences;
       ++occurrence) {
    const WallTime due = job.spec.first_due + job.spec.interval * occurrence;
    if (job.spec.is_timed && wall_now < due) {
      return;
    }
    const size_t base = occurrence * job.spec.steps.size();
    for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      const bool is_open = job.tasks_left_by_step[base + step] > 0 &&
                           job.IsStepReady(occurrence, step);
      if (is_open && !visit(occurrence, step)) {
        return;
      }
    }
  }
}

// The estimated run time along the longest chain of dependent steps, in which
// steps for which `is_left` does not hold count nothing.
template <typename IsLeft>
Millis CriticalPath(const JobSpec& spec,
                    IsLeft is_left,
                    Millis step_delay = Millis(0)) {
  boost::container::small_vector<Millis, kInlineSteps> chain(spec.steps.size());
  Millis longest{0};
  for (size_t step = 0; step < spec.steps.size(); ++step) {
    Millis before{0};
    for (const uint32_t earlier : spec.steps[step].depends_on) {
      before = std::max(before, chain[earlier]);
    }
    chain[step] =
        before +
        (is_left(step) ? spec.steps[step].estimate + step_delay : Millis(0));
    longest = std::max(longest, chain[step]);
  }
  return longest;
}

// The estimated work of all tasks but persistent ones, in core-milliseconds.
double ShortWork(const JobSpec& spec) {
  double work = 0;
  for (const StepSpec& step : spec.steps) {
    if (!step.is_persistent) {
      work += CoreMilliseconds(step) * step.count;
    }
  }
  return work;
}

// The time from a job's submission until it should be done.
//
// @param queue Null if it is not known.
// @param ratio Actual over estimated run time.
Millis ObjectiveOf(const JobSpec& spec, const QueueSpec* queue, double ratio) {
  Millis chain{0};
  for (const StepSpec& step : spec.steps) {
    chain += step.estimate;
  }
  const double stretch = queue == nullptr ? 1 : queue->stretch;
  const Millis target = queue == nullptr ? Millis(0) : queue->target_latency;
  return Scaled(chain, ratio * stretch) + target;
}

double Share(int64_t part, int64_t whole) {
  return whole <= 0 ? 1.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

Millis RemainingCriticalPath(const Job& job,
                             uint32_t occurrence,
                             Millis step_delay) {
  const size_t first = occurrence * job.spec.steps.size();
  return CriticalPath(
      job.spec,
      [&](size_t step) { return job.tasks_left_by_step[first + step] > 0; },
      step_delay);
}

/// A step with tasks that could start now.
struct Planner::Candidate {
  const Job* job = nullptr;
  const QueueSpec* queue = nullptr;  // As Ledger::QueueOf() has it.
  uint32_t occurrence = 0;
  uint32_t step = 0;
  bool has_reservations = false;  // Some start of its job is being committed.
  Urgency urgency = Urgency::kOnTime;
  int32_t priority = 0;
  bool is_running = false;
  SteadyTime deadline{};
  bool is_late = false;          // The job can't be on time any more.
  bool has_just_missed = false;  // It became late before its first start.
  SteadyTime waiting_since{};
  // Null: it takes no part in a division.
  ShareOfStep* share = nullptr;

  uint32_t TasksLeft() const {
    const size_t base = occurrence * job->spec.steps.size();
    return job->tasks_left_by_step[base + step];
  }

  const std::string& Service() const { return Ledger::ServiceOf(*job, queue); }

  auto Key() const {
    return std::tuple(urgency, !is_running, deadline, priority);
  }
};

// Whether tasks beyond their organisation's part wait for the others of their
// class.
enum class Planner::ShareLimit : uint8_t { kOwnPart, kNone };

/// Assigns the tasks of candidates to workers within one plan.
class Planner::Placement {
 public:
  Placement(Planner& planner,
            const PlanInput& input,
            const std::vector<Candidate>& candidates)
      : m_planner(planner), m_input(input) {
    for (const Candidate& candidate : candidates) {
      const std::string& service = candidate.Service();
      const Resources need =
          ReservedResources(candidate.job->spec.steps[candidate.step]);
      const auto [found, is_new] = m_places_of.try_emplace(service);
      Places& places = found->second;
      if (is_new) {
        places.all = PlacesOf(service);
        places.smallest_need = need;
      } else {
        Lower(places.smallest_need, need);
      }
    }
    for (auto& [service, places] : m_places_of) {
      places.CollectWithRoom();
    }
  }

  /// Counts the workers that may be given work, and those of them with room for
  /// a task.
  void Count(const Candidate& candidate, StartDiagnosis& diagnosis) {
    const Resources room =
        ReservedResources(candidate.job->spec.steps[candidate.step]);
    const auto places = m_places_of.find(candidate.Service());
    if (places == m_places_of.end()) {
      return;
    }
    RemoveUnusable(places->second);
    for (const Place& place : places->second.all) {
      ++diagnosis.workers;
      diagnosis.with_room += Fits(room, place.room) ? 1 : 0;
    }
  }

  /// Room that tasks can take: on usable workers that have at least `smallest`.
  /// Stops counting when it takes all of `wanted`.
  Resources FreeRoom(const std::string& service,
                     const Resources& smallest,
                     const Resources& wanted) {
    Resources free;
    for (Place& place : m_places_of[service].all) {
      if (Fits(wanted, free)) {
        break;
      }
      if (Fits(smallest, place.room) && StatusOf(place).is_usable) {
        Add(free, place.room);
      }
    }
    return free;
  }

  size_t CountWorkers(const std::string& service) const {
    return m_places_of.at(service).all.size();
  }

  /// Assigns as many of the step's tasks as can start to workers, and appends
  /// their starts to `out`.
  ///
  /// @returns Whether some wait because the organisation has its part.
  bool PlaceStep(const Candidate& candidate,
                 ShareLimit limit,
                 std::vector<RunStarted>& out) {
    const StepSpec& step = candidate.job->spec.steps[candidate.step];
    auto places = m_places_of.find(candidate.Service());
    if (places == m_places_of.end()) {
      return false;
    }
    const Resources need = ReservedResources(step);
    // A suspect may get a cordoned worker, which takes no other tasks: that
    // these found no room tells nothing about it.
    const bool is_full =
        !candidate.job->may_have_suspects && IsKnownTooLarge(candidate, need);
    if (is_full || IsOverCap(*candidate.job, step)) {
      return false;
    }
    if (IsPutOff(candidate, limit)) {
      return true;
    }
    CollectRackQueues(candidate, step, places->second);
    if (step.is_gang) {
      PlaceGang(candidate, step, places->second, out);
      return false;
    }
    bool is_rack_full = false;
    for (const uint32_t index : m_planner.StartableTasks(candidate)) {
      if (candidate.share != nullptr && index < candidate.share->first_task) {
        continue;
      }
      if (IsOverCap(*candidate.job, step)) {
        return false;
      }
      if (IsPutOff(candidate, limit)) {
        candidate.share->first_task = index;
        return true;
      }
      if (is_rack_full && !IsSuspect(candidate, index) &&
          WaitsForData(candidate, step)) {
        m_rack_queues[candidate.Service()].AddTask(step.data_rack, step);
        continue;
      }
      Place* place = FindPlace(candidate, step, index, places->second);
      if (place == nullptr && IsSuspect(candidate, index)) {
        continue;  // Other tasks of the step may not need an empty worker.
      }
      if (place == nullptr && WaitsForData(candidate, step)) {
        is_rack_full = true;
        m_rack_queues[candidate.Service()].AddTask(step.data_rack, step);
        continue;  // With enough of them waiting, the others go elsewhere.
      }
      if (place == nullptr && !step.is_best_effort) {
        RememberTooLarge(candidate, step, index, need);
        return false;  // The other tasks would find no place either.
      }
      if (place != nullptr) {
        Assign(candidate, step, index, *place, out);
      }
    }
    return false;
  }

  // Whether one more task would exceed the cap of the job's organisation. For a
  // gang, all of its tasks count.
  bool IsOverCap(const Job& job, const StepSpec& step) const {
    if (job.organisation.empty()) {
      return false;
    }
    const auto reserved = m_planner.m_reserved_of_cap.find(job.organisation);
    Resources planned = reserved == m_planner.m_reserved_of_cap.end()
                            ? Resources()
                            : reserved->second;
    const uint32_t others = step.is_gang ? step.count - 1 : 0;
    for (uint32_t member = 0; member < others; ++member) {
      Add(planned, step.need);
    }
    return !m_input.ledger.IsWithinCapOf(job.organisation, planned, step.need);
  }

 private:
  // A worker and the room that is left on it within this plan.
  struct Place {
    const Worker* worker = nullptr;
    Resources room;
    std::optional<WorkerStatus> status;  // Set by StatusOf().
    bool has_persistent = false;  // This plan puts a persistent task there.
    bool has_suspect = false;     // This plan puts a suspect there.
    // Tasks of a gang that is being placed, by step, which are not reserved
    // yet.
    std::map<std::pair<const Job*, uint64_t>, uint32_t> planned;
  };

  // The places of one service.
  struct Places {
    std::vector<Place> all;
    // Those in `all`, by position and in order, that may have room for some
    // task of this plan. In a full pool they are few, and only they are
    // searched for each task.
    std::vector<uint32_t> with_room;
    Resources smallest_need;  // Of all tasks of this plan, by resource.

    void CollectWithRoom() {
      with_room.clear();
      for (uint32_t i = 0; i < all.size(); ++i) {
        if (Fits(smallest_need, all[i].room)) {
          with_room.push_back(i);
        }
      }
    }
  };

  // Finds the processors of the racks, once for each service.
  void CollectRackQueues(const Candidate& candidate,
                         const StepSpec& step,
                         Places& places) {
    const std::string& service = candidate.Service();
    if (step.data_rack.empty() || m_rack_queues.contains(service)) {
      return;
    }
    RackQueues& queues = m_rack_queues[service];
    for (Place& place : places.all) {
      const Worker& worker = *place.worker;
      if (StatusOf(place).is_usable) {
        queues.AddWorker(worker.info.rack, worker.info.capacity.millicores -
                                               worker.persistent_millicores);
      }
    }
  }

  // Whether a task had better wait for the rack of its data, if that is full.
  bool WaitsForData(const Candidate& candidate, const StepSpec& step) const {
    if (step.data_rack.empty() ||
        !m_planner.m_mechanisms.Has(Mechanism::kDataWait)) {
      return false;
    }
    const Millis longest =
        LongestRackWait(step, m_planner.m_remote_data_factor);
    const auto queues = m_rack_queues.find(candidate.Service());
    return m_input.now - candidate.waiting_since < longest &&
           queues != m_rack_queues.end() &&
           queues->second.IsServedWithin(step.data_rack, longest);
  }

  static bool IsPutOff(const Candidate& candidate, ShareLimit limit) {
    const ShareOfStep* share = candidate.share;
    return limit == ShareLimit::kOwnPart && share != nullptr &&
           !share->pool->GoesFirst(share->claim, share->begun);
  }

  // Whether a worker may run other tasks beside the one that is placed.
  enum class Sharing { kAllowed, kForbidden };

  static const Task& TaskOf(const Candidate& candidate, uint32_t index) {
    return candidate.job->tasks[IndexOf(candidate, index)];
  }

  // As Job::IndexOf(), without a copy of the job's id.
  static size_t IndexOf(const Candidate& candidate, uint32_t index) {
    const Job& job = *candidate.job;
    return static_cast<size_t>(candidate.occurrence) * job.occurrence_size +
           job.step_offset[candidate.step] + index;
  }

  static bool IsSuspect(const Candidate& candidate, uint32_t index) {
    return candidate.job->IsSuspect(IndexOf(candidate, index));
  }

  static bool IsIsolated(const Candidate& candidate, uint32_t index) {
    return candidate.job->IsIsolated(IndexOf(candidate, index));
  }

  // Whether a task of this plan that needs no more found no room in the
  // service. This spares the steps behind it a search through all workers.
  bool IsKnownTooLarge(const Candidate& candidate,
                       const Resources& need) const {
    const auto full = m_too_large.find(candidate.Service());
    return full != m_too_large.end() &&
           std::any_of(
               full->second.begin(), full->second.end(),
               [&need](const Resources& least) { return Fits(least, need); });
  }

  // Notes that a task of this size found no room. Only for a task that may run
  // on any worker with room: another may have lacked something else.
  void RememberTooLarge(const Candidate& candidate,
                        const StepSpec& step,
                        uint32_t index,
                        const Resources& need) {
    const Task& task = TaskOf(candidate, index);
    const bool is_unrestricted =
        step.required_label.empty() && step.data_rack.empty() &&
        step.max_tasks_per_worker == 0 && !IsLastAttempt(candidate, index) &&
        !task.IsSuspect();
    if (is_unrestricted) {
      m_too_large[candidate.Service()].push_back(need);
    }
  }

  std::vector<Place> PlacesOf(const std::string& service) const {
    const auto& workers = m_planner.WorkersOf(m_input.ledger, service);
    std::vector<Place> places;
    places.reserve(workers.size());
    for (const Worker* worker : workers) {
      if (worker->info.is_draining) {
        continue;
      }
      Place& place = places.emplace_back();
      place.worker = worker;
      place.room = worker->info.capacity;
      Subtract(place.room, worker->used);
      const auto reserved = m_planner.m_reserved_room.find(worker->info.id);
      if (reserved != m_planner.m_reserved_room.end()) {
        Subtract(place.room, reserved->second);
      }
    }
    return places;
  }

  // Asks for the status only when a place is otherwise the best choice, since
  // most places have no room or cost more than an earlier one.
  const WorkerStatus& StatusOf(Place& place) const {
    if (!place.status) {
      place.status = m_input.status_of(*place.worker);
    }
    return *place.status;
  }

  // For decisions that depend on how many usable workers there are, or on their
  // racks.
  void RemoveUnusable(Places& places) const {
    std::erase_if(places.all,
                  [this](Place& place) { return !StatusOf(place).is_usable; });
    places.CollectWithRoom();
  }

  static uint64_t StepKey(const Candidate& candidate) {
    return (static_cast<uint64_t>(candidate.occurrence) << 32) | candidate.step;
  }

  // The racks to try for a gang, in this order. The empty name stands for any
  // rack.
  std::vector<std::string> RacksForGang(const Candidate& candidate,
                                        const StepSpec& step,
                                        const Places& places) const {
    if (!step.is_same_rack) {
      return {""};
    }
    std::set<std::string> names;
    for (const Place& place : places.all) {
      names.insert(place.worker->info.rack);
    }
    std::vector<std::string> racks(names.rbegin(), names.rend());
    if (m_input.now - candidate.waiting_since >
        LongestRackWait(step, m_planner.m_remote_data_factor)) {
      racks.emplace_back();
    }
    return racks;
  }

  // Places all members of a gang, on one rack if it asks for that, or none. A
  // gang with a suspect is tried as a whole: its members share workers on which
  // no other task is at risk.
  void PlaceGang(const Candidate& candidate,
                 const StepSpec& step,
                 Places& places,
                 std::vector<RunStarted>& out) {
    const std::vector<uint32_t> tasks = m_planner.StartableTasks(candidate);
    if (tasks.size() < step.count) {
      return;
    }
    RemoveUnusable(places);
    bool is_placed = false;
    if (!IsSuspect(candidate, 0)) {
      is_placed =
          PlaceMembers(candidate, step, tasks, places, Sharing::kAllowed, out);
    } else {
      is_placed = PlaceMembers(candidate, step, tasks, places,
                               Sharing::kForbidden, out);
      if (!is_placed && MaySuspectGangShare(candidate, step, places)) {
        is_placed = PlaceMembers(candidate, step, tasks, places,
                                 Sharing::kAllowed, out);
      }
    }
    if (!is_placed && WaitsForData(candidate, step)) {
      for (size_t member = 0; member < tasks.size(); ++member) {
        m_rack_queues[candidate.Service()].AddTask(step.data_rack, step);
      }
    }
  }

  // Whether a gang with a suspect need no longer wait for empty workers.
  bool MaySuspectGangShare(const Candidate& candidate,
                           const StepSpec& step,
                           Places& places) {
    if (step.is_persistent) {
      return true;  // A service must not wait for a worker.
    }
    const bool has_waited = RecordWaitForEmpty(candidate, step, 0, places,
                                               WorkersForGang(step, places));
    return has_waited && !IsIsolated(candidate, 0) &&
           !IsSuspectUnproven(places);
  }

  // How many workers take all members of a gang if they are empty.
  static size_t WorkersForGang(const StepSpec& step, const Places& places) {
    const Resources need = ReservedResources(step);
    const uint32_t limit =
        step.max_tasks_per_worker > 0 ? step.max_tasks_per_worker : step.count;
    uint32_t most = 1;  // Members on one worker.
    for (const Place& place : places.all) {
      Resources left = place.worker->info.capacity;
      uint32_t members = 0;
      for (; members < limit && Fits(need, left); ++members) {
        Subtract(left, need);
      }
      most = std::max(most, members);
    }
    return (step.count + most - 1) / most;
  }

  // Places all members of a gang on the first rack that takes them, or none.
  // Returns whether it did.
  bool PlaceMembers(const Candidate& candidate,
                    const StepSpec& step,
                    const std::vector<uint32_t>& tasks,
                    Places& places,
                    Sharing sharing,
                    std::vector<RunStarted>& out) {
    for (const std::string& rack : RacksForGang(candidate, step, places)) {
      Places trial = places;
      std::vector<RunStarted> starts;
      for (const uint32_t index : tasks) {
        Place* place =
            FindPlaceForMember(candidate, step, index, trial, rack, sharing);
        if (place == nullptr) {
          break;
        }
        Assign(candidate, step, index, *place, starts, false);
      }
      if (starts.size() == tasks.size()) {
        places = std::move(trial);
        for (Place& place : places.all) {
          place.planned.clear();
        }
        for (RunStarted& start : starts) {
          Reserve(candidate, start, step);
          out.push_back(std::move(start));
        }
        return true;
      }
    }
    return false;
  }

  // The best place for a member of a gang; null if there is none. A suspect
  // goes beside other tasks only where no empty worker is left.
  Place* FindPlaceForMember(const Candidate& candidate,
                            const StepSpec& step,
                            uint32_t index,
                            Places& places,
                            const std::string& only_rack,
                            Sharing sharing) const {
    Place* empty = IsSuspect(candidate, index)
                       ? FindCheapestPlace(candidate, step, index, places,
                                           only_rack, Sharing::kForbidden)
                       : nullptr;
    if (empty != nullptr || sharing == Sharing::kForbidden) {
      return empty;
    }
    return FindCheapestPlace(candidate, step, index, places, only_rack,
                             sharing);
  }

  /// Counts the tasks of the candidate's step on a worker: active, reserved,
  /// and of a gang that is being placed.
  ///
  /// @param first The first task of the candidate's step.
  uint32_t CountTasksOfStep(const Candidate& candidate,
                            const TaskId& first,
                            const Place& place) const {
    uint32_t here = 0;
    for (auto task = place.worker->active.lower_bound(first);
         task != place.worker->active.end() && task->job == first.job &&
         task->occurrence == first.occurrence && task->step == first.step;
         ++task) {
      ++here;
    }
    for (auto planned = m_planner.m_reserved_worker.lower_bound(first);
         planned != m_planner.m_reserved_worker.end() &&
         planned->first.job == first.job &&
         planned->first.occurrence == first.occurrence &&
         planned->first.step == first.step;
         ++planned) {
      // A reserved task whose start is applied already was counted as active.
      const bool is_here = planned->second == place.worker->info.id &&
                           !place.worker->active.contains(planned->first);
      here += is_here ? 1 : 0;
    }
    const auto planned =
        place.planned.find({candidate.job, StepKey(candidate)});
    return here + (planned == place.planned.end() ? 0 : planned->second);
  }

  // Whether a task, or its gang, has failed before and one more failure would
  // use up its queue's attempts. It is then kept off workers that may cause the
  // failures. Attempts of persistent tasks are not limited.
  static bool IsLastAttempt(const Candidate& candidate, uint32_t index) {
    const uint32_t failures = FailuresOf(candidate, index);
    return failures > 0 &&
           !candidate.job->spec.steps[candidate.step].is_persistent &&
           failures + 1 >= Ledger::MaxAttemptsOf(candidate.queue);
  }

  // Number of failed attempts of a task, or of its gang as a whole.
  static uint32_t FailuresOf(const Candidate& candidate, uint32_t index) {
    const bool is_gang = candidate.job->spec.steps[candidate.step].is_gang;
    return TaskOf(candidate, is_gang ? 0 : index).failures;
  }

  // The tasks whose last failures tell where a task may fail again: itself, or
  // all members of its gang, as a failure of one is a failure of all. None
  // before the first failure.
  static std::span<const Task> FailedTogether(const Candidate& candidate,
                                              const StepSpec& step,
                                              uint32_t index) {
    if (FailuresOf(candidate, index) == 0) {
      return {};
    }
    const std::span<const Task> tasks(candidate.job->tasks);
    return step.is_gang ? tasks.subspan(IndexOf(candidate, 0), step.count)
                        : tasks.subspan(IndexOf(candidate, index), 1);
  }

  static bool HasFailedOn(std::span<const Task> tasks,
                          const std::string& worker) {
    return std::any_of(tasks.begin(), tasks.end(), [&worker](const Task& task) {
      return task.failed_on == worker;
    });
  }

  // How long a last attempt has waited so far for a worker that can't have
  // caused the failures. The members of a gang wait together.
  Millis WaitOfLastAttempt(const StepSpec& step, TaskId id) const {
    id.index = step.is_gang ? 0 : id.index;
    const SteadyTime since =
        m_planner.m_last_attempts.try_emplace(std::move(id), m_input.now)
            .first->second;
    return std::chrono::floor<Millis>(m_input.now - since);
  }

  // The best place for a task, with the rules for suspects; null if there is
  // none, or if the task is to wait for an empty worker.
  Place* FindPlace(const Candidate& candidate,
                   const StepSpec& step,
                   uint32_t index,
                   Places& places) {
    const auto find = [&](Sharing sharing) {
      return FindCheapestPlace(candidate, step, index, places, {}, sharing);
    };
    if (!IsSuspect(candidate, index)) {
      return find(Sharing::kAllowed);
    }
    Place* empty = HasPlaceForSuspect(candidate, places)
                       ? find(Sharing::kForbidden)
                       : nullptr;
    if (empty != nullptr) {
      return empty;
    }
    if (step.is_persistent) {
      return find(Sharing::kAllowed);  // A service must not wait for a worker.
    }
    const bool has_waited =
        RecordWaitForEmpty(candidate, step, index, places, 1);
    if (!has_waited || IsIsolated(candidate, index)) {
      return nullptr;
    }
    return IsSuspectUnproven(places) ? nullptr : find(Sharing::kAllowed);
  }

  static bool HasNoPlannedTask(const Place& place) {
    Resources unused = place.worker->info.capacity;
    Subtract(unused, place.worker->used);
    return place.planned.empty() && place.room == unused;
  }

  // Whether a worker is as empty as a suspect needs it, so that a crash takes
  // down as little as possible: it runs only persistent tasks and earlier
  // suspects, all of them seen at work, and no other start is planned there.
  // An isolated suspect accepts no other suspects beside it either.
  bool IsFreeForSuspect(Place& place, bool is_isolated) const {
    const Worker& worker = *place.worker;
    const size_t allowed_suspects = is_isolated ? 0 : worker.suspects.size();
    const bool has_no_other_tasks =
        worker.active.size() <= worker.persistent_runs + allowed_suspects;
    return has_no_other_tasks && HasNoPlannedTask(place) &&
           !HasNewSuspect(place) &&
           (worker.active.empty() || StatusOf(place).all_runs_seen);
  }

  // Whether some suspect has been started, or is planned, that may still crash
  // its worker.
  bool IsSuspectUnproven(Places& places) const {
    return std::any_of(
        places.all.begin(), places.all.end(), [this](Place& place) {
          return HasNewSuspect(place) || (!place.worker->suspects.empty() &&
                                          StatusOf(place).is_quarantined);
        });
  }

  // Whether some worker is free for a suspect. None becomes free within a plan,
  // so that a negative result is kept for all further suspects of the service.
  bool HasPlaceForSuspect(const Candidate& candidate, Places& places) {
    const std::string& service = candidate.Service();
    if (m_without_empty_place.contains(service)) {
      return false;
    }
    const bool has_empty = std::any_of(
        places.all.begin(), places.all.end(),
        [this](Place& place) { return IsFreeForSuspect(place, false); });
    if (!has_empty) {
      m_without_empty_place.insert(service);
    }
    return has_empty;
  }

  // Whether this plan puts other members of the candidate's gang on a worker.
  static bool IsTakenByGang(const Candidate& candidate, const Place& place) {
    return !place.planned.empty() &&
           place.planned.contains({candidate.job, StepKey(candidate)});
  }

  // Records that a suspect, or a gang with one, waits for so many empty
  // workers. Returns whether it need wait no longer: it has waited for long
  // enough, or no worker can become empty.
  bool RecordWaitForEmpty(const Candidate& candidate,
                          const StepSpec& step,
                          uint32_t index,
                          Places& places,
                          size_t workers) {
    const TaskId id{candidate.job->id, candidate.occurrence, candidate.step,
                    index};
    const auto before = m_planner.m_previous_suspect_waits.find(id);
    const SteadyTime since = before == m_planner.m_previous_suspect_waits.end()
                                 ? m_input.now
                                 : before->second;
    m_planner.m_suspect_waits[id] = since;
    return !CordonWorkers(candidate, step, index, places, workers) ||
           m_input.now - since > kMaxWaitForEmptyWorker;
  }

  // Cordons up to `workers` more workers of the service, as far as the number
  // of waiting suspects calls for it. Returns false if none is cordoned and
  // none can be.
  bool CordonWorkers(const Candidate& candidate,
                     const StepSpec& step,
                     uint32_t index,
                     Places& places,
                     size_t workers) {
    const std::string& service = candidate.Service();
    const std::set<std::string>& cordoned = m_planner.m_cordoned[service];
    size_t& waiting = m_waiting_suspects[service];
    waiting += 1 + (workers - 1) * kSuspectsPerCordonedWorker;
    // An isolated gang never shares a worker, so it gets all that it needs.
    const size_t most =
        std::max({size_t{1}, places.all.size() / kWorkersPerCordonedWorker,
                  IsIsolated(candidate, index) ? workers : 0});
    const size_t wanted =
        std::min(most, 1 + waiting / kSuspectsPerCordonedWorker);
    for (size_t more = 0; more < workers && cordoned.size() < wanted; ++more) {
      CordonWorker(service, step, places);
    }
    return !cordoned.empty();
  }

  // Cordons one more worker of the service: one that was cordoned by the last
  // plan if possible, else the one with the fewest persistent runs, then the
  // fewest runs.
  void CordonWorker(const std::string& service,
                    const StepSpec& step,
                    Places& places) {
    std::set<std::string>& cordoned = m_planner.m_cordoned[service];
    const std::set<std::string>& before =
        CordonedFor(m_planner.m_previously_cordoned, service);
    const auto was_cordoned = [&before](const Place& place) {
      return before.contains(place.worker->info.id);
    };
    const Place* best = nullptr;
    for (Place& place : places.all) {
      // A cordoned worker that runs a suspect stays cordoned for the next one.
      const bool is_free = was_cordoned(place) ||
                           (!place.has_persistent && !HasNewSuspect(place) &&
                            !StatusOf(place).is_quarantined);
      const bool may_become_empty =
          is_free && !cordoned.contains(place.worker->info.id) &&
          MatchesLabel(place.worker->info, step.required_label) &&
          Fits(ReservedResources(step), place.worker->info.capacity) &&
          StatusOf(place).is_usable;
      const auto cost = [&](const Place& of) {
        return std::tuple(!was_cordoned(of), of.worker->persistent_runs,
                          of.worker->active.size());
      };
      const bool is_better =
          may_become_empty && (best == nullptr || cost(place) < cost(*best));
      best = is_better ? &place : best;
    }
    if (best != nullptr) {
      cordoned.insert(best->worker->info.id);
    }
  }

  // Whether a suspect has a reservation on a worker, or this plan puts one
  // there.
  bool HasNewSuspect(const Place& place) const {
    return place.has_suspect ||
           (!m_planner.m_reserved_suspects.empty() &&
            m_planner.m_reserved_suspects.contains(place.worker->info.id));
  }

  // The workers of a service that one plan cordoned.
  static const std::set<std::string>& CordonedFor(
      const std::map<std::string, std::set<std::string>>& cordoned,
      const std::string& service) {
    static const std::set<std::string> none;
    const auto found = cordoned.find(service);
    return found == cordoned.end() ? none : found->second;
  }

  // The place of lowest cost that may take a task; null if there is none.
  Place* FindCheapestPlace(const Candidate& candidate,
                           const StepSpec& step,
                           uint32_t index,
                           Places& places,
                           const std::string& only_rack,
                           Sharing sharing) const {
    const TaskId id{candidate.job->id, candidate.occurrence, candidate.step,
                    index};
    const std::string& service = candidate.Service();
    // Looked up once rather than for each place.
    const bool avoids_cordoned = !IsSuspect(candidate, index);
    const auto& cordoned = CordonedFor(m_planner.m_cordoned, service);
    const auto& before = CordonedFor(m_planner.m_previously_cordoned, service);
    const auto is_held = [&](const Place& place) {
      const std::string& id = place.worker->info.id;
      const bool is_cordoned = cordoned.contains(id) || before.contains(id);
      return (avoids_cordoned && is_cordoned) || HasNewSuspect(place);
    };
    const bool is_alone = sharing == Sharing::kForbidden;
    const bool is_isolated =
        IsIsolated(candidate, index) && !step.is_persistent;
    const auto is_empty = [&](Place& place) {
      return IsTakenByGang(candidate, place) ||
             IsFreeForSuspect(place, is_isolated);
    };
    const bool waits_for_data = WaitsForData(candidate, step);
    const bool packs_tasks = m_planner.m_mechanisms.Has(Mechanism::kGathering);
    const Resources room = ReservedResources(step);
    const std::span<const Task> failed = FailedTogether(candidate, step, index);
    const bool is_last_attempt = IsLastAttempt(candidate, index);
    if (is_last_attempt) {
      RemoveUnusable(places);
    }
    const bool avoids_risk = is_last_attempt && places.all.size() > 1 &&
                             WaitOfLastAttempt(step, id) < kMaxLastAttemptWait;
    const TaskId first{id.job, id.occurrence, id.step, 0};
    Place* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    m_planner.m_cost.places += places.with_room.size();
    size_t kept = 0;
    for (const uint32_t position : places.with_room) {
      Place& place = places.all[position];
      if (!Fits(places.smallest_need, place.room)) {
        continue;  // This plan has filled it.
      }
      places.with_room[kept++] = position;
      const WorkerInfo& info = place.worker->info;
      const bool is_other_rack =
          !step.data_rack.empty() && info.rack != step.data_rack;
      if (!Fits(room, place.room) || !MatchesLabel(info, step.required_label) ||
          (!only_rack.empty() && info.rack != only_rack) ||
          (is_other_rack && waits_for_data)) {
        continue;
      }
      double cost = is_other_rack ? kOtherRackCost : 0;
      const bool has_failed_here = HasFailedOn(failed, info.id);
      cost += has_failed_here ? kFailedHereCost : 0;
      // Tasks are packed onto few hosts, first those with persistent tasks, so
      // that the others can move as soon as another service needs them.
      const bool has_persistent =
          place.worker->persistent_runs > 0 || place.has_persistent;
      // A suspect on an empty worker keeps away from persistent tasks instead.
      const double packing_cost =
          is_alone ? kPersistentTasksCost : -kPersistentTasksCost;
      cost += packs_tasks && has_persistent ? packing_cost : 0;
      const double used =
          1 - Share(place.room.millicores, info.capacity.millicores);
      cost += step.is_persistent || !packs_tasks ? used : -used;
      // The checks below are more expensive and only raise the cost.
      if (cost >= best_cost || (is_alone ? !is_empty(place) : is_held(place)) ||
          place.worker->active.contains(id)) {
        continue;
      }
      const uint32_t here = CountTasksOfStep(candidate, first, place);
      if (step.max_tasks_per_worker > 0 && here >= step.max_tasks_per_worker) {
        continue;
      }
      const WorkerStatus& status = StatusOf(place);
      const bool is_risk =
          avoids_risk && (has_failed_here || status.is_unreliable);
      if (!status.is_usable || is_risk || status.is_quarantined) {
        continue;
      }
      cost += status.is_unreliable ? kUnreliableCost : 0;
      cost +=
          step.is_persistent && status.is_shutdown_due ? kShutdownDueCost : 0;
      cost += kSameStepCost * here;
      if (cost < best_cost) {
        best = &place;
        best_cost = cost;
      }
    }
    places.with_room.resize(kept);
    return best;
  }

  void Assign(const Candidate& candidate,
              const StepSpec& step,
              uint32_t index,
              Place& place,
              std::vector<RunStarted>& out,
              bool is_reserved = true) {
    const TaskId id{candidate.job->id, candidate.occurrence, candidate.step,
                    index};
    RunStarted start{id, NextRun(candidate, step, id), place.worker->info.id};
    Subtract(place.room, ReservedResources(step));
    place.has_persistent = place.has_persistent || step.is_persistent;
    place.has_suspect = place.has_suspect || IsSuspect(candidate, index);
    if (is_reserved) {
      Reserve(candidate, start, step);
    } else {
      ++place.planned[{candidate.job, StepKey(candidate)}];
    }
    out.push_back(std::move(start));
  }

  // The number of a task's next run. All members of a gang get the same one.
  static uint32_t NextRun(const Candidate& candidate,
                          const StepSpec& step,
                          const TaskId& id) {
    const Job& job = *candidate.job;
    const size_t index = job.IndexOf(id);
    uint32_t last = job.tasks[index].last_run;
    if (step.is_gang) {
      const size_t first = index - id.index;
      for (size_t member = first; member < first + step.count; ++member) {
        last = std::max(last, job.tasks[member].last_run);
      }
    }
    return last + 1;
  }

  // Records a last attempt that goes to a worker that may have caused the
  // earlier failures.
  void RecordRisk(const Candidate& candidate,
                  const RunStarted& start,
                  const StepSpec& step) {
    if (!IsLastAttempt(candidate, start.task.index)) {
      return;
    }
    const Worker* worker = m_input.ledger.FindWorker(start.worker);
    if (HasFailedOn(FailedTogether(candidate, step, start.task.index),
                    start.worker) ||
        m_input.status_of(*worker).is_unreliable) {
      m_planner.m_risky_starts.push_back(
          {start, WaitOfLastAttempt(step, start.task)});
    }
  }

  void Reserve(const Candidate& candidate,
               const RunStarted& start,
               const StepSpec& step) {
    ++(candidate.is_late ? m_planner.m_cost.starts_late
                         : m_planner.m_cost.starts_on_time);
    m_planner.m_reserved_worker[start.task] = start.worker;
    ++m_planner.m_reserved_tasks[start.task.job];
    RecordRisk(candidate, start, step);
    const Job& job = *candidate.job;
    const Resources room = ReservedResources(step);
    const std::string& service = candidate.Service();
    Add(m_planner.m_reserved_room[start.worker], room);
    m_planner.m_reservations[{start.task, start.run}] = {
        room, step.need, job.organisation,
        step.is_persistent ? std::string() : service};
    if (!step.is_persistent) {
      Add(m_planner.m_reserved_in_pool[service][job.organisation], room);
    }
    if (candidate.share != nullptr) {
      candidate.share->pool->Hold(candidate.share->claim, room);
      Add(candidate.share->begun.held, room);
    }
    if (!job.organisation.empty()) {
      Add(m_planner.m_reserved_of_cap[job.organisation], step.need);
    }
    if (job.IsSuspect(job.IndexOf(start.task))) {
      m_planner.m_reserved_suspects[start.worker].insert(start.task);
    }
  }

  Planner& m_planner;
  const PlanInput& m_input;
  std::map<std::string, Places> m_places_of;                  // By service.
  std::map<std::string, std::vector<Resources>> m_too_large;  // By service.
  std::map<std::string, RackQueues> m_rack_queues;            // By service.
  // Services in which no worker is free for a suspect.
  std::set<std::string> m_without_empty_place;
  std::map<std::string, size_t> m_waiting_suspects;  // Counts, by service.
};

// Ordered as in the ledger.
const std::vector<const Worker*>& Planner::WorkersOf(
    const Ledger& ledger,
    const std::string& service) {
  const std::pair source(&ledger, ledger.workers_version());
  if (m_workers_source != source) {
    m_workers_source = source;
    m_workers_of.clear();
    for (const auto& [id, worker] : ledger.workers()) {
      m_workers_of[worker.info.service].push_back(&worker);
    }
  }
  return m_workers_of[service];
}

double Planner::RunTimeRatio(const std::string& queue) const {
  const auto found = m_run_time_ratios.find(queue);
  return found == m_run_time_ratios.end() ? 1.0 : found->second;
}

void Planner::Learn(const std::string& queue, Millis estimate, Millis taken) {
  if (estimate <= Millis(0) || !m_mechanisms.Has(Mechanism::kLearnedTimes)) {
    return;
  }
  const double seen = std::clamp(static_cast<double>(taken.count()) /
                                     static_cast<double>(estimate.count()),
                                 kMinRunTimeRatio, kMaxRunTimeRatio);
  double& ratio = m_run_time_ratios.try_emplace(queue, 1.0).first->second;
  ratio += kRatioLearningRate * (seen - ratio);
}

SteadyTime Planner::DeadlineOf(const QueueSpec* queue,
                               const Job& job,
                               SteadyTime first_seen_at) const {
  return first_seen_at + ObjectiveOf(job.spec, queue, RunTimeRatio(job.queue));
}

bool Planner::IsHopeless(const Job& job,
                         uint32_t occurrence,
                         SteadyTime deadline,
                         SteadyTime now) const {
  return now + RemainingTime(job, occurrence) > deadline;
}

Millis Planner::RemainingTime(const Job& job, uint32_t occurrence) const {
  const double factor = RunTimeRatio(job.queue) * kRemainingTimeFactor;
  return Scaled(
      RemainingCriticalPath(job, occurrence, Scaled(m_step_delay, 1 / factor)),
      factor);
}

double Planner::EstimatedWork(const Job& job) const {
  return ShortWork(job.spec) * RunTimeRatio(job.queue);
}

JobForecast Planner::Forecast(const JobSpec& spec,
                              const QueueSpec& queue) const {
  const double ratio = RunTimeRatio(queue.name);
  JobForecast forecast;
  forecast.work = ShortWork(spec) * ratio;
  forecast.critical_path =
      Scaled(CriticalPath(spec, [](size_t) { return true; }), ratio);
  forecast.objective = ObjectiveOf(spec, &queue, ratio);
  forecast.useful = kUselessAfterFactor * forecast.objective;
  return forecast;
}

PendingWork Planner::Waiting(const Ledger& ledger,
                             const Job& job,
                             SteadyTime first_seen_at,
                             SteadyTime now) const {
  PendingWork waiting;
  const size_t step_count = job.spec.steps.size();
  for (size_t part = 0; part < job.tasks_left_by_step.size(); ++part) {
    const auto occurrence = static_cast<uint32_t>(part / step_count);
    const auto index = static_cast<uint32_t>(part % step_count);
    const StepSpec& step = job.spec.steps[index];
    if (job.tasks_left_by_step[part] == 0 || step.is_persistent) {
      continue;
    }
    const double work = CoreMilliseconds(step);
    const bool is_ready = job.IsStepReady(occurrence, index);
    const size_t first = static_cast<size_t>(occurrence) * job.occurrence_size +
                         job.step_offset[index];
    for (size_t task = first; task < first + step.count; ++task) {
      if (job.tasks[task].is_done) {
        continue;
      }
      if (!job.tasks[task].active.empty()) {
        waiting.running_core_milliseconds += work;
      } else {
        waiting.core_milliseconds += work;
        waiting.ready_core_milliseconds += is_ready ? work : 0;
      }
    }
  }
  const double ratio = RunTimeRatio(job.queue);
  waiting.core_milliseconds *= ratio;
  waiting.ready_core_milliseconds *= ratio;
  waiting.running_core_milliseconds *= ratio;
  const SteadyTime deadline =
      DeadlineOf(ledger.QueueOf(job), job, first_seen_at);
  const SteadyTime limit =
      first_seen_at + kUselessAfterFactor * (deadline - first_seen_at);
  const bool is_late = IsHopeless(job, 0, deadline, now);
  waiting.left = std::chrono::floor<Millis>((is_late ? limit : deadline) - now);
  waiting.is_hopeless = IsHopeless(job, 0, limit, now);
  return waiting;
}

Millis Planner::Slack(const Ledger& ledger, const Job& job) const {
  const double ratio = RunTimeRatio(job.queue);
  return ObjectiveOf(job.spec, ledger.QueueOf(job), ratio) -
         Scaled(RemainingCriticalPath(job, 0), ratio);
}

Millis Planner::EstimatedRunTime(const Job& job, uint32_t step) const {
  return Scaled(job.spec.steps[step].estimate, RunTimeRatio(job.queue));
}

void Planner::AddCandidate(const PlanInput& input,
                           const Job& job,
                           uint32_t occurrence,
                           uint32_t step,
                           std::vector<Candidate>& out) const {
  const StepSpec& spec = job.spec.steps[step];
  Candidate candidate;
  candidate.job = &job;
  candidate.occurrence = occurrence;
  candidate.step = step;
  candidate.has_reservations = m_reserved_tasks.contains(job.id);
  const auto seen = input.first_seen_at.find(job.id);
  const SteadyTime since =
      seen == input.first_seen_at.end() ? input.now : seen->second;
  candidate.queue = input.ledger.QueueOf(job);
  candidate.waiting_since = since;
  candidate.priority =
      candidate.queue == nullptr ? 0 : candidate.queue->priority;
  candidate.is_running = job.state == JobState::kRunning;
  const SteadyTime deadline = DeadlineOf(candidate.queue, job, since);
  const SteadyTime limit = since + kUselessAfterFactor * (deadline - since);
  candidate.deadline = deadline;
  const SteadyTime done_at = input.now + RemainingTime(job, occurrence);
  if (spec.is_persistent) {
    candidate.urgency = Urgency::kPersistent;
  } else if (!m_mechanisms.Has(Mechanism::kHopelessOrder)) {
    candidate.urgency = Urgency::kOnTime;
  } else if (done_at > limit) {
    candidate.urgency = Urgency::kHopeless;
    candidate.is_late = true;
  } else if (done_at > deadline) {
    candidate.is_late = true;
    candidate.has_just_missed =
        !candidate.is_running && done_at - kMissedWithin <= deadline;
    // The deadline cannot be met, but the work is still of use until the limit.
    // It goes behind the work that can be on time, and is ordered among it by
    // that limit when the time to start is nearly over. Not in an overloaded
    // pool, where it would make as much work late that can be on time.
    const bool is_last_call = m_mechanisms.Has(Mechanism::kLastCall) &&
                              !IsOverloaded(candidate.Service(), input.now) &&
                              done_at + kLastCallMargin > limit;
    candidate.urgency = is_last_call ? Urgency::kOnTime : Urgency::kLate;
    candidate.deadline = limit;
  }
  if (job.is_excess && candidate.urgency != Urgency::kPersistent) {
    candidate.urgency = std::max(candidate.urgency, Urgency::kExcess);
  }
  out.push_back(candidate);
}

// Indices of the tasks of a step that are not done, running, being committed,
// given up or held back.
std::vector<uint32_t> Planner::StartableTasks(
    const Candidate& candidate) const {
  const Job& job = *candidate.job;
  const uint32_t count = job.spec.steps[candidate.step].count;
  TaskId id{job.id, candidate.occurrence, candidate.step, 0};
  const size_t first = job.IndexOf(id);
  std::vector<uint32_t> tasks;
  tasks.reserve(count);
  for (id.index = 0; id.index < count; ++id.index) {
    const Task& task = job.tasks[first + id.index];
    const bool is_reserved =
        candidate.has_reservations && m_reserved_worker.contains(id);
    if (!task.is_done && task.active.empty() && !is_reserved &&
        !task.is_given_up && !task.IsHeldBack()) {
      tasks.push_back(id.index);
    }
  }
  return tasks;
}

std::vector<Planner::Candidate> Planner::CollectCandidates(
    const PlanInput& input) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, open_job] : input.ledger.open_jobs()) {
    const Job& job = *open_job;
    // Most open jobs already run all of their remaining tasks.
    if (job.is_over() || job.tasks_left <= job.active_runs ||
        m_deferred.contains(id)) {
      continue;
    }
    VisitOpenSteps(job, input.wall_now,
                   [&](uint32_t occurrence, uint32_t step) {
                     AddCandidate(input, job, occurrence, step, candidates);
                     return true;
                   });
  }
  return candidates;
}

// Work on time goes before late work and would take each worker that becomes
// free, so that suspects of late jobs would starve.
void Planner::PromoteStarvedSuspects(SteadyTime now,
                                     std::vector<Candidate>& candidates) const {
  std::map<std::string, SteadyTime> first_of;  // By job.
  for (const auto& [id, since] : m_suspect_waits) {
    if (now - since > kStarvedSuspectWait) {
      SteadyTime& first = first_of.try_emplace(id.job, since).first->second;
      first = std::min(first, since);
    }
  }
  for (Candidate& candidate : candidates) {
    const auto first = first_of.find(candidate.job->id);
    const bool may_go_first =
        candidate.urgency != Urgency::kPersistent && !candidate.job->is_excess;
    if (first != first_of.end() && may_go_first) {
      candidate.urgency = Urgency::kStarvedSuspect;
      candidate.deadline = first->second;
    }
  }
}

bool Planner::IsOverloaded(const std::string& service, SteadyTime now) const {
  const auto missed = m_missed_at.find(service);
  return missed != m_missed_at.end() && now - missed->second < kOverloadMemory;
}

// A job that becomes late while it waits shows that its pool, or the leader,
// can't have all on time.
void Planner::NoteMissed(SteadyTime now,
                         const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    if (candidate.has_just_missed) {
      m_missed_at[candidate.Service()] = now;
    }
  }
}

// Drops those that need no further attempt.
void Planner::PruneLastAttempts(const Ledger& ledger) {
  std::erase_if(m_last_attempts, [&ledger](const auto& entry) {
    const TaskId& id = entry.first;
    const Job* job = ledger.FindJob(id.job);
    if (job == nullptr || job->is_over() || !job->Holds(id)) {
      return true;
    }
    const Task& task = job->tasks[job->IndexOf(id)];
    return task.is_done || task.is_given_up;
  });
}

std::vector<RunStarted> Planner::Plan(const PlanInput& input) {
  m_step_delay = input.step_delay;
  m_risky_starts.clear();
  PruneLastAttempts(input.ledger);
  std::erase_if(m_deferred, [&input](const auto& deferred) {
    return deferred.second <= input.now;
  });
  std::vector<Candidate> candidates = CollectCandidates(input);
  PromoteStarvedSuspects(input.now, candidates);
  NoteMissed(input.now, candidates);
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.Key() < b.Key(); });
  std::vector<RunStarted> starts;
  m_cost = {};
  m_cost.steps = candidates.size();
  m_previously_cordoned = std::exchange(m_cordoned, {});
  m_previous_suspect_waits = std::exchange(m_suspect_waits, {});
  m_shares.clear();
  if (candidates.empty()) {
    return starts;
  }
  Placement placement(*this, input, candidates);
  const auto shared = std::find_if(
      candidates.begin(), candidates.end(), [](const Candidate& candidate) {
        return candidate.urgency >= Urgency::kOnTime;
      });
  PlaceClass({candidates.begin(), shared}, placement, starts);
  if (UsesShares(input.ledger)) {
    DivideFullPools(input.ledger, {shared, candidates.end()}, placement);
  }
  for (auto first = shared; first != candidates.end();) {
    const auto last = std::find_if(first, candidates.end(),
                                   [first](const Candidate& candidate) {
                                     return candidate.urgency != first->urgency;
                                   });
    const std::span<Candidate> due(first, last);
    PlaceClass(input.is_leader_busy ? LimitLateWork(due, starts.size()) : due,
               placement, starts);
    first = last;
  }
  return starts;
}

// On a busy leader each late task takes the time of one that could be on time,
// and so makes it late: late work gets a small share, by which it still ends.
std::span<Planner::Candidate> Planner::LimitLateWork(
    std::span<Candidate> candidates,
    size_t starts) {
  if (candidates.front().urgency < Urgency::kLate) {
    return candidates;
  }
  const size_t most = starts / kStartsPerLateStart + kMinLateStarts;
  size_t tasks = 0;
  size_t count = 0;
  for (; count < candidates.size() && tasks < most; ++count) {
    tasks += candidates[count].TasksLeft();
  }
  return candidates.first(count);
}

// What one organisation leaves of its part goes to the others of the class at
// once.
void Planner::PlaceClass(std::span<Candidate> candidates,
                         Placement& placement,
                         std::vector<RunStarted>& out) {
  std::vector<Candidate*> beyond_part;
  for (Candidate& candidate : candidates) {
    if (placement.PlaceStep(candidate, ShareLimit::kOwnPart, out)) {
      beyond_part.push_back(&candidate);
    }
  }
  for (Candidate* candidate : beyond_part) {
    placement.PlaceStep(*candidate, ShareLimit::kNone, out);
  }
}

bool Planner::UsesShares(const Ledger& ledger) const {
  const std::optional<IdentitySpec>& identities =
      ledger.configuration().identities;
  return m_mechanisms.Has(Mechanism::kShares) && identities &&
         !identities->organisations.empty();
}

// Excess and hopeless work has no claim: it waits for all that is promised.
void Planner::DivideFullPools(const Ledger& ledger,
                              std::span<Candidate> candidates,
                              Placement& placement) {
  CollectClaims(candidates);
  for (auto& [service, pool] : m_shares) {
    const Resources free =
        placement.FreeRoom(service, pool.smallest(), pool.wanted());
    if (!Fits(pool.wanted(), free)) {
      AddHolders(ledger, service, pool);
      pool.Divide(free, placement.CountWorkers(service));
    }
  }
}

void Planner::CollectClaims(std::span<Candidate> candidates) {
  m_shares_of_steps.clear();
  m_shares_of_steps.reserve(candidates.size());  // Candidates point to them.
  // Compares addresses, as there are many steps of few services.
  boost::container::small_vector<std::pair<const std::string*, PoolShares*>, 16>
      pools;
  const auto pool_of = [&](const std::string& service) {
    for (const auto& [name, pool] : pools) {
      if (name == &service) {
        return pool;
      }
    }
    return pools.emplace_back(&service, &m_shares[service]).second;
  };
  for (Candidate& candidate : candidates) {
    if (candidate.urgency > Urgency::kLate) {
      break;
    }
    const uint32_t tasks = CountStartableTasks(candidate);
    if (tasks == 0) {
      continue;
    }
    const Resources need =
        ReservedResources(candidate.job->spec.steps[candidate.step]);
    ShareOfStep& share = m_shares_of_steps.emplace_back();
    share.pool = pool_of(candidate.Service());
    share.claim = share.pool->ClaimOf(candidate.job->organisation);
    share.begun.need = need;
    for (uint32_t task = tasks; task < candidate.TasksLeft(); ++task) {
      Add(share.begun.held, need);
    }
    share.pool->Want(share.claim, need, tasks);
    candidate.share = &share;
  }
}

// Adds what runs and what is being committed.
void Planner::AddHolders(const Ledger& ledger,
                         const std::string& service,
                         PoolShares& pool) const {
  const auto add = [&pool](const PoolUse& use) {
    for (const auto& [organisation, held] : use) {
      if (held != Resources()) {
        pool.Hold(pool.ClaimOf(organisation), held);
      }
    }
  };
  add(ledger.PoolUseOf(service));
  const auto reserved = m_reserved_in_pool.find(service);
  if (reserved != m_reserved_in_pool.end()) {
    add(reserved->second);
  }
  for (PoolShares::Claim claim = 0; claim < pool.shares().size(); ++claim) {
    const OrganisationSpec* spec =
        ledger.keys().Find(pool.shares()[claim].organisation);
    if (spec != nullptr) {
      pool.SetLimits(claim, spec->weight, spec->cap);
    }
  }
}

// As many as StartableTasks() returns. Most steps wait as a whole, so that they
// need no look at each task.
uint32_t Planner::CountStartableTasks(const Candidate& candidate) const {
  const Job& job = *candidate.job;
  const StepSpec& step = job.spec.steps[candidate.step];
  const bool is_untouched = job.active_runs == 0 &&
                            !candidate.has_reservations &&
                            !job.may_have_suspects;
  const auto tasks =
      is_untouched ? candidate.TasksLeft()
                   : static_cast<uint32_t>(StartableTasks(candidate).size());
  return step.is_gang && tasks < step.count ? 0 : tasks;
}

// Plans the step on a copy of the planner, which has the same reservations, so
// that nothing is reserved here.
StartDiagnosis Planner::DiagnoseStep(const PlanInput& input,
                                     const Job& job,
                                     uint32_t occurrence,
                                     uint32_t step) const {
  StartDiagnosis diagnosis{occurrence, step};
  const size_t first = job.IndexOf({job.id, occurrence, step, 0});
  uint32_t reserved = 0;
  for (uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
    const Task& task = job.tasks[first + index];
    const bool waits =
        !task.is_done && !task.is_given_up && task.active.empty();
    diagnosis.tasks += waits ? 1 : 0;
    reserved +=
        m_reserved_worker.contains({job.id, occurrence, step, index}) ? 1 : 0;
  }
  std::vector<Candidate> candidates;
  AddCandidate(input, job, occurrence, step, candidates);
  const size_t free = StartableTasks(candidates.front()).size();
  const StepSpec& spec = job.spec.steps[step];
  if (free == 0 || (spec.is_gang && free < spec.count)) {
    diagnosis.obstacle = reserved > 0 ? StartObstacle::kBeingCommitted
                                      : StartObstacle::kGangIncomplete;
    return diagnosis;
  }
  Planner trial(*this);
  trial.m_previously_cordoned = std::exchange(trial.m_cordoned, {});
  trial.m_previous_suspect_waits = std::exchange(trial.m_suspect_waits, {});
  Placement placement(trial, input, candidates);
  placement.Count(candidates.front(), diagnosis);
  const bool is_over_cap = placement.IsOverCap(job, spec);
  std::vector<RunStarted> starts;
  placement.PlaceStep(candidates.front(), ShareLimit::kNone, starts);
  if (m_deferred.contains(job.id)) {
    diagnosis.obstacle = StartObstacle::kDeferred;
  } else if (is_over_cap) {
    diagnosis.obstacle = StartObstacle::kOverCap;
  } else if (diagnosis.workers == 0) {
    diagnosis.obstacle = StartObstacle::kNoWorker;
  } else if (diagnosis.with_room == 0) {
    diagnosis.obstacle = StartObstacle::kNoRoom;
  } else if (starts.empty()) {
    const bool is_suspect = !trial.m_cordoned.empty();
    diagnosis.obstacle =
        is_suspect ? StartObstacle::kNoEmptyWorker : StartObstacle::kNotAllowed;
  }
  return diagnosis;
}

std::optional<StartDiagnosis> Planner::Explain(const PlanInput& input,
                                               const Job& job) const {
  std::optional<StartDiagnosis> first;
  VisitOpenSteps(job, input.wall_now, [&](uint32_t occurrence, uint32_t step) {
    const StartDiagnosis diagnosis = DiagnoseStep(input, job, occurrence, step);
    if (diagnosis.tasks > 0) {
      first = diagnosis;
    }
    return !first;
  });
  return first;
}

const char* StartObstacleName(StartObstacle obstacle) {
  return kObstacleNames[static_cast<size_t>(obstacle)];
}

void Planner::ReleaseReservation(const RunStarted& start) {
  const auto found = m_reservations.find({start.task, start.run});
  if (found == m_reservations.end()) {
    return;
  }
  const Reservation& reserved = found->second;
  if (!reserved.organisation.empty()) {
    Subtract(m_reserved_of_cap[reserved.organisation], reserved.need);
  }
  if (!reserved.service.empty()) {
    Subtract(m_reserved_in_pool[reserved.service][reserved.organisation],
             reserved.room);
  }
  Resources& room = m_reserved_room[start.worker];
  Subtract(room, reserved.room);
  if (room == Resources()) {
    m_reserved_room.erase(start.worker);
  }
  m_reservations.erase(found);
  m_reserved_worker.erase(start.task);
  const auto suspect = m_reserved_suspects.find(start.worker);
  if (suspect != m_reserved_suspects.end()) {
    suspect->second.erase(start.task);
    if (suspect->second.empty()) {
      m_reserved_suspects.erase(suspect);
    }
  }
  const auto job = m_reserved_tasks.find(start.task.job);
  if (--job->second == 0) {
    m_reserved_tasks.erase(job);
  }
}

bool Planner::HasReservationOn(const std::string& worker) const {
  const auto room = m_reserved_room.find(worker);
  return room != m_reserved_room.end() && room->second != Resources();
}

void Planner::Defer(const std::string& job, SteadyTime until) {
  m_deferred[job] = until;
}

}  // namespace laurelhall::scheduling
