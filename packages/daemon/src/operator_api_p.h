#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "laurelhall/base/timer_service.h"
#include "laurelhall/control/control_client.h"
#include "laurelhall/net/http.h"

namespace laurelhall::daemon {

/// What an operator may do.
enum class OperatorRole {
  kViewer,    ///< Reads only.
  kOperator,  ///< All.
  kCount,
};

/// Who asks, as far as it is proven.
struct Operator {
  std::string name;  ///< Empty: nobody has to prove it; the body's name holds.
  OperatorRole role = OperatorRole::kOperator;
};

/// The operators of one file.
struct OperatorTable {
  std::map<std::string, Operator> by_hash;  ///< Of the token.
  std::map<std::string, Operator> by_name;
};

/// Operators and their bearer tokens, from a file that is read again when it
/// changes.
///
/// @remarks Lines of "NAME SHA256-OF-TOKEN [viewer|operator]"; "-" in place of
///   the hash for one who has a client certificate only. A changed file that
///   cannot be read whole changes nothing. Thread-safe.
class OperatorTokens {
 public:
  /// @param file Empty: no tokens, everybody on loopback is an operator.
  /// @throws FindingsError with each line that does not fit.
  explicit OperatorTokens(std::string file);

  bool is_required() const { return !m_file.empty(); }

  /// Returns whose token has this SHA-256; none when it is nobody's.
  std::optional<Operator> OwnerOf(const std::string& hash);

  /// Returns the operator whom a client certificate names; none if not listed.
  std::optional<Operator> Named(const std::string& name);

 private:
  std::optional<Operator> Find(
      std::map<std::string, Operator> OperatorTable::*index,
      const std::string& key);
  void ReloadIfChanged();

  const std::string m_file;
  std::mutex m_mutex;  // Guards all below.
  std::filesystem::file_time_type m_read_at;
  OperatorTable m_table;
};

/// What the operators' address of a daemon is set up with.
struct OperatorApiInit {
  control::ControlLink* link = nullptr;
  TimerService* timers = nullptr;
  OperatorTokens* tokens = nullptr;
  std::shared_ptr<control::ConnectionFilter> filter;
  bool allows_drills = false;
  std::function<bool()> is_healthy;
  std::function<std::string()> metrics;
  std::function<std::string()> local_status;  ///< JSON of this daemon alone.
};

/// Health, metrics and the operators' API, which it passes to the leader.
///
/// @remarks Thread-safe.
class OperatorApi : public net::HttpHandler {
 public:
  explicit OperatorApi(OperatorApiInit init);

  int64_t MaxBodyBytes(const net::HttpRequest& head) override;
  void OnRequest(std::shared_ptr<net::HttpExchange> exchange) override;

 private:
  using Route =
      void (OperatorApi::*)(const std::shared_ptr<net::HttpExchange>& exchange);
  struct LocalRoute {
    const char* target;
    Route function;
  };
  static const LocalRoute kLocalRoutes[];

  void Health(const std::shared_ptr<net::HttpExchange>& exchange);
  void Metrics(const std::shared_ptr<net::HttpExchange>& exchange);
  void LocalStatus(const std::shared_ptr<net::HttpExchange>& exchange);
  void Cuts(const std::shared_ptr<net::HttpExchange>& exchange);
  // None when the request was refused, answered and logged.
  std::optional<Operator> Admit(net::HttpExchange& exchange,
                                bool is_read_only) const;
  std::optional<Operator> Identify(const net::HttpRequest& request) const;
  void Forward(const std::shared_ptr<net::HttpExchange>& exchange);

  const OperatorApiInit m_init;
};

}  // namespace laurelhall::daemon
