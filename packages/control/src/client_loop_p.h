#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "envelope_p.h"
#include "laurelhall/control/control_client.h"
#include "laurelhall/settings/tree.h"
#include "leader_finder_p.h"
#include "rpc_channel_p.h"
#include "wire_p.h"

namespace laurelhall::control {

/// Renewals since the last sync. Thread-safe.
class RenewalBox {
 public:
  void Put(const std::string& endpoint, uint64_t incarnation);
  std::vector<Renewal> TakeAll();

 private:
  std::mutex m_mutex;  // Guards m_renewals.
  std::map<std::string, uint64_t> m_renewals;
};

/// The entry host's view as the leader's answers build it up; never goes back
/// to an older one, whichever control host answers.
class ViewKeeper {
 public:
  /// Takes an answer in.
  ///
  /// @returns The view to show, or none when the answer is older than what was
  ///   seen before.
  /// @throws FindingsError when the settings do not fit this program.
  std::optional<View> Take(const SyncAnswer& answer, SteadyTime asked_at);

  uint64_t settings_version() const { return m_settings_version; }
  uint64_t endpoints_index() const { return m_applied_index; }

 private:
  bool TakeSettings(const SyncAnswer& answer);

  settings::Tree m_tree;
  uint64_t m_settings_version = 0;
  uint64_t m_applied_index = 0;
  bool m_is_first = true;
};

/// The control client's part on the KJ loop. On the loop's thread only.
class ClientLoop final : private kj::TaskSet::ErrorHandler {
 public:
  using Done = std::function<void(std::optional<state::Result>)>;

  /// @param renewals Outlives this.
  ClientLoop(LoopContext loop, ControlClientInit init, RenewalBox& renewals);

  /// Answers all that waits with none.
  ~ClientLoop();

  void Submit(state::Command command, SteadyTime deadline, Done done);

  /// Asks the leader once; none when the key is free or nothing was heard.
  void PollClaim(
      const state::ClaimCommand& command,
      SteadyTime deadline,
      const std::function<void(std::optional<state::ClaimResult>)>& done);

  void Operate(const std::string& method,
               const std::string& path,
               const std::string& body,
               SteadyTime deadline,
               const std::function<void(OperatorReply)>& done);
  void Start(ViewListener& listener);

  /// A request to the scheduling under way.
  struct Asked {
    scheduling::LeaderRequest request;
    ControlLink::ScheduleDone done;
    bool may_have_run = false;
  };
  void AskSchedule(Asked asked);
  void LearnControlHosts(const std::vector<std::string>& addresses) {
    m_finder.Learn(addresses);
  }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  using Deadlines = std::multimap<SteadyTime, PendingPtr>;
  struct Pending {
    state::Command command;
    size_t bytes = 0;
    Done done;                     // Empty once called.
    Deadlines::iterator deadline;  // Until then.
  };
  using Group = std::vector<PendingPtr>;

  void taskFailed(kj::Exception&& exception) override;
  void Tick();

  // Commands.
  void ScheduleSend();
  void SendGroups();
  bool MaySendGroup() const;
  Group TakeGroup();
  void SendGroup(const Group& group);
  void OnSubmitReply(const std::string& address,
                     const Group& group,
                     proto::SubmitReply::Reader reply);
  void Requeue(const Group& group);
  void Finish(Pending& pending, std::optional<state::Result> result);

  /// Sends a request for the leader's services to one control host.
  capnp::RemotePromise<proto::ControlHost::OperateResults> SendOperate(
      proto::ControlHost::Client& client,
      const std::string& method,
      const std::string& path,
      const std::string& body) const;

  // Scheduling.
  void AskAgain(Asked asked);
  void AskOnceHeard(const std::string& address, Asked asked);
  void AskMembers(const std::string& address,
                  Millis timeout,
                  const std::function<void(bool is_alive)>& done);
  void LearnMembers();
  void FailedUnlessHeard(const std::string& address, SteadyTime since);
  void DoesNotLead(const std::string& address, const std::string& hint);

  // Sync.
  void Sync();
  void OnSyncReply(const std::string& address,
                   const SyncQuestion& question,
                   SteadyTime asked_at,
                   proto::SyncReply::Reader reply);
  void PutBack(const SyncQuestion& question, bool is_surely_unseen);

  RpcChannel& ChannelTo(const std::string& address);
  SteadyTime Now() const { return std::chrono::steady_clock::now(); }

  LoopContext m_loop;
  ControlClientInit m_init;
  EnvelopeInfo m_envelope;
  RenewalBox& m_renewals;
  LeaderFinder m_finder;
  std::map<std::string, std::unique_ptr<RpcChannel>> m_channels;
  /// Requests that wait for a sign of life, by control host.
  std::map<std::string, std::vector<Asked>> m_unheard;
  bool m_is_doubt_asked = false;  ///< Whether a distrusted leader is there.

  std::deque<PendingPtr> m_waiting;
  Deadlines m_deadlines;  // Of what is not finished.
  size_t m_calls = 0;
  SteadyTime m_group_sent_at{};  // The latest.
  bool m_is_send_scheduled = false;

  ViewListener* m_listener = nullptr;
  ViewKeeper m_view;
  routing::RenewalSender m_leases;
  std::vector<state::BurnSample> m_unsent_burn;
  SteadyTime m_next_members{};
  bool m_is_sync_under_way = false;
  SteadyTime m_next_sync{};

  // Last, so that it ends before what its tasks use.
  kj::TaskSet m_tasks;
};

}  // namespace laurelhall::control
