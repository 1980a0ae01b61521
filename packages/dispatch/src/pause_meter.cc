#include "pause_meter_p.h"

namespace laurelhall::dispatch {

void PauseMeter::OnTick(BootTime now) {
  const Millis gap = std::chrono::floor<Millis>(now - m_ticked_at);
  if (m_ticked_at != BootTime() && gap >= kMinPause) {
    m_pause = gap;
    m_resumed_at = now;
  }
  m_ticked_at = now;
}

Millis PauseMeter::UnreadTime(BootTime now) const {
  // A request may be read before the first tick after a pause.
  const Millis since_tick = std::chrono::floor<Millis>(now - m_ticked_at);
  if (m_ticked_at != BootTime() && since_tick >= kMinPause) {
    return since_tick;
  }
  const Millis since_pause = std::chrono::floor<Millis>(now - m_resumed_at);
  return m_pause > Millis(0) && since_pause <= kBacklogTime
             ? m_pause + since_pause
             : Millis(0);
}

}  // namespace laurelhall::dispatch
