#include "laurelhall/control/connection_filter.h"

namespace laurelhall::control {

void ConnectionFilter::Set(const std::string& peer, CutMode mode) {
  const std::lock_guard lock(m_mutex);
  m_modes[peer] = mode;
}

CutMode ConnectionFilter::Get(const std::string& peer) const {
  const std::lock_guard lock(m_mutex);
  auto found = m_modes.find(peer);
  if (found == m_modes.end()) {
    found = m_modes.find("*");
  }
  return found == m_modes.end() ? CutMode::kNone : found->second;
}

}  // namespace laurelhall::control
