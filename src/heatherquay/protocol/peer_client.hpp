#pragma once

#include "heatherquay/protocol/peer_messages.hpp"
#include "heatherquay/protocol/peer_network.hpp"
#include "heatherquay/protocol/peer_runtime.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

struct PeerClientSettings
{
    std::string secret; ///< Shared secret of the entries.
    std::chrono::milliseconds callTimeout{1'000};
    std::chrono::milliseconds fetchTimeout{5'000}; ///< Timeout for each part of a snapshot.
    std::chrono::milliseconds unacknowledgedTimeout{3'000}; ///< TCP_USER_TIMEOUT of the connections.
    std::chrono::milliseconds backoffInitial{50};
    std::chrono::milliseconds backoffMax{1'000};
    std::uint32_t callsInFlightMax{256}; ///< Limit for each peer; further calls fail at once.
    /// Largest message sent or received; also the limit on the data read from one message.
    std::uint64_t messageBytesMax{8 * 1024 * 1024};
    std::uint64_t snapshotBytesMax{256 * 1024 * 1024}; ///< Largest snapshot that is fetched.
};

/// Client for calls to other entries, which are addressed by IP address and port. Keeps one persistent connection to
/// each peer. Thread-safe; copies share the connections. Every call ends within its timeout and returns nothing if the
/// peer is unreachable, does not respond or rejects the call. A connection is replaced if a call on it times out and
/// no response has arrived since that call started.
class PeerClient
{
public:
    PeerClient(std::shared_ptr<PeerRuntime> runtime, PeerClientSettings settings);

    /// @return the gossip of the peer
    boost::asio::awaitable<std::optional<Gossip>> gossip(std::string address, Gossip gossip);
    /// Pushes journal records. @return the number of the last record that the peer has applied
    boost::asio::awaitable<std::optional<std::uint64_t>> append(std::string address,
                                                                std::vector<JournalRecord> records);
    /// @return the journal records from @p from on, or a snapshot if the peer no longer keeps the older ones
    boost::asio::awaitable<std::optional<FetchReply>> fetch(std::string address, std::uint64_t from);
    /// @return a slot, or nothing if the peer lends none or does not respond
    boost::asio::awaitable<std::optional<Loan>> borrow(std::string address, BorrowRequest request,
                                                       std::chrono::milliseconds timeout);
    /// @return whether the lender confirmed the return of the slot
    boost::asio::awaitable<bool> giveBack(std::string address, state::EntryId from, std::uint64_t loan);
    /// @return the response to a query about the burn of service-level objectives
    boost::asio::awaitable<std::optional<std::string>> burn(std::string address, std::string query);
    /// @return true if the peer confirmed the renewal; after false the lease may or may not be renewed
    boost::asio::awaitable<bool> renewFor(std::string address, RelayedRenewal renewal);

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

static_assert(PeerNetwork<PeerClient>);

} // namespace heatherquay::protocol
