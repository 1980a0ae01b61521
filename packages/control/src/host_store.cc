#include <memory>
#include <utility>

#include "host_loop_p.h"
#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

struct ReopenOutcome {
  std::optional<storage::Recovered> recovered;
  std::string error;
  bool is_damaged = false;
};

ReopenOutcome TryReopen(storage::LogStore& store) {
  ReopenOutcome outcome;
  try {
    outcome.recovered = store.Reopen();
  } catch (const storage::StoreFailedError& error) {
    outcome.error = error.what();
  } catch (const std::exception& error) {
    outcome.error = error.what();
    outcome.is_damaged = true;
  }
  return outcome;
}

}  // namespace

// What is in memory may be ahead of the disk, so the node is discarded: what it
// has not yet made durable was acknowledged to nobody.
void HostLoop::LeaveQuorum(const std::string& why) {
  m_node.reset();
  m_is_adopting = false;
  m_status.role = consensus::Role::kFollower;
  m_status.leader = consensus::NodeId();
  FollowRole();
  Publish();
  if (m_parts.init.on_store_failed) {
    m_parts.init.on_store_failed(why);
  }
}

void HostLoop::StoreFailed(const std::string& why) {
  if (m_is_failed) {
    return;
  }
  const Millis wait = m_retry.Failed(Now());
  PartLog("control")->critical(
      "The store failed, this host leaves the quorum and opens it again in {} "
      "ms: {}.",
      wait.count(), why);
  LeaveQuorum(why);
  ReopenLater(wait);
}

void HostLoop::ReopenLater(Millis wait) {
  m_tasks.add(m_loop.timer.afterDelay(ToKj(wait)).then([this] { Reopen(); }));
}

void HostLoop::Reopen() {
  const bool is_posted = m_parts.disk.TryPost(
      [this, mailbox = m_loop.mailbox, &store = m_parts.store] {
        auto outcome = std::make_shared<ReopenOutcome>(TryReopen(store));
        mailbox->Post([this, outcome] {
          if (outcome->recovered) {
            Reopened(std::move(*outcome->recovered));
          } else if (outcome->is_damaged) {
            Fail(outcome->error);
          } else {
            const Millis wait = m_retry.StillFailed();
            PartLog("control")->warn(
                "The disk still refuses, next try in {} ms: {}.", wait.count(),
                outcome->error);
            ReopenLater(wait);
          }
        });
      });
  if (!is_posted) {
    ReopenLater(m_retry.StillFailed());
  }
}

// The state machine stays: it holds committed entries alone, those that the log
// gives out once more are passed over.
void HostLoop::Reopened(storage::Recovered recovered) {
  if (m_is_failed) {
    return;
  }
  m_retry.Opened();
  m_started_at = Now();
  m_writer->Resume(recovered.last(), recovered.hard_state);
  m_applier->DropUninstalled();
  if (recovered.snapshot) {
    m_applier->AddSnapshot(*recovered.snapshot);
    m_applier->Installed();
  }
  PartLog("control")->warn(
      "The store is open again, this host takes part from term {} and entry "
      "{} on.",
      recovered.hard_state.term, recovered.last().index);
  MakeNode(std::move(recovered));
  Publish();
}

void HostLoop::FollowFitness(SteadyTime now) {
  const bool is_unfit = m_retry.IsUnfit(now);
  if (std::exchange(m_is_unfit, is_unfit) == is_unfit) {
    return;
  }
  if (is_unfit) {
    PartLog("control")->critical(
        "The disk of this host is unfit: its store failed {} times since the "
        "start. Replace the disk or the host.",
        m_retry.failures());
  } else {
    PartLog("control")->info("The disk of this host is fit again.");
  }
}

}  // namespace laurelhall::control
