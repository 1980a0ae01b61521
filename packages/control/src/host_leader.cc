#include <utility>

#include "host_loop_p.h"
#include "laurelhall/base/log.h"
#include "wire_p.h"

namespace laurelhall::control {

namespace {

constexpr Millis kLeaderPeriod = std::chrono::seconds(1);
// While a voter is replaced their number is even, and one loss less is borne:
// the next step follows within some syncs, at a few microseconds a look.
constexpr Millis kRepairPeriod{50};

}  // namespace

void HostLoop::FollowRole() {
  const bool leads = m_status.role == consensus::Role::kLeader;
  if (IsLeading() && (!leads || m_status.term != m_led_term)) {
    OnLeadershipLost();
  }
  if (leads && !IsLeading()) {
    OnLeadershipGained();
  }
}

void HostLoop::OnLeadershipGained() {
  PartLog("control")->info(
      "{} leads in term {}. Its last tick came {} ms late, its disk syncs for "
      "{} ms.",
      m_parts.init.name, m_status.term, m_last_lag.count(),
      m_writer->SyncAge().count());
  m_led_term = m_status.term;
  m_leads_since = Now();
  m_next_leader_tick = Now();
  m_leader_sync =
      std::make_unique<LeaderSync>(m_parts.machine, m_led_term, m_status.last,
                                   m_leads_since, m_parts.init.session_timeout);
  ++m_counters.elections;
}

void HostLoop::OnLeadershipLost() {
  PartLog("control")->info(
      "{} no longer leads in term {}; term {} is known. Its last tick came {} "
      "ms late, its disk syncs for {} ms, its oldest proposal waits for {} ms.",
      m_parts.init.name, m_led_term, m_status.term, m_last_lag.count(),
      m_writer->SyncAge().count(), m_submits.OldestAge().count());
  m_leader_sync.reset();
  m_is_duty_running = false;
  m_is_schedule_asked = false;
  if (std::exchange(m_is_schedule_told, false)) {
    m_parts.init.schedule->OnLeadershipLost();
  }
  m_approved.clear();
  m_repair_notes.clear();
  m_submits.LostLeadership();
  m_reads.LostLeadership();
}

void HostLoop::Sync(SyncQuestion question,
                    std::function<void(std::optional<SyncAnswer>)> done) {
  ReadWithHeartbeat([this, question = std::move(question),
                     done = std::move(done)](bool is_confirmed) {
    if (!is_confirmed || !IsLeading()) {
      done(std::nullopt);
      return;
    }
    ++m_counters.syncs_answered;
    done(m_leader_sync->Answer(question, m_applier->applied(), Now()));
    Propose(m_leader_sync->TakeOpenedSessions());
  });
}

void HostLoop::TickLeader() {
  if (!IsLeading() || !m_status.is_leader_confirmed) {
    return;
  }
  TellSchedule();
  if (Now() >= m_next_repair) {
    m_next_repair = Now() + kRepairPeriod;
    StepRepair();
  }
  if (Now() < m_next_leader_tick) {
    return;
  }
  m_next_leader_tick = Now() + kLeaderPeriod;
  CommitDue();
  StepDuties();
}

// The scheduling begins once all that earlier leaders committed is applied.
void HostLoop::TellSchedule() {
  if (m_parts.init.schedule == nullptr || m_is_schedule_told ||
      m_is_schedule_asked) {
    return;
  }
  m_is_schedule_asked = true;
  Read([this, term = m_led_term](bool is_confirmed) {
    if (!IsLeading() || term != m_led_term) {
      return;
    }
    m_is_schedule_asked = false;
    if (is_confirmed) {
      m_is_schedule_told = true;
      m_parts.init.schedule->OnLeadershipGained(term);
    }
  });
}

void HostLoop::AskSchedule(
    std::string request,
    std::function<void(std::optional<OperatorReply>)> done) {
  if (!m_is_schedule_told) {
    done(std::nullopt);
    return;
  }
  m_parts.init.schedule->Handle(
      std::move(request),
      [mailbox = m_loop.mailbox, done = std::move(done)](std::string reply) {
        mailbox->Post([done, reply = std::move(reply)] {
          done(OperatorReply{200, reply});
        });
      });
}

void HostLoop::AskLeader(
    const std::string& request,
    SteadyTime deadline,
    const std::function<void(std::optional<std::string>)>& done) {
  const std::string address = LeaderAddress();
  const auto left = std::chrono::ceil<Millis>(deadline - Now());
  if (IsLeading() || address.empty() || address == m_address ||
      left <= Millis(0)) {
    done(std::nullopt);
    return;
  }
  auto& channel = m_ask_channels[address];
  if (!channel) {
    channel =
        std::make_unique<RpcChannel>(m_loop, address, m_parts.init.filter);
  }
  auto call = [this, request,
               done](proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto asked = client.operateRequest(RoomFor(request.size()));
    m_peers.envelope().Fill(asked.initEnvelope());
    asked.setMethod("POST");
    asked.setPath(kSchedulePath);
    asked.setBody(request);
    return asked.send().then([done](auto&& response) {
      const auto reply = response.getReply();
      done(reply.getIsLeader() ? std::optional(ToString(reply.getBody()))
                               : std::nullopt);
    });
  };
  m_tasks.add(channel->Run(left, kj::mv(call)).catch_([done](kj::Exception&&) {
    done(std::nullopt);
  }));
}

std::string HostLoop::MemberAddresses() const {
  std::string addresses;
  for (const auto& [id, member] : m_status.membership.members) {
    addresses += member.address + '\n';
  }
  return addresses;
}

void HostLoop::CommitDue() {
  Propose(m_leader_sync->TakeDue(Now(), WallNow()));
}

// What is lost on the way is proposed again when it is still due.
void HostLoop::Propose(std::vector<state::Command> commands) {
  if (!commands.empty()) {
    Submit(std::move(commands), 0, [](const SubmitOutcome&) {});
  }
}

// A step starts only from all that is committed so far, and the next one only
// when what this one proposed is applied or lost.
void HostLoop::StepDuties() {
  if (m_is_duty_running || m_parts.duties.empty()) {
    return;
  }
  m_is_duty_running = true;
  Read([this, term = m_led_term](bool is_confirmed) {
    if (is_confirmed && IsLeading() && term == m_led_term) {
      RunDuties(term);
    } else if (term == m_led_term) {
      m_is_duty_running = false;
    }
  });
}

void HostLoop::RunDuties(uint64_t term) {
  const LeaderView view{WallNow(), m_leader_sync->SlotsOutByHost(Now())};
  const bool is_posted = m_parts.worker.TryPost(
      [this, term, view, &parts = m_parts, mailbox = m_loop.mailbox] {
        std::vector<state::Command> commands;
        for (const auto& duty : parts.duties) {
          try {
            for (state::Command& command : duty->Step(parts.machine, view)) {
              commands.push_back(std::move(command));
            }
          } catch (const std::exception& error) {
            PartLog("control")->error("A duty failed: {}.", error.what());
          }
        }
        mailbox->Post([this, term, commands = std::move(commands)] {
          DutiesRan(term, commands);
        });
      });
  m_is_duty_running = is_posted;
}

void HostLoop::DutiesRan(uint64_t term, std::vector<state::Command> commands) {
  if (!IsLeading() || term != m_led_term) {
    return;
  }
  if (commands.empty()) {
    m_is_duty_running = false;
    return;
  }
  Submit(std::move(commands), 0, [this, term](const SubmitOutcome&) {
    if (term == m_led_term) {
      m_is_duty_running = false;
    }
  });
}

OperatorService::Commit HostLoop::MakeCommit() {
  return [this, mailbox = m_loop.mailbox, &worker = m_parts.worker](
             std::vector<state::Command> commands, auto callback) {
    mailbox->Post([this, &worker, commands = std::move(commands),
                   callback = std::move(callback)] {
      Submit(commands, 0, [&worker, callback](SubmitOutcome outcome) {
        worker.TryPost([callback, outcome = std::move(outcome)] {
          const bool is_known = outcome.status == SubmitStatus::kCommitted;
          callback(is_known ? std::optional(outcome.results) : std::nullopt);
        });
      });
    });
  };
}

void HostLoop::Operate(std::string method,
                       std::string path,
                       std::string body,
                       std::function<void(std::optional<OperatorReply>)> done) {
  if (path == kSchedulePath) {
    AskSchedule(std::move(body), std::move(done));
    return;
  }
  if (path == kMembersPath) {
    done(OperatorReply{200, MemberAddresses()});
    return;
  }
  if (path == kClaimPath) {
    FindClaim(body, done);
    return;
  }
  Read([this, method = std::move(method), path = std::move(path),
        body = std::move(body), done = std::move(done)](bool is_confirmed) {
    if (!is_confirmed || !m_parts.operators) {
      done(std::nullopt);
      return;
    }
    Publish();
    const auto reply = [mailbox = m_loop.mailbox, done](OperatorReply answer) {
      mailbox->Post([done, answer = std::move(answer)] { done(answer); });
    };
    const bool is_posted = m_parts.worker.TryPost(
        [&parts = m_parts, commit = MakeCommit(), method, path, body, reply] {
          try {
            parts.operators->Handle(method, path, body, parts.machine,
                                    parts.board.Get(), commit, reply);
          } catch (const std::exception& error) {
            PartLog("control")->error("An operator's request failed: {}.",
                                      error.what());
            reply({500, R"({"error":"internal error"})"});
          }
        });
    if (!is_posted) {
      done(OperatorReply{503, R"({"error":"too much is under way"})"});
    }
  });
}

// Needs no disk: a claim that is held or settled is told from a confirmed read.
void HostLoop::FindClaim(
    const std::string& body,
    const std::function<void(std::optional<OperatorReply>)>& done) {
  Read([this, commands = state::DecodeCommands(body), done](bool is_confirmed) {
    const auto* claim = commands.size() == 1
                            ? std::get_if<state::ClaimCommand>(&commands[0])
                            : nullptr;
    if (!is_confirmed || claim == nullptr) {
      done(std::nullopt);
      return;
    }
    const auto known = m_parts.machine.RepeatOfClaim(*claim);
    done(known ? OperatorReply{200, EncodeResult(*known)}
               : OperatorReply{404, ""});
  });
}

std::string HostLoop::ChangeMembership(
    const consensus::MembershipChange& change) {
  if (!IsLeading() || !m_status.is_leader_confirmed) {
    return "this host does not lead";
  }
  const bool is_addition =
      change.kind == consensus::MembershipChangeKind::kAddLearner;
  if (is_addition == m_status.membership.members.contains(change.node)) {
    return is_addition ? "already a member" : "not a member";
  }
  std::string refusal = CheckPlacement(
      m_status.membership, change,
      SilentMembers(m_status, m_leads_since, Now()), m_parts.init.guards_zones);
  if (!refusal.empty()) {
    return refusal;
  }
  const bool is_taken = m_node->ProposeMembership(change, Now()).has_value();
  Advance();
  return is_taken ? "" : "another change is under way, or not caught up";
}

void HostLoop::Change(const consensus::MembershipChange& change,
                      const ControlActions::Done& done) {
  const std::string error = ChangeMembership(change);
  done({error.empty(), error});
}

void HostLoop::Transfer(consensus::NodeId node,
                        const ControlActions::Done& done) {
  const auto found = m_status.membership.members.find(node);
  const bool is_voter =
      found != m_status.membership.members.end() && found->second.is_voter;
  if (!IsLeading() || !is_voter) {
    done({false, IsLeading() ? "not a voter" : "this host does not lead"});
    return;
  }
  m_node->TransferLeadership(node, Now());
  Advance();
  done({true, {}});
}

void HostLoop::StepDown() {
  if (!IsLeading()) {
    return;
  }
  consensus::NodeId best;
  consensus::Index best_match = 0;
  for (const auto& [id, member] : m_status.membership.members) {
    const auto peer = m_status.peers.find(id);
    if (id != m_self && member.is_voter && peer != m_status.peers.end() &&
        peer->second.match > best_match) {
      best = id;
      best_match = peer->second.match;
    }
  }
  if (best.is_valid()) {
    m_node->TransferLeadership(best, Now());
    Advance();
  }
}

void HostLoop::Repair(const std::string& name,
                      const ControlActions::Done& done) {
  if (!IsLeading()) {
    done({false, "this host does not lead"});
    return;
  }
  m_approved.insert(name);
  done({true, {}});
}

void HostLoop::StepRepair() {
  RepairInput input;
  input.status = m_status;
  for (const auto& [name, host] : m_waiting) {
    input.waiting.push_back(host);
  }
  input.approved = m_approved;
  input.admits_newcomers = m_parts.init.admits_newcomers;
  input.guards_zones = m_parts.init.guards_zones;
  input.leads_since = m_leads_since;
  input.now = Now();
  const RepairPlan plan = PlanRepair(input);
  m_repair_notes = plan.notes;
  if (!plan.change) {
    return;
  }
  const bool is_taken =
      m_node->ProposeMembership(*plan.change, Now()).has_value();
  if (is_taken) {
    PartLog("control")->info("Repair: {}.", plan.change_note);
  }
  Advance();
}

}  // namespace laurelhall::control
