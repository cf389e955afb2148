#include "heatherquay/app/loan_port.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heatherquay::app
{

namespace asio = boost::asio;

namespace detail
{

/// Allows several round trips between failure domains. Waiting for a slot of this entry is better than waiting longer
/// for a lender.
constexpr std::chrono::milliseconds borrowTimeout{100};

} // namespace detail

LoanPort::LoanPort(asio::any_io_executor executor, state::EntryId self, protocol::PeerClient peers,
                   std::function<std::string(const state::EntryId &)> addressOf)
    : m_executor(std::move(executor))
    , m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_addressOf(std::move(addressOf))
{
}

asio::awaitable<std::optional<protocol::Loan>> LoanPort::borrow(state::EntryId lender, protocol::BorrowRequest request)
{
    const std::string address = m_addressOf(lender);
    if (address.empty()) {
        co_return std::nullopt;
    }
    request.from = m_self;
    co_return co_await m_peers.borrow(address, std::move(request), detail::borrowTimeout);
}

void LoanPort::giveBack(state::EntryId lender, std::uint64_t loan)
{
    const std::string address = m_addressOf(lender);
    if (!address.empty()) {
        asio::co_spawn(m_executor, m_peers.giveBack(address, m_self, loan), asio::detached);
    }
}

} // namespace heatherquay::app
