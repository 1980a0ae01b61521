#include "announcer_p.h"

#include <array>
#include <boost/json.hpp>
#include <utility>

#include "laurelhall/base/log.h"
#include "laurelhall/net/bearer.h"
#include "vendor_form_p.h"

namespace laurelhall::entry {
namespace {

constexpr Millis kAnnounceRetry{500};

constexpr std::array<std::string_view,
                     static_cast<size_t>(model::EndpointState::kCount)>
    kStateNames{"ready", "leaving", "gone"};

void Accept(net::HttpExchange& exchange,
            model::EndpointState state,
            Millis holds_from) {
  net::HttpResponse response;
  response.headers.Set("Content-Type", "application/json");
  response.body = boost::json::serialize(
      boost::json::object{{"accepted", true},
                          {"state", kStateNames.at(static_cast<size_t>(state))},
                          {"holds_from_ms", holds_from.count()}});
  exchange.Respond(std::move(response));
}

bool IsRenewal(const model::Endpoint& known, const model::Endpoint& said) {
  return known.incarnation == said.incarnation && known.state == said.state &&
         known.service == said.service && known.address == said.address &&
         known.host == said.host &&
         known.availability_zone == said.availability_zone &&
         known.slots == said.slots && known.connections == said.connections;
}

// The time within which every entry host has stopped sending, from now: one
// that is cut off stops by itself when its view has grown too old.
Millis HoldsFrom(const EntryContext& context, model::EndpointState state) {
  return state == model::EndpointState::kReady ? Millis(0)
                                               : context.init.view_bound;
}

void OnCommitted(EntryContext& context,
                 ServiceShard& shard,
                 const model::Endpoint& said,
                 net::HttpExchange& exchange,
                 const std::optional<state::ActResult>& result) {
  if (!result) {
    exchange.Respond(MakeProblem(ProblemKind::kNotAccepted,
                                 "it is not known to hold yet; announce again",
                                 context.Spread(kAnnounceRetry)));
    return;
  }
  if (!result->is_accepted) {
    exchange.Respond(
        MakeProblem(ProblemKind::kAnnouncementRefused, result->error));
    return;
  }
  if (said.state != model::EndpointState::kReady) {
    shard.SetLeft(said.id, said.incarnation);
  }
  PartLog("entry")->info("endpoint {} is now {}.", said.id,
                         kStateNames.at(static_cast<size_t>(said.state)));
  Accept(exchange, said.state, HoldsFrom(context, said.state));
}

// Whether the announcement comes from the vendor that it names.
bool IsProven(const net::HttpRequest& request,
              const model::Vendor& vendor,
              bool allows_unproven) {
  return request.client_name == vendor.name ||
         net::IsSameSecret(vendor.token_hash, net::BearerHash(request)) ||
         (vendor.token_hash.empty() && allows_unproven);
}

}  // namespace

void HandleAnnouncement(const std::shared_ptr<EntryContext>& context,
                        const model::Config& config,
                        const FindShard& find_shard,
                        const std::shared_ptr<net::HttpExchange>& exchange) {
  ++context->counters.announcements;
  model::Endpoint said;
  try {
    said = ReadAnnouncement(exchange->request().body, config.vendors);
  } catch (const FindingsError& error) {
    exchange->Respond(MakeProblem(ProblemKind::kBadRequest, error.what()));
    return;
  }
  if (!IsProven(exchange->request(), config.vendors.at(said.vendor),
                context->init.allows_unproven)) {
    PartLog("entry")->warn("an announcement for vendor {} from {} is refused.",
                           said.vendor, exchange->request().peer);
    exchange->Respond(MakeProblem(ProblemKind::kUnauthorised,
                                  "expected the vendor's bearer token or "
                                  "client certificate"));
    return;
  }
  if (!config.services.contains(said.service)) {
    exchange->Respond(MakeProblem(ProblemKind::kUnknownService,
                                  "no service of this name is set up"));
    return;
  }
  const auto shard = find_shard(said.service);
  const auto known = shard->Find(said.id);
  if (known && IsRenewal(*known, said)) {
    shard->ConfirmOne(said, context->Now());
    context->link_gate.Enter(
        [&] { context->link.Renewed(said.id, said.incarnation); });
    Accept(*exchange, said.state, HoldsFrom(*context, said.state));
    return;
  }
  said.state_since = WallNow();
  auto done = [context, shard, said,
               exchange](const std::optional<state::ActResult>& result) {
    OnCommitted(*context, *shard, said, *exchange, result);
  };
  context->link_gate.Enter([&] {
    context->link.Act(state::EndpointCommand{said},
                      context->Now() + context->init.commit_timeout,
                      std::move(done));
  });
}

}  // namespace laurelhall::entry
