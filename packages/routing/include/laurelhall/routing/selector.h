#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"
#include "laurelhall/model/endpoint.h"

namespace laurelhall::routing {

enum class AttemptOutcome {
  kOk,
  kError,    ///< An answer that says failure (5xx), or a broken one.
  kRefused,  ///< No connection.
  kTimeout,
  kCancelled,  ///< Says nothing about the endpoint.
  kCount,
};

struct SelectorInit {
  std::string own_zone;
  Millis view_bound{std::chrono::seconds(3)};  ///< How old a view may be.
  int failures_to_eject = 5;                   ///< In a row.
  double error_share_to_eject = 0.5;
  int samples_to_eject = 20;
  Millis ejection_base{std::chrono::seconds(5)};
  Millis ejection_max{std::chrono::minutes(5)};
  double max_ejected_share = 0.5;
  uint64_t seed = 1;
};

/// What is known of one service's endpoints, and which to use next.
///
/// @remarks Not thread-safe: its shard's lock is held by the caller. Each
///   endpoint's view has its own expiry on the steady clock: one that has not
///   been confirmed within `view_bound` gets no new work. An endpoint set
///   aside is probed with one request at a time once its time is over, and
///   then takes up work step by step.
class Selector {
 public:
  explicit Selector(const SelectorInit& init);
  ~Selector();

  /// Takes in a transition. Older ones (by changed_at_index) are ignored.
  void Update(const model::Endpoint& endpoint, SteadyTime confirmed_at);

  /// All endpoints known are confirmed by the control hosts as of then.
  void ConfirmAll(SteadyTime confirmed_at);

  /// One endpoint renewed with this entry host directly. Does not bring back
  /// an endpoint that is leaving.
  void ConfirmOne(const std::string& endpoint,
                  uint64_t incarnation,
                  SteadyTime at);

  /// A candidate with its free slots under this entry host's grants.
  struct Candidate {
    std::string endpoint;
    int free_slots = 0;
  };

  /// Picks an endpoint: latency-aware choice of two, own zone first when it
  /// is no slower; none when no candidate may be used.
  ///
  /// @param avoid An endpoint already tried for this request, or empty. A
  ///   request with one is no probe.
  /// @param may_probe Whether an endpoint set aside may be tried with this
  ///   request; say no for one that can't be retried.
  std::optional<std::string> Pick(const std::vector<Candidate>& candidates,
                                  const std::string& avoid,
                                  SteadyTime now,
                                  bool may_probe = true);

  void Started(const std::string& endpoint, SteadyTime now);

  /// Takes in how an attempt ended.
  ///
  /// @param latency Since Started(). An attempt that started before the
  ///   endpoint's present incarnation was taken in is ignored.
  void Finished(const std::string& endpoint,
                AttemptOutcome outcome,
                Millis latency,
                SteadyTime now);

  /// The same with the incarnation that the attempt was sent to, for callers
  /// whose latency counts from elsewhere than Started().
  void Finished(const std::string& endpoint,
                uint64_t incarnation,
                AttemptOutcome outcome,
                Millis latency,
                SteadyTime now);

  /// Endpoints that may be sent new work now (fresh, ready, not set aside).
  std::vector<model::Endpoint> Usable(SteadyTime now) const;

  /// Whether one endpoint may be sent work; asked again right before a write.
  /// One set aside may be, once started: for its probe.
  bool MaySend(const std::string& endpoint, SteadyTime now) const;

  std::optional<model::Endpoint> Find(const std::string& endpoint) const;

  /// All endpoints known, usable or not.
  std::vector<std::string> Ids() const;

  int EjectedCount(SteadyTime now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Retries allowed in proportion to first attempts; one per service, so that
/// retries cannot multiply an overload. What was not used is kept for up to
/// 200 first attempts. Not thread-safe.
class RetryBudget {
 public:
  /// @param ratio Retries per first attempt, for example 0.1.
  /// @param reserve Retries allowed at rest.
  explicit RetryBudget(double ratio, double reserve = 3);

  void FirstAttempt();
  bool TryRetry();
  double balance() const { return m_balance; }

 private:
  double m_ratio;
  double m_reserve;
  double m_balance;
};

}  // namespace laurelhall::routing
