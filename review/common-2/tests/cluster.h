#pragma once

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"
#include "runner.h"

namespace review {

/// Writes what is sent, answered and run to a file, with the time. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& file);
  void Line(const std::string& text);

 private:
  std::mutex m_mutex;
  const long long m_begun_ms;
  std::ofstream m_file;
};

struct Route {
  std::string name;
  std::string prefix;
  std::string service;
  int max_attempts = 2;
};

struct Configuration {
  int version = 1;
  std::vector<std::string> services;
  std::vector<Route> routes;
};

/// The daemons of a small deployment as processes of their own, on loopback,
/// and the operator, the clients and the platform's list of machines.
class Cluster {
 public:
  /// Starts five control and seven entry daemons. `folder` is temporary.
  Cluster(const std::string& daemon, const std::string& folder, Record& record);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  const std::vector<std::string>& control() const { return m_control; }
  std::string RunnerAddress(int number) const;

  /// Whether the change is acknowledged within a time.
  bool Put(const Configuration& configuration, int timeout_ms = 30'000);
  /// Waits until all entry daemons report themselves ready.
  bool AwaitReady(int timeout_ms = 30'000);

  /// One call of a client to an entry daemon; status 0 without an answer.
  int Ask(size_t entry,
          const std::string& method,
          const std::string& target,
          const std::string& body = {},
          std::string* answer = nullptr);
  /// Asks entry daemons in turn until one answers as a client takes for final.
  int AskUntilAnswered(const std::string& method,
                       const std::string& target,
                       const std::string& body = {},
                       std::string* answer = nullptr);
  /// The state that a client reads; empty without one.
  std::string StateOf(const std::string& target);
  std::string entry(size_t number) const { return m_entry.at(number); }
  /// Sends a signal to the process of an entry daemon.
  void Signal(size_t entry, int number);

  /// What the platform lists.
  void AddMachine(const RunnerInit& runner);

 private:
  void Spawn(const std::string& name, const std::string& settings);
  Message Platform(const Message& request);

  Record& m_record;
  const std::string m_daemon;
  const std::string m_folder;
  int m_port = 0;
  std::vector<std::string> m_control;
  std::vector<std::string> m_entry;
  std::vector<std::string> m_ready;
  std::vector<pid_t> m_processes;  // The control daemons come first.
  std::mutex m_mutex;
  std::vector<RunnerInit> m_machines;
  std::unique_ptr<Server> m_platform;
};

}  // namespace review
