#include "schedule_metrics_p.h"

#include <prometheus/text_serializer.h>

#include "laurelhall/base/decision_log.h"

namespace laurelhall::daemon {

namespace {

using dispatch::DispatchCounters;

constexpr std::array<const char*, 12> kKindNames{
    "submit-job",      "get-job",           "cancel-job",
    "count-waiting",   "put-configuration", "get-configuration",
    "announce-worker", "worker-leaves",     "open-wave",
    "get-wave",        "relay-orders",      "tell-heard-workers"};
static_assert(kKindNames.size() == std::variant_size_v<dispatch::Request>);

constexpr std::array<const char*, 9> kOutcomeNames{
    "ok",      "no-queue",  "no-job",   "not-found", "unavailable",
    "unknown", "no-access", "conflict", "overloaded"};
static_assert(kOutcomeNames.size() ==
              static_cast<size_t>(dispatch::Outcome::kCount));

struct Total {
  const char* name;
  uint64_t DispatchCounters::*count;
};

constexpr std::array kTotals{
    Total{"starts", &DispatchCounters::starts},
    Total{"ends", &DispatchCounters::ends},
    Total{"stops", &DispatchCounters::stops},
    Total{"looks", &DispatchCounters::holds},
    Total{"jobs", &DispatchCounters::jobs},
    Total{"lapses", &DispatchCounters::lapses},
    Total{"unanswered_orders", &DispatchCounters::unknown_calls},
    Total{"worker_crashes", &DispatchCounters::crashes},
    Total{"announcements_of_ended_workers",
          &DispatchCounters::ended_announcements},
    Total{"jobs_given_up", &DispatchCounters::given_up},
    Total{"jobs_refused_beyond_share", &DispatchCounters::refused_beyond_share},
    Total{"jobs_refused_excess", &DispatchCounters::refused_excess},
    Total{"jobs_refused_too_early", &DispatchCounters::refused_too_early},
    Total{"early_cancels", &DispatchCounters::early_cancels},
    Total{"early_cancels_refused", &DispatchCounters::refused_early_cancels},
};

using GaugeFamily = prometheus::Family<prometheus::Gauge>;

GaugeFamily& AddGauges(prometheus::Registry& registry,
                       const char* name,
                       const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

void SetAll(GaugeFamily& family,
            const char* label,
            const std::vector<dispatch::NamedCount>& counts) {
  for (const dispatch::NamedCount& each : counts) {
    family.Add({{label, each.name}}).Set(static_cast<double>(each.count));
  }
}

// Seconds: from a commit on a fast disk to a caller's usual patience.
const prometheus::Histogram::BucketBoundaries kBuckets{
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3};

}  // namespace

ScheduleMetrics::ScheduleMetrics() {
  auto& latency = prometheus::BuildHistogram()
                      .Name("laurelhall_schedule_request_seconds")
                      .Help("From a request's arrival to its answer.")
                      .Register(m_registry);
  for (size_t kind = 0; kind < kKinds; ++kind) {
    m_latency[kind] = &latency.Add({{"kind", kKindNames[kind]}}, kBuckets);
  }
  auto& outcomes = prometheus::BuildCounter()
                       .Name("laurelhall_schedule_requests_total")
                       .Help("Requests by what became of them.")
                       .Register(m_registry);
  for (size_t outcome = 0; outcome < kOutcomes; ++outcome) {
    m_outcomes[outcome] = &outcomes.Add({{"outcome", kOutcomeNames[outcome]}});
  }
  m_totals = &prometheus::BuildGauge()
                  .Name("laurelhall_schedule_events")
                  .Help("Since the process started.")
                  .Register(m_registry);
  m_tick_lag = &AddGauges(m_registry, "laurelhall_schedule_tick_lag_seconds",
                          "By how much the leader's ticks come late.")
                    .Add({});
  m_relays = &AddGauges(m_registry, "laurelhall_schedule_relays",
                        "Hosts that call workers in the leader's name.")
                  .Add({});
  m_jobs = &AddGauges(m_registry, "laurelhall_schedule_jobs",
                      "Jobs not over, and of these those that wait.");
  m_workers = &AddGauges(m_registry, "laurelhall_schedule_workers",
                         "Workers by whether they may be given work.");
  m_waits = &AddGauges(m_registry, "laurelhall_schedule_longest_waits",
                       "The longest waiting jobs by what is in their way.");
}

void ScheduleMetrics::Answered(size_t kind,
                               dispatch::Outcome outcome,
                               Millis took) {
  m_latency[kind]->Observe(std::chrono::duration<double>(took).count());
  m_outcomes[static_cast<size_t>(outcome)]->Increment();
}

std::string ScheduleMetrics::Page() {
  if (m_source) {
    const DispatchCounters counters = m_source();
    for (const Total& total : kTotals) {
      m_totals->Add({{"event", total.name}})
          .Set(static_cast<double>(counters.*total.count));
    }
  }
  if (m_scheduler_status) {
    ShowSchedulerStatus(m_scheduler_status());
  }
  const DecisionLog& log = DecisionLog::Get();
  m_totals->Add({{"event", "dropped_decision_lines"}})
      .Set(static_cast<double>(log.dropped(LineClass::kDecision)));
  m_totals->Add({{"event", "dropped_task_lines"}})
      .Set(static_cast<double>(log.dropped(LineClass::kTask)));
  m_totals->Add({{"event", "dropped_request_lines"}})
      .Set(static_cast<double>(log.dropped(LineClass::kRequest)));
  return prometheus::TextSerializer().Serialize(m_registry.Collect()) +
         (m_control_page ? m_control_page() : "");
}

void ScheduleMetrics::ShowSchedulerStatus(
    const dispatch::SchedulerStatus& scheduler_status) {
  const std::lock_guard lock(m_status_mutex);
  m_tick_lag->Set(
      std::chrono::duration<double>(scheduler_status.tick_lag).count());
  m_relays->Set(static_cast<double>(scheduler_status.relays));
  m_jobs->Add({{"state", "open"}})
      .Set(static_cast<double>(scheduler_status.open_jobs));
  m_jobs->Add({{"state", "waiting"}})
      .Set(static_cast<double>(scheduler_status.waiting_jobs));
  SetAll(*m_workers, "state", scheduler_status.workers);
  SetAll(*m_waits, "why", scheduler_status.waits);
}

void ScheduleMetrics::OnRequest(std::shared_ptr<net::HttpExchange> exchange) {
  net::HttpResponse answer;
  answer.headers.Set("Content-Type", "text/plain; version=0.0.4");
  answer.body = Page();
  exchange->Respond(std::move(answer));
}

}  // namespace laurelhall::daemon
