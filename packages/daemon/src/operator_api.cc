#include "operator_api_p.h"

#include <boost/json.hpp>

#include <utility>

#include "laurelhall/base/log.h"
#include "laurelhall/net/bearer.h"

namespace laurelhall::daemon {
namespace {

constexpr int64_t kMaxOperatorBody = 4 << 20;
constexpr Millis kOperateTimeout = std::chrono::seconds(10);
constexpr std::string_view kVersionPrefix = "/v1/";

net::HttpResponse Reply(int status, const char* type, std::string body) {
  net::HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", type);
  response.body = std::move(body);
  return response;
}

net::HttpResponse Problem(int status, const char* slug, const char* detail) {
  const boost::json::object problem{
      {"type", slug}, {"status", status}, {"detail", detail}};
  return Reply(status, "application/problem+json",
               boost::json::serialize(problem));
}

/// Puts the token's owner in place of whatever the body names.
std::string WithOperator(const std::string& body, const std::string& owner) {
  if (body.empty() || owner.empty()) {
    return body;
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    return body;
  }
  value.as_object()["operator"] = owner;
  return boost::json::serialize(value);
}

void Refuse(net::HttpExchange& exchange,
            int status,
            const char* slug,
            const char* detail,
            const std::string& name) {
  const net::HttpRequest& request = exchange.request();
  PartLog("operators")
      ->warn("{} {} of {} from {} is refused with {}: {}.", request.method,
             request.target, name.empty() ? "nobody known" : name, request.peer,
             status, detail);
  exchange.Respond(Problem(status, slug, detail));
}

/// Words for how the inner protocol treats a peer.
constexpr std::pair<const char*, control::CutMode> kCutModes[] = {
    {"none", control::CutMode::kNone},
    {"refuse", control::CutMode::kRefuse},
    {"stall", control::CutMode::kStall}};

}  // namespace

const OperatorApi::LocalRoute OperatorApi::kLocalRoutes[] = {
    {"/healthz", &OperatorApi::Health},
    {"/metrics", &OperatorApi::Metrics},
    {"/v1/local/status", &OperatorApi::LocalStatus},
    {"/v1/local/cuts", &OperatorApi::Cuts},
};

OperatorApi::OperatorApi(OperatorApiInit init) : m_init(std::move(init)) {}

int64_t OperatorApi::MaxBodyBytes(const net::HttpRequest&) {
  return kMaxOperatorBody;
}

void OperatorApi::OnRequest(std::shared_ptr<net::HttpExchange> exchange) {
  const net::HttpRequest& request = exchange->request();
  for (const LocalRoute& route : kLocalRoutes) {
    if (request.target == route.target) {
      (this->*route.function)(exchange);
      return;
    }
  }
  if (!request.target.starts_with(kVersionPrefix)) {
    exchange->Respond(Problem(404, "not-found", "no such resource"));
    return;
  }
  Forward(exchange);
}

void OperatorApi::Health(const std::shared_ptr<net::HttpExchange>& exchange) {
  const bool is_healthy = m_init.is_healthy();
  exchange->Respond(Reply(is_healthy ? 200 : 503, "text/plain",
                          is_healthy ? "ok\n" : "not ready\n"));
}

void OperatorApi::Metrics(const std::shared_ptr<net::HttpExchange>& exchange) {
  exchange->Respond(Reply(200, "text/plain; version=0.0.4", m_init.metrics()));
}

void OperatorApi::LocalStatus(
    const std::shared_ptr<net::HttpExchange>& exchange) {
  exchange->Respond(Reply(200, "application/json", m_init.local_status()));
}

/// Cuts this daemon off from peers, for drills: {"peer": "*", "mode": "stall"}.
void OperatorApi::Cuts(const std::shared_ptr<net::HttpExchange>& exchange) {
  const std::optional<Operator> who = Admit(*exchange, false);
  if (!who) {
    return;
  }
  if (!m_init.allows_drills) {
    Refuse(*exchange, 403, "forbidden", "drills are not allowed here",
           who->name);
    return;
  }
  boost::json::error_code error;
  const boost::json::value body =
      boost::json::parse(exchange->request().body, error);
  if (!error && body.is_object() && body.as_object().contains("peer") &&
      body.as_object().contains("mode")) {
    for (const auto& [name, mode] : kCutModes) {
      if (body.at("mode") == name && body.at("peer").is_string()) {
        m_init.filter->Set(std::string(body.at("peer").as_string()), mode);
        exchange->Respond(Reply(200, "application/json", "{}"));
        return;
      }
    }
  }
  exchange->Respond(Problem(400, "bad-request",
                            "expected peer and mode: none, refuse or stall"));
}

std::optional<Operator> OperatorApi::Identify(
    const net::HttpRequest& request) const {
  if (!m_init.tokens->is_required()) {
    return Operator{request.client_name, OperatorRole::kOperator};
  }
  if (!request.client_name.empty()) {
    return m_init.tokens->Named(request.client_name);
  }
  return m_init.tokens->OwnerOf(net::BearerHash(request));
}

std::optional<Operator> OperatorApi::Admit(net::HttpExchange& exchange,
                                           bool is_read_only) const {
  std::optional<Operator> who = Identify(exchange.request());
  if (!who) {
    Refuse(exchange, 401, "unauthorised",
           "expected an operator's token or client certificate", "");
  } else if (who->role == OperatorRole::kViewer && !is_read_only) {
    Refuse(exchange, 403, "forbidden", "a viewer only reads", who->name);
    who.reset();
  }
  return who;
}

void OperatorApi::Forward(const std::shared_ptr<net::HttpExchange>& exchange) {
  const net::HttpRequest& request = exchange->request();
  const std::optional<Operator> who = Admit(*exchange, request.method == "GET");
  if (!who) {
    return;
  }
  std::string body = WithOperator(request.body, who->name);
  m_init.link->Operate(
      request.method, request.target, std::move(body),
      m_init.timers->Now() + kOperateTimeout,
      [exchange](const control::OperatorReply& reply) {
        exchange->Respond(Reply(reply.status, "application/json", reply.body));
      });
}

}  // namespace laurelhall::daemon
