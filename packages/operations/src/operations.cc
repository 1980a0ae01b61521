#include "laurelhall/operations/operations.h"

#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include "duties_p.h"
#include "laurelhall/base/finding.h"

namespace laurelhall::operations {
namespace {

std::shared_ptr<report::TraceRecorder> MakeRecorder(const std::string& file) {
  if (file.empty()) {
    return nullptr;
  }
  std::error_code no_earlier_file;
  std::filesystem::rename(file, file + ".1", no_earlier_file);
  auto stream = std::make_unique<std::ofstream>(file);
  if (!*stream) {
    throw FindingsError({{"trace_file", file + ": cannot be written"}});
  }
  return std::make_shared<report::TraceRecorder>(std::move(stream));
}

}  // namespace

Operations MakeOperations(const std::string& trace_file,
                          std::function<WallTime()> clock) {
  const auto board = std::make_shared<JobBoard>();
  const auto in_flight = std::make_shared<InFlightBoard>();
  const auto recorder = MakeRecorder(trace_file);
  Operations made;
  made.service = MakeOperatorService(board, in_flight, std::move(clock));
  made.duties.push_back(MakeFleetDuty(in_flight, recorder));
  made.duties.push_back(MakeJobDuty(board, recorder));
  return made;
}

}  // namespace laurelhall::operations
