#include "task_thread_p.h"

#include <utility>

#include "laurelhall/base/work_meter.h"

namespace laurelhall::control {

TaskThread::TaskThread(std::string name, size_t max_tasks)
    : m_max_tasks(max_tasks), m_thread([this, name = std::move(name)] {
        WorkMeter::Get().RegisterThread(name);
        Run();
      }) {}

TaskThread::~TaskThread() {
  {
    const std::lock_guard lock(m_mutex);
    m_is_stopped = true;
  }
  m_changed.notify_one();
  m_thread.join();
}

bool TaskThread::TryPost(std::function<void()> task) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_is_stopped || m_tasks.size() >= m_max_tasks) {
      return false;
    }
    m_tasks.push_back(std::move(task));
  }
  m_changed.notify_one();
  return true;
}

void TaskThread::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_changed.wait(lock, [this] { return m_is_stopped || !m_tasks.empty(); });
    if (m_is_stopped) {
      return;
    }
    std::function<void()> task = std::move(m_tasks.front());
    m_tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

}  // namespace laurelhall::control
