#include <algorithm>
#include <set>
#include <utility>

#include "host_loop_p.h"
#include "laurelhall/base/log.h"
#include "wire_hello_p.h"

namespace laurelhall::control {

namespace {

constexpr Millis kHelloTimeout = std::chrono::seconds(1);
constexpr size_t kMaxWaiting = 100;
// Ten heartbeats and an election without a word of a leader.
constexpr Millis kForgotten = std::chrono::seconds(3);

}  // namespace

HostHello HostLoop::SelfHello() const {
  HostHello hello;
  hello.node = m_self;
  hello.name = m_parts.init.name;
  hello.address = m_address;
  hello.availability_zone = m_parts.init.availability_zone;
  hello.is_member = !IsWaiting();
  hello.may_bootstrap = m_parts.init.may_bootstrap;
  hello.bootstrap = m_first_membership;
  if (!m_status.membership.members.empty()) {
    hello.membership = m_status.membership;
  }
  hello.leader_address = LeaderAddress();
  hello.has_seen_cluster = hello.is_member || m_bootstrap.has_seen_cluster();
  return hello;
}

bool HostLoop::IsWaiting() const {
  return !IsOut() && !m_is_adopting && m_status.last == 0 &&
         !m_status.membership.members.contains(m_self);
}

// A member that heard of no leader for long may have been removed meanwhile.
bool HostLoop::IsForgotten(SteadyTime now) const {
  return m_parts.init.admits_newcomers && m_node != nullptr && !IsLeading() &&
         now - std::max(m_status.leader_contact, m_started_at) > kForgotten;
}

HostHello HostLoop::Hello(const HostHello& hello) {
  m_bootstrap.Heard(hello);
  const auto known = m_waiting.find(hello.name);
  const bool is_removed = m_parts.init.admits_newcomers && IsLeading() &&
                          m_status.is_leader_confirmed &&
                          !m_status.membership.members.contains(hello.node);
  if ((!hello.is_member || is_removed) &&
      (known != m_waiting.end() || m_waiting.size() < kMaxWaiting)) {
    m_waiting[hello.name] = {
        hello.node,
        {hello.address, hello.availability_zone, hello.name, false},
        Now()};
  } else if (known != m_waiting.end() && known->second.node == hello.node) {
    m_waiting.erase(known);
  }
  TryToJoin();
  return SelfHello();
}

void HostLoop::SayHello() {
  std::set<std::string> addresses;
  for (const consensus::Member& member : m_parts.init.first_members) {
    addresses.insert(member.address);
  }
  for (const auto& [id, member] : m_status.membership.members) {
    addresses.insert(member.address);
  }
  addresses.erase(m_address);
  for (const std::string& address : addresses) {
    SayHelloTo(address, true);
  }
  TryToJoin();
}

// The leader, which alone can let this host in, may be none of those known.
void HostLoop::SayHelloTo(const std::string& address, bool follows_leader) {
  auto call = [this, address, follows_leader](
                  proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto request = client.helloRequest();
    m_peers.envelope().Fill(request.initEnvelope());
    WriteHello(SelfHello(), request.initHello());
    const uint64_t epoch = m_bootstrap.epoch();
    return request.send().then(
        [this, epoch, address, follows_leader](auto&& response) {
          const HostHello hello = ReadHello(response.getHello());
          m_bootstrap.Answered(hello, epoch);
          TryToJoin();
          if (follows_leader && !hello.leader_address.empty() &&
              hello.leader_address != address &&
              hello.leader_address != m_address) {
            SayHelloTo(hello.leader_address, false);
          }
        });
  };
  m_tasks.add(m_peers.ChannelTo(address)
                  .Run(kHelloTimeout, kj::mv(call))
                  .catch_([](kj::Exception&&) {}));
}

void HostLoop::TryToJoin() {
  if (!IsWaiting()) {
    return;
  }
  m_join = m_bootstrap.Decide();
  if (m_join.bootstrap) {
    AdoptFirst(*m_join.bootstrap);
  } else if (m_join.membership) {
    JoinLater(*m_join.membership);
  }
}

// While it waits, a node enters terms but votes for nobody.
consensus::HardState HostLoop::EmptyHardState() const {
  if (m_status.term > m_recovered_hard_state.term) {
    return {m_status.term, consensus::NodeId(), 0};
  }
  return m_recovered_hard_state;
}

// The first membership becomes the log's first entry, the same on each host
// that adopts it; no node runs until it is durable.
void HostLoop::AdoptFirst(const consensus::Membership& first) {
  PartLog("control")->info("This host takes part in a new cluster of {}.",
                           first.members.size());
  m_is_adopting = true;
  m_first_membership = first;
  m_recovered_hard_state = EmptyHardState();
  m_recovered_hard_state.term =
      std::max<consensus::Term>(m_recovered_hard_state.term, 1);
  m_recovered_hard_state.commit = 1;
  consensus::Ready ready;
  ready.hard_state = m_recovered_hard_state;
  ready.entries.push_back({1, 1, consensus::EntryKind::kMembership,
                           consensus::EncodeMembership(first)});
  m_node.reset();
  m_writer->Add(ready);
}

void HostLoop::FinishAdopting() {
  consensus::NodeInit init = NodeDefaults();
  init.hard_state = m_recovered_hard_state;
  init.log.push_back({1, 1, consensus::EntryKind::kMembership,
                      consensus::EncodeMembership(*m_first_membership)});
  MakeNode(std::move(init));
  m_is_adopting = false;
  Advance();
}

// The membership names this very folder, which has never voted for less than
// it knows: it votes from now on, and the log comes from the leader.
void HostLoop::JoinLater(const consensus::Membership& membership) {
  consensus::NodeInit init = NodeDefaults();
  init.bootstrap = membership;
  init.hard_state = EmptyHardState();
  MakeNode(std::move(init));
  Advance();
}

}  // namespace laurelhall::control
