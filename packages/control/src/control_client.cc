#include "laurelhall/control/control_client.h"

#include <utility>

#include "client_loop_p.h"
#include "inner_tls_p.h"

namespace laurelhall::control {

namespace {

class ControlClient final : public ControlLink {
 public:
  explicit ControlClient(const ControlClientInit& init)
      : m_tls(init.tls, init.cluster),
        m_thread([this, init](kj::AsyncIoContext& io,
                              LoopContext& loop,
                              kj::Promise<void> stop) {
          loop.tls = &m_tls;
          ClientLoop client(loop, init, m_renewals);
          m_loop = &client;
          stop.wait(io.waitScope);
        }) {}

  void Claim(state::ClaimCommand command,
             SteadyTime deadline,
             ClaimCallback done) override {
    Submit<state::ClaimResult>(std::move(command), deadline, std::move(done));
  }

  void PollClaim(state::ClaimCommand command,
                 SteadyTime deadline,
                 ClaimCallback done) override {
    m_thread.mailbox().Post([this, command = std::move(command), deadline,
                             done = std::move(done)]() mutable {
      m_loop->PollClaim(command, deadline,
                        [this, command, deadline,
                         done](std::optional<state::ClaimResult> known) {
                          if (known) {
                            done(std::move(known));
                          } else {
                            Claim(command, deadline, done);
                          }
                        });
    });
  }

  void Act(state::Command command,
           SteadyTime deadline,
           ActCallback done) override {
    Submit<state::ActResult>(std::move(command), deadline, std::move(done));
  }

  void Renewed(const std::string& endpoint, uint64_t incarnation) override {
    m_renewals.Put(endpoint, incarnation);
  }

  void Operate(std::string method,
               std::string path,
               std::string body,
               SteadyTime deadline,
               std::function<void(OperatorReply)> done) override {
    m_thread.mailbox().Post([this, method = std::move(method),
                             path = std::move(path), body = std::move(body),
                             deadline, done = std::move(done)] {
      m_loop->Operate(method, path, body, deadline, done);
    });
  }

  void AskSchedule(const scheduling::LeaderRequest& request,
                   const ScheduleDone& done) override {
    m_thread.mailbox().Post([this, request, done] {
      m_loop->AskSchedule({request, done});
    });
  }

  void LearnControlHosts(const std::vector<std::string>& addresses) override {
    m_thread.mailbox().Post(
        [this, addresses] { m_loop->LearnControlHosts(addresses); });
  }

  void Start(ViewListener& listener) override {
    m_thread.mailbox().Post([this, &listener] { m_loop->Start(listener); });
  }

 private:
  template <typename T, typename Callback>
  void Submit(state::Command command, SteadyTime deadline, Callback done) {
    const auto typed =
        [done = std::move(done)](std::optional<state::Result> result) {
          const bool is_known = result && std::holds_alternative<T>(*result);
          done(is_known ? std::optional<T>(std::get<T>(std::move(*result)))
                        : std::nullopt);
        };
    m_thread.mailbox().Post(
        [this, command = std::move(command), deadline, typed]() mutable {
          m_loop->Submit(std::move(command), deadline, typed);
        });
  }

  RenewalBox m_renewals;
  InnerTls m_tls;                // On the loop's thread only, once made.
  ClientLoop* m_loop = nullptr;  // On the loop's thread only.
  LoopThread m_thread;           // Last: ends before the rest.
};

}  // namespace

void ControlLink::AskSchedule(const scheduling::LeaderRequest&,
                              const ScheduleDone& done) {
  done(std::nullopt, false);
}

void ControlLink::LearnControlHosts(const std::vector<std::string>&) {}

std::unique_ptr<ControlLink> MakeControlClient(const ControlClientInit& init) {
  return std::make_unique<ControlClient>(init);
}

}  // namespace laurelhall::control
