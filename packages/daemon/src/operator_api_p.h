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

/// Bearer tokens of operators, from a file that is read again when it changes.
///
/// @remarks Lines of "NAME SHA256-OF-TOKEN". Thread-safe.
class OperatorTokens {
 public:
  /// @param file Empty: no tokens, everybody on loopback is an operator.
  /// @throws FindingsError with each line that does not fit.
  explicit OperatorTokens(std::string file);

  bool is_required() const { return !m_file.empty(); }

  /// Returns whose token it is; none when it is nobody's.
  std::optional<std::string> OwnerOf(const std::string& token);

 private:
  void ReloadIfChanged();

  const std::string m_file;
  std::mutex m_mutex;  // Guards all below.
  std::filesystem::file_time_type m_read_at;
  std::map<std::string, std::string> m_owner_by_hash;
};

/// What the operators' address of a daemon is set up with.
struct OperatorApiInit {
  control::ControlLink* link = nullptr;
  TimerService* timers = nullptr;
  OperatorTokens* tokens = nullptr;
  std::shared_ptr<control::ConnectionFilter> filter;
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
  void Forward(const std::shared_ptr<net::HttpExchange>& exchange);

  const OperatorApiInit m_init;
};

}  // namespace laurelhall::daemon
