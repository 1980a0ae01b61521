#include <algorithm>

#include "leadership_p.h"

// The load of each pool, by which submitted jobs are admitted.
namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::PoolLoad;
using scheduling::Worker;

namespace {

// The share of a pool's workers that must be reached for its capacity to be
// known.
constexpr double kMinReachedShare = 0.8;
// From when a host is chosen until its new pool can use it.
constexpr Millis kUsualMoveTime{2'100};
// A move that takes longer than usual is expected to end this soon.
constexpr Millis kMinMoveTimeLeft{150};
// Of a running task's run time, the part that is left on average.
constexpr double kUsualPartLeft = 0.5;

double Cores(int64_t millicores) {
  return static_cast<double>(millicores) / 1000;
}

}  // namespace

bool Leadership::IsAdmissionOn(const Ledger& ledger) const {
  return m_init.mechanisms.Has(scheduling::Mechanism::kAdmission) &&
         ledger.configuration().identities.has_value();
}

void Leadership::AddOpenWork(const Ledger& ledger,
                             const Job& job,
                             const scheduling::PendingWork& pending,
                             PoolLoads& loads) {
  PoolLoad& load = loads[ledger.ServiceOf(job)];
  // Work that is of no use any more goes behind all other.
  const double waiting = pending.is_hopeless ? 0 : pending.core_milliseconds;
  load.ready_work += pending.is_hopeless ? 0 : pending.ready_core_milliseconds;
  const auto [entry, is_first] = load.open.try_emplace(job.organisation);
  scheduling::OpenWork& open = entry->second;
  if (is_first) {
    const auto* spec = ledger.keys().Find(job.organisation);
    open.weight = spec == nullptr ? 0 : spec->weight;
  }
  (job.is_excess ? open.excess : open.promised) +=
      waiting + pending.running_core_milliseconds * kUsualPartLeft;
}

// Adds the workers and the hosts on their way to the loads, which hold the open
// work, and passes them to the admission.
void Leadership::UpdateAdmission(const Ledger& ledger, PoolLoads loads) {
  const SteadyTime now = Now();
  std::map<std::string, std::pair<int, int>> reached;  // Of how many.
  for (const auto& [id, worker] : ledger.workers()) {
    const WorkerLink& link = m_links.at(id);
    if (worker.info.is_draining || link.is_lapsed) {
      continue;
    }
    auto& [count, all] = reached[worker.info.service];
    ++all;
    count += link.is_reached ? 1 : 0;
    if (link.is_reached && Serves(worker, link) &&
        !IsBeingEvacuated(worker.info.host)) {
      PoolLoad& load = loads[worker.info.service];
      load.usable_cores +=
          Cores(worker.info.capacity.millicores - worker.persistent_millicores);
      load.busy_cores +=
          Cores(worker.used.millicores - worker.persistent_millicores);
    }
  }
  for (const auto& [host, move] : m_moves) {
    const auto elapsed = std::chrono::floor<Millis>(now - move.chosen_at);
    loads[move.to].arriving.push_back(
        {m_inventory[host].cores,
         std::max(kMinMoveTimeLeft, kUsualMoveTime - elapsed)});
  }
  for (auto& [service, load] : loads) {
    const auto& [count, all] = reached[service];
    load.is_known = all > 0 && count >= kMinReachedShare * all;
    m_admission.Update(service, std::move(load), now);
  }
}

}  // namespace laurelhall::dispatch
