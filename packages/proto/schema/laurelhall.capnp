@0xd0a5f1c27be94a31;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("laurelhall::proto");

# The protocol between the system's own processes. A call from another cluster,
# with another schema version or without the cluster's key is refused by name.

struct Envelope {
  cluster @0 :Text;
  schemaVersion @1 :UInt32;
  key @2 :Text;
  sender @3 :Text;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct RaftMessage {
  kind @0 :UInt8;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  index @4 :UInt64;
  logTerm @5 :UInt64;
  commit @6 :UInt64;
  isRejected @7 :Bool;
  isTransfer @8 :Bool;
  hint @9 :UInt64;
  round @10 :UInt64;
  entries @11 :List(LogEntry);
  snapshotIndex @12 :UInt64;
  snapshotTerm @13 :UInt64;
  snapshotMembership @14 :Data;
  snapshotData @15 :Data;
}

struct EntryIdentity {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct SlotDemand {
  endpoint @0 :Text;
  grant @1 :UInt64;
  held @2 :UInt32;
  inUse @3 :UInt32;
  wanted @4 :UInt32;
}

struct SlotGrant {
  endpoint @0 :Text;
  grant @1 :UInt64;
  slots @2 :UInt32;
  leaseMillis @3 :UInt32;
}

# An endpoint that renewed with this entry host since its last sync.
struct Renewal {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
}

struct SyncRequest {
  entry @0 :EntryIdentity;
  settingsVersion @1 :UInt64;
  endpointsIndex @2 :UInt64;
  # All demands when the base is 0; else what changed since the report of that
  # digest.
  demands @3 :List(SlotDemand);
  renewals @4 :List(Renewal);
  burn @5 :List(Text);
  demandsBase @6 :UInt64;
  demandsRemoved @7 :List(Text);
  # Digest of the grants that the entry host took in last; 0 for none.
  grantsBase @8 :UInt64;
}

struct SyncReply {
  isLeader @0 :Bool;
  leaderAddress @1 :Text;
  appliedIndex @2 :UInt64;
  settingsVersion @3 :UInt64;
  # The whole tree when the history does not reach back; else the changes.
  settingsTree @4 :Text;
  settingsRecords @5 :List(Text);
  endpoints @6 :List(Text);
  # All grants when the base is 0; else what changed since those of that digest.
  grants @7 :List(SlotGrant);
  # The demands did not fit: nothing is renewed, send them in full.
  isFullWanted @8 :Bool;
  grantsBase @9 :UInt64;
  grantsRemoved @10 :List(Text);
}

struct SubmitReply {
  isLeader @0 :Bool;
  leaderAddress @1 :Text;
  # One JSON result per command; empty when the outcome is not known.
  results @2 :List(Text);
  error @3 :Text;
}

struct OperateReply {
  isLeader @0 :Bool;
  leaderAddress @1 :Text;
  status @2 :UInt16;
  body @3 :Text;
}

# What control hosts tell each other of themselves, members or not yet.
struct Hello {
  node @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  availabilityZone @3 :Text;
  # Its log or snapshot holds something, or it was told that it is a member.
  isMember @4 :Bool;
  mayBootstrap @5 :Bool;
  # The first membership, while the log still holds it; else empty.
  bootstrap @6 :Data;
  # The membership in force, when known; else empty.
  membership @7 :Data;
  leaderAddress @8 :Text;
  # Knows that the cluster exists and will not make a first membership.
  hasSeenCluster @9 :Bool;
}

interface ControlHost {
  # Raft messages of one peer. What the other side has to say within a few tens
  # of milliseconds comes with the answer, if the caller takes it from there:
  # half the traffic of a call each way.
  step @0 (envelope :Envelope, messages :List(RaftMessage), takesAnswer :Bool)
      -> (messages :List(RaftMessage));

  # An entry host renews leases and catches up.
  sync @1 (envelope :Envelope, request :SyncRequest) -> (reply :SyncReply);

  # Commits commands; answers once they are synced on a quorum and applied.
  submit @2 (envelope :Envelope, commands :Data) -> (reply :SubmitReply);

  # An operator's request, JSON in and out, passed on to the leader.
  operate @3 (envelope :Envelope, method :Text, path :Text, body :Text)
      -> (reply :OperateReply);

  # Control hosts make themselves known; see docs/design/control.md.
  hello @4 (envelope :Envelope, hello :Hello) -> (hello :Hello);
}
