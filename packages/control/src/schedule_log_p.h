#pragma once

#include <memory>
#include <vector>

#include "host_loop_p.h"
#include "laurelhall/scheduling/log_service.h"

namespace laurelhall::control {

/// The replicated log as the scheduling sees it.
///
/// @remarks Thread-safe. `host` is used on the loop's thread only, and only
///   while the mailbox takes tasks.
class ScheduleLog final : public scheduling::ReplicatedLog {
 public:
  ScheduleLog(std::shared_ptr<Mailbox> mailbox,
              HostLoop& host,
              const state::Machine& machine)
      : m_mailbox(std::move(mailbox)), m_host(host), m_machine(machine) {}

  void Commit(uint64_t term,
              std::vector<scheduling::Record> records,
              CommitDone done) override {
    state::ScheduleCommand command{
        scheduling::EncodeRecords(std::move(records))};
    m_mailbox->Post([this, term, command = std::move(command),
                     done = std::move(done)]() mutable {
      if (!m_host.IsLeadingIn(term)) {
        done(scheduling::CommitOutcome::kRefused);
        return;
      }
      const size_t bytes = command.records.size();
      std::vector<state::Command> commands;
      commands.emplace_back(std::move(command));
      m_host.Submit(
          std::move(commands), bytes,
          [done](const SubmitOutcome& outcome) { done(OutcomeOf(outcome)); });
    });
  }

  void Confirm(ConfirmDone done) override {
    m_mailbox->Post([this, done = std::move(done)] { m_host.Read(done); });
  }

  void Read(const std::function<void(const scheduling::Ledger&)>& reader)
      const override {
    m_machine.ReadSchedule(reader);
  }

 private:
  static scheduling::CommitOutcome OutcomeOf(const SubmitOutcome& outcome) {
    switch (outcome.status) {
      case SubmitStatus::kCommitted:
        return scheduling::CommitOutcome::kCommitted;
      case SubmitStatus::kUnknown:
        return scheduling::CommitOutcome::kUnknown;
      default:
        return scheduling::CommitOutcome::kRefused;
    }
  }

  std::shared_ptr<Mailbox> m_mailbox;
  HostLoop& m_host;
  const state::Machine& m_machine;
};

}  // namespace laurelhall::control
