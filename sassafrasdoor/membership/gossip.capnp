@0xe5b2f7a90c6d1843;

# A datagram between members: one byte of MAC length, the MACs, a packed Message.

enum Kind {
  ping @0;
  ack @1;
  probe @2;        # asks the receiver to ping `target` and relay its ack
  gossip @3;       # updates only, not answered
  compare @4;      # digests by bucket; answered by `differ`
  differ @5;       # the sender's members of the buckets that differ
}

struct Update {
  name @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  zone @3 :Text;
  region @4 :Text;
  gossip @5 :Text;
  control @6 :Text;
  entry @7 :Text;
  peer @8 :Text;
}

# How long ago the sender last received a message from `region`.
struct Contact {
  region @0 :Text;
  ageMs @1 :UInt32;
}

struct Message {
  kind @0 :Kind;
  sender @1 :Text;
  sequence @2 :UInt32;
  stamp @3 :UInt64;
  digest @4 :UInt64;
  asOf @5 :UInt64;
  confirmedAgeMs @6 :UInt32;
  target @7 :Text;
  region @8 :Text;
  updates @9 :List(Data);      # each an Update, encoded once and sent many times
  contacts @10 :List(Contact);
  buckets @11 :List(UInt64);
  confirmedHops @12 :UInt8;
  changedAsOf @13 :UInt64;
}
