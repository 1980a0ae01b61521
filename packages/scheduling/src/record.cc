#include "laurelhall/scheduling/record.h"

#include <array>

namespace laurelhall::scheduling {

namespace {

constexpr std::array<const char*, static_cast<size_t>(Suspicion::kCount)>
    kSuspicionNames{"cleared", "bystander", "suspect",
                    "sole",    "prompt",    "excused"};

constexpr std::array<const char*, static_cast<size_t>(WorkerEndCause::kCount)>
    kWorkerEndCauseNames{"unknown",    "silent", "replaced",
                         "maintained", "moved",  "left"};

}  // namespace

const char* WorkerEndCauseName(WorkerEndCause cause) {
  return kWorkerEndCauseNames.at(static_cast<size_t>(cause));
}

const char* SuspicionName(Suspicion suspicion) {
  return kSuspicionNames.at(static_cast<size_t>(suspicion));
}

std::string EncodeRecords(std::vector<Record> records) {
  return Encode(std::move(records));
}

std::vector<Record> DecodeRecords(std::string_view text) {
  return Decode<std::vector<Record>>(text);
}

}  // namespace laurelhall::scheduling
