#include "laurelhall/scheduling/graph.h"

#include <array>
#include <charconv>

namespace laurelhall::scheduling {

namespace {

constexpr size_t kTaskIdParts = 4;

constexpr std::array<const char*, static_cast<size_t>(RunEnd::kCount)>
    kRunEndNames{"done", "failed", "stopped", "lapsed", "broken", "alone"};

// Splits `text` at dots. False unless there are exactly kTaskIdParts parts.
bool SplitTaskId(const std::string& text,
                 std::array<std::string, kTaskIdParts>& parts) {
  size_t part = 0;
  for (const char character : text) {
    if (character != '.') {
      parts[part] += character;
    } else if (++part == kTaskIdParts) {
      return false;
    }
  }
  return part + 1 == kTaskIdParts;
}

bool ParseNumber(const std::string& text, uint32_t& number) {
  const char* const end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && next == end;
}

constexpr std::array<const char*, static_cast<size_t>(JobState::kCount)>
    kJobStateNames{"queued", "running", "succeeded", "failed", "cancelled"};

}  // namespace

void Lower(Resources& least, const Resources& other) {
  least.millicores = std::min(least.millicores, other.millicores);
  least.memory_mb = std::min(least.memory_mb, other.memory_mb);
  least.accelerators = std::min(least.accelerators, other.accelerators);
}

void Add(Resources& sum, const Resources& part) {
  sum.millicores += part.millicores;
  sum.memory_mb += part.memory_mb;
  sum.accelerators += part.accelerators;
}

void Subtract(Resources& sum, const Resources& part) {
  sum.millicores -= part.millicores;
  sum.memory_mb -= part.memory_mb;
  sum.accelerators -= part.accelerators;
}

const QueueSpec* FindQueue(const Configuration& configuration,
                           const std::string& host,
                           const std::string& path) {
  const QueueSpec* best = nullptr;
  for (const QueueSpec& queue : configuration.queues) {
    const bool matches = queue.host == host && path.starts_with(queue.prefix);
    if (matches &&
        (best == nullptr || queue.prefix.size() > best->prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

std::string FormatTaskId(const TaskId& task) {
  return task.job + '.' + std::to_string(task.occurrence) + '.' +
         std::to_string(task.step) + '.' + std::to_string(task.index);
}

std::optional<TaskId> ParseTaskId(const std::string& text) {
  std::array<std::string, kTaskIdParts> parts;
  TaskId task;
  if (!SplitTaskId(text, parts) || !ParseNumber(parts[1], task.occurrence) ||
      !ParseNumber(parts[2], task.step) || !ParseNumber(parts[3], task.index)) {
    return std::nullopt;
  }
  task.job = std::move(parts[0]);
  return task;
}

const char* JobStateName(JobState state) {
  return kJobStateNames.at(static_cast<size_t>(state));
}

const char* RunEndName(RunEnd end) {
  return kRunEndNames.at(static_cast<size_t>(end));
}

}  // namespace laurelhall::scheduling
