@0xb4f6a2c91d7e5380;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("heatherquay::protocol::wire");

# Calls between entries. The field order is the wire format: add new fields at the end only.

struct SlotId {
  service @0 :Text;
  endpoint @1 :Text;
  slot @2 :UInt32;
}

struct ServiceLoad {
  service @0 :Text;
  idleSlots @1 :UInt32;
  queued @2 :UInt32;
  sharesFingerprint @3 :UInt64;
}

struct RemovalMark {
  entry @0 :Text;
  incarnation @1 :UInt64;
  origin @2 :Text;
}

struct Gossip {
  from @0 :Text;
  incarnation @1 :UInt64;
  memberVersion @2 :UInt64;
  tableAgeMs @3 :Int64;
  journalNumber @4 :UInt64;
  loads @5 :List(ServiceLoad);
  heldForeign @6 :List(SlotId);
  leaving @7 :Bool;
  removing @8 :List(RemovalMark);
  members @9 :Text;
}

struct JournalRecord {
  number @0 :UInt64;
  text @1 :Text;
  version @2 :UInt64;
}

struct FetchReply {
  snapshotNumber @0 :UInt64;
  snapshot @1 :Data;
  records @2 :List(JournalRecord);
}

struct BorrowRequest {
  from @0 :Text;
  memberVersion @1 :UInt64;
  service @2 :Text;
  termMs @3 :Int64;
}

struct Loan {
  id @0 :UInt64;
  slot @1 :SlotId;
}

struct RelayedRenewal {
  entry @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

interface Peer {
  gossip @0 (gossip :Gossip) -> (gossip :Gossip);
  append @1 (records :List(JournalRecord)) -> (number :UInt64);
  # A snapshot comes in parts, because a message must stay below the receiver's limit: the first call has offset 0,
  # the others name the snapshot and the next offset.
  fetch @2 (from :UInt64, snapshotNumber :UInt64, offset :UInt64) -> (reply :FetchReply, snapshotBytes :UInt64);
  borrow @3 (request :BorrowRequest) -> (lent :Bool, loan :Loan);
  giveBack @4 (from :Text, loan :UInt64) -> ();
  burn @5 (query :Data) -> (reply :Data);
  renewFor @6 (renewal :RelayedRenewal) -> (renewed :Bool);
}

# What a connection offers first; it checks the shared secret.
interface Gate {
  login @0 (secret :Text) -> (peer :Peer);
}
