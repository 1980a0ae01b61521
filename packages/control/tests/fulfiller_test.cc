#include "fulfiller_p.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <future>
#include <optional>

#include "cluster_fixture.h"

namespace laurelhall::control {
namespace {

using Call = std::function<void(int)>;

/// Records on which thread it is destroyed.
class RecordingFulfiller final : public kj::PromiseFulfiller<int> {
 public:
  explicit RecordingFulfiller(std::promise<std::thread::id>& ended)
      : m_ended(ended) {}
  ~RecordingFulfiller() noexcept(false) {
    m_ended.set_value(std::this_thread::get_id());
  }

  void fulfill(int&&) override {}
  void reject(kj::Exception&&) override {}
  bool isWaiting() override { return true; }

 private:
  std::promise<std::thread::id>& m_ended;
};

class FulfillerFixture {
 protected:
  FulfillerFixture() {
    std::promise<std::shared_ptr<Mailbox>> mailbox;
    m_thread.emplace([&mailbox](kj::AsyncIoContext& io, LoopContext& loop,
                                kj::Promise<void> stop) {
      mailbox.set_value(loop.mailbox);
      stop.wait(io.waitScope);
    });
    m_mailbox = mailbox.get_future().get();
    OnLoop([this] {
      m_loop = std::this_thread::get_id();
      m_call =
          MakeFulfiller<int>(m_mailbox, kj::heap<RecordingFulfiller>(m_ended));
    });
  }

  void OnLoop(const std::function<void()>& task) {
    std::promise<void> done;
    m_mailbox->Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  std::promise<std::thread::id> m_ended;
  std::future<std::thread::id> m_end = m_ended.get_future();
  std::shared_ptr<Mailbox> m_mailbox;
  std::thread::id m_loop;
  Call m_call;
  std::optional<LoopThread> m_thread;
};

}  // namespace

// Guards against a control host that crashes when an answer is dropped on
// another thread just as the caller's connection ends.
TEST_CASE_FIXTURE(FulfillerFixture,
                  "Fulfiller, last copy dropped on another thread, ends on the "
                  "loop's") {
  m_call = nullptr;
  CHECK(m_end.get() == m_loop);
}

TEST_CASE_FIXTURE(FulfillerFixture,
                  "Fulfiller, last copy dropped on the loop, ends there at "
                  "once") {
  OnLoop([this] {
    m_call = nullptr;
    CHECK(m_end.wait_for(Seconds(0)) == std::future_status::ready);
  });
  CHECK(m_end.get() == m_loop);
}

TEST_CASE_FIXTURE(FulfillerFixture,
                  "Fulfiller, last copy dropped once the loop is over, ends") {
  m_thread.reset();
  m_call = nullptr;
  CHECK(m_end.wait_for(Seconds(0)) == std::future_status::ready);
}

TEST_CASE_FIXTURE(FulfillerFixture,
                  "Fulfiller, promises cancelled as last copies are dropped, "
                  "nothing is touched twice") {
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    std::promise<Call> made;
    std::atomic<bool> is_dropping{false};
    m_mailbox->Post([&] {
      auto pair = kj::newPromiseAndFulfiller<int>();
      made.set_value(MakeFulfiller(m_mailbox, kj::mv(pair.fulfiller)));
      while (!is_dropping) {
      }
      // The promise ends here, at the same moment.
    });
    Call call = made.get_future().get();
    is_dropping = true;
    call = nullptr;
    OnLoop([] {});
  }
  m_call = nullptr;
}

}  // namespace laurelhall::control
