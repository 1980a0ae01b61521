// Drives the routing decisions of seven entry hosts against ten endpoints on
// virtual time and compares them with the simplest baseline: random endpoint,
// limits kept by each entry host alone, FIFO, three retries without a budget.
// Deterministic by seed.

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "laurelhall/routing/admission.h"
#include "laurelhall/routing/grants.h"
#include "laurelhall/routing/selector.h"

namespace laurelhall::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Duration = SteadyTime::duration;

constexpr int kEntries = 7;
constexpr int kEndpoints = 10;
constexpr int kSlots = 8;
constexpr int kZones = 4;
constexpr int kOrganisations = 4;
constexpr int kRushFactor = 5;
constexpr int kMaxRetries = 3;
constexpr uint64_t kSeeds = 5;  ///< Schedules in each row.
constexpr double kRunMillis = 100;
constexpr double kSlowFactor = 5;
constexpr Millis kFailureTime{2};
constexpr Millis kSync{500};
constexpr Millis kLength = seconds(60);
constexpr Millis kWarmUp = seconds(10);
constexpr SteadyTime kStart = SteadyTime{} + seconds(1000);
constexpr int kSlowEndpoint = 0;
constexpr int kFailingEndpoint = 1;
constexpr int kLeavingEndpoint = 2;
/// Shares of the arrivals that the balancer gives to each entry host.
constexpr std::array<double, kEntries> kSkewed = {0.30, 0.20, 0.15, 0.10,
                                                  0.10, 0.10, 0.05};

enum class Routing { kLaurelhall, kBaseline, kResponseRate, kCount };
enum class Limits { kLeased, kStatic, kCount };

struct Setup {
  Routing routing = Routing::kLaurelhall;
  Limits limits = Limits::kLeased;
  bool is_hedged = false;
  bool has_faults = true;
  double load = 0.9;
  uint64_t seed = 1;
};

struct Request {
  int organisation = 0;
  model::Priority priority = model::Priority::kUrgent;
  SteadyTime arrival{};
  SteadyTime deadline{};
  int retries = 0;
  int copies = 0;  ///< Attempts in flight.
  bool is_done = false;
  bool is_hedged = false;
  std::string tried;
};
using RequestPointer = std::shared_ptr<Request>;

struct Outcome {
  int offered = 0;
  int good = 0;
  std::array<int, kOrganisations> offered_by{};
  std::array<int, kOrganisations> good_by{};
  std::array<int, 3> offered_in{};
  std::array<int, 3> good_in{};
  int offered_urgent_others = 0;
  int good_urgent_others = 0;
  std::vector<double> latencies;  ///< Of answers, from arrival, in ms.
  std::vector<double> urgent_latencies;
  int most_at_endpoint = 0;
  int turned_away = 0;  ///< Attempts beyond the endpoint's slots.
  int hedges = 0;
  double busy_millis = 0;

  void Add(const Outcome& other);
};

template <size_t kSize>
void AddEach(std::array<int, kSize>& to, const std::array<int, kSize>& from) {
  std::ranges::transform(to, from, to.begin(), std::plus<>());
}

void Outcome::Add(const Outcome& other) {
  offered += other.offered;
  good += other.good;
  AddEach(offered_by, other.offered_by);
  AddEach(good_by, other.good_by);
  AddEach(offered_in, other.offered_in);
  AddEach(good_in, other.good_in);
  offered_urgent_others += other.offered_urgent_others;
  good_urgent_others += other.good_urgent_others;
  latencies.insert(latencies.end(), other.latencies.begin(),
                   other.latencies.end());
  urgent_latencies.insert(urgent_latencies.end(),
                          other.urgent_latencies.begin(),
                          other.urgent_latencies.end());
  most_at_endpoint = std::max(most_at_endpoint, other.most_at_endpoint);
  turned_away += other.turned_away;
  hedges += other.hedges;
  busy_millis += other.busy_millis;
}

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      static_cast<ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + at);
  return values[static_cast<size_t>(at)];
}

struct BenchEndpoint {
  model::Endpoint model;
  int runs = 0;
};

struct EntryHost {
  explicit EntryHost(int index, uint64_t seed)
      : name("entry-" + std::to_string(index)),
        queue(QueueInit(seed + static_cast<uint64_t>(index))),
        selector(ViewInit(index, seed)) {}

  static AdmissionInit QueueInit(uint64_t seed) {
    AdmissionInit init;
    init.expected_run_time = Millis{static_cast<int>(kRunMillis)};
    init.seed = seed;
    return init;
  }
  static SelectorInit ViewInit(int index, uint64_t seed) {
    SelectorInit init;
    init.own_zone = "zone-" + std::to_string(index % kZones);
    init.seed = seed * 100 + static_cast<uint64_t>(index);
    return init;
  }

  std::string name;
  AdmissionQueue queue;
  Selector selector;
  GrantHolder grants;
  RetryBudget budget{0.1};
  std::map<RequestHandle, RequestPointer> waiting;
  std::deque<RequestPointer> fifo;               ///< Baseline.
  std::array<int, kEndpoints> local_runs{};      ///< Baseline.
  std::map<std::string, double> response_rates;  ///< Per slot and second.
};

class Bench {
 public:
  explicit Bench(const Setup& setup)
      : m_setup(setup),
        m_random(setup.seed),
        m_allocator({seconds(4), 0.01, 1}, kStart) {
    for (int i = 0; i < kEndpoints; ++i) {
      AddEndpoint(i);
    }
    for (int i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<EntryHost>(i, setup.seed));
      StartEntry(*m_entries.back(), i);
    }
  }

  Outcome Run() {
    Arrive();
    if (m_setup.has_faults) {
      At(kStart + kLength / 2, [this] { Leave(); });
    }
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      if (m_now > kStart + kLength + seconds(40)) {
        break;
      }
      event.act();
    }
    return m_outcome;
  }

  /// Runs per second that the endpoints can do, over the whole time.
  double Capacity() const {
    const double each = kSlots * 1000 / kRunMillis;
    const double working = kEndpoints - 2 + 1 / kSlowFactor - 0.5;
    return each * (m_setup.has_faults ? working : kEndpoints);
  }

 private:
  struct Event {
    SteadyTime at;
    uint64_t order;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(SteadyTime at, std::function<void()> act) {
    m_events.push({at, ++m_order, std::move(act)});
  }

  double Share() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  static Duration FromMillis(double millis) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(millis));
  }

  bool IsMeasured(const Request& request) const {
    return request.arrival >= kStart + kWarmUp;
  }

  void AddEndpoint(int index) {
    BenchEndpoint& endpoint = m_endpoints[static_cast<size_t>(index)];
    endpoint.model.id = "endpoint-" + std::to_string(index);
    endpoint.model.incarnation = 1;
    endpoint.model.changed_at_index = 1;
    endpoint.model.slots = kSlots;
    endpoint.model.availability_zone = "zone-" + std::to_string(index % kZones);
    m_index_of[endpoint.model.id] = index;
    m_allocator.SetEndpoint(endpoint.model, seconds(30), kStart, true);
  }

  void StartEntry(EntryHost& entry, int index) {
    std::vector<SlotGrant> fixed;
    for (int i = 0; i < kEndpoints; ++i) {
      const auto& endpoint = m_endpoints[static_cast<size_t>(i)].model;
      entry.selector.Update(endpoint, kStart);
      const int slots = kSlots / kEntries + (i % kEntries == index ? 1 : 0);
      fixed.push_back({endpoint.id, 1, slots, seconds(1000)});
    }
    if (m_setup.limits == Limits::kStatic) {
      entry.grants.Update(fixed, kStart);
    }
    At(kStart + index * kSync / kEntries, [this, &entry] { Sync(entry); });
  }

  void Sync(EntryHost& entry) {
    entry.selector.ConfirmAll(m_now);
    const auto usable = entry.selector.Usable(m_now);
    if (m_setup.limits == Limits::kLeased) {
      std::map<std::string, int> queued;
      for (const model::Endpoint& endpoint : usable) {
        const int all = static_cast<int>(usable.size());
        queued[endpoint.id] = (entry.queue.size() + all - 1) / all;
      }
      const auto grants = m_allocator.Renew({entry.name, 1},
                                            entry.grants.Report(queued), m_now);
      entry.grants.Update(grants, m_now);
    }
    int capacity = 0;
    for (const SlotDemand& demand : entry.grants.Report({})) {
      const bool is_usable = entry.selector.MaySend(demand.endpoint, m_now);
      capacity += is_usable ? demand.held : 0;
    }
    entry.queue.SetCapacity(capacity);
    Dispatch(entry);
    At(m_now + kSync, [this, &entry] { Sync(entry); });
  }

  void Leave() {
    model::Endpoint& endpoint = m_endpoints[kLeavingEndpoint].model;
    endpoint.state = model::EndpointState::kLeaving;
    endpoint.changed_at_index = 2;
    m_allocator.RemoveEndpoint(endpoint.id);
    for (auto& entry : m_entries) {
      entry->selector.Update(endpoint, m_now);
    }
  }

  void Arrive() {
    const double rate = m_setup.load * Capacity();
    std::exponential_distribution<double> gap(rate / 1000);
    m_now += FromMillis(gap(m_random));
    if (m_now > kStart + kLength) {
      return;
    }
    auto request = std::make_shared<Request>(AnyRequest());
    std::discrete_distribution<int> any(kSkewed.begin(), kSkewed.end());
    EntryHost& entry = *m_entries[static_cast<size_t>(any(m_random))];
    Count(*request);
    At(m_now, [this, &entry, request] { Offer(entry, request); });
    At(m_now, [this] { Arrive(); });
  }

  Request AnyRequest() {
    Request request;
    const double organisation = Share() * (kRushFactor + kOrganisations - 1);
    request.organisation =
        organisation < kRushFactor
            ? 0
            : 1 + static_cast<int>(organisation - kRushFactor);
    const double priority = Share();
    request.priority = priority < 0.4   ? model::Priority::kUrgent
                       : priority < 0.8 ? model::Priority::kStandard
                                        : model::Priority::kBatch;
    constexpr std::array<Millis, 3> timeouts = {seconds(2), seconds(5),
                                                seconds(30)};
    request.arrival = m_now;
    request.deadline = m_now + timeouts[static_cast<size_t>(request.priority)];
    return request;
  }

  static bool IsUrgentOther(const Request& request) {
    return request.organisation > 0 &&
           request.priority == model::Priority::kUrgent;
  }

  void Count(const Request& request) {
    if (IsMeasured(request)) {
      m_outcome.offered++;
      m_outcome.offered_by[static_cast<size_t>(request.organisation)]++;
      m_outcome.offered_in[static_cast<size_t>(request.priority)]++;
      m_outcome.offered_urgent_others += IsUrgentOther(request) ? 1 : 0;
    }
  }

  void Offer(EntryHost& entry, const RequestPointer& request) {
    if (m_setup.routing == Routing::kBaseline) {
      if (entry.fifo.size() < 500) {
        entry.fifo.push_back(request);
      }
    } else {
      RequestHandle handle;
      const AdmissionRequest asked{NameOf(request->organisation),
                                   request->priority, request->deadline, 1000};
      entry.budget.FirstAttempt();
      if (!entry.queue.Offer(asked, m_now, &handle)) {
        entry.waiting[handle] = request;
      }
    }
    Dispatch(entry);
  }

  static std::string NameOf(int organisation) {
    return "organisation-" + std::to_string(organisation);
  }

  void Dispatch(EntryHost& entry) {
    if (m_setup.routing == Routing::kBaseline) {
      DispatchFifo(entry);
      return;
    }
    while (entry.queue.size() > 0 && TryNext(entry)) {
    }
    for (const auto& given_up : entry.queue.TakeGivenUp(m_now)) {
      entry.waiting.erase(given_up.handle);
    }
  }

  bool TryNext(EntryHost& entry) {
    const auto handle = entry.queue.Next(m_now);
    if (!handle) {
      return false;
    }
    const RequestPointer request = entry.waiting.at(*handle);
    if (!TryStart(entry, request)) {
      entry.queue.PutBack(*handle);
      return false;
    }
    entry.waiting.erase(*handle);
    return true;
  }

  bool TryStart(EntryHost& entry, const RequestPointer& request) {
    std::vector<Selector::Candidate> candidates;
    for (const BenchEndpoint& endpoint : m_endpoints) {
      const std::string& id = endpoint.model.id;
      const int free_slots = entry.grants.FreeSlots(id, m_now);
      if (free_slots > 0) {
        candidates.push_back({id, free_slots});
      }
    }
    const auto picked =
        m_setup.routing == Routing::kResponseRate
            ? PickByRate(entry, candidates, request->tried)
            : entry.selector.Pick(candidates, request->tried, m_now);
    const auto ticket =
        picked ? entry.grants.TryAcquire(*picked, m_now) : std::nullopt;
    if (!ticket) {
      return false;
    }
    entry.selector.Started(*picked, m_now);
    Attempt(entry, request, *picked, *ticket);
    return true;
  }

  /// Shares work by observed response rates alone.
  std::optional<std::string> PickByRate(
      EntryHost& entry,
      const std::vector<Selector::Candidate>& candidates,
      const std::string& avoid) {
    std::vector<double> weights;
    for (const auto& candidate : candidates) {
      const bool is_open = candidate.endpoint != avoid &&
                           entry.selector.MaySend(candidate.endpoint, m_now);
      const auto [rate, is_new] =
          entry.response_rates.try_emplace(candidate.endpoint, 10.0);
      weights.push_back(is_open ? rate->second : 0);
    }
    if (std::ranges::none_of(weights, [](double w) { return w > 0; })) {
      return std::nullopt;
    }
    std::discrete_distribution<size_t> any(weights.begin(), weights.end());
    return candidates[any(m_random)].endpoint;
  }

  double RunMillis(int endpoint) {
    if (m_setup.has_faults && endpoint == kFailingEndpoint) {
      return static_cast<double>(kFailureTime.count());
    }
    // Log-normal with the mean wanted and a long tail.
    constexpr double sigma = 0.6;
    std::lognormal_distribution<double> any(-sigma * sigma / 2, sigma);
    const bool is_slow = m_setup.has_faults && endpoint == kSlowEndpoint;
    return kRunMillis * any(m_random) * (is_slow ? kSlowFactor : 1);
  }

  bool Fails(int endpoint) const {
    return m_setup.has_faults && endpoint == kFailingEndpoint;
  }

  void Enter(int index, double millis) {
    BenchEndpoint& endpoint = m_endpoints[static_cast<size_t>(index)];
    endpoint.runs++;
    m_outcome.most_at_endpoint =
        std::max(m_outcome.most_at_endpoint, endpoint.runs);
    m_outcome.busy_millis += Fails(index) ? 0 : millis;
  }

  void Attempt(EntryHost& entry,
               const RequestPointer& request,
               const std::string& id,
               SlotTicket ticket) {
    const int index = m_index_of.at(id);
    const double millis = RunMillis(index);
    const SteadyTime started = m_now;
    Enter(index, millis);
    request->copies++;
    request->tried = id;
    At(m_now + FromMillis(millis),
       [this, &entry, request, id, index, ticket, started] {
         m_endpoints[static_cast<size_t>(index)].runs--;
         request->copies--;
         entry.grants.Release(ticket);
         Ended(entry, request, id, Fails(index), started);
         Dispatch(entry);
       });
    if (m_setup.is_hedged && !request->is_hedged) {
      At(m_now + FromMillis(3 * kRunMillis),
         [this, &entry, request] { Hedge(entry, request); });
    }
  }

  void Hedge(EntryHost& entry, const RequestPointer& request) {
    if (request->is_done || request->is_hedged || request->copies == 0 ||
        !entry.budget.TryRetry()) {
      return;
    }
    request->is_hedged = true;
    m_outcome.hedges += TryStart(entry, request) ? 1 : 0;
  }

  void Ended(EntryHost& entry,
             const RequestPointer& request,
             const std::string& id,
             bool is_failure,
             SteadyTime started) {
    const auto latency = std::chrono::floor<Millis>(m_now - started);
    entry.selector.Finished(
        id, is_failure ? AttemptOutcome::kError : AttemptOutcome::kOk, latency,
        m_now);
    const double millis =
        std::chrono::duration<double, std::milli>(m_now - started).count();
    double& rate = entry.response_rates[id];
    rate += ((is_failure ? 0.0 : 1000 / millis) - rate) * 0.1;
    if (request->is_done) {
      return;
    }
    if (is_failure) {
      Retry(entry, request);
      return;
    }
    entry.queue.Finished(NameOf(request->organisation), request->priority,
                         latency, m_now);
    Answer(*request);
  }

  void Retry(EntryHost& entry, const RequestPointer& request) {
    if (request->retries < kMaxRetries && m_now < request->deadline &&
        entry.budget.TryRetry()) {
      request->retries++;
      TryStart(entry, request);
    }
  }

  void Answer(Request& request) {
    request.is_done = true;
    if (!IsMeasured(request)) {
      return;
    }
    const double millis =
        std::chrono::duration<double, std::milli>(m_now - request.arrival)
            .count();
    m_outcome.latencies.push_back(millis);
    if (request.priority == model::Priority::kUrgent) {
      m_outcome.urgent_latencies.push_back(millis);
    }
    if (m_now <= request.deadline) {
      m_outcome.good++;
      m_outcome.good_by[static_cast<size_t>(request.organisation)]++;
      m_outcome.good_in[static_cast<size_t>(request.priority)]++;
      m_outcome.good_urgent_others += IsUrgentOther(request) ? 1 : 0;
    }
  }

  void DispatchFifo(EntryHost& entry) {
    while (!entry.fifo.empty()) {
      const int index =
          std::uniform_int_distribution<int>(0, kEndpoints - 1)(m_random);
      const auto& endpoint = m_endpoints[static_cast<size_t>(index)].model;
      if (endpoint.state != model::EndpointState::kReady) {
        continue;
      }
      if (entry.local_runs[static_cast<size_t>(index)] >= kSlots) {
        return;
      }
      const RequestPointer request = entry.fifo.front();
      entry.fifo.pop_front();
      AttemptLocal(entry, request, index);
    }
  }

  void AttemptLocal(EntryHost& entry,
                    const RequestPointer& request,
                    int index) {
    BenchEndpoint& endpoint = m_endpoints[static_cast<size_t>(index)];
    const bool is_full = endpoint.runs >= kSlots;
    const double millis = is_full ? 1 : RunMillis(index);
    entry.local_runs[static_cast<size_t>(index)]++;
    m_outcome.turned_away += is_full ? 1 : 0;
    m_outcome.most_at_endpoint =
        std::max(m_outcome.most_at_endpoint, endpoint.runs + (is_full ? 1 : 0));
    if (!is_full) {
      Enter(index, millis);
    }
    At(m_now + FromMillis(millis), [this, &entry, request, index, is_full] {
      entry.local_runs[static_cast<size_t>(index)]--;
      m_endpoints[static_cast<size_t>(index)].runs -= is_full ? 0 : 1;
      if (!is_full && !Fails(index)) {
        Answer(*request);
      } else if (request->retries < kMaxRetries) {
        request->retries++;
        entry.fifo.push_front(request);
      }
      DispatchFifo(entry);
    });
  }

  const Setup m_setup;
  std::mt19937_64 m_random;
  SteadyTime m_now = kStart;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  SlotAllocator m_allocator;
  std::array<BenchEndpoint, kEndpoints> m_endpoints;
  std::map<std::string, int> m_index_of;
  std::vector<std::unique_ptr<EntryHost>> m_entries;
  Outcome m_outcome;
};

double Percent(int part, int whole) {
  return whole == 0 ? 0 : 100.0 * part / whole;
}

void PrintHeader(const char* title) {
  std::printf(
      "\n%s\n%-24s %5s %6s %6s %6s %6s %6s %6s %7s %7s %7s %6s %6s %5s\n",
      title, "", "load", "good%", "rush%", "others", "urgent", "oth ur",
      "batch", "p50 ms", "p99 ms", "urg p99", "busy%", "most", "503s");
}

void PrintRow(const char* name, Setup setup) {
  Outcome outcome;
  double capacity = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    setup.seed = seed;
    Bench bench(setup);
    capacity += bench.Capacity();
    outcome.Add(bench.Run());
  }
  int others = 0;
  int offered_others = 0;
  for (size_t i = 1; i < kOrganisations; ++i) {
    others += outcome.good_by[i];
    offered_others += outcome.offered_by[i];
  }
  const double seconds_run = std::chrono::duration<double>(kLength).count();
  const double busy =
      outcome.busy_millis / kRunMillis / (capacity * seconds_run);
  std::printf(
      "%-24s %5.1f %6.1f %6.1f %6.1f %6.1f %6.1f %6.1f %7.0f %7.0f %7.0f %6.1f "
      "%6d "
      "%5d",
      name, setup.load, Percent(outcome.good, outcome.offered),
      Percent(outcome.good_by[0], outcome.offered_by[0]),
      Percent(others, offered_others),
      Percent(outcome.good_in[0], outcome.offered_in[0]),
      Percent(outcome.good_urgent_others, outcome.offered_urgent_others),
      Percent(outcome.good_in[2], outcome.offered_in[2]),
      Percentile(outcome.latencies, 0.5), Percentile(outcome.latencies, 0.99),
      Percentile(outcome.urgent_latencies, 0.99), 100 * busy,
      outcome.most_at_endpoint, outcome.turned_away);
  std::printf(setup.is_hedged ? "  %d hedges\n" : "\n", outcome.hedges);
}

void CompareWithBaseline() {
  PrintHeader(
      "One slow (5x), one failing, one leaving endpoint; one organisation at "
      "5x its share.");
  for (const double load : {0.5, 0.9, 1.2, 3.0}) {
    PrintRow("laurelhall", {.load = load});
    PrintRow("baseline", {.routing = Routing::kBaseline, .load = load});
  }
}

void CompareSelectors() {
  PrintHeader("Selectors: choice of two against weight by response rate.");
  for (const double load : {0.5, 0.9, 1.2}) {
    PrintRow("choice of two", {.load = load});
    PrintRow("response rate",
             {.routing = Routing::kResponseRate, .load = load});
  }
}

void CompareHedging() {
  PrintHeader("Hedged after three mean run times, within the retry budget.");
  for (const double load : {0.5, 0.9, 1.2}) {
    PrintRow("not hedged", {.load = load});
    PrintRow("hedged", {.is_hedged = true, .load = load});
  }
}

void CompareLimits() {
  PrintHeader("Limits over all entry hosts, sound endpoints, skewed arrivals.");
  for (const double load : {0.5, 0.7, 0.9, 1.2}) {
    PrintRow("leased grants", {.has_faults = false, .load = load});
    PrintRow("static shares",
             {.limits = Limits::kStatic, .has_faults = false, .load = load});
  }
}

}  // namespace
}  // namespace laurelhall::routing

int main() {
  laurelhall::routing::CompareWithBaseline();
  laurelhall::routing::CompareSelectors();
  laurelhall::routing::CompareHedging();
  laurelhall::routing::CompareLimits();
}
