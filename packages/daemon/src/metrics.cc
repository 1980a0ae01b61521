#include "metrics_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace laurelhall::daemon {
namespace {

using Labels = std::map<std::string, std::string>;

/// A registry made for one page: the parts keep their own counters, so that
/// no part depends on the metrics library.
class Page {
 public:
  void Gauge(const char* name,
             const char* help,
             double value,
             const Labels& labels = {}) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(m_registry)
        .Add(labels)
        .Set(value);
  }

  void Counter(const char* name,
               const char* help,
               double value,
               const Labels& labels = {}) {
    prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(m_registry)
        .Add(labels)
        .Increment(value);
  }

  void Histogram(const char* name,
                 const char* help,
                 const DurationCounts& durations) {
    prometheus::Histogram::BucketBoundaries bounds;
    for (const Millis bound : DurationCounts::kBounds) {
      bounds.push_back(SecondsOf(bound));
    }
    const auto& counts = durations.counts();
    prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(m_registry)
        .Add({}, bounds)
        .ObserveMultiple({counts.begin(), counts.end()},
                         SecondsOf(durations.sum()));
  }

  std::string Text() const {
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

 private:
  static double SecondsOf(Millis duration) {
    return std::chrono::duration<double>(duration).count();
  }

  prometheus::Registry m_registry{prometheus::Registry::InsertBehavior::Merge};
};

void AddService(Page& page,
                const std::string& name,
                const entry::ServiceStats& stats) {
  const Labels labels{{"service", name}};
  page.Gauge("laurelhall_queue_requests", "Requests waiting.", stats.queued,
             labels);
  page.Gauge("laurelhall_queue_bytes", "Bytes of requests waiting.",
             static_cast<double>(stats.queued_bytes), labels);
  page.Gauge("laurelhall_endpoints_usable", "Endpoints that may get work.",
             stats.usable_endpoints, labels);
  page.Gauge("laurelhall_endpoints_ejected", "Endpoints set aside.",
             stats.ejected_endpoints, labels);
  page.Gauge("laurelhall_slots", "Slots lent to this entry host.",
             stats.capacity, labels);
  page.Gauge("laurelhall_slots_held",
             "Slots kept back for runs that may go on.", stats.held_slots,
             labels);
  const std::pair<const char*, uint64_t> outcomes[] = {
      {"good", stats.good},
      {"failure", stats.bad_failure},
      {"overload", stats.bad_overload},
      {"wave", stats.bad_wave}};
  for (const auto& [outcome, count] : outcomes) {
    page.Counter("laurelhall_service_requests_total",
                 "Requests by outcome and cause.", static_cast<double>(count),
                 {{"service", name}, {"outcome", outcome}});
  }
}

void AddEntry(Page& page, const entry::EntryStats& stats) {
  page.Counter("laurelhall_requests_total", "Requests taken.",
               static_cast<double>(stats.requests));
  page.Counter("laurelhall_answers_total", "Whole answers handed on.",
               static_cast<double>(stats.answers));
  page.Counter("laurelhall_replays_total", "Kept answers handed on.",
               static_cast<double>(stats.replays));
  page.Counter("laurelhall_attempts_total", "Attempts at endpoints.",
               static_cast<double>(stats.attempts));
  page.Counter("laurelhall_retries_total", "Retries within the budget.",
               static_cast<double>(stats.retries));
  page.Counter("laurelhall_mismatches_total",
               "Answers of other requests, discarded.",
               static_cast<double>(stats.mismatches));
  page.Counter("laurelhall_announcements_total", "Announcements of endpoints.",
               static_cast<double>(stats.announcements));
  page.Gauge("laurelhall_requests_open", "Requests not yet through.",
             stats.open);
  page.Gauge("laurelhall_settings_version", "Settings version in force.",
             static_cast<double>(stats.settings_version));
  page.Gauge("laurelhall_view_fresh", "1 while the view is within its bound.",
             stats.is_view_fresh ? 1 : 0);
  for (size_t kind = 0; kind < stats.problems.size(); ++kind) {
    const auto slug =
        entry::ProblemTypeOf(static_cast<entry::ProblemKind>(kind)).slug;
    page.Counter("laurelhall_problems_total", "Problems answered, by type.",
                 static_cast<double>(stats.problems[kind]),
                 {{"type", std::string(slug)}});
  }
  for (const auto& [name, service] : stats.services) {
    AddService(page, name, service);
  }
}

void AddControl(Page& page, const control::ControlStatus& status) {
  const bool leads = status.consensus.role == consensus::Role::kLeader;
  page.Gauge("laurelhall_control_leader", "1 on the leader.", leads ? 1 : 0);
  page.Gauge("laurelhall_control_term", "Term.",
             static_cast<double>(status.consensus.term));
  page.Gauge("laurelhall_control_commit", "Log index committed.",
             static_cast<double>(status.consensus.commit));
  page.Gauge("laurelhall_control_applied", "Log index applied.",
             static_cast<double>(status.applied));
  page.Gauge("laurelhall_control_disk_bytes", "Bytes in the data folder.",
             static_cast<double>(status.disk_bytes));
  page.Gauge("laurelhall_control_store_failed",
             "1 while the store has failed and is not open again.",
             status.is_store_failed ? 1 : 0);
  page.Gauge("laurelhall_control_store_unfit",
             "1 while the disk fails too often or for too long.",
             status.is_store_unfit ? 1 : 0);
  page.Gauge("laurelhall_control_zones_at_risk",
             "Zones whose loss loses the quorum.",
             static_cast<double>(status.zones_at_risk.size()));
  const control::ControlCounters& counters = status.counters;
  page.Counter("laurelhall_control_commands_total", "Commands proposed.",
               static_cast<double>(counters.commands));
  page.Counter("laurelhall_control_store_failures_total",
               "Times that the open store failed.",
               static_cast<double>(counters.store_failures));
  page.Counter("laurelhall_control_syncs_total", "Disk syncs.",
               static_cast<double>(counters.disk_syncs));
  page.Histogram("laurelhall_control_sync_seconds",
                 "From a batch's write to its sync.", counters.sync_times);
  page.Histogram("laurelhall_control_commit_seconds",
                 "From a proposal here to its results.", counters.commit_times);
  page.Histogram("laurelhall_control_tick_lag_seconds",
                 "By how much ticks of the control loop come late.",
                 counters.tick_lags);
  page.Counter("laurelhall_control_elections_total",
               "Times that this host began to lead.",
               static_cast<double>(counters.elections));
  page.Counter("laurelhall_control_sync_answers_total",
               "Syncs of entry hosts answered.",
               static_cast<double>(counters.syncs_answered));
  page.Counter("laurelhall_control_messages_total", "Messages to peers.",
               static_cast<double>(counters.messages_sent));
  page.Counter("laurelhall_control_bytes_total", "Bytes of messages to peers.",
               static_cast<double>(counters.bytes_sent));
}

}  // namespace

std::string MetricsPage(const MetricsSource& source) {
  Page page;
  if (source.entry != nullptr) {
    AddEntry(page, source.entry->Stats());
  }
  if (source.control != nullptr) {
    AddControl(page, source.control->status());
  }
  return page.Text();
}

}  // namespace laurelhall::daemon
