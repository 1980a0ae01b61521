#include "laurelhall/scheduling/wave_order.h"

#include <algorithm>
#include <tuple>

namespace laurelhall::scheduling {

namespace {

// Tasks of a step on chosen hosts, beyond those that may be missed: the next
// one is stopped as soon as another runs again.
constexpr uint32_t kTasksAhead = 1;

// The persistent tasks of one step on the hosts of a wave.
struct StepLoad {
  uint32_t may_miss = 1;
  uint32_t left = 0;    // On hosts that are not done.
  uint32_t chosen = 0;  // Those of them on chosen hosts.

  // How many times some tasks have to leave, one after the other.
  uint32_t Rounds() const { return (left + may_miss - 1) / may_miss; }
  bool NeedsHost() const { return chosen < may_miss + kTasksAhead; }
};

class DrainOrder {
 public:
  explicit DrainOrder(const WaveLoad& load) : m_load(load) {
    for (const WaveHost& host : load.hosts) {
      for (const TaskId& step : host.steps) {
        StepLoad& tasks = m_steps[step];
        tasks.may_miss = load.may_miss.at(step);
        ++tasks.left;
        tasks.chosen += host.is_chosen ? 1 : 0;
      }
      if (!host.is_chosen) {
        m_waiting.push_back(&host);
      } else if (host.steps.empty()) {
        ++m_draining;
      } else if (!host.is_blocked) {
        ++m_draining_persistent;
      }
    }
    std::sort(m_waiting.begin(), m_waiting.end(),
              [](const WaveHost* a, const WaveHost* b) {
                return std::tie(a->cost, a->host) < std::tie(b->cost, b->host);
              });
  }

  std::vector<std::string> Choose() {
    ChooseByStep();
    for (const WaveHost* host : m_waiting) {
      if (m_draining >= m_load.limit) {
        break;
      }
      if (host->steps.empty()) {
        m_chosen.push_back(host->host);
        ++m_draining;
      }
    }
    return std::move(m_chosen);
  }

 private:
  // The steps, those with most rounds first.
  std::vector<TaskId> StepsInOrder() const {
    std::vector<TaskId> order;
    order.reserve(m_steps.size());
    for (const auto& [step, tasks] : m_steps) {
      order.push_back(step);
    }
    std::stable_sort(order.begin(), order.end(),
                     [this](const TaskId& a, const TaskId& b) {
                       return m_steps.at(a).Rounds() > m_steps.at(b).Rounds();
                     });
    return order;
  }

  void ChooseByStep() {
    for (const TaskId& step : StepsInOrder()) {
      while (m_steps[step].NeedsHost() &&
             m_draining_persistent < m_load.limit) {
        const auto host = FindHostOf(step);
        if (host == m_waiting.end()) {
          break;
        }
        ChoosePersistent(**host);
        m_waiting.erase(host);
      }
    }
  }

  // The waiting host that needs most time among those with a task of a step:
  // the one with most persistent tasks, then the one that is used most. Those
  // that are quickly drained are left for the end of the wave.
  std::vector<const WaveHost*>::iterator FindHostOf(const TaskId& step) {
    const auto time = [](const WaveHost& host) {
      return std::tuple(host.steps.size(), host.cost);
    };
    auto best = m_waiting.end();
    for (auto host = m_waiting.begin(); host != m_waiting.end(); ++host) {
      const std::vector<TaskId>& steps = (*host)->steps;
      const bool has_step =
          std::find(steps.begin(), steps.end(), step) != steps.end();
      if (has_step &&
          (best == m_waiting.end() || time(**host) > time(**best))) {
        best = host;
      }
    }
    return best;
  }

  void ChoosePersistent(const WaveHost& host) {
    for (const TaskId& step : host.steps) {
      ++m_steps[step].chosen;
    }
    ++m_draining_persistent;
    m_chosen.push_back(host.host);
  }

  const WaveLoad& m_load;
  std::map<TaskId, StepLoad> m_steps;
  std::vector<const WaveHost*> m_waiting;
  size_t m_draining = 0;             // Chosen hosts without persistent tasks.
  size_t m_draining_persistent = 0;  // Those with, if not blocked.
  std::vector<std::string> m_chosen;
};

}  // namespace

std::vector<std::string> HostsToDrain(const WaveLoad& load) {
  return DrainOrder(load).Choose();
}

}  // namespace laurelhall::scheduling
