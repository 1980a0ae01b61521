#include "laurelhall/control/control_host.h"

#include <future>
#include <stdexcept>
#include <utility>

#include "host_loop_p.h"
#include "inner_tls_p.h"
#include "rpc_server_p.h"
#include "schedule_log_p.h"

namespace laurelhall::control {

namespace {

// "ip:0" with the port that was picked.
std::string WithPort(const std::string& address, uint port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

class ControlHost::Impl final : public ControlActions {
 public:
  Impl(const ControlHostInit& init,
       std::vector<std::unique_ptr<LeaderDuty>> duties,
       std::unique_ptr<OperatorService> operators)
      : m_parts(init, std::move(duties), std::move(operators)),
        m_tls(init.tls, init.cluster) {
    if (m_parts.operators) {
      m_parts.operators->Attach(*this);
    }
    std::promise<std::string> listening;
    std::future<std::string> address = listening.get_future();
    m_thread = std::make_unique<LoopThread>(
        [this, &listening](kj::AsyncIoContext& io, LoopContext& loop,
                           kj::Promise<void> stop) {
          Run(io, loop, kj::mv(stop), listening);
        });
    m_address = address.get();
  }

  ControlStatus status() const { return m_parts.board.Get(); }
  const state::Machine& machine() const { return m_parts.machine; }
  const std::string& address() const { return m_address; }

  void AddLearner(consensus::NodeId node,
                  consensus::Member member,
                  Done done) override {
    Change(
        {consensus::MembershipChangeKind::kAddLearner, node, std::move(member)},
        std::move(done));
  }

  void Promote(consensus::NodeId node, Done done) override {
    Change({consensus::MembershipChangeKind::kPromote, node, {}},
           std::move(done));
  }

  void Remove(consensus::NodeId node, Done done) override {
    Change({consensus::MembershipChangeKind::kRemove, node, {}},
           std::move(done));
  }

  void Transfer(consensus::NodeId node, Done done) override {
    m_thread->mailbox().Post(
        [this, node, done = std::move(done)] { m_host->Transfer(node, done); });
  }

  void AskLeader(const std::string& request,
                 SteadyTime deadline,
                 std::function<void(std::optional<std::string>)> done) {
    m_thread->mailbox().Post([this, request, deadline, done = std::move(done)] {
      m_host->AskLeader(request, deadline, done);
    });
  }

  void StepDown() {
    m_thread->mailbox().Post([this] { m_host->StepDown(); });
  }

  void Repair(const std::string& name, Done done) override {
    m_thread->mailbox().Post(
        [this, name, done = std::move(done)] { m_host->Repair(name, done); });
  }

 private:
  void Change(consensus::MembershipChange change, Done done) {
    m_thread->mailbox().Post(
        [this, change = std::move(change), done = std::move(done)] {
          m_host->Change(change, done);
        });
  }

  // On the loop's thread. `listening` lives until it is set.
  void Run(kj::AsyncIoContext& io,
           LoopContext& loop,
           kj::Promise<void> stop,
           std::promise<std::string>& listening) {
    loop.tls = &m_tls;
    std::unique_ptr<HostLoop> host;
    std::unique_ptr<RpcListener> listener;
    try {
      const std::string& wanted = m_parts.init.inner_address;
      auto receiver = loop.network.parseAddress(wanted.c_str())
                          .wait(io.waitScope)
                          ->listen();
      const std::string& known = m_parts.init.reached_at;
      const std::string address =
          known.empty() ? WithPort(wanted, receiver->getPort()) : known;
      host = std::make_unique<HostLoop>(loop, m_parts,
                                        m_parts.store.TakeRecovered(), address);
      listener = std::make_unique<RpcListener>(loop, *host, kj::mv(receiver));
      m_host = host.get();
      if (m_parts.init.schedule != nullptr) {
        m_schedule_log =
            std::make_unique<ScheduleLog>(loop.mailbox, *host, m_parts.machine);
        m_parts.init.schedule->Attach(*m_schedule_log);
      }
      listening.set_value(address);
    } catch (const kj::Exception& error) {
      listening.set_exception(std::make_exception_ptr(
          std::runtime_error(error.getDescription().cStr())));
      return;
    } catch (const std::exception&) {
      listening.set_exception(std::current_exception());
      return;
    }
    stop.wait(io.waitScope);
  }

  HostParts m_parts;
  InnerTls m_tls;  // On the loop's thread only, once made.
  std::string m_address;
  HostLoop* m_host = nullptr;  // On the loop's thread only.
  std::unique_ptr<ScheduleLog> m_schedule_log;
  std::unique_ptr<LoopThread> m_thread;
};

ControlHost::ControlHost(const ControlHostInit& init,
                         std::vector<std::unique_ptr<LeaderDuty>> duties,
                         std::unique_ptr<OperatorService> operators)
    : m_impl(std::make_unique<Impl>(init,
                                    std::move(duties),
                                    std::move(operators))) {}

ControlHost::~ControlHost() = default;

ControlStatus ControlHost::status() const {
  return m_impl->status();
}

const state::Machine& ControlHost::machine() const {
  return m_impl->machine();
}

std::string ControlHost::inner_address() const {
  return m_impl->address();
}

std::string ControlHost::leader_address() const {
  return m_impl->status().leader_address;
}

void ControlHost::AskLeader(
    const std::string& request,
    SteadyTime deadline,
    std::function<void(std::optional<std::string>)> done) {
  m_impl->AskLeader(request, deadline, std::move(done));
}

void ControlHost::StepDown() {
  m_impl->StepDown();
}

ControlActions& ControlHost::actions() {
  return *m_impl;
}

}  // namespace laurelhall::control
