#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace laurelhall::control {

/// A thread that runs tasks in order, from a bounded queue.
class TaskThread {
 public:
  /// @param name Names the thread in reports of processor time.
  TaskThread(std::string name, size_t max_tasks);

  /// Drops what waits, finishes what runs and joins.
  ~TaskThread();

  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  /// Queues a task, which must not throw. Thread-safe.
  ///
  /// @returns False when the queue is full.
  bool TryPost(std::function<void()> task);

 private:
  void Run();

  const size_t m_max_tasks;
  std::mutex m_mutex;  // Guards m_tasks and m_is_stopped.
  std::condition_variable m_changed;
  std::deque<std::function<void()>> m_tasks;
  bool m_is_stopped = false;
  std::thread m_thread;
};

}  // namespace laurelhall::control
