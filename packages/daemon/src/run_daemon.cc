#include "run_daemon_p.h"

#include <signal.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <random>

#include "daemon_p.h"
#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/log.h"
#include "laurelhall/storage/log_store.h"
#include "laurelhall/storage/store_retry.h"

namespace laurelhall::daemon {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCutOff = 1;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

/// Blocks the stopping signals in all threads made after this call.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// What must last is on disk by now. To take the parts down one by one would
// close connections while the process goes on, and with them cut off requests
// that came after the last look at them.
[[noreturn]] void EndAtOnce(int exit_code) {
  DecisionLog::Get().Flush();
  spdlog::shutdown();
  std::cout.flush();
  std::_Exit(exit_code);
}

/// Whether a stopping signal comes within a time.
bool IsStoppedWithin(const sigset_t& signals, Millis wait) {
  const auto end = std::chrono::steady_clock::now() + wait;
  while (true) {
    const auto left =
        std::chrono::ceil<Millis>(end - std::chrono::steady_clock::now());
    if (left <= Millis(0)) {
      return false;
    }
    const auto whole = std::chrono::floor<Seconds>(left);
    const timespec time{
        static_cast<time_t>(whole.count()),
        static_cast<long>(std::chrono::nanoseconds(left - whole).count())};
    const int signal_number = sigtimedwait(&signals, nullptr, &time);
    if (signal_number > 0 && signal_number != SIGHUP) {
      return true;
    }
  }
}

// A disk may fail for a while: a process that ends is only started again, and
// finds the same.
std::unique_ptr<Daemon> StartDaemon(const settings::DaemonSettings& settings,
                                    const sigset_t& signals,
                                    storage::FileSystem* files) {
  storage::StoreRetry retry(std::random_device{}());
  while (true) {
    try {
      return std::make_unique<Daemon>(settings, files);
    } catch (const storage::StoreInUseError&) {
      throw;
    } catch (const storage::StoreFailedError& error) {
      const Millis wait = retry.is_failed()
                              ? retry.StillFailed()
                              : retry.Failed(std::chrono::steady_clock::now());
      PartLog("daemon")->critical(
          "The store cannot be opened, next try in {} ms: {}.", wait.count(),
          error.what());
      if (IsStoppedWithin(signals, wait)) {
        EndAtOnce(kExitOk);
      }
    }
  }
}

// Ends the process; throws when the daemon cannot start.
[[noreturn]] void RunUntilSignal(const settings::DaemonSettings& settings,
                                 const std::string& file,
                                 const sigset_t& signals,
                                 storage::FileSystem* files) {
  const auto log = PartLog("daemon");
  const std::unique_ptr<Daemon> daemon = StartDaemon(settings, signals, files);
  log->info("{} runs.", settings.name);
  DecisionLog::Get().Write(
      DecisionLine("daemon", "start").With("name", settings.name));
  int signal_number = 0;
  while (sigwait(&signals, &signal_number) != 0 || signal_number == SIGHUP) {
    DecisionLog::Get().Write(
        DecisionLine("daemon", "reload").With("name", settings.name));
    daemon->Reload(file);
  }
  log->info("{} stops gracefully.", settings.name);
  const bool is_finished = daemon->Drain();
  if (!is_finished) {
    log->warn("{} cuts off what the grace did not suffice for.", settings.name);
  }
  EndAtOnce(is_finished ? kExitOk : kExitCutOff);
}

int Run(const std::string& file,
        bool is_check_only,
        storage::FileSystem* files) {
  sigset_t signals{};
  if (!is_check_only) {
    // A reload that comes while the process still starts would end it.
    signals = BlockStopSignals();
  }
  settings::DaemonSettings settings;
  try {
    settings = settings::ReadDaemonSettings(file);
    InitLogs({settings.log_level, settings.log_format});
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitBadSettings;
  }
  if (is_check_only) {
    std::cout << file << ": no findings\n";
    return kExitOk;
  }
  try {
    RunUntilSignal(settings, file, signals, files);
  } catch (const std::exception& error) {
    std::cerr << settings.name << ": cannot start: " << error.what() << '\n';
    return kExitCannotStart;
  }
}

}  // namespace

int RunDaemon(int argc, char** argv, storage::FileSystem* files) {
  cxxopts::Options options("laurelhalld",
                           "Runs the roles of one settings file.\n"
                           "Exit codes: 0 stopped gracefully, 1 cut off work, "
                           "2 bad settings or usage, 3 cannot start.");
  options.add_options()("s,settings", "the daemon's settings file",
                        cxxopts::value<std::string>())(
      "check", "check the settings file and exit")("h,help", "this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (parsed.count("settings") == 0) {
      throw std::invalid_argument("--settings FILE is required");
    }
    return Run(parsed["settings"].as<std::string>(), parsed.count("check") != 0,
               files);
  } catch (const std::exception& error) {
    std::cerr << "laurelhalld: " << error.what() << '\n' << options.help();
    return kExitBadSettings;
  }
}

}  // namespace laurelhall::daemon
