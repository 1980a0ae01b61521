#include <doctest/doctest.h>

#include "schedule_metrics_p.h"

namespace laurelhall::daemon {
namespace {

TEST_CASE("ScheduleMetrics, answers and counters, stand on the page") {
  ScheduleMetrics metrics;
  metrics.Answered(dispatch::Request(dispatch::GetJob{}).index(),
                   dispatch::Outcome::kOk, Millis(15));
  metrics.SetSource([] {
    dispatch::DispatchCounters counters;
    counters.starts = 7;
    return counters;
  });
  const std::string page = metrics.Page();
  CHECK(page.find(R"(requests_total{outcome="ok"} 1)") != std::string::npos);
  CHECK(page.find(R"(bucket{kind="get-job",le="0.02"} 1)") !=
        std::string::npos);
  CHECK(page.find(R"(events{event="starts"} 7)") != std::string::npos);
}

TEST_CASE("ScheduleMetrics, what a leader sees, stands on the page") {
  dispatch::SchedulerStatus scheduler_status;
  scheduler_status.tick_lag = Millis(60);
  scheduler_status.open_jobs = 9;
  scheduler_status.waiting_jobs = 4;
  scheduler_status.workers = {{"usable", 5}, {"evacuated", 2}};
  scheduler_status.waits = {{"no-worker", 1}};
  ScheduleMetrics metrics;
  metrics.SetSchedulerStatus([&scheduler_status] { return scheduler_status; });
  const std::string page = metrics.Page();
  for (const char* line :
       {"laurelhall_schedule_tick_lag_seconds 0.06",
        R"(laurelhall_schedule_jobs{state="open"} 9)",
        R"(laurelhall_schedule_jobs{state="waiting"} 4)",
        R"(laurelhall_schedule_workers{state="evacuated"} 2)",
        R"(laurelhall_schedule_longest_waits{why="no-worker"} 1)"}) {
    CAPTURE(line);
    CHECK(page.find(line) != std::string::npos);
  }
  scheduler_status.Clear();
  CHECK(metrics.Page().find(
            R"(laurelhall_schedule_workers{state="evacuated"} 0)") !=
        std::string::npos);
}

// Guards against a failed store that no page shows: hosts without an operators'
// address have this page alone.
TEST_CASE(
    "ScheduleMetrics, control host beside it, its metrics stand on the "
    "page") {
  ScheduleMetrics metrics;
  metrics.SetControlPage([] { return "laurelhall_control_store_failed 1\n"; });
  const std::string page = metrics.Page();
  CHECK(page.find("laurelhall_schedule_tick_lag_seconds") != page.npos);
  CHECK(page.ends_with("\nlaurelhall_control_store_failed 1\n"));
}

}  // namespace
}  // namespace laurelhall::daemon
