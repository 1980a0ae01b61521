#include "laurelhall/placement/placer.h"

#include "step_p.h"

namespace laurelhall::placement {

Placer::Placer(PlacerInit init) : m_init(init) {}

std::vector<JobAction> Placer::Step(const model::Fleet& fleet,
                                    const Observations& observations,
                                    WallTime now) {
  StepContext context{
      fleet,      m_estimates,
      m_evidence, m_init,
      now,        Ledger(fleet, observations, m_evidence, m_init, now),
      {},         0};
  RequeueLostRuns(context);
  FailExhaustedJobs(context);
  DrainHosts(context);
  RelievePressure(context);
  PlaceQueue(context);
  StopSlowCheckpoints(context);
  LiftThrottles(context);
  return std::move(context.actions);
}

void Placer::Learn(const model::Job& job,
                   const JobReport& report,
                   WallTime now) {
  if (report.kind == JobReportKind::kSucceeded) {
    m_estimates.Learn(job, report.work_done, report.peak);
    m_evidence.NoteSuccess(job, report.host, now);
  } else if (report.kind == JobReportKind::kFailed) {
    m_evidence.NoteFailure(job, report.host, now);
  }
}

PlacementMemory Placer::Save() const {
  return {m_estimates.Save(), m_evidence.Save()};
}

void Placer::Load(const PlacementMemory& saved) {
  m_estimates.Load(saved.kinds);
  m_evidence.Load(saved.workers);
}

}  // namespace laurelhall::placement
