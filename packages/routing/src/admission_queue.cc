#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <utility>

#include "fair_share_p.h"
#include "laurelhall/routing/admission.h"
#include "priority_queue_p.h"
#include "run_estimate_p.h"
#include "victim_search_p.h"

namespace laurelhall::routing {
namespace {

constexpr size_t kPriorityCount = static_cast<size_t>(model::Priority::kCount);
constexpr Millis kLeastRetryAfter{100};
constexpr Millis kMostRetryAfter{std::chrono::minutes(1)};

size_t IndexOf(model::Priority priority) {
  return std::min(static_cast<size_t>(priority), kPriorityCount - 1);
}

Millis Scale(Millis duration, double factor) {
  return std::chrono::ceil<Millis>(
      std::chrono::duration<double, std::milli>(duration) * factor);
}

}  // namespace

class AdmissionQueue::Impl {
 public:
  explicit Impl(const AdmissionInit& init)
      : m_init(init), m_random(init.seed) {}

  void SetWeight(const std::string& organisation, double weight) {
    m_shares.SetWeight(organisation, weight);
  }

  void SetCapacity(int slots) { m_capacity = slots; }

  std::optional<Refusal> Offer(const AdmissionRequest& request,
                               SteadyTime now,
                               RequestHandle* handle) {
    GiveUpHopeless(now);
    if (request.bytes > m_init.max_bytes) {
      return Refuse(RefusalReason::kQueueBytesFull, request);
    }
    const Millis needed = Needed(IndexOf(request.priority), now);
    if (now + WaitOf(request) + needed > request.deadline) {
      return Refuse(RefusalReason::kCannotMeetDeadline, request);
    }
    const auto full = MakeRoom(request);
    if (full) {
      return Refuse(*full, request);
    }
    const auto added = m_requests.Add({request, ++m_arrivals, false});
    if (!added) {
      return Refuse(RefusalReason::kQueueFull, request);
    }
    *handle = *added;
    m_shares.Join(request.organisation);
    Insert(*handle, *m_requests.Find(*handle));
    return std::nullopt;
  }

  std::optional<RequestHandle> Next(SteadyTime now) {
    GiveUpHopeless(now);
    PriorityQueue* queue = Choose();
    if (queue == nullptr) {
      return std::nullopt;
    }
    const std::string organisation = NextOrganisation(*queue);
    const RequestHandle handle =
        std::get<2>(*queue->Of(organisation).by_deadline.begin());
    Waiting& waiting = *m_requests.Find(handle);
    CountPassedOver(*queue);
    Erase(handle, waiting);
    waiting.is_taken = true;
    const Millis expected = MeanOf(waiting.request.priority);
    m_shares.Serve(organisation, static_cast<double>(expected.count()));
    Remember(handle);
    return handle;
  }

  void PutBack(RequestHandle handle) {
    Waiting* waiting = m_requests.Find(handle);
    if (waiting == nullptr || !waiting->is_taken) {
      return;
    }
    waiting->is_taken = false;
    m_shares.Unserve(waiting->request.organisation);
    std::erase(m_taken, handle);
    Insert(handle, *waiting);
  }

  void Cancel(RequestHandle handle) {
    const Waiting* waiting = m_requests.Find(handle);
    if (waiting == nullptr || waiting->is_taken) {
      return;
    }
    Erase(handle, *waiting);
    m_requests.Remove(handle);
  }

  void Finished(const std::string& organisation,
                Millis run_time,
                SteadyTime now) {
    m_estimate.Add(run_time, now);
    m_shares.Finish(organisation, static_cast<double>(run_time.count()));
    m_shares.Trim();
  }

  void Finished(const std::string& organisation,
                model::Priority priority,
                Millis run_time,
                SteadyTime now) {
    m_estimates[IndexOf(priority)].Add(run_time, now);
    Finished(organisation, run_time, now);
  }

  std::vector<GivenUp> TakeGivenUp(SteadyTime now) {
    GiveUpHopeless(now);
    return std::exchange(m_given_up, {});
  }

  std::optional<SteadyTime> NextGiveUp(SteadyTime now) const {
    std::optional<SteadyTime> next;
    for (size_t i = 0; i < kPriorityCount; ++i) {
      if (m_queues[i].is_empty()) {
        continue;
      }
      const SteadyTime hopeless =
          m_queues[i].EarliestDeadline() - Needed(i, now);
      next = next ? std::min(*next, hopeless) : hopeless;
    }
    return next;
  }

  int size() const { return m_size; }
  int64_t bytes() const { return m_bytes; }

 private:
  void Insert(RequestHandle handle, const Waiting& waiting) {
    m_queues[IndexOf(waiting.request.priority)].Insert(handle, waiting);
    m_shares.Of(waiting.request.organisation).waiting++;
    m_size++;
    m_bytes += waiting.request.bytes;
  }

  void Erase(RequestHandle handle, const Waiting& waiting) {
    m_queues[IndexOf(waiting.request.priority)].Erase(handle, waiting);
    m_shares.Of(waiting.request.organisation).waiting--;
    m_size--;
    m_bytes -= waiting.request.bytes;
  }

  void GiveUp(RequestHandle handle, RefusalReason reason) {
    const Waiting& waiting = *m_requests.Find(handle);
    m_given_up.push_back({handle, Refuse(reason, waiting.request)});
    Erase(handle, waiting);
    m_requests.Remove(handle);
  }

  void GiveUpHopeless(SteadyTime now) {
    for (size_t i = 0; i < kPriorityCount; ++i) {
      PriorityQueue& queue = m_queues[i];
      while (!queue.is_empty() &&
             queue.EarliestDeadline() < now + Needed(i, now)) {
        GiveUp(queue.Earliest(), RefusalReason::kCannotMeetDeadline);
      }
    }
  }

  /// @returns Why there is no room, or none when there is now.
  std::optional<RefusalReason> MakeRoom(const AdmissionRequest& request) {
    const int requests = m_size + 1 - m_init.max_requests;
    const int64_t bytes = m_bytes + request.bytes - m_init.max_bytes;
    if (requests <= 0 && bytes <= 0) {
      return std::nullopt;
    }
    const RefusalReason reason =
        bytes > 0 ? RefusalReason::kQueueBytesFull : RefusalReason::kQueueFull;
    VictimSearch search(m_shares, request, requests, bytes);
    for (size_t i = kPriorityCount - 1; i > IndexOf(request.priority); --i) {
      search.TakeLessUrgent(m_queues[i], m_requests);
    }
    search.TakeOverShare(m_queues[IndexOf(request.priority)], m_requests);
    if (!search.is_enough()) {
      return reason;
    }
    for (const RequestHandle victim : search.victims()) {
      GiveUp(victim, reason);
    }
    return std::nullopt;
  }

  PriorityQueue* Choose() {
    PriorityQueue* chosen = nullptr;
    for (PriorityQueue& queue : m_queues) {
      const bool is_due = queue.passed_over >= kFloorPeriod;
      if (!queue.is_empty() && (chosen == nullptr || is_due)) {
        chosen = &queue;
      }
    }
    return chosen;
  }

  void CountPassedOver(PriorityQueue& chosen) {
    for (PriorityQueue& queue : m_queues) {
      queue.passed_over += queue.is_empty() ? 0 : 1;
    }
    chosen.passed_over = 0;
  }

  /// The organisation that has had the least for its weight.
  std::string NextOrganisation(const PriorityQueue& queue) {
    const std::string* next = nullptr;
    double least = 0;
    for (const auto& [organisation, waiting] : queue.organisations()) {
      const double had = m_shares.Of(organisation).virtual_time;
      if (next == nullptr || had < least) {
        next = &organisation;
        least = had;
      }
    }
    return *next;
  }

  /// Keeps a dispatched request for PutBack(), the last few only.
  void Remember(RequestHandle handle) {
    m_taken.push_back(handle);
    if (m_taken.size() > kPutBackWindow) {
      m_requests.Remove(m_taken.front());
      m_taken.pop_front();
    }
  }

  Millis MeanOf(model::Priority priority) const {
    const RunEstimate& own = m_estimates[IndexOf(priority)];
    if (own.is_known()) {
      return own.mean();
    }
    return m_estimate.is_known() ? m_estimate.mean() : m_init.expected_run_time;
  }

  /// Time that a request must still have. When more wait than there are slots
  /// a doubtful one gives way to those behind it; else it is worth a try.
  Millis Needed(size_t priority, SteadyTime now) const {
    const RunEstimate& own = m_estimates[priority];
    const RunEstimate& estimate = own.is_known() ? own : m_estimate;
    const bool is_pressed = m_queues[priority].size() > std::max(m_capacity, 1);
    return is_pressed ? estimate.Long(now) : estimate.Short(now);
  }

  /// Time until a new request would be served; zero without a known capacity.
  Millis WaitOf(const AdmissionRequest& request) const {
    if (m_capacity <= 0) {
      return Millis{0};
    }
    return WorkBefore(request, request.deadline) / m_capacity;
  }

  /// Slot time of what is served before a request with this deadline.
  Millis WorkBefore(const AdmissionRequest& request,
                    SteadyTime deadline) const {
    Millis work{0};
    const size_t own = IndexOf(request.priority);
    for (size_t i = 0; i < own; ++i) {
      work += m_queues[i].size() * MeanOf(static_cast<model::Priority>(i));
    }
    const double before =
        m_queues[own].Of(request.organisation).Before(deadline) *
        m_shares.Dilution(request.organisation);
    const double bounded = std::min<double>(before, m_queues[own].size());
    return work + Scale(MeanOf(request.priority), bounded);
  }

  Refusal Refuse(RefusalReason reason, const AdmissionRequest& request) {
    const Millis work = WorkBefore(request, SteadyTime::max());
    const Millis backlog = work / std::max(m_capacity, 1);
    const Millis time = std::clamp(backlog, kLeastRetryAfter, kMostRetryAfter);
    std::uniform_real_distribution<double> spread(
        1 - m_init.retry_after_spread, 1 + m_init.retry_after_spread);
    return {reason, Scale(time, spread(m_random))};
  }

  const AdmissionInit m_init;
  std::mt19937_64 m_random;
  int m_capacity = 0;
  int m_size = 0;
  int64_t m_bytes = 0;
  uint64_t m_arrivals = 0;
  RequestTable m_requests;
  std::array<PriorityQueue, kPriorityCount> m_queues;
  FairShare m_shares;
  RunEstimate m_estimate;
  std::array<RunEstimate, kPriorityCount> m_estimates;
  std::deque<RequestHandle> m_taken;
  std::vector<GivenUp> m_given_up;
};

AdmissionQueue::AdmissionQueue(const AdmissionInit& init)
    : m_impl(std::make_unique<Impl>(init)) {}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::SetWeight(const std::string& organisation, double weight) {
  m_impl->SetWeight(organisation, weight);
}

void AdmissionQueue::SetCapacity(int slots) {
  m_impl->SetCapacity(slots);
}

std::optional<Refusal> AdmissionQueue::Offer(const AdmissionRequest& request,
                                             SteadyTime now,
                                             RequestHandle* handle) {
  return m_impl->Offer(request, now, handle);
}

std::optional<RequestHandle> AdmissionQueue::Next(SteadyTime now) {
  return m_impl->Next(now);
}

void AdmissionQueue::PutBack(RequestHandle handle) {
  m_impl->PutBack(handle);
}

void AdmissionQueue::Cancel(RequestHandle handle) {
  m_impl->Cancel(handle);
}

void AdmissionQueue::Finished(const std::string& organisation,
                              Millis run_time,
                              SteadyTime now) {
  m_impl->Finished(organisation, run_time, now);
}

void AdmissionQueue::Finished(const std::string& organisation,
                              model::Priority priority,
                              Millis run_time,
                              SteadyTime now) {
  m_impl->Finished(organisation, priority, run_time, now);
}

std::vector<AdmissionQueue::GivenUp> AdmissionQueue::TakeGivenUp(
    SteadyTime now) {
  return m_impl->TakeGivenUp(now);
}

std::optional<SteadyTime> AdmissionQueue::NextGiveUp(SteadyTime now) const {
  return m_impl->NextGiveUp(now);
}

int AdmissionQueue::size() const {
  return m_impl->size();
}

int64_t AdmissionQueue::bytes() const {
  return m_impl->bytes();
}

}  // namespace laurelhall::routing
