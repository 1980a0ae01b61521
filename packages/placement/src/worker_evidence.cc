#include "laurelhall/placement/worker_evidence.h"

#include <algorithm>
#include <set>

namespace laurelhall::placement {
namespace {

constexpr size_t kMaxFailures = 8;
constexpr int kSetAsideScore = 3;
constexpr int kBlamedWeight = 2;
constexpr Millis kFirstPause{5'000};
constexpr Millis kFirstSetAside{10 * 60'000};
constexpr int kMaxDoublings = 5;
constexpr size_t kMaxRecords = 4096;
// Successes in a row that outweigh one failure blamed on the worker.
constexpr int kForgivingSuccesses = 4;

int ScoreOf(const WorkerRecord& record) {
  int blamed = 0;
  std::set<std::string_view> open_kinds;
  for (const FailureEvidence& failure : record.failures) {
    if (failure.is_blamed) {
      ++blamed;
    } else if (!failure.is_excused) {
      open_kinds.insert(failure.kind);
    }
  }
  return blamed * kBlamedWeight + static_cast<int>(open_kinds.size());
}

FailureEvidence* FindFailure(WorkerRecord& record, const std::string& job) {
  for (FailureEvidence& failure : record.failures) {
    if (failure.job == job) {
      return &failure;
    }
  }
  return nullptr;
}

FailureEvidence& AddFailure(WorkerRecord& record, const model::Job& job) {
  if (FailureEvidence* known = FindFailure(record, job.id)) {
    return *known;
  }
  if (record.failures.size() == kMaxFailures) {
    record.failures.erase(record.failures.begin());
  }
  record.failures.push_back({job.id, job.team + "/" + job.kind, false, false});
  return record.failures.back();
}

}  // namespace

void WorkerEvidence::NoteFailure(const model::Job& job,
                                 const std::string& host,
                                 WallTime now) {
  const bool fails_elsewhere = ExcuseOthers(job, host, now);
  WorkerRecord& record = RecordOf(host);
  record.successes = 0;
  AddFailure(record, job).is_excused = fails_elsewhere;
  if (!fails_elsewhere) {
    record.last_failure = now;
    m_proven.erase(host);
  }
  SetAsideIfDue(record, now);
}

void WorkerEvidence::SetAsideIfDue(WorkerRecord& record, WallTime now) {
  if (ScoreOf(record) >= kSetAsideScore && record.set_aside_until <= now) {
    SetAside(record, now);
  }
}

WorkerRecord& WorkerEvidence::RecordOf(const std::string& host) {
  const auto found = m_records.find(host);
  if (found != m_records.end()) {
    return found->second;
  }
  if (m_records.size() >= kMaxRecords) {
    m_records.erase(std::min_element(
        m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
          return a.second.last_failure < b.second.last_failure;
        }));
  }
  WorkerRecord& record = m_records[host];
  record.host = host;
  return record;
}

// A failure on a worker that itself is set aside says nothing for the others.
bool WorkerEvidence::ExcuseOthers(const model::Job& job,
                                  const std::string& host,
                                  WallTime now) {
  bool fails_elsewhere = false;
  for (const std::string& other : job.failed_on) {
    if (other == host || IsSetAside(other, now)) {
      continue;
    }
    fails_elsewhere = true;
    const auto found = m_records.find(other);
    if (found == m_records.end() || IsSetAside(host, now)) {
      continue;
    }
    if (FailureEvidence* failure = FindFailure(found->second, job.id)) {
      failure->is_excused = true;
    }
  }
  return fails_elsewhere;
}

void WorkerEvidence::SetAside(WorkerRecord& record, WallTime now) {
  const int doublings = std::min(record.times_set_aside, kMaxDoublings);
  record.set_aside_at = now;
  record.set_aside_until = now + kFirstSetAside * (1 << doublings);
  ++record.times_set_aside;
  // What stays makes the next failure, after the time is over, enough.
  std::string kind = record.failures.back().kind;
  record.failures = {{"", std::move(kind), true, false}};
}

void WorkerEvidence::NoteSuccess(const model::Job& job,
                                 const std::string& host,
                                 WallTime now) {
  for (const std::string& other : job.failed_on) {
    if (other == host) {
      continue;
    }
    WorkerRecord& record = RecordOf(other);
    FailureEvidence& failure = AddFailure(record, job);
    failure.is_blamed = true;
    failure.is_excused = false;
    SetAsideIfDue(record, now);
  }
  if (m_proven.size() < kMaxRecords) {
    m_proven.insert(host);
  }
  const auto found = m_records.find(host);
  if (found == m_records.end()) {
    return;
  }
  Forgive(found->second);
  if (found->second.failures.empty() && found->second.times_set_aside == 0) {
    m_records.erase(found);
  }
}

// A success clears what was open; several in a row clear one failure that was
// blamed on the worker, so one that fails every other run is still set aside.
void WorkerEvidence::Forgive(WorkerRecord& record) {
  std::erase_if(record.failures, [](const FailureEvidence& failure) {
    return !failure.is_blamed;
  });
  if (++record.successes < kForgivingSuccesses) {
    return;
  }
  record.successes = 0;
  if (!record.failures.empty()) {
    record.failures.erase(record.failures.begin());
  } else if (record.times_set_aside > 0) {
    --record.times_set_aside;
  }
}

bool WorkerEvidence::IsSetAside(std::string_view host, WallTime now) const {
  const WorkerRecord* record = Find(host);
  return record != nullptr && now < record->set_aside_until;
}

// Each failure that is not excused doubles the wait.
bool WorkerEvidence::IsPaused(std::string_view host, WallTime now) const {
  const WorkerRecord* record = Find(host);
  if (record == nullptr) {
    return false;
  }
  const auto failures = static_cast<int>(std::count_if(
      record->failures.begin(), record->failures.end(),
      [](const FailureEvidence& failure) { return !failure.is_excused; }));
  if (failures == 0) {
    return false;
  }
  const int doublings = std::min(failures - 1, kMaxDoublings);
  return now < record->last_failure + kFirstPause * (1 << doublings);
}

bool WorkerEvidence::IsProven(std::string_view host) const {
  return m_proven.find(host) != m_proven.end();
}

int WorkerEvidence::Score(std::string_view host) const {
  const WorkerRecord* record = Find(host);
  return record == nullptr ? 0 : ScoreOf(*record);
}

const WorkerRecord* WorkerEvidence::Find(std::string_view host) const {
  const auto found = m_records.find(host);
  return found == m_records.end() ? nullptr : &found->second;
}

std::vector<WorkerRecord> WorkerEvidence::Save() const {
  std::vector<WorkerRecord> saved;
  saved.reserve(m_records.size());
  for (const auto& [host, record] : m_records) {
    saved.push_back(record);
  }
  return saved;
}

void WorkerEvidence::Load(const std::vector<WorkerRecord>& saved) {
  m_records.clear();
  for (const WorkerRecord& record : saved) {
    m_records[record.host] = record;
  }
}

}  // namespace laurelhall::placement
