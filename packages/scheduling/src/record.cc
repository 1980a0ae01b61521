#include "laurelhall/scheduling/record.h"

#include <array>

namespace laurelhall::scheduling {

const char* SuspicionName(Suspicion suspicion) {
  static constexpr std::array<const char*,
                              static_cast<size_t>(Suspicion::kCount)>
      kNames{"cleared", "bystander", "suspect", "sole", "prompt"};
  return kNames.at(static_cast<size_t>(suspicion));
}

std::string EncodeRecords(std::vector<Record> records) {
  return Encode(std::move(records));
}

std::vector<Record> DecodeRecords(std::string_view text) {
  return Decode<std::vector<Record>>(text);
}

}  // namespace laurelhall::scheduling
