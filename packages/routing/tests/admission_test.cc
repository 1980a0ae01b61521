#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

#include "laurelhall/routing/admission.h"

namespace laurelhall::routing {
namespace {

using model::Priority;
using std::chrono::seconds;

constexpr SteadyTime kStart = SteadyTime{} + seconds(1000);
constexpr int kPeriods = 10;
constexpr int kPeriod = AdmissionQueue::kFloorPeriod + 1;

class AdmissionQueueFixture {
 protected:
  static AdmissionInit Init() {
    AdmissionInit init;
    init.max_requests = 1000;
    init.expected_run_time = Millis{100};
    return init;
  }

  /// Offers a request and remembers whose it is.
  std::optional<Refusal> Offer(const std::string& organisation,
                               Priority priority,
                               Millis timeout = seconds(600),
                               int64_t bytes = 0) {
    RequestHandle handle;
    const auto refusal = m_queue.Offer(
        {organisation, priority, m_now + timeout, bytes}, m_now, &handle);
    if (!refusal) {
      m_owners[handle] = organisation;
      m_last = handle;
    }
    return refusal;
  }

  /// Takes the next request, runs it at once and says whose it was.
  std::string Serve(Millis run_time = Millis{100}) {
    const auto handle = m_queue.Next(m_now);
    if (!handle) {
      return "";
    }
    std::string organisation = m_owners.at(*handle);
    m_now += run_time;
    m_queue.Finished(organisation, run_time, m_now);
    return organisation;
  }

  std::map<std::string, int> Serve(int count) {
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i) {
      served[Serve()]++;
    }
    return served;
  }

  void OfferMany(const std::string& organisation, Priority priority, int n) {
    for (int i = 0; i < n; ++i) {
      Offer(organisation, priority);
    }
  }

  SteadyTime m_now = kStart;
  AdmissionQueue m_queue{Init()};
  std::map<RequestHandle, std::string> m_owners;
  RequestHandle m_last;
};

}  // namespace

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, mixed priorities, urgent first and batch "
                  "gets its floor") {
  OfferMany("batch", Priority::kBatch, 20);
  OfferMany("urgent", Priority::kUrgent, 200);
  std::map<std::string, int> served = Serve(kPeriods * kPeriod);
  CHECK(served["batch"] == kPeriods);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, weights of 1 and 3, dispatches follow") {
  m_queue.SetWeight("large", 3);
  OfferMany("small", Priority::kStandard, 100);
  OfferMany("large", Priority::kStandard, 100);
  const auto served = Serve(80);
  CHECK(served.at("small") >= 19);
  CHECK(served.at("small") <= 21);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, organisation returns to a borrowed share, "
                  "gets it from the next dispatches on") {
  OfferMany("borrower", Priority::kStandard, 500);
  Serve(200);
  OfferMany("owner", Priority::kStandard, 100);
  std::map<std::string, int> served;
  for (int n = 1; n <= 40; ++n) {
    served[Serve()]++;
    CHECK(served["owner"] >= n / 2 - 1);
    CHECK(served["borrower"] >= n / 2 - 1);  // Nor is it owed the past.
  }
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, one organisation has long runs, shares are "
                  "of slot time") {
  OfferMany("long", Priority::kStandard, 200);
  OfferMany("short", Priority::kStandard, 800);
  std::map<std::string, Millis> used;
  for (int i = 0; i < 400; ++i) {
    const auto handle = m_queue.Next(m_now);
    std::string organisation = m_owners.at(*handle);
    const Millis run_time{organisation == "long" ? 500 : 50};
    m_queue.Finished(organisation, run_time, m_now);
    used[organisation] += run_time;
  }
  CHECK(used["long"] <= used["short"] * 1.2);
  CHECK(used["short"] <= used["long"] * 1.2);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, deadlines out of order, the earliest of an "
                  "organisation goes first") {
  Offer("one", Priority::kStandard, seconds(30));
  Offer("one", Priority::kStandard, seconds(10));
  const RequestHandle earliest = m_last;
  Offer("one", Priority::kStandard, seconds(20));
  CHECK(m_queue.Next(m_now) == earliest);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, request can no longer finish, is given up "
                  "and not served") {
  OfferMany("one", Priority::kStandard, 50);
  Serve(50);
  Offer("one", Priority::kStandard, Millis{500});
  REQUIRE(m_queue.NextGiveUp(m_now).has_value());
  CHECK(*m_queue.NextGiveUp(m_now) < m_now + Millis{500});
  CHECK(m_queue.TakeGivenUp(m_now).empty());
  m_now += Millis{450};  // Runs take 100 ms.
  CHECK_FALSE(m_queue.Next(m_now));
  const auto given_up = m_queue.TakeGivenUp(m_now);
  REQUIRE(given_up.size() == 1);
  CHECK(given_up[0].handle == m_last);
  CHECK(given_up[0].refusal.reason == RefusalReason::kCannotMeetDeadline);
  CHECK(m_queue.size() == 0);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, backlog longer than the deadline, is "
                  "refused with a spread Retry-After") {
  m_queue.SetCapacity(2);
  std::set<Millis> times;
  int accepted = 0;
  for (int i = 0; i < 200; ++i) {
    const auto refusal = Offer("one", Priority::kStandard, seconds(5));
    if (!refusal) {
      accepted++;
      continue;
    }
    CHECK(refusal->reason == RefusalReason::kCannotMeetDeadline);
    CHECK(refusal->retry_after >= Millis{2500});  // 5 s, half to each side.
    CHECK(refusal->retry_after <= Millis{7600});
    times.insert(refusal->retry_after);
  }
  CHECK(accepted >= 100);  // 100 ms each on two slots.
  CHECK(accepted <= 101);
  CHECK(times.size() > 50);
  CHECK_FALSE(Offer("other", Priority::kStandard, seconds(5)));
  CHECK_FALSE(Offer("one", Priority::kUrgent, seconds(1)));
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, full, the newest less urgent or over-share "
                  "request gives way") {
  OfferMany("rush", Priority::kStandard, 990);
  OfferMany("batch", Priority::kBatch, 10);
  const RequestHandle newest_batch = m_last;
  CHECK_FALSE(Offer("small", Priority::kStandard));
  CHECK(m_queue.TakeGivenUp(m_now).at(0).handle == newest_batch);
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(Offer("small", Priority::kStandard));
  }
  const auto given_up = m_queue.TakeGivenUp(m_now);
  REQUIRE(given_up.size() == 10);
  CHECK(m_owners[given_up[8].handle] == "batch");
  CHECK(Offer("small", Priority::kBatch)->reason == RefusalReason::kQueueFull);
  CHECK(m_owners[given_up[9].handle] == "rush");
  CHECK(Offer("rush", Priority::kStandard)->reason ==
        RefusalReason::kQueueFull);
  CHECK(m_queue.size() == 1000);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, bytes full, only enough victims are given "
                  "up, or none") {
  constexpr int64_t large = 16 << 20;
  for (int i = 0; i < 4; ++i) {
    Offer("one", Priority::kStandard, seconds(600), large);
  }
  CHECK(m_queue.bytes() == 4 * large);
  CHECK(Offer("two", Priority::kBatch, seconds(600), 1)->reason ==
        RefusalReason::kQueueBytesFull);
  CHECK(Offer("two", Priority::kUrgent, seconds(600), 5 * large)->reason ==
        RefusalReason::kQueueBytesFull);
  CHECK(m_queue.TakeGivenUp(m_now).empty());
  CHECK_FALSE(Offer("two", Priority::kUrgent, seconds(600), large));
  CHECK(m_queue.TakeGivenUp(m_now).size() == 1);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, put back, comes out again first and the "
                  "share is not charged") {
  OfferMany("one", Priority::kStandard, 10);
  OfferMany("two", Priority::kStandard, 10);
  const auto first = m_queue.Next(m_now);
  for (int i = 0; i < 5; ++i) {
    m_queue.PutBack(*first);
    m_queue.PutBack(*first);  // Twice does no harm.
    CHECK(m_queue.size() == 20);
    CHECK(m_queue.Next(m_now) == first);
  }
}

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "AdmissionQueue, any schedule, sizes agree and every request "
                  "has one end") {
  std::mt19937_64 random(7);
  const auto any = [&](int most) {
    return static_cast<int>(random() % static_cast<uint64_t>(most));
  };
  std::vector<RequestHandle> waiting;
  int offered = 0;
  int ended = 0;
  for (int step = 0; step < 50'000; ++step) {
    m_now += Millis{any(20)};
    if (any(100) < 60) {
      const auto refusal =
          Offer(std::to_string(any(9)), static_cast<Priority>(any(3)),
                Millis{any(30'000)}, any(200'000));
      offered += refusal ? 0 : 1;
      waiting.push_back(m_last);
    } else if (any(100) < 50 && !waiting.empty()) {
      const int before = m_queue.size();
      m_queue.Cancel(
          waiting[static_cast<size_t>(any(static_cast<int>(waiting.size())))]);
      ended += before - m_queue.size();
    } else {
      ended += Serve(Millis{1}).empty() ? 0 : 1;
    }
    ended += static_cast<int>(m_queue.TakeGivenUp(m_now).size());
    REQUIRE(m_queue.size() == offered - ended);
    REQUIRE(m_queue.bytes() >= 0);
  }
  while (!Serve().empty()) {
  }
  m_queue.TakeGivenUp(m_now);
  CHECK(m_queue.size() == 0);
  CHECK(m_queue.bytes() == 0);
}

}  // namespace laurelhall::routing
