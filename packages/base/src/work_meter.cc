#include "laurelhall/base/work_meter.h"

#include <pthread.h>
#include <time.h>

#include <algorithm>
#include <iterator>
#include <list>
#include <mutex>
#include <utility>

namespace laurelhall {

namespace {

constexpr const char* kDutyNames[] = {
    "tick_sync",  "tick_stops",  "tick_leases",   "tick_waves",
    "tick_moves", "tick_report", "tick_orders",   "tick_holds",
    "plan",       "batch",       "relay_request", "worker_result",
    "request",    "loop_task",   "peer_message",  "peer_send",
    "disk_write", "apply"};
static_assert(std::size(kDutyNames) == WorkMeter::kDutyCount);

// The innermost duty that the thread is in.
thread_local DutyTimer* t_current = nullptr;

struct KnownThread {
  std::string name;
  clockid_t clock = 0;
};

struct KnownThreads {
  std::mutex mutex;  // Guards the list.
  std::list<KnownThread> list;
};

KnownThreads& Threads() {
  static auto* const threads = new KnownThreads;  // Threads may outlive main().
  return *threads;
}

// Removes the thread from the list when it ends, before its clock is invalid.
class Registration {
 public:
  explicit Registration(KnownThread thread) {
    const std::lock_guard lock(Threads().mutex);
    Threads().list.push_front(std::move(thread));
    m_entry = Threads().list.begin();
  }
  ~Registration() {
    const std::lock_guard lock(Threads().mutex);
    Threads().list.erase(m_entry);
  }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  std::list<KnownThread>::iterator m_entry;
};

}  // namespace

const char* DutyName(Duty duty) {
  return kDutyNames[static_cast<size_t>(duty)];
}

WorkMeter& WorkMeter::Get() {
  static WorkMeter meter;
  return meter;
}

void WorkMeter::Add(Duty duty, std::chrono::nanoseconds time) {
  Counter& counter = m_counters[static_cast<size_t>(duty)];
  counter.count.fetch_add(1, std::memory_order_relaxed);
  counter.nanoseconds.fetch_add(time.count(), std::memory_order_relaxed);
}

std::array<WorkDone, WorkMeter::kDutyCount> WorkMeter::work() const {
  std::array<WorkDone, kDutyCount> work;
  for (size_t index = 0; index < kDutyCount; ++index) {
    const std::chrono::nanoseconds time(m_counters[index].nanoseconds.load());
    work[index] = {m_counters[index].count.load(),
                   std::chrono::duration_cast<std::chrono::microseconds>(time)};
  }
  return work;
}

void WorkMeter::RegisterThread(std::string name) {
  KnownThread thread{std::move(name)};
  if (pthread_getcpuclockid(pthread_self(), &thread.clock) == 0) {
    thread_local const Registration registration(std::move(thread));
  }
}

std::vector<ThreadWork> WorkMeter::threads() {
  std::vector<ThreadWork> work;
  const std::lock_guard lock(Threads().mutex);
  for (const KnownThread& thread : Threads().list) {
    timespec time{};
    if (clock_gettime(thread.clock, &time) == 0) {
      work.push_back(
          {thread.name, std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::seconds(time.tv_sec) +
                            std::chrono::nanoseconds(time.tv_nsec))});
    }
  }
  std::sort(work.begin(), work.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return work;
}

DutyTimer::DutyTimer(Duty duty)
    : m_duty(duty),
      m_outer(std::exchange(t_current, this)),
      m_begun_at(std::chrono::steady_clock::now()) {}

DutyTimer::~DutyTimer() {
  const auto time = std::chrono::steady_clock::now() - m_begun_at;
  if (m_outer != nullptr) {
    m_outer->m_inner_time += time;
  }
  t_current = m_outer;
  WorkMeter::Get().Add(m_duty, time - m_inner_time);
}

}  // namespace laurelhall
