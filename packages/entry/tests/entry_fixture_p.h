#pragma once

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../../net/tests/net_fixture_p.h"
#include "laurelhall/entry/entry_host.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::entry {

using net::kTestWait;
using net::Signal;

/// Whether a condition comes true; never a measure of speed.
template <typename Condition>
bool ComesTrue(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTestWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// Control hosts in one object: the real state machine, with answers that may
/// be lost and views that may stop.
class FakeControlLink : public control::ControlLink {
 public:
  explicit FakeControlLink(net::IoThreads& threads) : m_threads(threads) {
    m_timer = threads.timers().SubscribeEvery(
        Millis(10), [this](SteadyTime now) { SendViews(now); });
  }

  void Claim(state::ClaimCommand command,
             SteadyTime deadline,
             ClaimCallback done) override {
    Commit<state::ClaimResult>("claim", std::move(command), deadline,
                               std::move(done));
  }

  void Act(state::Command command,
           SteadyTime deadline,
           ActCallback done) override {
    static constexpr const char* k_names[] = {"claim", "complete", "release",
                                              "abandon", "endpoint"};
    Commit<state::ActResult>(k_names[command.index()], std::move(command),
                             deadline, std::move(done));
  }

  void Renewed(const std::string& endpoint, uint64_t) override {
    const std::lock_guard lock(m_mutex);
    m_log.push_back("renewed " + endpoint);
  }
  void Operate(std::string,
               std::string,
               std::string,
               SteadyTime,
               std::function<void(control::OperatorReply)>) override {}
  void Start(control::ViewListener& listener) override {
    const std::lock_guard lock(m_mutex);
    m_listeners.push_back(&listener);
  }

  // Stops for good; nothing is called back afterwards.
  void Stop() {
    m_threads.timers().Cancel(m_timer);
    const std::lock_guard lock(m_view_mutex);
    m_is_stopped = true;
  }

  void SetConfig(std::shared_ptr<const model::Config> config) {
    const std::lock_guard lock(m_mutex);
    m_config = std::move(config);
  }
  void SetSlots(const std::string& endpoint, int slots) {
    const std::lock_guard lock(m_mutex);
    m_slots[endpoint] = {endpoint, ++m_next_grant, slots, Millis(4'000)};
  }

  /// Answers to commands of this name are lost; with `is_committed` they hold.
  void Lose(const std::string& name, bool is_committed) {
    const std::lock_guard lock(m_mutex);
    m_lost[name] = is_committed;
  }
  void LoseNothing() {
    const std::lock_guard lock(m_mutex);
    m_lost.clear();
  }
  /// Slots of an endpoint that the last report under its grant named.
  int ReportedSlots(const control::ViewListener& listener,
                    const std::string& endpoint) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_held.find({&listener, endpoint});
    return found == m_held.end() ? 0 : found->second;
  }
  void SetViewsStopped(bool is_stopped) { m_are_views_stopped = is_stopped; }

  int Count(const std::string& entry) const {
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count(m_log.begin(), m_log.end(), entry));
  }

  std::optional<state::ClaimResult> Find(const model::ClaimKey& key) const {
    return m_machine.FindClaim(key);
  }

 private:
  template <typename Result>
  void Commit(const std::string& name,
              state::Command command,
              SteadyTime deadline,
              std::function<void(std::optional<Result>)> done) {
    std::optional<Result> result;
    bool is_lost = false;
    {
      const std::lock_guard lock(m_mutex);
      const auto lost = m_lost.find(name);
      is_lost = lost != m_lost.end();
      if (!is_lost || lost->second) {
        const auto results = m_machine.Apply(
            ++m_index, state::EncodeCommands({std::move(command)}));
        result = std::get<Result>(results.at(0));
        m_log.push_back(name);
      }
    }
    if (!is_lost) {
      m_threads.Post([done = std::move(done), result] { done(result); });
      return;
    }
    const auto left = std::chrono::duration_cast<Millis>(
        deadline - std::chrono::steady_clock::now());
    m_threads.timers().SubscribeOnce(
        std::max(left, Millis(0)),
        [done = std::move(done)](SteadyTime) { done(std::nullopt); });
  }

  void SendViews(SteadyTime now) {
    const std::lock_guard view_lock(m_view_mutex);
    if (m_are_views_stopped || m_is_stopped) {
      return;
    }
    control::View view;
    std::vector<control::ViewListener*> listeners;
    {
      const std::lock_guard lock(m_mutex);
      listeners = m_listeners;
      view.asked_at = now;
      view.config = m_config;
      view.settings_version = m_config == nullptr ? 0 : m_config->version;
      view.endpoints = m_machine.EndpointsSince(0);
    }
    for (control::ViewListener* listener : listeners) {
      view.grants = GrantsFor(*listener);
      listener->OnView(view);
    }
  }

  /// As the leader: what a report gives back isn't lent again.
  std::vector<routing::SlotGrant> GrantsFor(control::ViewListener& listener) {
    const auto demands = listener.SlotDemands();
    const std::lock_guard lock(m_mutex);
    std::vector<routing::SlotGrant> grants;
    for (const auto& [endpoint, slots] : m_slots) {
      routing::SlotGrant grant = slots;
      for (const routing::SlotDemand& demand : demands) {
        if (demand.endpoint == endpoint && demand.grant == slots.grant) {
          grant.slots = std::min(slots.slots, demand.held);
          m_held[{&listener, endpoint}] = demand.held;
        }
      }
      grants.push_back(grant);
    }
    return grants;
  }

  net::IoThreads& m_threads;
  TimerHandle m_timer;
  std::mutex m_view_mutex;  // Held while views go out.
  bool m_is_stopped = false;
  std::atomic<bool> m_are_views_stopped{false};
  mutable std::mutex m_mutex;  // Guards all below, m_machine for writing.
  state::Machine m_machine;
  uint64_t m_index = 0;
  std::vector<std::string> m_log;
  std::map<std::string, bool> m_lost;
  uint64_t m_next_grant = 0;
  std::map<std::string, routing::SlotGrant> m_slots;
  // As reported last.
  std::map<std::pair<const control::ViewListener*, std::string>, int> m_held;
  std::shared_ptr<const model::Config> m_config;
  std::vector<control::ViewListener*> m_listeners;
};

/// An endpoint in this process that counts its runs.
class FakeEndpoint {
 public:
  using Behaviour = std::function<void(std::shared_ptr<net::HttpExchange>)>;

  explicit FakeEndpoint(net::IoThreads& threads)
      : m_handler([this](std::shared_ptr<net::HttpExchange> exchange) {
          ++m_runs;
          Behaviour behaviour;
          {
            const std::lock_guard lock(m_mutex);
            m_last = exchange->request();
            behaviour = m_behaviour;
          }
          behaviour(std::move(exchange));
        }),
        m_server(threads, {}, m_handler) {}

  /// The whole answer to a request, as a good endpoint gives it.
  static net::HttpResponse AnswerTo(const net::HttpRequest& request) {
    net::HttpResponse response;
    response.headers.Set("X-Request-Id",
                         std::string(request.headers.Get("X-Request-Id")));
    response.headers.Set("Content-Type", "text/plain");
    response.body = "answer to " + request.body;
    return response;
  }

  void Set(Behaviour behaviour) {
    const std::lock_guard lock(m_mutex);
    m_behaviour = std::move(behaviour);
  }
  net::HttpRequest last() const {
    const std::lock_guard lock(m_mutex);
    return m_last;
  }
  int runs() const { return m_runs; }
  std::string address() const { return m_server.address(); }

 private:
  mutable std::mutex m_mutex;  // Guards the two below.
  Behaviour m_behaviour =
      [](const std::shared_ptr<net::HttpExchange>& exchange) {
        exchange->Respond(AnswerTo(exchange->request()));
      };
  net::HttpRequest m_last;
  std::atomic<int> m_runs{0};
  net::FunctionHandler m_handler;
  net::HttpServer m_server;
};

/// An entry host with its server.
struct EntryNode {
  EntryNode(const std::string& name,
            const EntryInit& base,
            net::IoThreads& threads,
            FakeControlLink& link)
      : host(Named(base, name), threads, link), server(threads, {}, host) {
    link.Start(host);
  }

  static EntryInit Named(EntryInit init, const std::string& name) {
    init.identity = {name, 1};
    return init;
  }

  EntryHost host;
  net::HttpServer server;
};

/// Two entry hosts that share control hosts, one service "quote" and the
/// organisation "insurer-a".
class EntryFixture {
 public:
  EntryFixture() {
    m_init.balancer_delay = Millis(0);
    m_init.claim_poll = Millis(10);
    m_config.version = 7;
    model::ServiceConfig& service = m_config.services["quote"];
    service.budget.name = "quote";
    service.requests.retry_ratio = 1;
    m_config.organisations["insurer-a"] = {"insurer-a", 1, ""};
    m_config.vendors["flat"] = {
        "flat", "flat", {{"UP", "ready"}, {"QUIESCING", "leaving"}}};
    m_config.vendors["nested"] = {
        "nested", "nested", {{"serving", "ready"}, {"draining", "leaving"}}};
  }

  ~EntryFixture() {
    m_link.Stop();
    for (EntryNode* node : {m_first.get(), m_second.get()}) {
      if (node != nullptr) {
        node->host.CloseLink();
      }
    }
  }

 protected:
  model::RequestPolicy& policy() { return m_config.services["quote"].requests; }

  void StartHosts() {
    m_link.SetConfig(std::make_shared<model::Config>(m_config));
    m_first = std::make_unique<EntryNode>("first", m_init, m_threads, m_link);
    m_second = std::make_unique<EntryNode>("second", m_init, m_threads, m_link);
    REQUIRE(ComesTrue([&] {
      return m_first->host.IsHealthy() && m_second->host.IsHealthy();
    }));
  }

  void AddEndpoint(const std::string& id,
                   const std::string& address,
                   int slots) {
    m_link.SetSlots(id, slots);
    const net::HttpResponse response = Announce(FlatBody(id, address, "UP"));
    REQUIRE(response.status == 200);
    REQUIRE(ComesTrue([&] {
      const auto is_seen = [&](const EntryNode& node) {
        const EntryStats stats = node.host.Stats();
        const auto found = stats.services.find("quote");
        return found != stats.services.end() &&
               found->second.usable_endpoints == m_endpoint_count + 1 &&
               (slots == 0 || found->second.capacity >= slots);
      };
      return is_seen(*m_first) && is_seen(*m_second);
    }));
    ++m_endpoint_count;
  }

  static std::string FlatBody(const std::string& id,
                              const std::string& address,
                              const std::string& status) {
    return R"({"vendor":"flat","id":")" + id +
           R"(","service":"quote","host":"h1","zone":"z1","boot":1,"addr":")" +
           address + R"(","status":")" + status + "\"}";
  }

  net::HttpResponse Announce(const std::string& body) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/endpoints/announce";
    request.body = body;
    return net::Fetch(m_first->server.address(), request, kTestWait);
  }

  static net::HttpRequest Ask(const std::string& key,
                              const std::string& body,
                              Millis timeout = kTestWait) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/services/quote/requests";
    request.headers.Set("Laurelhall-Organisation", "insurer-a");
    request.headers.Set("Laurelhall-Deadline", std::to_string(timeout.count()));
    if (!key.empty()) {
      request.headers.Set("Idempotency-Key", key);
    }
    request.body = body;
    return request;
  }

  static net::HttpResponse Send(const EntryNode& node,
                                const net::HttpRequest& request) {
    return net::Fetch(node.server.address(), request, 2 * kTestWait);
  }

  static std::future<net::HttpResponse> SendLater(
      const EntryNode& node,
      const net::HttpRequest& request) {
    return std::async(std::launch::async,
                      [&node, request] { return Send(node, request); });
  }

  static bool IsProblem(const net::HttpResponse& response, ProblemKind kind) {
    const ProblemType& type = ProblemTypeOf(kind);
    const std::string expected = "\"type\":\"" + std::string(type.slug) + "\"";
    return response.status == type.status &&
           response.headers.Get("Content-Type") == "application/problem+json" &&
           response.body.find(expected) != std::string::npos;
  }

  std::optional<state::ClaimResult> FindClaim(const std::string& key) const {
    return m_link.Find({"insurer-a", "quote", key});
  }

  EntryInit m_init;
  model::Config m_config;
  int m_endpoint_count = 0;
  net::IoThreads m_threads{4};
  FakeEndpoint m_endpoint{m_threads};
  FakeEndpoint m_other{m_threads};
  FakeControlLink m_link{m_threads};
  std::unique_ptr<EntryNode> m_first;
  std::unique_ptr<EntryNode> m_second;
};

}  // namespace laurelhall::entry
