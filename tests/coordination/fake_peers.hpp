#pragma once

#include "heatherquay/protocol/peer_network.hpp"
#include "heatherquay/protocol/wait.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::testing
{

/// Handlers of one entry for calls from its peers.
struct FakePeerHandler
{
    std::function<boost::asio::awaitable<protocol::Gossip>(protocol::Gossip)> gossip;
    std::function<boost::asio::awaitable<std::uint64_t>(std::vector<protocol::JournalRecord>)> append;
    std::function<boost::asio::awaitable<protocol::FetchReply>(std::uint64_t)> fetch;
    std::function<boost::asio::awaitable<bool>(protocol::RelayedRenewal)> renewFor;
};

/// The entries by address and the broken links between them. Not thread-safe.
struct FakeNetwork
{
    std::map<std::string, FakePeerHandler> handlers;
    /// Pairs of a calling and a called address; calls over these links fail.
    std::set<std::pair<std::string, std::string>> cutLinks;
    bool dropAppends{}; ///< All calls of append fail.

    std::vector<std::string> others(const std::string &self) const
    {
        std::vector<std::string> addresses;
        for (const auto &[address, handler] : handlers) {
            if (address != self) {
                addresses.push_back(address);
            }
        }
        return addresses;
    }
    /// Cuts the link in both directions.
    void cut(const std::string &one, const std::string &other)
    {
        cutLinks.insert({one, other});
        cutLinks.insert({other, one});
    }
};

/// Peer calls of one entry.
class FakePeers
{
public:
    FakePeers(std::shared_ptr<FakeNetwork> network, std::string self)
        : m_network(std::move(network))
        , m_self(std::move(self))
    {
    }

    boost::asio::awaitable<std::optional<protocol::Gossip>> gossip(std::string address, protocol::Gossip gossip)
    {
        const FakePeerHandler *handler = co_await findReachableHandler(address);
        if (handler == nullptr || !handler->gossip) {
            co_return std::nullopt;
        }
        co_return co_await handler->gossip(std::move(gossip));
    }
    boost::asio::awaitable<std::optional<std::uint64_t>> append(std::string address,
                                                                std::vector<protocol::JournalRecord> records)
    {
        const FakePeerHandler *handler = co_await findReachableHandler(address);
        if (handler == nullptr || !handler->append || m_network->dropAppends) {
            co_return std::nullopt;
        }
        co_return co_await handler->append(std::move(records));
    }
    boost::asio::awaitable<std::optional<protocol::FetchReply>> fetch(std::string address, std::uint64_t from)
    {
        const FakePeerHandler *handler = co_await findReachableHandler(address);
        if (handler == nullptr || !handler->fetch) {
            co_return std::nullopt;
        }
        co_return co_await handler->fetch(from);
    }
    boost::asio::awaitable<bool> renewFor(std::string address, protocol::RelayedRenewal renewal)
    {
        const FakePeerHandler *handler = co_await findReachableHandler(address);
        if (handler == nullptr || !handler->renewFor) {
            co_return false;
        }
        co_return co_await handler->renewFor(renewal);
    }

private:
    /// @return the handler of a peer, or null after a simulated call timeout if the peer cannot be reached
    boost::asio::awaitable<const FakePeerHandler *> findReachableHandler(const std::string &address)
    {
        const auto network = m_network;
        const auto self = m_self;
        const auto found = network->handlers.find(address);
        if (found == network->handlers.end() || network->cutLinks.contains({self, address})) {
            co_await protocol::waitFor(std::chrono::milliseconds(20));
            co_return nullptr;
        }
        co_await protocol::waitFor(std::chrono::microseconds(200));
        co_return &found->second;
    }

    std::shared_ptr<FakeNetwork> m_network;
    std::string m_self;
};

static_assert(protocol::PeerNetwork<FakePeers>);

} // namespace heatherquay::testing
