#include "loop_thread_p.h"

#include <exception>
#include <utility>

#include "laurelhall/base/log.h"
#include "laurelhall/base/work_meter.h"

namespace laurelhall::control {

namespace {

void RunTask(const std::function<void()>& task) {
  const DutyTimer timer(Duty::kLoopTask);
  try {
    task();
  } catch (const kj::Exception& error) {
    PartLog("control")->error("A task on the loop failed: {}.",
                              error.getDescription().cStr());
  } catch (const std::exception& error) {
    PartLog("control")->error("A task on the loop failed: {}.", error.what());
  }
}

}  // namespace

kj::Promise<void> RunEvery(kj::Timer& timer,
                           Millis period,
                           std::function<void()> task) {
  return timer.afterDelay(ToKj(period))
      .then([&timer, period, task = std::move(task)]() mutable {
        RunTask(task);
        return RunEvery(timer, period, std::move(task));
      });
}

void Mailbox::Post(std::function<void()> task) {
  kj::Maybe<Wake> wake;
  {
    const std::lock_guard lock(m_mutex);
    if (m_is_closed) {
      return;
    }
    m_tasks.push_back(std::move(task));
    wake = kj::mv(m_wake);
    m_wake = nullptr;
  }
  KJ_IF_MAYBE (sleeper, wake) {
    (*sleeper)->fulfill();
  }
}

kj::Promise<void> Mailbox::Run() {
  std::deque<std::function<void()>> tasks;
  kj::Promise<void> woken = kj::READY_NOW;
  {
    const std::lock_guard lock(m_mutex);
    tasks.swap(m_tasks);
    if (tasks.empty()) {
      auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
      woken = kj::mv(pair.promise);
      m_wake = kj::mv(pair.fulfiller);
    }
  }
  for (const auto& task : tasks) {
    RunTask(task);
  }
  return woken.then([this] { return Run(); });
}

void Mailbox::Close() {
  std::deque<std::function<void()>> dropped;
  kj::Maybe<Wake> wake;
  const std::lock_guard lock(m_mutex);
  m_is_closed = true;
  dropped.swap(m_tasks);
  wake = kj::mv(m_wake);
  m_wake = nullptr;
}

LoopThread::LoopThread(Main main)
    : m_thread([this, main = std::move(main)] { Run(main); }) {}

LoopThread::~LoopThread() noexcept {
  m_mailbox->Post([this] { m_stop->fulfill(); });
  m_thread.join();
}

void LoopThread::Run(const Main& main) {
  WorkMeter::Get().RegisterThread("loop");
  try {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto stop = kj::newPromiseAndFulfiller<void>();
    m_stop = kj::mv(stop.fulfiller);
    LoopContext loop{io.provider->getNetwork(), io.provider->getTimer(),
                     m_mailbox};
    // Later: tasks may be waiting already for what main() makes.
    const kj::Promise<void> pump = kj::evalLater([this] {
                                     return m_mailbox->Run();
                                   }).eagerlyEvaluate(nullptr);
    main(io, loop, kj::mv(stop.promise));
    m_mailbox->Close();
  } catch (const std::exception& error) {
    PartLog("control")->critical("The loop ended: {}.", error.what());
    m_mailbox->Close();
  }
}

}  // namespace laurelhall::control
