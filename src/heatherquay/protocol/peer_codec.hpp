#pragma once

// Conversion of peer messages to and from Cap'n Proto. Internal to the peer protocol. Include it from .cpp files only,
// because the Cap'n Proto headers are slow to compile.

#include "heatherquay/protocol/peer.capnp.h"
#include "heatherquay/protocol/peer_messages.hpp"

namespace heatherquay::protocol::detail
{

void write(const Gossip &from, wire::Gossip::Builder to);
void write(const std::vector<JournalRecord> &from, capnp::List<wire::JournalRecord>::Builder to);
void write(const FetchReply &from, wire::FetchReply::Builder to);
void write(const BorrowRequest &from, wire::BorrowRequest::Builder to);
void write(const Loan &from, wire::Loan::Builder to);
void write(const RelayedRenewal &from, wire::RelayedRenewal::Builder to);

Gossip read(wire::Gossip::Reader from);
std::vector<JournalRecord> read(capnp::List<wire::JournalRecord>::Reader from);
FetchReply read(wire::FetchReply::Reader from);
BorrowRequest read(wire::BorrowRequest::Reader from);
Loan read(wire::Loan::Reader from);
RelayedRenewal read(wire::RelayedRenewal::Reader from);

capnp::Data::Reader toData(const std::string &text);
std::string toString(capnp::Data::Reader data);
std::string toString(capnp::Text::Reader text);

} // namespace heatherquay::protocol::detail
