#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/timer_service.h"
#include "laurelhall/control/connection_filter.h"
#include "laurelhall/model/config.h"
#include "laurelhall/model/endpoint.h"
#include "laurelhall/routing/grants.h"
#include "laurelhall/scheduling/log_service.h"
#include "laurelhall/state/command.h"

namespace laurelhall::control {

/// What a sync brought from the leader.
struct View {
  SteadyTime asked_at{};  ///< All below held at or after this moment.
  uint64_t settings_version = 0;
  std::shared_ptr<const model::Config> config;  ///< Null: as before.
  std::vector<model::Endpoint> endpoints;       ///< Only those that changed.
  /// Null: nothing was renewed.
  std::optional<std::vector<routing::SlotGrant>> grants;
};

/// What the entry part supplies to the link. Called on the link's thread;
/// must not block.
class ViewListener {
 public:
  virtual ~ViewListener() = default;
  virtual void OnView(const View& view) = 0;
  virtual std::vector<routing::SlotDemand> SlotDemands() = 0;
  virtual std::vector<state::BurnSample> TakeBurnSamples() = 0;
};

struct OperatorReply {
  int status = 503;
  std::string body;  ///< JSON.
};

/// An entry host's link to the control hosts.
///
/// @remarks Abstract so that tests put a fake in its place. Thread-safe.
///   Callbacks come once each, on the link's thread, at the deadline at the
///   latest; none then means that the outcome is not known.
class ControlLink {
 public:
  virtual ~ControlLink() = default;

  using ClaimCallback = std::function<void(std::optional<state::ClaimResult>)>;
  using ActCallback = std::function<void(std::optional<state::ActResult>)>;

  /// Commits a claim, grouped with others under way.
  virtual void Claim(state::ClaimCommand command,
                     SteadyTime deadline,
                     ClaimCallback done) = 0;

  /// As Claim(), of a key that another request held lately: only where it is
  /// free by now is anything committed, and only then does a disk matter.
  virtual void PollClaim(state::ClaimCommand command,
                         SteadyTime deadline,
                         ClaimCallback done) {
    Claim(std::move(command), deadline, std::move(done));
  }

  /// Commits a completion, release, abandonment or endpoint transition.
  virtual void Act(state::Command command,
                   SteadyTime deadline,
                   ActCallback done) = 0;

  /// An endpoint renewed here; goes out with the next sync.
  virtual void Renewed(const std::string& endpoint, uint64_t incarnation) = 0;

  /// Passes an operator's request to the leader.
  virtual void Operate(std::string method,
                       std::string path,
                       std::string body,
                       SteadyTime deadline,
                       std::function<void(OperatorReply)> done) = 0;

  /// Asks the leader's scheduling, at one control host after another until the
  /// deadline or until one may have carried it out.
  ///
  /// @param done Called with none when nobody answered; then whether the
  ///   request may have been carried out. An answer speaks for the only try.
  using ScheduleDone =
      std::function<void(std::optional<std::string>, bool may_have_run)>;
  virtual void AskSchedule(const scheduling::LeaderRequest& request,
                           const ScheduleDone& done);

  /// Control hosts that may be asked from now on, besides those of the start.
  virtual void LearnControlHosts(const std::vector<std::string>& addresses);

  /// Starts syncing for a listener, which must outlive the link.
  virtual void Start(ViewListener& listener) = 0;
};

/// Files of the inner protocol's TLS, in PEM; all empty: no TLS.
///
/// @remarks The common name of a certificate is its daemon's name, and for a
///   control host "NAME.control"; a control host's also holds the DNS name
///   "control.CLUSTER", by which it is known when it is called.
struct InnerTlsFiles {
  std::string certificate_file;
  std::string key_file;
  std::string ca_file;  ///< The cluster's own authority, or several.
};

struct ControlClientInit {
  std::string cluster;
  std::string cluster_key;
  model::EntryIdentity identity;
  std::vector<std::string> control_addresses;
  Millis sync_period{std::chrono::milliseconds(500)};
  Millis call_timeout{std::chrono::seconds(2)};
  /// Asks for the members' addresses now and then: those given may be replaced.
  bool learns_members = false;
  std::shared_ptr<ConnectionFilter> filter;  ///< Null: no cuts.
  InnerTlsFiles tls;
};

/// The link over Cap'n Proto RPC, on a KJ thread of its own.
///
/// @throws FindingsError when the TLS files cannot be used.
std::unique_ptr<ControlLink> MakeControlClient(const ControlClientInit& init);

}  // namespace laurelhall::control
