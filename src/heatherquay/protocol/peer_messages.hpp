#pragma once

#include "heatherquay/state/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherquay::protocol
{

/// Identifies a slot of an endpoint.
struct SlotId
{
    state::ServiceId service;
    std::string endpoint; ///< IP address and port.
    std::uint32_t slot{};

    friend auto operator<=>(const SlotId &, const SlotId &) = default;
};

/// Load of a service at the sender.
struct ServiceLoad
{
    state::ServiceId service;
    std::uint32_t idleSlots{}; ///< Slots of the sender that are free and can be lent.
    std::uint32_t queued{}; ///< Requests in the sender's queue.
    /// Fingerprint of the members, endpoints and slots from which the sender computes the slot shares.
    std::uint64_t sharesFingerprint{};
};

/// A member whose removal the sender supports because its lease has expired. The mark binds the sender until the lease
/// is renewed or the member list no longer has the member.
struct RemovalMark
{
    state::EntryId entry;
    std::uint64_t incarnation{};
    state::EntryId origin; ///< The entry that observed the expiry and will remove the member.

    friend bool operator==(const RemovalMark &, const RemovalMark &) = default;
};

/// State that entries exchange periodically.
struct Gossip
{
    state::EntryId from;
    std::uint64_t incarnation{}; ///< Incarnation of the sending process.
    std::uint64_t memberVersion{}; ///< Version of the member list that the sender has adopted.
    std::chrono::milliseconds tableAge{}; ///< Time since the last response of the table service to the sender.
    std::uint64_t journalNumber{}; ///< Number of the last journal record that the sender has applied.
    std::vector<ServiceLoad> loads;
    /// Slots that the sender still uses for a request, but that belong to other members by its adopted member list.
    std::vector<SlotId> heldForeign;
    bool leaving{}; ///< The sender is leaving the cluster.
    std::vector<RemovalMark> removing;
    std::string members; ///< Value of the sender's row `members`; empty if the receiver is known to have adopted it.
};

/// Asks the owner of idle slots to lend one for a single request.
struct BorrowRequest
{
    state::EntryId from;
    std::uint64_t memberVersion{};
    state::ServiceId service;
    std::chrono::milliseconds term{}; ///< Time after which the borrower's request has ended or been abandoned.
};

/// A slot lent for a single request.
struct Loan
{
    std::uint64_t id{}; ///< Unique within the lender.
    SlotId slot;
};

struct JournalRecord
{
    std::uint64_t number{};
    std::string text; ///< The record as JSON, as it is stored in the table.
    std::uint64_t version{}; ///< Version of the record's row; also of the head row while this is the last record.
};

struct FetchReply
{
    std::uint64_t snapshotNumber{}; ///< Number of the last record in the snapshot; 0 if the reply has no snapshot.
    std::string snapshot;
    std::vector<JournalRecord> records;
};

/// Asks a peer that can reach the table to renew the membership lease of the sender.
struct RelayedRenewal
{
    state::EntryId entry;
    std::uint64_t incarnation{};
    std::uint64_t sequence{};
};

} // namespace heatherquay::protocol
