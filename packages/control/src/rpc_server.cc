#include "rpc_server_p.h"

#include <memory>
#include <utility>

#include "laurelhall/base/log.h"
#include "laurelhall/state/command.h"
#include "wire_hello_p.h"
#include "wire_p.h"

namespace laurelhall::control {

namespace {

constexpr size_t kMaxConnections = 1'024;
constexpr Millis kForwardTimeout = std::chrono::seconds(10);
constexpr const char* kNoLeader =
    R"({"error":"no leader is known; try again"})";

// A promise's fulfiller in a form that std::function can hold.
template <typename T>
auto MakeFulfiller(kj::Own<kj::PromiseFulfiller<T>> fulfiller) {
  auto shared =
      std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(kj::mv(fulfiller));
  return [shared](T value) { (*shared)->fulfill(kj::mv(value)); };
}

class RpcServer final : public proto::ControlHost::Server {
 public:
  explicit RpcServer(HostLoop& host) : m_host(host) {}

  kj::Promise<void> step(StepContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    std::vector<consensus::Message> messages;
    for (const auto message : params.getMessages()) {
      messages.push_back(proto::DecodeMessage(message));
    }
    context.releaseParams();
    m_host.Step(messages);
    return kj::READY_NOW;
  }

  kj::Promise<void> sync(SyncContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    SyncQuestion question = ReadSyncQuestion(params.getRequest());
    context.releaseParams();
    auto pair = kj::newPromiseAndFulfiller<std::optional<SyncAnswer>>();
    m_host.Sync(std::move(question), MakeFulfiller(kj::mv(pair.fulfiller)));
    return pair.promise.then(
        [this, context](std::optional<SyncAnswer>&& answer) mutable {
          auto reply = context.getResults().initReply();
          if (answer) {
            WriteSyncAnswer(*answer, reply);
          } else {
            reply.setLeaderAddress(m_host.LeaderAddress());
          }
        });
  }

  kj::Promise<void> submit(SubmitContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    const std::string payload = ToString(params.getCommands());
    context.releaseParams();
    auto pair = kj::newPromiseAndFulfiller<SubmitOutcome>();
    m_host.Submit(state::DecodeCommands(payload), payload.size(),
                  MakeFulfiller(kj::mv(pair.fulfiller)));
    return pair.promise.then([this, context](SubmitOutcome&& outcome) mutable {
      WriteOutcome(outcome, context.getResults().initReply());
    });
  }

  kj::Promise<void> operate(OperateContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    const bool is_forwarded =
        m_host.IsPeerAddress(ToString(params.getEnvelope().getSender()));
    auto pair = kj::newPromiseAndFulfiller<std::optional<OperatorReply>>();
    m_host.Operate(ToString(params.getMethod()), ToString(params.getPath()),
                   ToString(params.getBody()),
                   MakeFulfiller(kj::mv(pair.fulfiller)));
    return pair.promise.then(
        [this, context, is_forwarded](
            std::optional<OperatorReply>&& reply) mutable -> kj::Promise<void> {
          if (!reply && !is_forwarded && !m_host.LeaderAddress().empty()) {
            return Forward(context);
          }
          WriteReply(reply, context.getResults().initReply());
          return kj::READY_NOW;
        });
  }

  kj::Promise<void> hello(HelloContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    const HostHello answer = m_host.Hello(ReadHello(params.getHello()));
    WriteHello(answer, context.getResults().initHello());
    return kj::READY_NOW;
  }

 private:
  // Checks who calls; false when a test has cut the caller off in silence.
  bool Admit(proto::Envelope::Reader envelope) {
    const auto& filter = m_host.init().filter;
    const CutMode mode =
        filter ? filter->Get(ToString(envelope.getSender())) : CutMode::kNone;
    if (mode == CutMode::kRefuse) {
      throw std::runtime_error("refused by the connection filter");
    }
    proto::CheckEnvelope(m_host.peers().envelope().credentials, envelope);
    return mode == CutMode::kNone;
  }

  void WriteOutcome(const SubmitOutcome& outcome,
                    proto::SubmitReply::Builder out) {
    out.setIsLeader(outcome.status != SubmitStatus::kNotLeader);
    out.setLeaderAddress(m_host.LeaderAddress());
    if (outcome.status == SubmitStatus::kUnknown) {
      out.setError("unknown");
    } else if (outcome.status == SubmitStatus::kBusy) {
      out.setError("busy");
    }
    auto results = out.initResults(outcome.results.size());
    for (uint32_t i = 0; i < results.size(); ++i) {
      results.set(i, EncodeResult(outcome.results[i]));
    }
  }

  void WriteReply(const std::optional<OperatorReply>& reply,
                  proto::OperateReply::Builder out) {
    out.setIsLeader(reply.has_value());
    out.setLeaderAddress(m_host.LeaderAddress());
    out.setStatus(reply ? reply->status : 503);
    out.setBody(reply ? reply->body : kNoLeader);
  }

  // Passes an operator's request on to the leader, one hop at most.
  kj::Promise<void> Forward(OperateContext context) {
    auto call =
        [this, context](
            proto::ControlHost::Client& client) mutable -> kj::Promise<void> {
      const auto params = context.getParams();
      auto request = client.operateRequest();
      m_host.peers().envelope().Fill(request.initEnvelope());
      request.setMethod(params.getMethod());
      request.setPath(params.getPath());
      request.setBody(params.getBody());
      return request.send().then([context](auto&& response) mutable {
        context.getResults().setReply(response.getReply());
      });
    };
    return m_host.peers()
        .ChannelTo(m_host.LeaderAddress())
        .Run(kForwardTimeout, kj::mv(call));
  }

  HostLoop& m_host;
};

// One accepted connection and all that serves it.
struct Session {
  Session(kj::Own<kj::AsyncIoStream> accepted,
          proto::ControlHost::Client server)
      : stream(kj::mv(accepted)),
        network(*stream,
                capnp::rpc::twoparty::Side::SERVER,
                proto::BoundedReaderOptions()),
        rpc(capnp::makeRpcServer(network, kj::mv(server))) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

RpcListener::RpcListener(HostLoop& host,
                         kj::Own<kj::ConnectionReceiver> receiver)
    : m_server(kj::heap<RpcServer>(host)),
      m_receiver(kj::mv(receiver)),
      m_tasks(*this) {
  m_tasks.add(AcceptForEver());
}

void RpcListener::taskFailed(kj::Exception&& exception) {
  PartLog("control")->warn("A connection failed: {}.",
                           exception.getDescription().cStr());
}

kj::Promise<void> RpcListener::AcceptForEver() {
  return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
    if (m_connections < kMaxConnections) {
      Serve(kj::mv(stream));
    }
    return AcceptForEver();
  });
}

void RpcListener::Serve(kj::Own<kj::AsyncIoStream> stream) {
  ++m_connections;
  auto session = kj::heap<Session>(kj::mv(stream), m_server);
  auto ended = session->network.onDisconnect();
  m_tasks.add(ended.attach(kj::mv(session))
                  .then([this] { --m_connections; },
                        [this](kj::Exception&&) { --m_connections; }));
}

}  // namespace laurelhall::control
