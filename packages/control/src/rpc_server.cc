#include "rpc_server_p.h"

#include <utility>

#include "fulfiller_p.h"
#include "laurelhall/base/log.h"
#include "laurelhall/state/command.h"
#include "wire_hello_p.h"
#include "wire_p.h"

namespace laurelhall::control {

namespace {

constexpr size_t kMaxConnections = 1'024;
constexpr Millis kForwardTimeout = std::chrono::seconds(10);
// Between two lines that tell of connections refused.
constexpr Millis kTellPeriod = std::chrono::seconds(1);
constexpr Millis kHandshakeTimeout = std::chrono::seconds(5);
constexpr const char* kNoLeader =
    R"({"error":"no leader is known; try again"})";

class RpcServer final : public proto::ControlHost::Server {
 public:
  /// @param stream Outlives this.
  RpcServer(HostLoop& host,
            std::optional<PeerIdentity> peer,
            BufferedStream& stream)
      : m_host(host), m_peer(std::move(peer)), m_stream(stream) {}

  kj::Promise<void> step(StepContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    RequireControlHost();
    std::vector<consensus::Message> messages;
    for (const auto message : params.getMessages()) {
      messages.push_back(proto::DecodeMessage(message));
    }
    if (!params.getTakesAnswer()) {
      context.releaseParams();
      m_host.Step(messages);
      return kj::READY_NOW;
    }
    // Held first: what it has to say at once comes with the answer, too.
    auto held = m_host.peers().Hold(ToString(params.getEnvelope().getSender()));
    context.releaseParams();
    m_host.Step(messages);
    return held.then([context](PeerLinks::Messages&& answer) mutable {
      const size_t room = answer.size() * kMessageBytes;
      auto out = context.getResults(RoomFor(room)).initMessages(answer.size());
      for (uint32_t i = 0; i < out.size(); ++i) {
        proto::EncodeMessage(answer[i], out[i]);
      }
    });
  }

  kj::Promise<void> sync(SyncContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    SyncQuestion question = ReadSyncQuestion(params.getRequest());
    RequireName(question.entry.name);
    context.releaseParams();
    auto pair = kj::newPromiseAndFulfiller<std::optional<SyncAnswer>>();
    m_host.Sync(std::move(question),
                MakeFulfiller(m_host.mailbox(), kj::mv(pair.fulfiller)));
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
    RequireName(ToString(params.getEnvelope().getSender()));
    const std::string payload = ToString(params.getCommands());
    context.releaseParams();
    auto pair = kj::newPromiseAndFulfiller<SubmitOutcome>();
    m_host.Submit(state::DecodeCommands(payload), payload.size(),
                  MakeFulfiller(m_host.mailbox(), kj::mv(pair.fulfiller)));
    return pair.promise.then([this, context](SubmitOutcome&& outcome) mutable {
      WriteOutcome(outcome, context.getResults().initReply());
    });
  }

  kj::Promise<void> operate(OperateContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    const std::string sender = ToString(params.getEnvelope().getSender());
    const bool is_forwarded = m_host.IsPeerAddress(sender);
    // The caller goes to the leader itself from then on: no second hop each.
    const bool may_forward =
        !is_forwarded && ToString(params.getPath()) != kSchedulePath;
    if (is_forwarded) {
      RequireControlHost();
    } else {
      RequireName(sender);
    }
    auto pair = kj::newPromiseAndFulfiller<std::optional<OperatorReply>>();
    m_host.Operate(ToString(params.getMethod()), ToString(params.getPath()),
                   ToString(params.getBody()),
                   MakeFulfiller(m_host.mailbox(), kj::mv(pair.fulfiller)));
    return pair.promise.then(
        [this, context, may_forward](
            std::optional<OperatorReply>&& reply) mutable -> kj::Promise<void> {
          if (!reply && may_forward && !m_host.LeaderAddress().empty()) {
            return Forward(context);
          }
          const size_t room = reply ? reply->body.size() : 0;
          WriteReply(reply, context.getResults(RoomFor(room)).initReply());
          return kj::READY_NOW;
        });
  }

  kj::Promise<void> hello(HelloContext context) override {
    const auto params = context.getParams();
    if (!Admit(params.getEnvelope())) {
      return kj::NEVER_DONE;
    }
    const HostHello hello = ReadHello(params.getHello());
    RequireControlHost();
    RequireName(hello.name);
    const HostHello answer = m_host.Hello(hello);
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
    PreferPeer(ToString(envelope.getSender()));
    return mode == CutMode::kNone;
  }

  // What members say to each other keeps the leader in office and commits what
  // callers wait for, so it takes no turns with these.
  void PreferPeer(const std::string& sender) {
    const bool may_be_peer = !m_peer || m_peer->is_control_host;
    if (!m_is_preferred && may_be_peer && m_host.IsPeerAddress(sender)) {
      m_is_preferred = true;
      m_stream.LeaveGate();
    }
  }

  // With TLS, the caller's certificate must be a control host's. Not only one
  // of the membership known here: a member that was away must hear a leader
  // that joined meanwhile, or it would never learn of it.
  void RequireControlHost() const {
    if (m_peer && !m_peer->is_control_host) {
      throw std::runtime_error("refused: \"" + m_peer->name +
                               "\" has no control host's certificate");
    }
  }

  // With TLS, the caller must be whom it says it is.
  void RequireName(const std::string& name) const {
    if (m_peer && m_peer->name != name) {
      throw std::runtime_error("refused: the certificate of \"" + m_peer->name +
                               "\" does not speak for another daemon");
    }
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
  const std::optional<PeerIdentity> m_peer;  // None without TLS.
  BufferedStream& m_stream;
  bool m_is_preferred = false;
};

// One accepted connection and all that serves it.
struct Session {
  Session(HostLoop& host,
          kj::Timer& timer,
          VerifiedStream verified,
          TurnGate& gate)
      : stream(kj::mv(verified.stream), timer, &gate),
        network(stream,
                capnp::rpc::twoparty::Side::SERVER,
                proto::BoundedReaderOptions()),
        rpc(capnp::makeRpcServer(network,
                                 kj::heap<RpcServer>(host,
                                                     std::move(verified.peer),
                                                     stream.bytes()))) {}

  RpcMessageStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

RpcListener::RpcListener(LoopContext loop,
                         HostLoop& host,
                         kj::Own<kj::ConnectionReceiver> receiver)
    : m_loop(std::move(loop)),
      m_host(host),
      m_gate(m_loop.timer),
      m_tasks(*this),
      m_accept(
          m_loop.timer,
          kj::mv(receiver),
          [this](kj::Own<kj::AsyncIoStream> stream) { Take(kj::mv(stream)); }) {
}

void RpcListener::taskFailed(kj::Exception&& exception) {
  PartLog("control")->warn("A connection failed: {}.",
                           exception.getDescription().cStr());
}

void RpcListener::Take(kj::Own<kj::AsyncIoStream> stream) {
  if (m_connections >= kMaxConnections) {
    TellRefused();
    return;
  }
  ++m_connections;
  m_tasks.add(Verify(kj::mv(stream))
                  .then([this](VerifiedStream&& verified) {
                    return Serve(kj::mv(verified));
                  })
                  .attach(kj::defer([this] { --m_connections; })));
}

void RpcListener::TellRefused() {
  ++m_refused;
  const SteadyTime now = std::chrono::steady_clock::now();
  if (now < m_next_tell) {
    return;
  }
  m_next_tell = now + kTellPeriod;
  PartLog("control")->warn("{} connections are refused: {} are open.",
                           std::exchange(m_refused, 0), m_connections);
}

kj::Promise<VerifiedStream> RpcListener::Verify(
    kj::Own<kj::AsyncIoStream> stream) {
  if (m_loop.tls == nullptr) {
    return VerifiedStream{kj::mv(stream), std::nullopt};
  }
  return m_loop.timer.timeoutAfter(ToKj(kHandshakeTimeout),
                                   m_loop.tls->Accept(kj::mv(stream)));
}

kj::Promise<void> RpcListener::Serve(VerifiedStream verified) {
  auto session =
      kj::heap<Session>(m_host, m_loop.timer, kj::mv(verified), m_gate);
  auto ended = session->network.onDisconnect();
  // How a connection that was served ends is no fault of this host.
  return ended.attach(kj::mv(session)).catch_([](kj::Exception&&) {});
}

}  // namespace laurelhall::control
