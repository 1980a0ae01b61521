#include <algorithm>
#include <tuple>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::Job;
using model::Priority;

// A job without a deadline is ordered as if it had to start within this time of
// its submission.
constexpr Millis kDefaultSlack{24 * 3'600'000};
// No more jobs count as starved once runs that had starved hold this share of
// their pool.
constexpr double kMaxStarvedShare = 0.1;

void ComputeOrder(const StepContext& context, QueuedJob& queued) {
  const Job& job = *queued.job;
  queued.rank = PriorityRank(job);
  queued.latest_start = LatestStart(job, queued.remaining);
  queued.waiting_since = std::max(job.submitted, job.state_since);
  queued.will_miss_deadline = queued.latest_start < context.now;
  const bool is_batch = job.priority == Priority::kBatch;
  if (is_batch && !queued.will_miss_deadline &&
      queued.latest_start < context.now + context.init.promotion_slack) {
    queued.rank = static_cast<size_t>(Priority::kStandard);
  }
  const PoolState& pool = context.ledger.pools[queued.pool];
  const bool has_waited =
      context.now - queued.waiting_since > context.init.starvation_age;
  if (has_waited && job.priority != Priority::kUrgent &&
      DominantShare(pool.held_by_starved, pool.capacity) < kMaxStarvedShare) {
    queued.is_starved = true;
    queued.rank = static_cast<size_t>(Priority::kStandard);
  }
}

// Orders by rank, then starved jobs first, then by latest start. Jobs that can
// no longer meet their deadlines go last in their rank, so that they do not
// make others late as well.
bool GoesBefore(const QueuedJob& a, const QueuedJob& b) {
  if (a.rank != b.rank) {
    return a.rank < b.rank;
  }
  if (a.is_starved != b.is_starved) {
    return a.is_starved;
  }
  if (a.is_starved) {
    return std::tie(a.waiting_since, a.job->id) <
           std::tie(b.waiting_since, b.job->id);
  }
  return std::tie(a.will_miss_deadline, a.latest_start, a.job->id) <
         std::tie(b.will_miss_deadline, b.latest_start, b.job->id);
}

}  // namespace

WallTime LatestStart(const Job& job, Millis remaining) {
  if (job.deadline == WallTime{}) {
    return job.submitted + kDefaultSlack;
  }
  return job.deadline - remaining;
}

int CountHealthyWorkersFailedOn(const Job& job,
                                const WorkerEvidence& evidence,
                                WallTime now) {
  return static_cast<int>(std::count_if(
      job.failed_on.begin(), job.failed_on.end(), [&](const std::string& host) {
        return !evidence.IsWorkerQuarantined(host, now);
      }));
}

std::vector<QueuedJob> OrderQueue(StepContext& context) {
  std::vector<QueuedJob> queue;
  queue.reserve(context.ledger.queued_jobs.size());
  for (const Job* job : context.ledger.queued_jobs) {
    const int pool = context.ledger.FindPool(job->pool);
    if (pool < 0 || context.now < job->not_before) {
      continue;
    }
    QueuedJob queued;
    queued.job = job;
    queued.pool = pool;
    queued.team = context.ledger.FindTeam(job->team);
    queued.remaining = context.estimates.Remaining(*job, job->work_done);
    queued.size = context.estimates.ExpectedSize(*job);
    ComputeOrder(context, queued);
    queue.push_back(queued);
  }
  std::sort(queue.begin(), queue.end(), &GoesBefore);
  return queue;
}

}  // namespace laurelhall::placement
