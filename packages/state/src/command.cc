#include "laurelhall/state/command.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "laurelhall/scheduling/codec.h"
#include "read_json_p.h"

namespace laurelhall::state {
namespace {

namespace json = boost::json;

template <size_t kIndex>
Command ReadAs(const json::value& value) {
  std::variant_alternative_t<kIndex, Command> command;
  ReadJson(value, command);
  return command;
}

using ReadCommand = Command (*)(const json::value&);

template <size_t... kIndices>
constexpr std::array<ReadCommand, sizeof...(kIndices)> MakeReaders(
    std::index_sequence<kIndices...>) {
  return {&ReadAs<kIndices>...};
}

constexpr auto kReaders =
    MakeReaders(std::make_index_sequence<std::variant_size_v<Command>>());

Command ReadTagged(const json::object& tagged) {
  const auto kind = tagged.at("kind").to_number<uint64_t>();
  if (kind >= kReaders.size()) {
    throw std::invalid_argument("unknown kind of command: " +
                                std::to_string(kind));
  }
  return kReaders[kind](tagged.at("value"));
}

// JSON has no text for these, and an entry that nobody can read back would
// stop every replica.
bool IsFinite(const json::value& value) {
  if (const double* number = value.if_double()) {
    return std::isfinite(*number);
  }
  if (const json::array* array = value.if_array()) {
    return std::all_of(array->begin(), array->end(), &IsFinite);
  }
  const json::object* object = value.if_object();
  return object == nullptr ||
         std::all_of(object->begin(), object->end(), [](const auto& member) {
           return IsFinite(member.value());
         });
}

// Begins an entry of scheduling records alone, which JSON never does. These
// come by the hundred a second, and as JSON within JSON each would be escaped
// and parsed once more on every control host.
constexpr char kScheduleMark = '!';

bool IsScheduleAlone(const std::vector<Command>& commands) {
  return !commands.empty() &&
         std::all_of(commands.begin(), commands.end(),
                     [](const Command& command) {
                       return std::holds_alternative<ScheduleCommand>(command);
                     });
}

std::string EncodeSchedule(const std::vector<Command>& commands) {
  std::vector<std::string> batches;
  batches.reserve(commands.size());
  for (const Command& command : commands) {
    batches.push_back(std::get<ScheduleCommand>(command).records);
  }
  return kScheduleMark + scheduling::Encode(std::move(batches));
}

std::vector<Command> DecodeSchedule(std::string_view text) {
  std::vector<Command> commands;
  for (std::string& batch :
       scheduling::Decode<std::vector<std::string>>(text)) {
    commands.emplace_back(ScheduleCommand{std::move(batch)});
  }
  return commands;
}

}  // namespace

std::string EncodeCommands(const std::vector<Command>& commands) {
  if (IsScheduleAlone(commands)) {
    return EncodeSchedule(commands);
  }
  json::array array;
  array.reserve(commands.size());
  for (const Command& command : commands) {
    json::value value = std::visit(
        [](const auto& alternative) { return json::value_from(alternative); },
        command);
    if (!IsFinite(value)) {
      throw std::invalid_argument(
          "a command holds a number that is not finite");
    }
    array.push_back(
        json::object{{"kind", command.index()}, {"value", std::move(value)}});
  }
  return json::serialize(array);
}

std::vector<Command> DecodeCommands(std::string_view payload) {
  if (payload.starts_with(kScheduleMark)) {
    return DecodeSchedule(payload.substr(1));
  }
  const json::value array = ParseBytes(payload);
  std::vector<Command> commands;
  commands.reserve(array.as_array().size());
  for (const json::value& tagged : array.as_array()) {
    commands.push_back(ReadTagged(tagged.as_object()));
  }
  return commands;
}

}  // namespace laurelhall::state
