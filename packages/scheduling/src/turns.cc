#include "laurelhall/scheduling/turns.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace laurelhall::scheduling {

namespace {

// Of all work that arrives, what makes a service the one that has its turn.
constexpr double kDominates = 0.6;
// So many bins in a row begin another service's turn: single large jobs come at
// any time.
constexpr int64_t kConfirmBins = 2;
// A pause without a dominating service that ends a turn, with none to follow.
constexpr int64_t kPauseBins = 6;
// Shorter ones are bursts, not turns: no host could come in time for one.
constexpr int64_t kShortestBins = 6;
// Lengths are alike when they are within this share of their median.
constexpr double kAlike = 0.25;
// The last turns that must be alike.
constexpr size_t kComparedTurns = 3;
// Of the followers that were foreseen, how many must have come.
constexpr double kLeastTrust = 0.5;
// A turn that outlasts what was expected by this share is of another kind.
constexpr double kOverdue = 0.3;

double WorkAt(const WorkBins& bins, int64_t bin) {
  return bin >= 0 && bin < static_cast<int64_t>(bins.size())
             ? bins[static_cast<size_t>(bin)]
             : 0;
}

// Three bins together: arrivals are few.
double WorkAround(const WorkBins& bins, int64_t bin) {
  return WorkAt(bins, bin - 1) + WorkAt(bins, bin) + WorkAt(bins, bin + 1);
}

// The service that most of the work around a bin came for; null if none.
const std::string* DominatingAt(const std::map<std::string, WorkBins>& bins,
                                int64_t bin) {
  const std::string* most = nullptr;
  double most_work = 0;
  double total = 0;
  for (const auto& [service, work_bins] : bins) {
    const double work = WorkAround(work_bins, bin);
    total += work;
    if (work > most_work) {
      most_work = work;
      most = &service;
    }
  }
  return most_work > kDominates * total ? most : nullptr;
}

// Turns from one bin to the next, before short ones are taken out.
class TurnFinder {
 public:
  void Add(const std::string* service, int64_t bin) {
    if (service == nullptr) {
      m_other_bins = 0;
      if (!m_turns.empty() && bin - m_last_seen >= kPauseBins) {
        m_is_paused = true;
      }
      return;
    }
    if (!m_turns.empty() && !m_is_paused &&
        m_turns.back().service == *service) {
      m_other_bins = 0;
      m_turns.back().end = bin + 1;
      m_last_seen = bin;
      return;
    }
    if (m_other_bins == 0 || m_other != *service) {
      m_other = *service;
      m_other_bins = 0;
    }
    if (++m_other_bins >= kConfirmBins) {
      Open(bin);
    }
  }

  std::vector<Turn> Take() { return std::move(m_turns); }

 private:
  void Open(int64_t bin) {
    Turn turn;
    turn.service = m_other;
    turn.begin = bin - kConfirmBins + 1;
    turn.end = bin + 1;
    if (!m_turns.empty() && !m_is_paused) {
      m_turns.back().end = turn.begin;
      m_turns.back().is_closed = true;
    }
    m_turns.push_back(std::move(turn));
    m_is_paused = false;
    m_other_bins = 0;
    m_last_seen = bin;
  }

  std::vector<Turn> m_turns;
  std::string m_other;       // Dominates, and has no turn yet.
  int64_t m_other_bins = 0;  // In a row.
  int64_t m_last_seen = 0;   // Bin in which the open turn's service dominated.
  bool m_is_paused = false;
};

double SumOf(const WorkBins& bins, int64_t begin, int64_t end) {
  double sum = 0;
  for (int64_t bin = begin; bin < end; ++bin) {
    sum += WorkAt(bins, bin);
  }
  return sum;
}

}  // namespace

std::vector<Turn> FindTurns(const std::map<std::string, WorkBins>& bins,
                            int64_t last) {
  TurnFinder finder;
  for (int64_t bin = 0; bin <= last; ++bin) {
    finder.Add(DominatingAt(bins, bin), bin);
  }
  std::vector<Turn> turns = finder.Take();
  std::erase_if(turns, [](const Turn& turn) {
    return turn.is_closed && turn.end - turn.begin < kShortestBins;
  });
  for (Turn& turn : turns) {
    turn.work = SumOf(bins.at(turn.service), turn.begin, turn.end);
  }
  return turns;
}

void TurnForecast::LearnLength(const std::vector<Turn>& turns) {
  std::vector<int64_t> lengths;
  for (auto turn = turns.rbegin();
       turn != turns.rend() && lengths.size() < kComparedTurns; ++turn) {
    if (turn->is_closed) {
      lengths.push_back(turn->end - turn->begin);
    }
  }
  m_length = 0;
  if (lengths.empty()) {
    return;
  }
  std::sort(lengths.begin(), lengths.end());
  const int64_t median = lengths[lengths.size() / 2];
  const auto margin =
      static_cast<int64_t>(std::ceil(kAlike * static_cast<double>(median)));
  const bool is_alike =
      lengths.back() - median <= margin && median - lengths.front() <= margin;
  m_length = is_alike ? median : 0;
}

void TurnForecast::LearnLevels(const std::vector<Turn>& turns) {
  m_levels.clear();
  for (const Turn& turn : turns) {
    const int64_t bins = turn.end - turn.begin;
    if (bins >= kShortestBins) {
      m_levels[turn.service] = turn.work / static_cast<double>(bins);
    }
  }
}

// One that has not had a turn yet is taken to ask as much as the others do.
double TurnForecast::LevelOf(const std::string& service) const {
  const auto found = m_levels.find(service);
  if (found != m_levels.end()) {
    return found->second;
  }
  double sum = 0;
  for (const auto& [other, level] : m_levels) {
    sum += level;
  }
  return m_levels.empty() ? 0 : sum / static_cast<double>(m_levels.size());
}

// Whoever followed last time, as far as that came true before; else those that
// have not had their turn; else who waits longest.
std::vector<TurnForecast::Follower> TurnForecast::FindFollowers(
    const std::vector<Turn>& turns,
    const std::map<std::string, WorkBins>& bins) const {
  std::map<std::string, std::string> followed_by;
  int foreseen = 0;
  int came = 0;
  for (size_t i = 0; i + 1 < turns.size(); ++i) {
    const auto known = followed_by.find(turns[i].service);
    if (known != followed_by.end()) {
      ++foreseen;
      came += known->second == turns[i + 1].service ? 1 : 0;
    }
    followed_by[turns[i].service] = turns[i + 1].service;
  }
  const double trust =
      foreseen == 0 ? 1.0
                    : static_cast<double>(came) / static_cast<double>(foreseen);
  if (trust < kLeastTrust) {
    return {};
  }
  const auto known = followed_by.find(turns.back().service);
  if (known != followed_by.end()) {
    return {{known->second, trust}};
  }
  std::set<std::string> without;
  for (const auto& [service, work] : bins) {
    without.insert(service);
  }
  for (const Turn& turn : turns) {
    without.erase(turn.service);
  }
  if (without.empty()) {
    return {{turns.front().service, trust}};
  }
  std::vector<Follower> followers;
  followers.reserve(without.size());
  for (const std::string& service : without) {
    followers.push_back({service, trust / static_cast<double>(without.size())});
  }
  return followers;
}

void TurnForecast::Learn(const std::map<std::string, WorkBins>& bins,
                         int64_t last) {
  m_length = 0;
  m_followers.clear();
  const std::vector<Turn> turns = FindTurns(bins, last);
  if (turns.empty()) {
    return;
  }
  LearnLength(turns);
  LearnLevels(turns);
  const Turn& current = turns.back();
  const auto overdue =
      static_cast<int64_t>(kOverdue * static_cast<double>(m_length));
  const bool is_under_way = last < current.end + kConfirmBins;
  if (m_length == 0 || !is_under_way ||
      last - current.begin > m_length + overdue) {
    m_length = 0;
    return;
  }
  m_current = current.service;
  m_next_begin = current.begin + m_length;
  m_followers = FindFollowers(turns, bins);
}

double TurnForecast::Expected(const std::string& service, int64_t bin) const {
  if (m_length == 0 || bin < m_next_begin || bin >= m_next_begin + m_length) {
    return 0;
  }
  for (const Follower& follower : m_followers) {
    if (follower.service == service) {
      return follower.chance * LevelOf(service);
    }
  }
  return 0;
}

}  // namespace laurelhall::scheduling
