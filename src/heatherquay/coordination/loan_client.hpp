#pragma once

#include "heatherquay/protocol/peer_messages.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

/// Borrows slots from other entries. borrow() does not throw and returns std::nullopt if the lender refuses or the call
/// fails. giveBack() does not wait for the lender and may fail silently, because the lender reclaims the slot anyway
/// when the term of the loan and the abandon grace are over.
template<typename T>
concept LoanClient
    = requires(T client, const state::EntryId lender, const protocol::BorrowRequest request, std::uint64_t loan)
{
    {
        client.borrow(lender, request)
        } -> std::same_as<boost::asio::awaitable<std::optional<protocol::Loan>>>;
    {
        client.giveBack(lender, loan)
        } -> std::same_as<void>;
};

/// Type-erased LoanClient; empty if there are no peers to borrow from.
struct AnyLoanClient
{
    std::function<boost::asio::awaitable<std::optional<protocol::Loan>>(state::EntryId, protocol::BorrowRequest)>
        borrow;
    std::function<void(state::EntryId, std::uint64_t)> giveBack;

    AnyLoanClient() = default;

    template<LoanClient Client>
    explicit AnyLoanClient(std::shared_ptr<Client> client)
        : borrow([client](state::EntryId lender, protocol::BorrowRequest request) {
            return client->borrow(std::move(lender), std::move(request));
        })
        , giveBack([client](state::EntryId lender, std::uint64_t loan) {
            client->giveBack(std::move(lender), loan);
        })
    {
    }
};

} // namespace heatherquay::coordination
