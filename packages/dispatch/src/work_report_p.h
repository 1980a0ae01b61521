#pragma once

#include <array>
#include <map>
#include <string>

#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/work_meter.h"

namespace laurelhall::dispatch {

/// Makes log lines of what this process has done since the line before: how
/// often each duty, its time, and the processor time of each thread.
///
/// @remarks Not thread-safe.
class WorkReport {
 public:
  DecisionLine NextLine() {
    DecisionLine line("dispatch", "work");
    const auto work = WorkMeter::Get().work();
    for (size_t index = 0; index < work.size(); ++index) {
      const WorkDone& now = work[index];
      const WorkDone& before = m_last_work[index];
      if (now.count > before.count) {
        const std::string name = DutyName(static_cast<Duty>(index));
        line.With(name, now.count - before.count)
            .With(name + "_us", (now.time - before.time).count());
      }
    }
    std::map<std::string, std::chrono::microseconds> threads;
    for (const ThreadWork& thread : WorkMeter::threads()) {
      threads[thread.name] += thread.processor_time;
    }
    for (const auto& [name, time] : threads) {
      line.With("thread_" + name + "_us",
                (time - m_last_threads[name]).count());
    }
    m_last_work = work;
    m_last_threads = std::move(threads);
    return line;
  }

 private:
  std::array<WorkDone, WorkMeter::kDutyCount> m_last_work =
      WorkMeter::Get().work();
  std::map<std::string, std::chrono::microseconds> m_last_threads;
};

}  // namespace laurelhall::dispatch
