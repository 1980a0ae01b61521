#include "snapshot_p.h"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

#include "read_json_p.h"

namespace laurelhall::state {
namespace {

namespace json = boost::json;

constexpr std::string_view kEndTable = "end";

[[noreturn]] void ThrowBad(const char* what) {
  throw std::invalid_argument(std::string("bad snapshot: ") + what);
}

// The last line; `body` is left with all before it.
std::string_view CutLastLine(std::string_view& body) {
  if (!body.ends_with('\n')) {
    ThrowBad("it is cut");
  }
  const size_t previous = body.rfind('\n', body.size() - 2);
  const size_t start = previous == std::string_view::npos ? 0 : previous + 1;
  const std::string_view line = body.substr(start, body.size() - start - 1);
  body = body.substr(0, start);
  return line;
}

void CheckEnd(std::string_view line, std::string_view body) {
  const json::value end = ParseBytes(line);
  if (end.at("t").as_string() != kEndTable) {
    ThrowBad("it is cut");
  }
  const auto records = std::count(body.begin(), body.end(), '\n');
  if (end.at("v").at("records").to_number<int64_t>() != records) {
    ThrowBad("its number of records differs");
  }
  if (end.at("v").at("hash").to_number<uint64_t>() != HashText(body)) {
    ThrowBad("its hash differs");
  }
}

}  // namespace

void SnapshotWriter::AddJson(std::string_view table, const json::value& value) {
  m_text += "{\"t\":\"";
  m_text += table;
  m_text += "\",\"v\":";
  m_text += json::serialize(value);
  m_text += "}\n";
  ++m_records;
}

std::string SnapshotWriter::Finish() {
  const uint64_t hash = HashText(m_text);
  AddJson(kEndTable, json::object{{"records", m_records}, {"hash", hash}});
  return std::move(m_text);
}

void ReadSnapshot(
    std::string_view text,
    const std::function<void(std::string_view, const json::value&)>& use) {
  std::string_view body = text;
  const std::string_view end = CutLastLine(body);
  CheckEnd(end, body);
  while (!body.empty()) {
    const size_t length = body.find('\n');
    const json::value record = ParseBytes(body.substr(0, length));
    use(record.at("t").as_string(), record.at("v"));
    body.remove_prefix(length + 1);
  }
}

uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace laurelhall::state
