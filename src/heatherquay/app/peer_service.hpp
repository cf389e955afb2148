#pragma once

#include "heatherquay/protocol/peer_handler.hpp"

#include <functional>

namespace heatherquay::app
{

/// Callbacks that serve the RPCs of other entries. They mirror the functions of protocol::PeerHandler.
struct PeerPorts
{
    std::function<boost::asio::awaitable<protocol::Gossip>(protocol::Gossip)> gossip;
    std::function<boost::asio::awaitable<std::uint64_t>(std::vector<protocol::JournalRecord>)> append;
    std::function<boost::asio::awaitable<protocol::FetchReply>(std::uint64_t)> fetch;
    std::function<std::vector<protocol::Loan>(const protocol::BorrowRequest &)> borrow;
    std::function<void(std::uint64_t)> giveBack;
    std::function<std::string()> burn;
    std::function<boost::asio::awaitable<bool>(protocol::RelayedRenewal)> renewFor;
};

/// Forwards the RPCs of other entries to the components of this entry.
class PeerService : public protocol::PeerHandler
{
public:
    explicit PeerService(PeerPorts ports);

    boost::asio::awaitable<protocol::Gossip> gossip(protocol::Gossip gossip) override;
    boost::asio::awaitable<std::uint64_t> append(std::vector<protocol::JournalRecord> records) override;
    boost::asio::awaitable<protocol::FetchReply> fetch(std::uint64_t from) override;
    boost::asio::awaitable<std::optional<protocol::Loan>> borrow(protocol::BorrowRequest request) override;
    boost::asio::awaitable<void> giveBack(state::EntryId from, std::uint64_t loan) override;
    boost::asio::awaitable<std::string> burn(std::string query) override;
    boost::asio::awaitable<bool> renewFor(protocol::RelayedRenewal renewal) override;

private:
    PeerPorts m_ports;
};

} // namespace heatherquay::app
