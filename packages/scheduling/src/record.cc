#include "laurelhall/scheduling/record.h"

namespace laurelhall::scheduling {

std::string EncodeRecords(std::vector<Record> records) {
  return Encode(std::move(records));
}

std::vector<Record> DecodeRecords(std::string_view text) {
  return Decode<std::vector<Record>>(text);
}

}  // namespace laurelhall::scheduling
