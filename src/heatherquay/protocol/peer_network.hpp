#pragma once

#include "heatherquay/protocol/peer_messages.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// Calls from the control plane to other entries. Every call ends within a bounded time; it returns nothing if the peer
/// is unreachable or does not respond.
template<typename P>
concept PeerNetwork = requires(P peers, std::string address, Gossip gossip, std::vector<JournalRecord> records,
                               std::uint64_t from, RelayedRenewal renewal)
{
    {
        peers.gossip(address, gossip)
        } -> std::same_as<boost::asio::awaitable<std::optional<Gossip>>>;
    {
        peers.append(address, records)
        } -> std::same_as<boost::asio::awaitable<std::optional<std::uint64_t>>>;
    {
        peers.fetch(address, from)
        } -> std::same_as<boost::asio::awaitable<std::optional<FetchReply>>>;
    {
        peers.renewFor(address, renewal)
        } -> std::same_as<boost::asio::awaitable<bool>>;
};

} // namespace heatherquay::protocol
