#pragma once

#include "heatherquay/protocol/peer_messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// Handles calls from other entries. The awaitables run on the executor given to the PeerServer. An exception fails
/// only the call that throws it.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    /// Handles the gossip of the calling entry. @return the gossip of this entry
    virtual boost::asio::awaitable<Gossip> gossip(Gossip gossip) = 0;
    /// Receives pushed journal records. @return the number of the last record applied
    virtual boost::asio::awaitable<std::uint64_t> append(std::vector<JournalRecord> records) = 0;
    /// @return the journal records from @p from on, or a snapshot if the older ones are no longer kept
    virtual boost::asio::awaitable<FetchReply> fetch(std::uint64_t from) = 0;
    /// @return a slot for one request of the borrower, or nothing if none is lent
    virtual boost::asio::awaitable<std::optional<Loan>> borrow(BorrowRequest request) = 0;
    /// Ends a loan.
    virtual boost::asio::awaitable<void> giveBack(state::EntryId from, std::uint64_t loan) = 0;
    /// Responds to a query about the burn of service-level objectives. The protocol does not interpret the bytes.
    virtual boost::asio::awaitable<std::string> burn(std::string query) = 0;
    /// Renews the lease of an entry that cannot reach the table.
    /// @return true if the renewal is confirmed; after false the lease may or may not be renewed
    virtual boost::asio::awaitable<bool> renewFor(RelayedRenewal renewal) = 0;
};

} // namespace heatherquay::protocol
