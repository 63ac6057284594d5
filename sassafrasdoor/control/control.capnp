@0xb1c55ad0e7f24c31;

# The interface of a control process to its own entry (a long poll), to other control
# processes that lag behind the log, and to the collector of the timeline.

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  availabilityZone @2 :Text;
  region @3 :Text;
  state @4 :Text;
  gossipAddress @5 :Text;
  controlAddress @6 :Text;
  entryAddress @7 :Text;
  peerAddress @8 :Text;
}

struct Backend {
  name @0 :Text;
  address @1 :Text;
  kind @2 :Text;
  service @3 :Text;
  availabilityZone @4 :Text;
  region @5 :Text;
  capacity @6 :UInt32;
  checksFencing @7 :Bool;
  models @8 :List(Text);
  state @9 :Text;
}

struct Weights {
  model @0 :Text;
  version @1 :UInt64;
}

# A row's part of a `GrantSet`, as sent to the entry: `deadline` is in seconds of the
# monotonic clock, which all processes of one machine share.
struct Grant {
  row @0 :Text;
  slots @1 :UInt32;
  fallback @2 :UInt32;
  number @3 :UInt64;
  deadline @4 :Float64;
}

struct Usage {
  row @0 :Text;
  wanted @1 :UInt32;
  inUse @2 :UInt32;
  fallback @3 :UInt32;
}

# An instance's demand, use and fallback; see admission/grants.py.
struct Report {
  instance @0 :Text;
  life @1 :Text;
  number @2 :UInt64;
  rows @3 :List(Usage);
}

struct RowGrant {
  row @0 :Text;
  slots @1 :UInt32;
  fallback @2 :UInt32;
}

# Between control processes deadlines are sent as the remaining time.
struct GrantSet {
  number @0 :UInt64;
  remainingMs @1 :UInt32;
  fallbackMs @2 :UInt32;
  rows @3 :List(RowGrant);
}

# The state that the entry has; parts that it has are not sent again.
struct Known {
  session @0 :UInt64;
  number @1 :UInt64;
}

struct Update {
  session @0 :UInt64;
  number @1 :UInt64;
  confirmed @2 :Bool;          # whether the log ever confirmed the agreed state
  confirmedAgeMs @3 :UInt64;
  revision @4 :UInt64;
  hasTable @5 :Bool;
  table @6 :Text;              # JSON, empty if no table is known
  hasWeights @7 :Bool;
  weights @8 :List(Weights);
  # Only members and backends changed since the known number; with `all...` they
  # replace all those known so far.
  allMembers @9 :Bool;
  members @10 :List(Member);
  allBackends @11 :Bool;
  backends @12 :List(Backend);
  grants @13 :List(Grant);
  hasGrants @14 :Bool;
  goneMembers @15 :List(Text);
  goneBackends @16 :List(Text);
  # When the confirmation was sent for, in seconds of the monotonic clock that both
  # processes share; 0 if there is none, or from earlier versions.
  confirmedAt @17 :Float64;
}

struct Addresses {
  entry @0 :Text;
  peer @1 :Text;
}

struct Event {
  stamp @0 :UInt64;
  process @1 :Text;
  kind @2 :Text;
  fields @3 :Text;             # JSON
}

interface Control {
  exchange @0 (known :Known, waitMs :UInt32, stamp :UInt64, addresses :Addresses, report :Report) -> (update :Update, stamp :UInt64);
  # The agreed state as JSON if it is newer than `asOf`, else empty. `accepted` is
  # the digest of the caller's table, which is omitted if it is the same.
  fetch @1 (asOf :UInt64, accepted :UInt64, stamp :UInt64) -> (asOf :UInt64, state :Text, confirmed :Bool, confirmedAgeMs :UInt64, confirmedHops :UInt8, stamp :UInt64);
  events @2 (since :UInt64, stamp :UInt64) -> (events :List(Event), stamp :UInt64);
  # The entry begins to shut down, which is announced to all members at once.
  leave @3 (stamp :UInt64) -> (stamp :UInt64);
  # The report of one instance to the holder of `quota/{service}`; without `granted`
  # the instance keeps its grants.
  report @4 (service :Text, report :Report, stamp :UInt64) -> (granted :Bool, grants :GrantSet, stamp :UInt64);
  # The backend servers known here, for an instance that can't read the list itself.
  listing @5 (stamp :UInt64) -> (backends :List(Backend), stamp :UInt64);
  # The metrics of the control process, in the exposition format.
  metrics @6 (stamp :UInt64) -> (text :Text, stamp :UInt64);
  # Reads the log to its end, for at most `waitMs`; the update tells whether that was done.
  confirm @7 (known :Known, waitMs :UInt32, stamp :UInt64) -> (update :Update, stamp :UInt64);
}
