@0xd3a1f0c2b4e59876;

# The bootstrap interface of a connection: returns the capability on proof of a
# peer key. Stamps are hybrid logical clocks (sassafrasdoor.clock).

interface Door {
  # `nonce` is fresh on each connection; `mac` proves that the server has a key.
  challenge @0 (nonce :Data) -> (nonce :Data, mac :Data);
  enter @1 (caller :Text, stamp :UInt64, mac :Data) -> (capability :Capability, stamp :UInt64);
  ping @2 (stamp :UInt64) -> (stamp :UInt64);
}
