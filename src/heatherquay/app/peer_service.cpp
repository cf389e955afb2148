#include "heatherquay/app/peer_service.hpp"

namespace heatherquay::app
{

namespace asio = boost::asio;

PeerService::PeerService(PeerPorts ports)
    : m_ports(std::move(ports))
{
}

asio::awaitable<protocol::Gossip> PeerService::gossip(protocol::Gossip gossip)
{
    return m_ports.gossip(std::move(gossip));
}

asio::awaitable<std::uint64_t> PeerService::append(std::vector<protocol::JournalRecord> records)
{
    return m_ports.append(std::move(records));
}

asio::awaitable<protocol::FetchReply> PeerService::fetch(std::uint64_t from)
{
    return m_ports.fetch(from);
}

asio::awaitable<std::optional<protocol::Loan>> PeerService::borrow(protocol::BorrowRequest request)
{
    const std::vector<protocol::Loan> loans = m_ports.borrow(request);
    if (loans.empty()) {
        co_return std::nullopt;
    }
    co_return loans.front();
}

asio::awaitable<void> PeerService::giveBack(state::EntryId, std::uint64_t loan)
{
    m_ports.giveBack(loan);
    co_return;
}

asio::awaitable<std::string> PeerService::burn(std::string)
{
    co_return m_ports.burn();
}

asio::awaitable<bool> PeerService::renewFor(protocol::RelayedRenewal renewal)
{
    return m_ports.renewFor(std::move(renewal));
}

} // namespace heatherquay::app
