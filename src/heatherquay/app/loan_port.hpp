#pragma once

#include "heatherquay/protocol/peer_client.hpp"

#include <functional>
#include <string>

namespace heatherquay::app
{

/// Borrows slots from other entries by RPC. Satisfies coordination::LoanClient.
class LoanPort
{
public:
    /// @param addressOf returns the peer address of a member, or an empty string if the entry is not a member
    LoanPort(boost::asio::any_io_executor executor, state::EntryId self, protocol::PeerClient peers,
             std::function<std::string(const state::EntryId &)> addressOf);

    /// @return the loan, or nothing when the lender is unknown, has no free slot or does not respond in time
    boost::asio::awaitable<std::optional<protocol::Loan>> borrow(state::EntryId lender,
                                                                 protocol::BorrowRequest request);
    /// Returns a borrowed slot without waiting for the lender's response.
    void giveBack(state::EntryId lender, std::uint64_t loan);

private:
    boost::asio::any_io_executor m_executor;
    state::EntryId m_self;
    protocol::PeerClient m_peers;
    std::function<std::string(const state::EntryId &)> m_addressOf;
};

} // namespace heatherquay::app
