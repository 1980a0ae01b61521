#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "laurelhall/model/burn.h"
#include "laurelhall/model/endpoint.h"
#include "laurelhall/model/fleet.h"

// What may stand in the replicated log. A command carries the leader's wall
// time where it needs one: applying it reads no clock.
namespace laurelhall::state {

/// Asks for the right to run a keyed request once.
struct ClaimCommand {
  model::ClaimKey key;
  std::string digest;  ///< Of the request's body and target.
  model::EntryIdentity owner;
  std::string request_id;
  WallTime at{};
  WallTime expires_at{};
};
BOOST_DESCRIBE_STRUCT(ClaimCommand,
                      (),
                      (key, digest, owner, request_id, at, expires_at))

/// The owner has the whole answer; `is_kept` is false when it is too large.
struct CompleteCommand {
  model::ClaimKey key;
  std::string request_id;
  bool is_kept = true;
  model::Answer answer;
};
BOOST_DESCRIBE_STRUCT(CompleteCommand, (), (key, request_id, is_kept, answer))

/// The owner says that no byte was written and none ever will be.
struct ReleaseCommand {
  model::ClaimKey key;
  std::string request_id;
};
BOOST_DESCRIBE_STRUCT(ReleaseCommand, (), (key, request_id))

/// The owner wrote, and cannot learn what came of it.
struct AbandonCommand {
  model::ClaimKey key;
  std::string request_id;
};
BOOST_DESCRIBE_STRUCT(AbandonCommand, (), (key, request_id))

/// A transition of an endpoint: new, ready, leaving or gone.
struct EndpointCommand {
  model::Endpoint endpoint;
};
BOOST_DESCRIBE_STRUCT(EndpointCommand, (), (endpoint))

/// Who asks, and the id under which a resend is recognised.
struct OperatorRequest {
  std::string operator_name;
  std::string request_id;
  WallTime at{};
  /// Of what was asked, when the command depends on the state it was made on;
  /// a resend is told by it in place of the command.
  std::string digest{};
};
BOOST_DESCRIBE_STRUCT(OperatorRequest,
                      (),
                      (operator_name, request_id, at, digest))

/// Changes settings when the version is still the expected one. A value is
/// JSON text; none removes the path, so that the parent's value shows again.
struct SettingsCommand {
  OperatorRequest request;
  uint64_t expected_version = 0;
  std::map<std::string, std::optional<std::string>> changes;
};
BOOST_DESCRIBE_STRUCT(SettingsCommand, (), (request, expected_version, changes))

/// Makes a host known in a pool (state kAnnounced), or refreshes its facts.
struct HostAddCommand {
  OperatorRequest request;
  model::Host host;
};
BOOST_DESCRIBE_STRUCT(HostAddCommand, (), (request, host))

using model::HostEvent;

/// One transition of one host, fenced by its epoch.
///
/// @remarks A drain is refused when, as of its entry, a service's availability
///   budget forbids it, unless `force` says that the operator answers for it.
///   A host that holds a job is neither confirmed empty, stopped nor moved.
struct HostCommand {
  OperatorRequest request;
  std::string host;
  uint64_t expected_epoch = 0;
  HostEvent event = HostEvent::kCount;
  model::DrainReason drain_reason = model::DrainReason::kNone;
  std::string move_to;
  std::string act;      ///< Wave, roll-out or move on whose behalf.
  std::string version;  ///< With kReturn: the version it came back with.
  bool force = false;   ///< With kDrain: whatever the budgets say.
};
BOOST_DESCRIBE_STRUCT(HostCommand,
                      (),
                      (request,
                       host,
                       expected_epoch,
                       event,
                       drain_reason,
                       move_to,
                       act,
                       version,
                       force))

/// Creates or replaces a wave; `expected_state` fences racing controllers.
struct WaveCommand {
  OperatorRequest request;
  std::optional<model::ActState> expected_state;  ///< None: must be new.
  model::Wave wave;
};
BOOST_DESCRIBE_STRUCT(WaveCommand, (), (request, expected_state, wave))

struct RolloutCommand {
  OperatorRequest request;
  std::optional<model::ActState> expected_state;
  model::Rollout rollout;
};
BOOST_DESCRIBE_STRUCT(RolloutCommand, (), (request, expected_state, rollout))

/// Submits a job, or replaces one whose lease is still `expected_lease`.
struct JobCommand {
  OperatorRequest request;
  std::optional<uint64_t> expected_lease;  ///< None: must be new.
  model::Job job;
};
BOOST_DESCRIBE_STRUCT(JobCommand, (), (request, expected_lease, job))

/// Records that an operator asked for an act on the control hosts, which is
/// done outside of the replicated state once this is committed.
struct ControlCommand {
  OperatorRequest request;
  std::string act;  ///< Such as "repair entry-4".
};
BOOST_DESCRIBE_STRUCT(ControlCommand, (), (request, act))

using model::BurnSample;

/// Adds service-level samples to the recorded history.
struct BurnCommand {
  std::vector<BurnSample> samples;
};
BOOST_DESCRIBE_STRUCT(BurnCommand, (), (samples))

/// Drops what is past its time: claims, remembered requests, old samples.
struct ExpireCommand {
  WallTime now{};
};
BOOST_DESCRIBE_STRUCT(ExpireCommand, (), (now))

/// Whether an entry host's incarnation may act, as far as is committed.
enum class SessionState { kOpen, kLost, kCount };
BOOST_DESCRIBE_ENUM(SessionState, kOpen, kLost)

/// Opens the session of an entry host's incarnation, or declares it lost:
/// what it had claimed and not ended is then of unknown outcome.
struct SessionCommand {
  model::EntryIdentity entry;
  SessionState state = SessionState::kOpen;
  WallTime at{};
  /// With kLost: the last change of the session that the leader knew of. After
  /// a later one the command is refused.
  uint64_t expected_index = 0;
  /// With kLost: false once no run under its slots can be going on.
  bool may_hold_slots = true;
};
BOOST_DESCRIBE_STRUCT(SessionCommand,
                      (),
                      (entry, state, at, expected_index, may_hold_slots))

/// Keeps what a duty of the leader learned, under a name; an empty text
/// removes it.
struct NoteCommand {
  std::string name;
  std::string text;
};
BOOST_DESCRIBE_STRUCT(NoteCommand, (), (name, text))

/// Records of the scheduling, in its own encoding.
struct ScheduleCommand {
  std::string records;
};
BOOST_DESCRIBE_STRUCT(ScheduleCommand, (), (records))

/// New kinds go to the end: a kind is written as its place.
using Command = std::variant<ClaimCommand,
                             CompleteCommand,
                             ReleaseCommand,
                             AbandonCommand,
                             EndpointCommand,
                             SettingsCommand,
                             HostAddCommand,
                             HostCommand,
                             WaveCommand,
                             RolloutCommand,
                             JobCommand,
                             BurnCommand,
                             ExpireCommand,
                             SessionCommand,
                             NoteCommand,
                             ControlCommand,
                             ScheduleCommand>;

/// Encodes a group of commands as one log entry's payload. Thread-safe.
///
/// @throws std::invalid_argument for a number that is not finite: all that
///   this encodes can be decoded.
std::string EncodeCommands(const std::vector<Command>& commands);

/// Reads EncodeCommands()'s text; throws std::exception on anything else.
std::vector<Command> DecodeCommands(std::string_view payload);

// --- What applying a command answers ---------------------------------------

enum class ClaimVerdict {
  kGranted,         ///< First run: the owner may dispatch.
  kInProgress,      ///< Another request holds it; wait or ask again.
  kCompleted,       ///< `answer` is the first run's.
  kAnswerNotKept,   ///< It ran; the answer was too large or is past its age.
  kOutcomeUnknown,  ///< The owner could not learn what came of the run.
  kOtherBody,       ///< The key was used with another body.
  kFull,            ///< The table is at its bound; nothing was claimed.
  kCount,
};
BOOST_DESCRIBE_ENUM(ClaimVerdict,
                    kGranted,
                    kInProgress,
                    kCompleted,
                    kAnswerNotKept,
                    kOutcomeUnknown,
                    kOtherBody,
                    kFull)

struct ClaimResult {
  ClaimVerdict verdict = ClaimVerdict::kInProgress;
  model::EntryIdentity owner;
  std::string request_id;  ///< Of the run that holds or held the claim.
  model::Answer answer;
};
BOOST_DESCRIBE_STRUCT(ClaimResult, (), (verdict, owner, request_id, answer))

/// Of all commands but claims.
struct ActResult {
  bool is_accepted = false;
  bool is_resend = false;  ///< Recognised; the first answer is repeated.
  /// Settings version, host epoch or job lease now. Of a session's command:
  /// how many claims became of unknown outcome.
  uint64_t version = 0;
  std::string error;  ///< Why not, with what stands there now.
};
BOOST_DESCRIBE_STRUCT(ActResult, (), (is_accepted, is_resend, version, error))

using Result = std::variant<ClaimResult, ActResult>;

}  // namespace laurelhall::state
