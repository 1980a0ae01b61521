#include "laurelhall/placement/worker_evidence.h"

#include <algorithm>
#include <set>

namespace laurelhall::placement {
namespace {

constexpr size_t kMaxFailuresPerWorker = 8;
constexpr int kQuarantineScore = 3;
constexpr int kBlamedWeight = 2;
constexpr Millis kInitialBackoff{5'000};
constexpr Millis kInitialQuarantine{10 * 60'000};
constexpr int kMaxDoublings = 5;
constexpr size_t kMaxRecords = 4096;
// Consecutive successes that remove one failure blamed on the worker.
constexpr int kSuccessesToForgive = 4;

int ComputeScore(const WorkerRecord& record) {
  int blamed = 0;
  std::set<std::string_view> unresolved_kinds;
  for (const FailureEvidence& failure : record.failures) {
    if (failure.is_blamed) {
      ++blamed;
    } else if (!failure.is_excused) {
      unresolved_kinds.insert(failure.kind);
    }
  }
  return blamed * kBlamedWeight + static_cast<int>(unresolved_kinds.size());
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
  if (record.failures.size() == kMaxFailuresPerWorker) {
    record.failures.erase(record.failures.begin());
  }
  record.failures.push_back({job.id, job.team + "/" + job.kind, false, false});
  return record.failures.back();
}

}  // namespace

void WorkerEvidence::NoteFailure(const model::Job& job,
                                 const std::string& host,
                                 WallTime now) {
  const bool failed_elsewhere = ExcuseOtherWorkers(job, host, now);
  WorkerRecord& record = FindOrAddRecord(host);
  record.successes = 0;
  AddFailure(record, job).is_excused = failed_elsewhere;
  if (!failed_elsewhere) {
    record.last_failure = now;
    m_succeeded_hosts.erase(host);
  }
  QuarantineIfDue(record, now);
}

void WorkerEvidence::QuarantineIfDue(WorkerRecord& record, WallTime now) {
  if (ComputeScore(record) >= kQuarantineScore &&
      record.set_aside_until <= now) {
    Quarantine(record, now);
  }
}

WorkerRecord& WorkerEvidence::FindOrAddRecord(const std::string& host) {
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

// A failure on a quarantined worker does not excuse failures on other workers.
bool WorkerEvidence::ExcuseOtherWorkers(const model::Job& job,
                                        const std::string& host,
                                        WallTime now) {
  bool failed_elsewhere = false;
  for (const std::string& other : job.failed_on) {
    if (other == host || IsWorkerQuarantined(other, now)) {
      continue;
    }
    failed_elsewhere = true;
    const auto found = m_records.find(other);
    if (found == m_records.end() || IsWorkerQuarantined(host, now)) {
      continue;
    }
    if (FailureEvidence* failure = FindFailure(found->second, job.id)) {
      failure->is_excused = true;
    }
  }
  return failed_elsewhere;
}

void WorkerEvidence::Quarantine(WorkerRecord& record, WallTime now) {
  const int doublings = std::min(record.times_set_aside, kMaxDoublings);
  record.set_aside_at = now;
  record.set_aside_until = now + kInitialQuarantine * (1 << doublings);
  ++record.times_set_aside;
  // One blamed failure is kept, so that one more failure after the quarantine
  // reaches kQuarantineScore again.
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
    WorkerRecord& record = FindOrAddRecord(other);
    FailureEvidence& failure = AddFailure(record, job);
    failure.is_blamed = true;
    failure.is_excused = false;
    QuarantineIfDue(record, now);
  }
  if (m_succeeded_hosts.size() < kMaxRecords) {
    m_succeeded_hosts.insert(host);
  }
  const auto found = m_records.find(host);
  if (found == m_records.end()) {
    return;
  }
  CreditSuccess(found->second);
  if (found->second.failures.empty() && found->second.times_set_aside == 0) {
    m_records.erase(found);
  }
}

// A success removes the failures that are not blamed on the worker.
// kSuccessesToForgive in a row remove one that is, so that a worker that fails
// every other run is still quarantined.
void WorkerEvidence::CreditSuccess(WorkerRecord& record) {
  std::erase_if(record.failures, [](const FailureEvidence& failure) {
    return !failure.is_blamed;
  });
  if (++record.successes < kSuccessesToForgive) {
    return;
  }
  record.successes = 0;
  if (!record.failures.empty()) {
    record.failures.erase(record.failures.begin());
  } else if (record.times_set_aside > 0) {
    --record.times_set_aside;
  }
}

bool WorkerEvidence::IsWorkerQuarantined(std::string_view host,
                                         WallTime now) const {
  const WorkerRecord* record = Find(host);
  return record != nullptr && now < record->set_aside_until;
}

// Each failure that is not excused doubles the backoff, up to kMaxDoublings.
bool WorkerEvidence::IsInBackoff(std::string_view host, WallTime now) const {
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
  return now < record->last_failure + kInitialBackoff * (1 << doublings);
}

bool WorkerEvidence::SucceededSinceFailure(std::string_view host) const {
  return m_succeeded_hosts.find(host) != m_succeeded_hosts.end();
}

int WorkerEvidence::FaultScore(std::string_view host) const {
  const WorkerRecord* record = Find(host);
  return record == nullptr ? 0 : ComputeScore(*record);
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
