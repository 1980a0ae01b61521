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

}  // namespace
}  // namespace laurelhall::daemon
