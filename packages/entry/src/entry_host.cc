#include "laurelhall/entry/entry_host.h"

#include <algorithm>
#include <mutex>
#include <shared_mutex>
#include <utility>

#include "announcer_p.h"
#include "caller_request_p.h"
#include "entry_context_p.h"
#include "laurelhall/base/decision_log.h"
#include "run_p.h"
#include "service_shard_p.h"

namespace laurelhall::entry {
namespace {

constexpr std::string_view kAnnouncePath = "/v1/endpoints/announce";
// Of a request that will be refused: read so that its caller hears why.
constexpr int64_t kMaxRefusedBytes = 64 << 10;
constexpr Millis kTick{10};
constexpr Millis kRefusedRetry{1'000};
// Longest wait for the leader's answer to the return of the slots, which an
// election may hold up.
constexpr Millis kReturnTime{3'000};

std::string_view PathOf(const net::HttpRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

// Where a stop stands.
enum class DrainPhase { kServing, kUnhealthy, kRefusing, kReturning, kDone };

}  // namespace

class EntryHost::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const EntryInit& init,
       net::IoThreads& threads,
       control::ControlLink& link)
      : m_context(std::make_shared<EntryContext>(init, threads, link)) {}

  void Start() {
    m_tick = m_context->threads.timers().SubscribeEvery(
        kTick, [weak = weak_from_this()](SteadyTime now) {
          if (const auto self = weak.lock()) {
            self->Tick(now);
          }
        });
  }

  void Stop() {
    m_context->threads.timers().Cancel(m_tick);
    CloseLink();
  }

  void CloseLink() { m_context->link_gate.Close(); }

  int64_t MaxBodyBytes(const net::HttpRequest& head) const {
    if (PathOf(head) == kAnnouncePath) {
      return m_context->init.max_announcement_bytes;
    }
    const auto path = ParseCallerPath(head.target);
    const auto config = Config();
    if (!path || config == nullptr) {
      return kMaxRefusedBytes;
    }
    const auto service = config->services.find(path->service);
    return service == config->services.end()
               ? kMaxRefusedBytes
               : service->second.requests.max_request_bytes;
  }

  void OnRequest(const std::shared_ptr<net::HttpExchange>& exchange) {
    const net::HttpRequest& request = exchange->request();
    const auto config = Config();
    if (config == nullptr) {
      Refuse(*exchange, ProblemKind::kNotAccepted,
             "this entry host has no settings yet");
    } else if (PathOf(request) == kAnnouncePath) {
      OnAnnouncement(*config, exchange);
    } else if (const auto path = ParseCallerPath(request.target)) {
      OnCallerRequest(*config, *path, exchange);
    } else {
      Refuse(*exchange, ProblemKind::kNotFound,
             "expected /v1/services/{service}/requests");
    }
  }

  void OnView(const control::View& view) {
    if (view.config != nullptr) {
      SetConfig(view.config);
    }
    {
      const std::unique_lock lock(m_mutex);
      m_settings_version = std::max(m_settings_version, view.settings_version);
    }
    for (const model::Endpoint& endpoint : view.endpoints) {
      FindShard(endpoint.service)->Update(endpoint, view.asked_at);
    }
    if (view.grants) {
      TakeGrants(*view.grants, view.asked_at);
    }
    const std::map<std::string, int> lent = LentSlots();
    const SteadyTime now = m_context->Now();
    Advance(&m_context->confirmed_at, view.asked_at);
    for (const auto& shard : Shards()) {
      shard->ConfirmAll(view.asked_at);
      shard->SetLent(lent);
      shard->Pump(now);
    }
    TrimConnections(view, lent);
  }

  std::vector<routing::SlotDemand> SlotDemands() const {
    std::map<std::string, int> queued;
    const SteadyTime now = m_context->Now();
    for (const auto& shard : Shards()) {
      shard->AddDemands(&queued, now);
    }
    return m_context->grants.Report(queued);
  }

  std::vector<state::BurnSample> TakeBurnSamples() const {
    std::vector<state::BurnSample> samples;
    for (const auto& shard : Shards()) {
      for (state::BurnSample& sample : shard->TakeBurnSamples()) {
        samples.push_back(std::move(sample));
      }
    }
    return samples;
  }

  void Drain(std::function<void()> done) {
    const std::unique_lock lock(m_mutex);
    m_phase = DrainPhase::kUnhealthy;
    m_refuse_at = m_context->Now() + m_context->init.balancer_delay;
    m_on_drained = std::move(done);
  }

  bool IsHealthy() const {
    const std::shared_lock lock(m_mutex);
    return m_phase == DrainPhase::kServing && m_config != nullptr &&
           m_context->IsViewFresh(m_context->Now());
  }

  EntryStats Stats() const {
    const Counters& counters = m_context->counters;
    const SteadyTime now = m_context->Now();
    EntryStats stats;
    stats.requests = counters.requests;
    stats.answers = counters.answers;
    stats.replays = counters.replays;
    stats.attempts = counters.attempts;
    stats.retries = counters.retries;
    stats.unsent = counters.unsent;
    stats.mismatches = counters.mismatches;
    stats.announcements = counters.announcements;
    std::copy(counters.problems.begin(), counters.problems.end(),
              stats.problems.begin());
    stats.open = counters.open;
    stats.is_view_fresh = m_context->IsViewFresh(now);
    const std::shared_lock lock(m_mutex);
    stats.settings_version = m_settings_version;
    for (const auto& [service, shard] : m_shards) {
      stats.services[service] = shard->Stats(now);
    }
    return stats;
  }

 private:
  std::shared_ptr<const model::Config> Config() const {
    const std::shared_lock lock(m_mutex);
    return m_config;
  }

  // Settings never go back, whatever a late view says.
  void SetConfig(const std::shared_ptr<const model::Config>& config) {
    {
      const std::unique_lock lock(m_mutex);
      if (m_config != nullptr && config->version < m_config->version) {
        return;
      }
      m_config = config;
    }
    for (const auto& [name, service] : config->services) {
      FindShard(name);
    }
    for (const auto& shard : Shards()) {
      shard->SetConfig(config);
    }
  }

  std::shared_ptr<ServiceShard> FindShard(const std::string& service) {
    {
      const std::shared_lock lock(m_mutex);
      const auto found = m_shards.find(service);
      if (found != m_shards.end()) {
        return found->second;
      }
    }
    auto made = std::make_shared<ServiceShard>(service, m_context->init,
                                               m_context->grants);
    if (const auto config = Config()) {
      made->SetConfig(config);
    }
    const std::unique_lock lock(m_mutex);
    return m_shards.emplace(service, std::move(made)).first->second;
  }

  std::vector<std::shared_ptr<ServiceShard>> Shards() const {
    const std::shared_lock lock(m_mutex);
    std::vector<std::shared_ptr<ServiceShard>> shards;
    for (const auto& [service, shard] : m_shards) {
      shards.push_back(shard);
    }
    return shards;
  }

  void Refuse(net::HttpExchange& exchange,
              ProblemKind kind,
              const std::string& detail) {
    ++m_context->counters.problems.at(static_cast<size_t>(kind));
    const bool may_come_back =
        kind == ProblemKind::kNotAccepted || kind == ProblemKind::kNotRun;
    exchange.Respond(MakeProblem(
        kind, detail,
        may_come_back ? std::optional(m_context->Spread(kRefusedRetry))
                      : std::nullopt));
  }

  void OnAnnouncement(const model::Config& config,
                      const std::shared_ptr<net::HttpExchange>& exchange) {
    if (exchange->request().method != "POST") {
      Refuse(*exchange, ProblemKind::kBadRequest, "expected POST");
      return;
    }
    HandleAnnouncement(
        m_context, config,
        [this](const std::string& service) { return FindShard(service); },
        exchange);
  }

  void OnCallerRequest(const model::Config& config,
                       const CallerPath& path,
                       const std::shared_ptr<net::HttpExchange>& exchange) {
    ++m_context->counters.requests;
    try {
      CallerRequest request = ParseCallerRequest(
          path, exchange->request(), config, m_context->init.allows_unproven);
      if (IsRefusing()) {
        Refuse(*exchange,
               request.is_keyed() ? ProblemKind::kNotAccepted
                                  : ProblemKind::kNotRun,
               "this entry host is stopping");
        return;
      }
      const auto shard = FindShard(request.service);
      std::make_shared<Run>(m_context, shard, exchange, std::move(request))
          ->Start();
    } catch (const RefusedRequest& refused) {
      Refuse(*exchange, refused.kind(), refused.what());
    }
  }

  bool IsRefusing() const {
    const std::shared_lock lock(m_mutex);
    return m_phase >= DrainPhase::kRefusing;
  }

  std::map<std::string, int> LentSlots() const {
    std::map<std::string, int> lent;
    for (const routing::SlotDemand& held : m_context->grants.Report({})) {
      lent[held.endpoint] = held.held;
    }
    return lent;
  }

  // Idle connections stay within the slots that are free, so that a runner's
  // connections move between entry hosts with its slots.
  void TrimConnections(const control::View& view,
                       const std::map<std::string, int>& lent) {
    if (!view.grants) {
      return;
    }
    const SteadyTime now = m_context->Now();
    for (const routing::SlotGrant& grant : *view.grants) {
      for (const auto& shard : Shards()) {
        if (const auto endpoint = shard->Find(grant.endpoint)) {
          const int free = m_context->grants.FreeSlots(grant.endpoint, now);
          m_context->pool.Trim(endpoint->address,
                               lent.contains(grant.endpoint)
                                   ? static_cast<size_t>(std::max(free, 0))
                                   : 0);
        }
      }
    }
  }

  static void Advance(std::atomic<SteadyTime>* time, SteadyTime to) {
    SteadyTime known = time->load();
    while (known < to && !time->compare_exchange_weak(known, to)) {
    }
  }

  void Tick(SteadyTime now) {
    for (const auto& shard : Shards()) {
      shard->Tick(now);
    }
    StepDrain(now);
    DecisionLog::Get().Flush();
  }

  void StepDrain(SteadyTime now) {
    std::function<void()> done;
    {
      const std::unique_lock lock(m_mutex);
      if (m_phase == DrainPhase::kUnhealthy && now >= m_refuse_at) {
        m_phase = DrainPhase::kRefusing;
      }
      const bool is_over = m_phase == DrainPhase::kRefusing &&
                           (m_context->counters.open == 0 ||
                            now >= m_refuse_at + m_context->init.drain_grace);
      if (is_over) {
        m_phase = DrainPhase::kReturning;
        m_context->grants.ReturnAll();
        m_returned_at = m_context->Now();
      }
      const bool is_returned =
          m_phase == DrainPhase::kReturning &&
          (m_is_return_confirmed || now >= m_returned_at + kReturnTime);
      if (is_returned) {
        m_phase = DrainPhase::kDone;
        done = std::exchange(m_on_drained, nullptr);
      }
    }
    if (done != nullptr) {
      done();
    }
  }

  void TakeGrants(const std::vector<routing::SlotGrant>& grants,
                  SteadyTime asked_at) {
    std::map<std::string, Millis> longest_runs;
    for (const auto& shard : Shards()) {
      shard->AddLongestRuns(&longest_runs);
    }
    ConfirmReturn(grants, asked_at);
    m_context->grants.Update(grants, asked_at, longest_runs);
  }

  // Slots whose return the leader has not recorded wait for the longest run. An
  // answer confirms the return if it lends nothing, under the grants that this
  // host reported: a leader that was elected meanwhile answers the first report
  // with other grants.
  void ConfirmReturn(const std::vector<routing::SlotGrant>& grants,
                     SteadyTime asked_at) {
    const std::unique_lock lock(m_mutex);
    if (m_phase != DrainPhase::kReturning || asked_at < m_returned_at) {
      return;
    }
    std::map<std::string, uint64_t> reported;
    for (const routing::SlotDemand& held : m_context->grants.Report({})) {
      reported[held.endpoint] = held.grant;
    }
    m_is_return_confirmed |= std::ranges::all_of(
        grants, [&reported](const routing::SlotGrant& grant) {
          return grant.slots == 0 && reported[grant.endpoint] == grant.grant;
        });
  }

  const std::shared_ptr<EntryContext> m_context;
  TimerHandle m_tick;

  mutable std::shared_mutex m_mutex;  // Guards all below.
  std::shared_ptr<const model::Config> m_config;
  uint64_t m_settings_version = 0;
  std::map<std::string, std::shared_ptr<ServiceShard>> m_shards;
  DrainPhase m_phase = DrainPhase::kServing;
  SteadyTime m_refuse_at{};
  SteadyTime m_returned_at{};
  bool m_is_return_confirmed = false;
  std::function<void()> m_on_drained;
};

EntryHost::EntryHost(const EntryInit& init,
                     net::IoThreads& threads,
                     control::ControlLink& link)
    : m_impl(std::make_shared<Impl>(init, threads, link)) {
  m_impl->Start();
}

EntryHost::~EntryHost() {
  m_impl->Stop();
}

int64_t EntryHost::MaxBodyBytes(const net::HttpRequest& head) {
  return m_impl->MaxBodyBytes(head);
}

void EntryHost::OnRequest(std::shared_ptr<net::HttpExchange> exchange) {
  m_impl->OnRequest(exchange);
}

void EntryHost::OnView(const control::View& view) {
  m_impl->OnView(view);
}

std::vector<routing::SlotDemand> EntryHost::SlotDemands() {
  return m_impl->SlotDemands();
}

std::vector<state::BurnSample> EntryHost::TakeBurnSamples() {
  return m_impl->TakeBurnSamples();
}

void EntryHost::Drain(std::function<void()> done) {
  m_impl->Drain(std::move(done));
}

void EntryHost::CloseLink() {
  m_impl->CloseLink();
}

bool EntryHost::IsHealthy() const {
  return m_impl->IsHealthy();
}

EntryStats EntryHost::Stats() const {
  return m_impl->Stats();
}

}  // namespace laurelhall::entry
