#include "client_loop_p.h"

#include <algorithm>
#include <sstream>

#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

constexpr Millis kTick{10};
// While two groups are on their way, what comes meanwhile goes together.
constexpr size_t kMaxCalls = 2;
// Beyond them one each so often: where commits take longer, what comes
// meanwhile would miss the sync that it could be part of.
constexpr Millis kNextCall{40};
constexpr size_t kMaxGroupCommands = 256;
constexpr size_t kMaxGroupBytes = 1 << 20;
constexpr size_t kMaxWaiting = 20'000;
constexpr size_t kMaxUnsentBurn = 10'000;
constexpr Millis kSyncRetry{100};
// A control host that leads answers after a sync of the disks, some tens of
// milliseconds; one that is silent for so long is not waited for.
constexpr Millis kScheduleTimeout{600};
// A request that changes something is sent only to a control host that was
// heard of so lately. Another one is asked for a sign of life first: what was
// sent to a host that is gone may have been carried out for all its caller
// knows. An entry host hears of its leader with each answer, some tens a
// second.
constexpr Millis kHeardLately{300};
constexpr Millis kSignOfLife{400};
// Members are replaced seconds apart at the most.
constexpr Millis kMembersPeriod{2'000};
// Counted for a command besides an answer that it carries.
constexpr size_t kCommandBytes = 256;

size_t BytesOf(const state::Command& command) {
  const auto* complete = std::get_if<state::CompleteCommand>(&command);
  return kCommandBytes + (complete ? complete->answer.body.data.size() : 0);
}

OperatorReply Unavailable(const std::string& error) {
  return {503, R"({"error":")" + error + R"("})"};
}

}  // namespace

ClientLoop::ClientLoop(LoopContext loop,
                       ControlClientInit init,
                       RenewalBox& renewals)
    : m_loop(std::move(loop)),
      m_init(std::move(init)),
      m_envelope{{m_init.cluster, m_init.cluster_key}, m_init.identity.name},
      m_renewals(renewals),
      m_finder(m_init.control_addresses),
      m_tasks(*this) {
  m_tasks.add(RunEvery(m_loop.timer, kTick, [this] { Tick(); }));
}

ClientLoop::~ClientLoop() {
  while (!m_deadlines.empty()) {
    const PendingPtr pending = m_deadlines.begin()->second;
    Finish(*pending, std::nullopt);
  }
}

void ClientLoop::taskFailed(kj::Exception&& exception) {
  PartLog("control")->error("A task failed: {}.",
                            exception.getDescription().cStr());
}

RpcChannel& ClientLoop::ChannelTo(const std::string& address) {
  auto& channel = m_channels[address];
  if (!channel) {
    channel = std::make_unique<RpcChannel>(m_loop, address, m_init.filter);
  }
  return *channel;
}

void ClientLoop::Tick() {
  const SteadyTime now = Now();
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const PendingPtr pending = m_deadlines.begin()->second;
    Finish(*pending, std::nullopt);
  }
  SendGroups();
  if (m_init.learns_members && now >= m_next_members) {
    m_next_members = now + kMembersPeriod;
    LearnMembers();
  }
  if (m_listener != nullptr && now >= m_next_sync &&
      now >= m_finder.ready_at()) {
    Sync();
  }
}

void ClientLoop::Finish(Pending& pending, std::optional<state::Result> result) {
  if (!pending.done) {
    return;
  }
  m_deadlines.erase(pending.deadline);
  const Done done = std::exchange(pending.done, nullptr);
  done(std::move(result));
}

// --- Commands --------------------------------------------------------------

void ClientLoop::Submit(state::Command command,
                        SteadyTime deadline,
                        Done done) {
  if (m_waiting.size() >= kMaxWaiting || deadline <= Now()) {
    done(std::nullopt);
    return;
  }
  const size_t bytes = BytesOf(command);
  auto pending = std::make_shared<Pending>(
      Pending{std::move(command), bytes, std::move(done), {}});
  pending->deadline = m_deadlines.emplace(deadline, pending);
  m_waiting.push_back(std::move(pending));
  ScheduleSend();
}

void ClientLoop::ScheduleSend() {
  if (m_is_send_scheduled) {
    return;
  }
  m_is_send_scheduled = true;
  m_tasks.add(kj::evalLast([this] {
    m_is_send_scheduled = false;
    SendGroups();
  }));
}

void ClientLoop::SendGroups() {
  while (!m_waiting.empty() && MaySendGroup() && Now() >= m_finder.ready_at()) {
    const Group group = TakeGroup();
    if (!group.empty()) {
      SendGroup(group);
    }
  }
}

bool ClientLoop::MaySendGroup() const {
  return m_calls < kMaxCalls || Now() - m_group_sent_at >= kNextCall;
}

ClientLoop::Group ClientLoop::TakeGroup() {
  Group group;
  size_t bytes = 0;
  while (
      !m_waiting.empty() && group.size() < kMaxGroupCommands &&
      (group.empty() || bytes + m_waiting.front()->bytes <= kMaxGroupBytes)) {
    PendingPtr pending = std::move(m_waiting.front());
    m_waiting.pop_front();
    if (pending->done) {
      bytes += pending->bytes;
      group.push_back(std::move(pending));
    }
  }
  return group;
}

void ClientLoop::SendGroup(const Group& group) {
  ++m_calls;
  m_group_sent_at = Now();
  const std::string address = m_finder.current();
  std::vector<state::Command> commands;
  for (const PendingPtr& pending : group) {
    commands.push_back(pending->command);
  }
  auto call = [this, address, group, payload = state::EncodeCommands(commands)](
                  proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto request = client.submitRequest();
    m_envelope.Fill(request.initEnvelope());
    request.setCommands(ToData(payload));
    return request.send().then([this, address, group](auto&& response) {
      OnSubmitReply(address, group, response.getReply());
    });
  };
  m_tasks.add(ChannelTo(address)
                  .Run(m_init.call_timeout, kj::mv(call))
                  .catch_([this, address, group,
                           sent_at = m_group_sent_at](kj::Exception&&) {
                    FailedUnlessHeard(address, sent_at);
                    Requeue(group);
                  })
                  .then([this] {
                    --m_calls;
                    SendGroups();
                  }));
}

void ClientLoop::OnSubmitReply(const std::string& address,
                               const Group& group,
                               proto::SubmitReply::Reader reply) {
  if (!reply.getIsLeader()) {
    DoesNotLead(address, ToString(reply.getLeaderAddress()));
    Requeue(group);
    return;
  }
  const auto results = reply.getResults();
  if (results.size() != group.size()) {
    DoesNotLead(address, ToString(reply.getLeaderAddress()));
    Requeue(group);
    return;
  }
  m_finder.Led(address);
  for (uint32_t i = 0; i < results.size(); ++i) {
    Finish(*group[i], DecodeResult(ToString(results[i])));
  }
}

void ClientLoop::PollClaim(
    const state::ClaimCommand& command,
    SteadyTime deadline,
    const std::function<void(std::optional<state::ClaimResult>)>& done) {
  const auto left = std::chrono::ceil<Millis>(deadline - Now());
  const std::string address = m_finder.current();
  auto call = [this, address, done, body = state::EncodeCommands({command})](
                  proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto answer = SendOperate(client, "GET", kClaimPath, body);
    return answer.then([done](auto&& response) {
      const auto reply = response.getReply();
      if (!reply.getIsLeader() || reply.getStatus() != 200) {
        done(std::nullopt);
        return;
      }
      const state::Result result = DecodeResult(ToString(reply.getBody()));
      const auto* claim = std::get_if<state::ClaimResult>(&result);
      done(claim == nullptr ? std::nullopt : std::optional(*claim));
    });
  };
  m_tasks.add(
      ChannelTo(address)
          .Run(std::clamp(left, Millis(1), m_init.call_timeout), kj::mv(call))
          .catch_([done](kj::Exception&&) { done(std::nullopt); }));
}

// The same commands go out again: each is recognised by its request id.
void ClientLoop::Requeue(const Group& group) {
  for (auto pending = group.rbegin(); pending != group.rend(); ++pending) {
    if ((*pending)->done) {
      m_waiting.push_front(*pending);
    }
  }
}

// --- Sync ------------------------------------------------------------------

void ClientLoop::Start(ViewListener& listener) {
  m_listener = &listener;
}

void ClientLoop::Sync() {
  if (m_is_sync_under_way) {
    return;
  }
  m_is_sync_under_way = true;
  const std::string address = m_finder.current();
  const SteadyTime asked_at = Now();
  m_next_sync = asked_at + m_init.sync_period;
  auto question = std::make_shared<SyncQuestion>();
  question->entry = m_init.identity;
  question->settings_version = m_view.settings_version();
  question->endpoints_index = m_view.endpoints_index();
  question->leases = m_leases.Next(m_listener->SlotDemands());
  question->renewals = m_renewals.TakeAll();
  question->burn = std::exchange(m_unsent_burn, {});
  for (state::BurnSample& sample : m_listener->TakeBurnSamples()) {
    question->burn.push_back(std::move(sample));
  }
  auto call = [this, address, question, asked_at](
                  proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto request = client.syncRequest();
    m_envelope.Fill(request.initEnvelope());
    WriteSyncQuestion(*question, request.initRequest());
    return request.send().then(
        [this, address, question, asked_at](auto&& response) {
          OnSyncReply(address, *question, asked_at, response.getReply());
        });
  };
  m_tasks.add(ChannelTo(address)
                  .Run(m_init.call_timeout, kj::mv(call))
                  .catch_([this, address, question, asked_at](kj::Exception&&) {
                    FailedUnlessHeard(address, asked_at);
                    PutBack(*question, false);
                  })
                  .then([this] { m_is_sync_under_way = false; }));
}

void ClientLoop::OnSyncReply(const std::string& address,
                             const SyncQuestion& question,
                             SteadyTime asked_at,
                             proto::SyncReply::Reader reply) {
  if (!reply.getIsLeader()) {
    DoesNotLead(address, ToString(reply.getLeaderAddress()));
    PutBack(question, true);
    return;
  }
  m_finder.Led(address);
  const SyncAnswer answer = ReadSyncAnswer(reply);
  std::optional<View> view;
  try {
    view = m_view.Take(answer, asked_at);
  } catch (const std::exception& error) {
    PartLog("control")->error("The leader's answer does not fit: {}.",
                              error.what());
    return;
  }
  if (!view) {
    PartLog("control")->warn("{} answered with an older state.", address);
    m_finder.Failed(address, Now());
    return;
  }
  view->grants = m_leases.Take(answer.leases);
  if (!view->grants) {
    m_next_sync = Now();  // Nothing was renewed: at once, in full.
  }
  m_listener->OnView(*view);
}

// Burn samples add up, so they go out again only if surely not counted.
void ClientLoop::PutBack(const SyncQuestion& question, bool is_surely_unseen) {
  m_next_sync = Now() + kSyncRetry;
  for (const Renewal& renewal : question.renewals) {
    m_renewals.Put(renewal.endpoint, renewal.incarnation);
  }
  if (is_surely_unseen && m_unsent_burn.size() < kMaxUnsentBurn) {
    m_unsent_burn.insert(m_unsent_burn.end(), question.burn.begin(),
                         question.burn.end());
  }
}

// --- Scheduling ------------------------------------------------------------

void ClientLoop::AskSchedule(Asked asked) {
  const SteadyTime now = Now();
  if (asked.request.deadline <= now) {
    asked.done(std::nullopt, asked.may_have_run);
    return;
  }
  const std::string address = m_finder.current();
  const bool is_heard = ChannelTo(address).HasHeardSince(now - kHeardLately);
  if (!is_heard && !asked.request.is_query) {
    AskOnceHeard(address, std::move(asked));
    return;
  }
  auto shared = std::make_shared<Asked>(std::move(asked));
  auto call = [this, address, shared](
                  proto::ControlHost::Client& client) -> kj::Promise<void> {
    const bool may_have_run_before = std::exchange(shared->may_have_run, true);
    return SendOperate(client, "POST", kSchedulePath, shared->request.body)
        .then([this, address, shared, may_have_run_before](auto&& response) {
          const auto reply = response.getReply();
          if (!reply.getIsLeader()) {
            shared->may_have_run = may_have_run_before;
            DoesNotLead(address, ToString(reply.getLeaderAddress()));
            AskAgain(std::move(*shared));
            return;
          }
          m_finder.Led(address);
          shared->done(ToString(reply.getBody()), true);
        });
  };
  const auto left = std::chrono::ceil<Millis>(shared->request.deadline - now);
  m_tasks.add(ChannelTo(address)
                  .Run(std::min(left, kScheduleTimeout), kj::mv(call))
                  .catch_([this, address, shared, now](kj::Exception&&) {
                    FailedUnlessHeard(address, now);
                    // A later try's answer would speak for that one alone.
                    if (shared->may_have_run) {
                      shared->done(std::nullopt, true);
                    } else {
                      AskAgain(std::move(*shared));
                    }
                  }));
}

void ClientLoop::AskAgain(Asked asked) {
  const SteadyTime ready = std::max(m_finder.ready_at(), Now());
  const auto delay = std::chrono::ceil<Millis>(ready - Now());
  auto shared = std::make_shared<Asked>(std::move(asked));
  m_tasks.add(m_loop.timer.afterDelay(ToKj(delay)).then([this, shared] {
    AskSchedule(std::move(*shared));
  }));
}

// Requests that come meanwhile share one question.
void ClientLoop::AskOnceHeard(const std::string& address, Asked asked) {
  std::vector<Asked>& waiting = m_unheard[address];
  waiting.push_back(std::move(asked));
  if (waiting.size() > 1) {
    return;
  }
  AskMembers(address, kSignOfLife, [this, address](bool is_alive) {
    if (!is_alive) {
      m_finder.Failed(address, Now());
    }
    for (Asked& each : std::exchange(m_unheard[address], {})) {
      AskAgain(std::move(each));
    }
  });
}

void ClientLoop::AskMembers(const std::string& address,
                            Millis timeout,
                            const std::function<void(bool is_alive)>& done) {
  auto call = [this, address,
               done](proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto answer = SendOperate(client, "GET", kMembersPath, "");
    return answer.then([this, address, done](auto&& response) {
      m_finder.Heard(address);
      std::istringstream lines(ToString(response.getReply().getBody()));
      std::vector<std::string> addresses;
      for (std::string line; std::getline(lines, line);) {
        addresses.push_back(line);
      }
      m_finder.Learn(addresses);
      done(true);
    });
  };
  m_tasks.add(
      ChannelTo(address)
          .Run(timeout, kj::mv(call))
          .catch_([this, address, done, asked_at = Now()](kj::Exception&&) {
            done(ChannelTo(address).HasHeardSince(asked_at));
          }));
}

// One that answers other calls is there, and busy: the next host would only
// send the caller back.
void ClientLoop::FailedUnlessHeard(const std::string& address,
                                   SteadyTime since) {
  if (!ChannelTo(address).HasHeardSince(since)) {
    m_finder.Failed(address, Now());
  }
}

// After a cold start every host has failed lately, the leader among them.
// Whether it is there now is asked beside the requests, which don't wait for
// one that is dead.
void ClientLoop::DoesNotLead(const std::string& address,
                             const std::string& hint) {
  m_finder.DoesNotLead(address, hint, Now());
  if (m_finder.doubted().empty() || m_is_doubt_asked) {
    return;
  }
  m_is_doubt_asked = true;
  AskMembers(m_finder.doubted(), kSignOfLife,
             [this](bool) { m_is_doubt_asked = false; });
}

// The addresses of the start may all be replaced in time. Asked again in a
// while when there is no answer; the known ones do until then.
void ClientLoop::LearnMembers() {
  AskMembers(m_finder.current(), kScheduleTimeout, [](bool) {});
}

// --- Operators -------------------------------------------------------------

capnp::RemotePromise<proto::ControlHost::OperateResults>
ClientLoop::SendOperate(proto::ControlHost::Client& client,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body) const {
  auto request =
      client.operateRequest(RoomFor(method.size() + path.size() + body.size()));
  m_envelope.Fill(request.initEnvelope());
  request.setMethod(method);
  request.setPath(path);
  request.setBody(body);
  return request.send();
}

void ClientLoop::Operate(const std::string& method,
                         const std::string& path,
                         const std::string& body,
                         SteadyTime deadline,
                         const std::function<void(OperatorReply)>& done) {
  const SteadyTime now = Now();
  if (deadline <= now) {
    done(Unavailable("no leader answered; resend under the same request id"));
    return;
  }
  const std::string address = m_finder.current();
  // Called again with the same arguments where it was surely not run.
  const auto again = [this, method, path, body, deadline, done] {
    const SteadyTime ready = std::max(m_finder.ready_at(), Now() + kTick);
    const auto delay = std::chrono::ceil<Millis>(ready - Now());
    m_tasks.add(m_loop.timer.afterDelay(ToKj(delay))
                    .then([this, method, path, body, deadline, done] {
                      Operate(method, path, body, deadline, done);
                    }));
  };
  auto call = [this, address, method, path, body, done,
               again](proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto answer = SendOperate(client, method, path, body);
    return answer.then([this, address, done, again](auto&& response) {
      const auto reply = response.getReply();
      if (!reply.getIsLeader()) {
        DoesNotLead(address, ToString(reply.getLeaderAddress()));
        again();
        return;
      }
      done({reply.getStatus(), ToString(reply.getBody())});
    });
  };
  const auto left = std::chrono::ceil<Millis>(deadline - now);
  m_tasks.add(ChannelTo(address)
                  .Run(left, kj::mv(call))
                  .catch_([this, address, done, now](kj::Exception&&) {
                    FailedUnlessHeard(address, now);
                    done(
                        Unavailable("the outcome is not known; resend under "
                                    "the same request id"));
                  }));
}

}  // namespace laurelhall::control
