#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "laurelhall/dispatch/dispatcher.h"
#include "laurelhall/dispatch/request.h"
#include "laurelhall/net/http.h"

namespace laurelhall::daemon {

/// Counters and latencies of the scheduling, as a page for scraping.
///
/// @remarks Thread-safe. Labels are bounded: kinds, outcomes and states.
class ScheduleMetrics final : public net::HttpHandler {
 public:
  ScheduleMetrics();

  /// A request was answered after a time.
  ///
  /// @param kind Its place in dispatch::Request.
  void Answered(size_t kind, dispatch::Outcome outcome, Millis took);

  /// Where a control host's counters are read when the page is asked for.
  void SetSource(std::function<dispatch::DispatchCounters()> source) {
    m_source = std::move(source);
  }

  /// Where a control host's scheduler status is read when the page is asked
  /// for.
  void SetSchedulerStatus(
      std::function<dispatch::SchedulerStatus()> scheduler_status) {
    m_scheduler_status = std::move(scheduler_status);
  }

  /// Where the text of the control host's own metrics is read when the page is
  /// asked for; their names differ from those here.
  void SetControlPage(std::function<std::string()> page) {
    m_control_page = std::move(page);
  }

  int64_t MaxBodyBytes(const net::HttpRequest&) override { return 0; }
  void OnRequest(std::shared_ptr<net::HttpExchange> exchange) override;

  /// The page's text.
  std::string Page();

 private:
  void ShowSchedulerStatus(const dispatch::SchedulerStatus& scheduler_status);

  static constexpr size_t kKinds = std::variant_size_v<dispatch::Request>;
  static constexpr size_t kOutcomes =
      static_cast<size_t>(dispatch::Outcome::kCount);

  prometheus::Registry m_registry;
  std::array<prometheus::Histogram*, kKinds> m_latency{};
  std::array<prometheus::Counter*, kOutcomes> m_outcomes{};
  prometheus::Family<prometheus::Gauge>* m_totals = nullptr;
  prometheus::Gauge* m_tick_lag = nullptr;
  prometheus::Gauge* m_relays = nullptr;
  prometheus::Family<prometheus::Gauge>* m_jobs = nullptr;
  prometheus::Family<prometheus::Gauge>* m_workers = nullptr;
  prometheus::Family<prometheus::Gauge>* m_waits = nullptr;
  std::function<dispatch::DispatchCounters()> m_source;
  std::function<dispatch::SchedulerStatus()> m_scheduler_status;
  std::function<std::string()> m_control_page;
  std::mutex m_status_mutex;  // A page's gauges of the status are set together.
};

}  // namespace laurelhall::daemon
