#include "victim_search_p.h"

#include <algorithm>

namespace laurelhall::routing {
namespace {

/// One request never pushes out more than this many.
constexpr size_t kMaxVictims = 64;

}  // namespace

VictimSearch::VictimSearch(FairShare& shares,
                           const AdmissionRequest& newcomer,
                           int requests,
                           int64_t bytes)
    : m_shares(shares),
      m_newcomer(newcomer),
      m_is_by_bytes(bytes > 0),
      m_requests(requests),
      m_bytes(bytes) {}

void VictimSearch::TakeLessUrgent(const PriorityQueue& queue,
                                  const RequestTable& table) {
  Take(queue, table, 0);
}

void VictimSearch::TakeOverShare(const PriorityQueue& queue,
                                 const RequestTable& table) {
  double own = Load(m_newcomer);
  for (const Source& source : SourcesOf(queue)) {
    own += source.organisation == m_newcomer.organisation ? source.load : 0;
  }
  Take(queue, table, own);
}

void VictimSearch::Take(const PriorityQueue& queue,
                        const RequestTable& table,
                        double least_load) {
  std::vector<Source> sources = SourcesOf(queue);
  while (may_go_on() && !sources.empty()) {
    const auto most = std::ranges::max_element(sources, {}, &Source::load);
    if (most->left == 0 || most->load <= least_load) {
      return;
    }
    const RequestHandle victim = most->newest->second;
    const AdmissionRequest& request = table.Find(victim)->request;
    m_victims.push_back(victim);
    m_requests--;
    m_bytes -= request.bytes;
    most->load -= Load(request);
    most->left--;
    ++most->newest;
  }
}

std::vector<VictimSearch::Source> VictimSearch::SourcesOf(
    const PriorityQueue& queue) {
  std::vector<Source> sources;
  for (const auto& [organisation, waiting] : queue.organisations()) {
    const double load =
        m_is_by_bytes ? static_cast<double>(waiting.bytes) : waiting.size();
    sources.push_back({organisation, waiting.by_arrival.rbegin(),
                       load / m_shares.Of(organisation).weight,
                       waiting.size()});
  }
  return sources;
}

double VictimSearch::Load(const AdmissionRequest& request) {
  const double load = m_is_by_bytes ? static_cast<double>(request.bytes) : 1.0;
  return load / m_shares.Of(request.organisation).weight;
}

bool VictimSearch::may_go_on() const {
  return !is_enough() && m_victims.size() < kMaxVictims;
}

}  // namespace laurelhall::routing
