@0xe94b1c7d20f5a836;

# What entry processes ask of each other: run a keyed request, since the one
# addressed alone may run it.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  incarnation @0 :Text;        # of the process meant; another one refuses
  row @1 :Text;
  kind @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  key @7 :Text;
  remainingMs @8 :UInt32;
}

struct Outcome {
  name @0 :Text;               # answered, not-run, unknown, rejected
  reason @1 :Text;
  retryAfterMs @2 :UInt32;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
}

interface Requests {
  run @0 (request :Request) -> (outcome :Outcome);
}
