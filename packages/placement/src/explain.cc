#include "laurelhall/placement/explain.h"

#include <array>

#include "laurelhall/placement/submission.h"
#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::Job;
using model::JobState;
using Lines = std::vector<std::string>;

void ExplainQueued(StepContext& context, const Job& job, Lines& lines) {
  if (const auto rejection = CheckSubmission(context.fleet, job)) {
    lines.push_back("It can never run: " + *rejection + ".");
  }
  if (context.now < job.not_before) {
    lines.push_back("It failed " + std::to_string(job.failures) +
                    " times and is not tried before " +
                    FormatWallTime(job.not_before) + ".");
  }
  const std::vector<QueuedJob> queue = OrderQueue(context);
  int jobs_ahead = 0;
  for (const QueuedJob& queued : queue) {
    if (queued.job == &job) {
      break;
    }
    jobs_ahead += queued.job->pool == job.pool;
  }
  lines.push_back(
      fmt::format("It waits in pool {} behind {} jobs.", job.pool, jobs_ahead));
  Ledger& ledger = context.ledger;
  const auto size = context.estimates.ExpectedSize(job);
  const TeamUsage& team = ledger.teams[ledger.FindTeam(job.team)];
  if (!ledger.IsGuaranteed(team, job, size)) {
    lines.push_back(fmt::format("Team {} uses {}; it runs beyond the quota {}.",
                                job.team, Describe(team.total()),
                                ledger.MayBorrow(team, size)
                                    ? "on what others leave idle"
                                    : "never, for the team may not borrow"));
  }
}

void ExplainHosts(StepContext& context, const Job& job, Lines& lines) {
  const int pool = context.ledger.FindPool(job.pool);
  if (pool < 0) {
    lines.push_back("Its pool has no hosts.");
    return;
  }
  const auto size = context.estimates.ExpectedSize(job);
  int available = 0;
  int unavailable = 0;
  int with_room = 0;
  for (const int index : context.ledger.pools[pool].hosts) {
    const HostSlot& slot = context.ledger.hosts[index];
    ++(slot.accepts_work ? available : unavailable);
    with_room += slot.accepts_work &&
                 Fits(context.ledger.SizeOn(slot, job, size), slot.free);
  }
  lines.push_back(
      fmt::format("Of the pool's hosts {} take work, {} are drained, failed or "
                  "set aside, and {} have room for it.",
                  available, unavailable, with_room));
}

void ExplainRunning(StepContext& context, const Job& job, Lines& lines) {
  lines.push_back(fmt::format("It runs on {} since {} with {} under lease {}.",
                              job.host, FormatWallTime(job.started),
                              Describe(job.reserved), job.lease));
  if (job.throttle < 1) {
    lines.push_back(fmt::format("It is throttled to {:.0f}% of its processors.",
                                job.throttle * 100));
  }
  if (IsReleasing(job)) {
    lines.push_back(job.is_stopping ? "It was told to stop."
                                    : "It was told to checkpoint and end.");
  }
  const Millis work = WorkDone(job, context.now);
  lines.push_back(
      fmt::format("It is expected to need {} more.",
                  FormatDuration(context.estimates.Remaining(job, work))));
}

void ExplainEnded(StepContext&, const Job& job, Lines& lines) {
  lines.push_back("It ended at " + FormatWallTime(job.state_since) + ".");
}

using ExplainFunction = void (*)(StepContext&, const Job&, Lines&);

// Indexed by JobState.
constexpr std::array<ExplainFunction, static_cast<size_t>(JobState::kCount)>
    kExplainByState = {&ExplainQueued, &ExplainRunning, &ExplainRunning,
                       &ExplainEnded,  &ExplainEnded,   &ExplainEnded};

void ExplainEstimate(const StepContext& context, const Job& job, Lines& lines) {
  lines.push_back(fmt::format(
      "It declared {} for {}; like jobs of its team took {} for {}.",
      Describe(job.declared), FormatDuration(job.declared_run_time),
      Describe(context.estimates.ExpectedSize(job)),
      FormatDuration(context.estimates.ExpectedRunTime(job))));
  if (job.deadline != WallTime{}) {
    lines.push_back("Its deadline is " + FormatWallTime(job.deadline) + ".");
  }
}

}  // namespace

std::vector<std::string> ExplainJob(const model::Fleet& fleet,
                                    const Placer& placer,
                                    const std::string& job_id,
                                    WallTime now) {
  const auto found = fleet.jobs.find(job_id);
  if (found == fleet.jobs.end()) {
    return {"There is no job " + job_id + "."};
  }
  const Job& job = found->second;
  StepContext context{fleet,
                      placer.estimates(),
                      placer.evidence(),
                      placer.init(),
                      now,
                      Ledger(fleet, {}, placer.evidence(), placer.init(), now),
                      {},
                      0};
  Lines lines;
  kExplainByState.at(static_cast<size_t>(job.state))(context, job, lines);
  if (job.state == JobState::kQueued) {
    ExplainHosts(context, job, lines);
  }
  ExplainEstimate(context, job, lines);
  if (!job.reason.empty()) {
    lines.push_back("The last word on it: " + job.reason + ".");
  }
  return lines;
}

std::vector<std::string> ExplainJob(const model::Fleet& fleet,
                                    const std::string& job_id,
                                    WallTime now) {
  return ExplainJob(fleet, Placer(), job_id, now);
}

}  // namespace laurelhall::placement
