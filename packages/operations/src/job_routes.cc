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

Job FindJob(const Request& request) {
  const std::string& id = request.Segment(1);
  return ValueOr404(request.machine.FindJob(id), "job", id);
}

Outcome ShowJob(const Request& request) {
  return Answer(boost::json::value_from(FindJob(request)));
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
  const Job job = FindJob(request);
  state::JobCommand command;
  command.request = request.Operator();
  command.expected_lease = job.lease;
  command.job = placement::AfterCancel(
      job, command.request.at, "by operator " + command.request.operator_name);
  return Proposal(command);
}

/// What a worker needs to know of a run that it holds.
boost::json::object TaskOf(const Job& job) {
  return {{"id", job.id},
          {"host", job.host},
          {"lease", job.lease},
          {"state", boost::json::value_from(job.state)},
          {"is_stopping", job.is_stopping},
          {"throttle", job.throttle},
          {"reserved", boost::json::value_from(job.reserved)},
          {"kind", job.kind},
          {"can_checkpoint", job.can_checkpoint},
          {"declared", boost::json::value_from(job.declared)},
          {"declared_run_time", boost::json::value_from(job.declared_run_time)},
          {"work_done", boost::json::value_from(job.work_done)}};
}

boost::json::array TasksOn(const Request& request,
                           const std::set<std::string>& hosts) {
  boost::json::array tasks;
  for (const Job& job : request.machine.JobsOnHosts(hosts)) {
    tasks.push_back(TaskOf(job));
  }
  return tasks;
}

/// What one worker has to do: its jobs with their leases, as committed.
Outcome WorkerTasks(const Request& request) {
  return Answer(TasksOn(request, {request.Segment(1)}));
}

/// The same for many workers in one answer; for all when none is named.
Outcome AllTasks(const Request& request) {
  return Answer(TasksOn(request, SplitCommas(request.Query("hosts"))));
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
  const Job job = FindJob(request);
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
      {"GET", "workers/tasks", AllTasks},
      {"GET", "workers/*/tasks", WorkerTasks},
      {"GET", "explain/job/*", ExplainJob}};
}

}  // namespace laurelhall::operations
