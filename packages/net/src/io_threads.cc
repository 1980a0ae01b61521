#include "laurelhall/net/io_threads.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <exception>
#include <map>
#include <mutex>
#include <utility>

#include "io_threads_p.h"
#include "laurelhall/base/log.h"
#include "laurelhall/base/work_meter.h"

namespace laurelhall::net {

namespace asio = boost::asio;

namespace {

// One subscription; its timer is touched on the service's strand alone.
struct Subscription {
  explicit Subscription(asio::strand<asio::io_context::executor_type> strand)
      : timer(std::move(strand)) {}

  asio::steady_timer timer;
  Millis period{0};  // Zero: once.
  TimerService::Callback callback;
};

}  // namespace

/// The timer service over Asio's steady timers. All callbacks run on one
/// strand, one after the other.
class AsioTimerService : public TimerService {
 public:
  explicit AsioTimerService(asio::io_context& context)
      : m_strand(asio::make_strand(context)) {}

  SteadyTime Now() const override { return std::chrono::steady_clock::now(); }

  TimerHandle SubscribeEvery(Millis period, Callback callback) override {
    const Millis positive = std::max(period, Millis(1));
    return Add(positive, positive, std::move(callback));
  }

  TimerHandle SubscribeOnce(Millis delay, Callback callback) override {
    return Add(delay, Millis(0), std::move(callback));
  }

  void Cancel(TimerHandle timer) override {
    std::shared_ptr<Subscription> ended;
    {
      const std::lock_guard lock(m_mutex);
      const auto found = m_subscriptions.find(timer.index);
      if (found == m_subscriptions.end()) {
        return;
      }
      ended = std::move(found->second);
      m_subscriptions.erase(found);
    }
    asio::post(m_strand, [ended] { ended->timer.cancel(); });
  }

 private:
  TimerHandle Add(Millis delay, Millis period, Callback callback) {
    auto added = std::make_shared<Subscription>(m_strand);
    added->period = period;
    added->callback = std::move(callback);
    added->timer.expires_after(delay);
    uint32_t index = 0;
    {
      const std::lock_guard lock(m_mutex);
      index = m_next_index++;
      m_subscriptions[index] = added;
    }
    asio::post(m_strand, [this, index, added] { Wait(index, added); });
    return TimerHandle{index};
  }

  void Wait(uint32_t index, const std::shared_ptr<Subscription>& waiting) {
    waiting->timer.async_wait(
        [this, index, waiting](const boost::system::error_code& error) {
          if (!error && IsSubscribed(index)) {
            Run(index, waiting);
          }
        });
  }

  void Run(uint32_t index, const std::shared_ptr<Subscription>& due) {
    if (due->period.count() == 0) {
      const std::lock_guard lock(m_mutex);
      m_subscriptions.erase(index);
    }
    due->callback(Now());
    if (due->period.count() > 0 && IsSubscribed(index)) {
      // A frozen process does not make up for the calls that it missed.
      due->timer.expires_at(std::max(due->timer.expiry() + due->period, Now()));
      Wait(index, due);
    }
  }

  bool IsSubscribed(uint32_t index) {
    const std::lock_guard lock(m_mutex);
    return m_subscriptions.contains(index);
  }

  asio::strand<asio::io_context::executor_type> m_strand;
  std::mutex m_mutex;  // Guards the two below.
  uint32_t m_next_index = 0;
  std::map<uint32_t, std::shared_ptr<Subscription>> m_subscriptions;
};

IoThreads::Impl::Impl(int thread_count)
    : context(thread_count),
      timers(std::make_unique<AsioTimerService>(context)),
      work(context.get_executor()) {
  for (int i = 0; i < std::max(thread_count, 1); ++i) {
    threads.emplace_back([this] {
      WorkMeter::Get().RegisterThread("io");
      try {
        context.run();
      } catch (const std::exception& error) {
        PartLog("net")->critical("a callback threw: {}.", error.what());
        std::terminate();
      }
    });
  }
}

IoThreads::Impl::~Impl() {
  context.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

IoThreads::IoThreads(int thread_count)
    : m_impl(std::make_unique<Impl>(thread_count)) {}

IoThreads::~IoThreads() = default;

void IoThreads::Post(std::function<void()> function) {
  asio::post(m_impl->context, std::move(function));
}

TimerService& IoThreads::timers() {
  return *m_impl->timers;
}

}  // namespace laurelhall::net
