#include "job_board_p.h"
#include "laurelhall/placement/explain.h"
#include "laurelhall/placement/submission.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

using model::Fleet;
using model::Job;

Outcome ListJobs(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  const std::string team = request.Query("team");
  boost::json::array jobs;
  for (const auto& [id, job] : fleet.jobs) {
    if (team.empty() || job.team == team) {
      jobs.push_back(boost::json::value_from(job));
    }
  }
  return Answer(jobs);
}

Outcome ShowJob(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return Answer(boost::json::value_from(
      FindOr404(fleet.jobs, "job", request.Segment(1))));
}

Job ReadJob(const Request& request, WallTime now) {
  const boost::json::object& body = request.body;
  Job job;
  job.id = BodyValue<std::string>(body, "id");
  job.team = BodyValue<std::string>(body, "team");
  job.pool = BodyValue<std::string>(body, "pool");
  job.kind = BodyValueOr<std::string>(body, "kind", "");
  job.priority = BodyValueOr<model::Priority>(body, "priority", job.priority);
  job.declared.processors = BodyValue<double>(body, "processors");
  job.declared.memory_gb = BodyValue<double>(body, "memory_gb");
  job.declared.accelerators = BodyValueOr<int>(body, "accelerators", 0);
  job.declared_run_time = Millis(BodyValue<int64_t>(body, "run_time_ms"));
  job.can_checkpoint = BodyValueOr<bool>(body, "can_checkpoint", false);
  job.submitted = now;
  job.deadline = now + Millis(BodyValue<int64_t>(body, "deadline_in_ms"));
  job.state_since = now;
  return job;
}

Outcome SubmitJob(const Request& request) {
  state::JobCommand command;
  command.request = request.Operator();
  command.job = ReadJob(request, command.request.at);
  const Fleet fleet = request.machine.fleet();
  if (const auto reason = placement::CheckSubmission(fleet, command.job)) {
    throw RequestError(422,
                       "job " + command.job.id + ": can never run: " + *reason);
  }
  if (request.is_dry_run()) {
    return Answer(
        boost::json::object{{"dry_run", true}, {"job", command.job.id}});
  }
  return Proposal(command);
}

Outcome CancelJob(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  const Job& job = FindOr404(fleet.jobs, "job", request.Segment(1));
  state::JobCommand command;
  command.request = request.Operator();
  command.expected_lease = job.lease;
  command.job = placement::AfterCancel(
      job, command.request.at, "by operator " + command.request.operator_name);
  return Proposal(command);
}

/// What a worker has to do: its jobs with their leases, as committed.
Outcome WorkerTasks(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  boost::json::array tasks;
  for (const auto& [id, job] : fleet.jobs) {
    if (job.host == request.Segment(1)) {
      tasks.push_back(boost::json::value_from(job));
    }
  }
  return Answer(tasks);
}

Outcome ExplainJob(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  const std::string& id = request.Segment(2);
  FindOr404(fleet.jobs, "job", id);
  return Answer(
      boost::json::value_from(placement::ExplainJob(fleet, id, request.now)));
}

/// A worker's word on one of its runs: usage, or how it ended.
Outcome ReportJob(const Request& request,
                  const std::shared_ptr<JobBoard>& board) {
  const Fleet fleet = request.machine.fleet();
  const Job& job = FindOr404(fleet.jobs, "job", request.Segment(1));
  if (request.body.contains("usage")) {
    board->NoteUsage(job.id,
                     BodyValue<placement::JobUsage>(request.body, "usage"));
    return Answer(boost::json::object{{"is_accepted", true}});
  }
  const auto report = BodyValue<placement::JobReport>(request.body, "report");
  state::JobCommand command;
  command.request = request.Operator();
  const auto after = placement::AfterReport(job, report, command.request.at);
  if (!after) {
    throw RequestError(409,
                       "job " + job.id + ": the report is of an ended lease");
  }
  command.expected_lease = job.lease;
  command.job = *after;
  Outcome outcome = Proposal(command);
  outcome.on_accepted = [board, job, report] {
    board->NoteEnded({job, report});
  };
  return outcome;
}

}  // namespace

std::vector<Route> JobRoutes(const std::shared_ptr<JobBoard>& board) {
  return {
      {"GET", "jobs", ListJobs},
      {"POST", "jobs", SubmitJob},
      {"GET", "jobs/*", ShowJob},
      {"POST", "jobs/*/cancel", CancelJob},
      {"POST", "jobs/*/report",
       [board](const Request& request) { return ReportJob(request, board); }},
      {"GET", "workers/*/tasks", WorkerTasks},
      {"GET", "explain/job/*", ExplainJob}};
}

}  // namespace laurelhall::operations
