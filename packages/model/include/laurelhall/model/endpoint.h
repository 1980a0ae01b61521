#pragma once

#include <cstdint>
#include <string>

#include "laurelhall/model/fleet.h"

namespace laurelhall::model {

/// What an endpoint last said of itself, in our words.
enum class EndpointState { kReady, kLeaving, kGone, kCount };
BOOST_DESCRIBE_ENUM(EndpointState, kReady, kLeaving, kGone)

/// An endpoint (a runner of a service) as all entry hosts see it.
struct Endpoint {
  /// Whether it may get new work, as far as the replicated state knows.
  bool is_open() const {
    return state == EndpointState::kReady && !is_host_away;
  }

  std::string id;
  std::string service;
  std::string address;  ///< "ip:port".
  std::string host;
  std::string availability_zone;
  std::string vendor;
  uint64_t incarnation = 0;  ///< Of the runner's process; a new one is fresh.
  EndpointState state = EndpointState::kReady;
  int slots = 8;
  int connections = 64;
  uint64_t changed_at_index = 0;  ///< Log index of the last transition.
  uint64_t first_index = 0;       ///< Log index of the first announcement.
  bool is_host_away = false;      ///< Its host drains, is away or warms up.
  WallTime state_since{};
};
BOOST_DESCRIBE_STRUCT(Endpoint,
                      (),
                      (id,
                       service,
                       address,
                       host,
                       availability_zone,
                       vendor,
                       incarnation,
                       state,
                       slots,
                       connections,
                       changed_at_index,
                       first_index,
                       is_host_away,
                       state_since))

/// The scope of a caller's idempotency key.
struct ClaimKey {
  std::string organisation;
  std::string service;
  std::string key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};
BOOST_DESCRIBE_STRUCT(ClaimKey, (), (organisation, service, key))

/// One life of an entry host's process. A restart has a new incarnation.
struct EntryIdentity {
  std::string name;
  uint64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend auto operator<=>(const EntryIdentity&, const EntryIdentity&) = default;
};
BOOST_DESCRIBE_STRUCT(EntryIdentity, (), (name, incarnation))

/// A whole answer of an endpoint, kept for resends.
struct Answer {
  int status = 0;
  std::string content_type;
  Bytes body;
};
BOOST_DESCRIBE_STRUCT(Answer, (), (status, content_type, body))

}  // namespace laurelhall::model
