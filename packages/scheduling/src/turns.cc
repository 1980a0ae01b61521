#include "laurelhall/scheduling/turns.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace laurelhall::scheduling {

namespace {

// A service that gets more than this share of all arriving work dominates.
constexpr double kDominantShare = 0.6;
// A service must dominate this many bins in a row for its turn to begin, since
// single large jobs arrive at any time.
constexpr int64_t kConfirmBins = 2;
// This many bins without a dominant service end a turn, and no other counts as
// its successor.
constexpr int64_t kPauseBins = 6;
// A shorter turn is a burst and is ignored: no host could arrive in time for
// it.
constexpr int64_t kMinTurnBins = 6;
// Turns are of similar length if all are within this share of their median.
constexpr double kLengthTolerance = 0.25;
// How many of the last turns must be of similar length.
constexpr size_t kComparedTurns = 3;
// Share of the predicted successors that must have come true.
constexpr double kMinHitRate = 0.5;
// A turn that is longer than the expected length by more than this share of it
// invalidates the forecast.
constexpr double kMaxOverrun = 0.3;

double WorkAt(const WorkBins& bins, int64_t bin) {
  return bin >= 0 && bin < static_cast<int64_t>(bins.size())
             ? bins[static_cast<size_t>(bin)]
             : 0;
}

// The work of a bin and its two neighbours, because arrivals are few.
double WorkAround(const WorkBins& bins, int64_t bin) {
  return WorkAt(bins, bin - 1) + WorkAt(bins, bin) + WorkAt(bins, bin + 1);
}

// The service that dominates around a bin; null if none does.
const std::string* DominantServiceAt(
    const std::map<std::string, WorkBins>& bins,
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
  return most_work > kDominantShare * total ? most : nullptr;
}

// Finds turns bin by bin. Short ones are not removed yet.
class TurnFinder {
 public:
  void AddBin(const std::string* service, int64_t bin) {
    if (service == nullptr) {
      m_candidate_bins = 0;
      if (!m_turns.empty() && bin - m_last_dominant_bin >= kPauseBins) {
        m_is_paused = true;
      }
      return;
    }
    if (!m_turns.empty() && !m_is_paused &&
        m_turns.back().service == *service) {
      m_candidate_bins = 0;
      m_turns.back().end = bin + 1;
      m_last_dominant_bin = bin;
      return;
    }
    if (m_candidate_bins == 0 || m_candidate != *service) {
      m_candidate = *service;
      m_candidate_bins = 0;
    }
    if (++m_candidate_bins >= kConfirmBins) {
      StartTurn(bin);
    }
  }

  std::vector<Turn> TakeTurns() { return std::move(m_turns); }

 private:
  void StartTurn(int64_t bin) {
    Turn turn;
    turn.service = m_candidate;
    turn.begin = bin - kConfirmBins + 1;
    turn.end = bin + 1;
    if (!m_turns.empty() && !m_is_paused) {
      m_turns.back().end = turn.begin;
      m_turns.back().has_successor = true;
    }
    m_turns.push_back(std::move(turn));
    m_is_paused = false;
    m_candidate_bins = 0;
    m_last_dominant_bin = bin;
  }

  std::vector<Turn> m_turns;
  std::string m_candidate;          // Dominates, but its turn has not begun.
  int64_t m_candidate_bins = 0;     // Dominated in a row.
  int64_t m_last_dominant_bin = 0;  // Of the current turn.
  bool m_is_paused = false;
};

double SumWork(const WorkBins& bins, int64_t begin, int64_t end) {
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
    finder.AddBin(DominantServiceAt(bins, bin), bin);
  }
  std::vector<Turn> turns = finder.TakeTurns();
  std::erase_if(turns, [](const Turn& turn) {
    return turn.has_successor && turn.end - turn.begin < kMinTurnBins;
  });
  for (Turn& turn : turns) {
    turn.work = SumWork(bins.at(turn.service), turn.begin, turn.end);
  }
  return turns;
}

void TurnForecast::LearnLength(const std::vector<Turn>& turns) {
  std::vector<int64_t> lengths;
  for (auto turn = turns.rbegin();
       turn != turns.rend() && lengths.size() < kComparedTurns; ++turn) {
    if (turn->has_successor) {
      lengths.push_back(turn->end - turn->begin);
    }
  }
  m_length = 0;
  if (lengths.empty()) {
    return;
  }
  std::sort(lengths.begin(), lengths.end());
  const int64_t median = lengths[lengths.size() / 2];
  const auto margin = static_cast<int64_t>(
      std::ceil(kLengthTolerance * static_cast<double>(median)));
  const bool are_lengths_similar =
      lengths.back() - median <= margin && median - lengths.front() <= margin;
  m_length = are_lengths_similar ? median : 0;
}

void TurnForecast::LearnWorkPerBin(const std::vector<Turn>& turns) {
  m_work_per_bin.clear();
  for (const Turn& turn : turns) {
    const int64_t bins = turn.end - turn.begin;
    if (bins >= kMinTurnBins) {
      m_work_per_bin[turn.service] = turn.work / static_cast<double>(bins);
    }
  }
}

// The work per bin during a turn of a service; for one that has not had a turn
// yet, the mean of the others.
double TurnForecast::WorkPerBinOf(const std::string& service) const {
  const auto found = m_work_per_bin.find(service);
  if (found != m_work_per_bin.end()) {
    return found->second;
  }
  double sum = 0;
  for (const auto& [other, work_per_bin] : m_work_per_bin) {
    sum += work_per_bin;
  }
  return m_work_per_bin.empty()
             ? 0
             : sum / static_cast<double>(m_work_per_bin.size());
}

// Predicts the successor of the last turn: the service that followed the same
// one before; else any of those that have not had a turn, with equal
// probability; else the one with the earliest turn. None if too few earlier
// predictions came true; else all probabilities are scaled by the share that
// did.
std::vector<TurnForecast::Successor> TurnForecast::FindSuccessors(
    const std::vector<Turn>& turns,
    const std::map<std::string, WorkBins>& bins) const {
  std::map<std::string, std::string> successor_of;
  int predictions = 0;
  int hits = 0;
  for (size_t i = 0; i + 1 < turns.size(); ++i) {
    const auto known = successor_of.find(turns[i].service);
    if (known != successor_of.end()) {
      ++predictions;
      hits += known->second == turns[i + 1].service ? 1 : 0;
    }
    successor_of[turns[i].service] = turns[i + 1].service;
  }
  const double hit_rate =
      predictions == 0
          ? 1.0
          : static_cast<double>(hits) / static_cast<double>(predictions);
  if (hit_rate < kMinHitRate) {
    return {};
  }
  const auto known = successor_of.find(turns.back().service);
  if (known != successor_of.end()) {
    return {{known->second, hit_rate}};
  }
  std::set<std::string> without_turn;
  for (const auto& [service, work] : bins) {
    without_turn.insert(service);
  }
  for (const Turn& turn : turns) {
    without_turn.erase(turn.service);
  }
  if (without_turn.empty()) {
    return {{turns.front().service, hit_rate}};
  }
  std::vector<Successor> successors;
  successors.reserve(without_turn.size());
  for (const std::string& service : without_turn) {
    successors.push_back(
        {service, hit_rate / static_cast<double>(without_turn.size())});
  }
  return successors;
}

void TurnForecast::Recompute(const std::map<std::string, WorkBins>& bins,
                             int64_t last) {
  m_length = 0;
  m_successors.clear();
  const std::vector<Turn> turns = FindTurns(bins, last);
  if (turns.empty()) {
    return;
  }
  LearnLength(turns);
  LearnWorkPerBin(turns);
  const Turn& current = turns.back();
  const auto max_overrun =
      static_cast<int64_t>(kMaxOverrun * static_cast<double>(m_length));
  const bool is_ongoing = last < current.end + kConfirmBins;
  if (m_length == 0 || !is_ongoing ||
      last - current.begin > m_length + max_overrun) {
    m_length = 0;
    return;
  }
  m_current = current.service;
  m_next_begin = current.begin + m_length;
  m_successors = FindSuccessors(turns, bins);
}

double TurnForecast::ExpectedWork(const std::string& service,
                                  int64_t bin) const {
  if (m_length == 0 || bin < m_next_begin || bin >= m_next_begin + m_length) {
    return 0;
  }
  for (const Successor& successor : m_successors) {
    if (successor.service == service) {
      return successor.probability * WorkPerBinOf(service);
    }
  }
  return 0;
}

}  // namespace laurelhall::scheduling
