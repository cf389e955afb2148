#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/transport/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace heatherquay::coordination
{

enum class ClaimState
{
    Claimed, ///< The request may be running.
    Completed, ///< The request ran and its response is stored; "kept" in the row.
    Unknown, ///< The request may have run, and there is no response.
    Released ///< The request certainly did not run; the key may be claimed again.
};

/// Table row for an idempotency key of a team.
struct IdempotencyRow
{
    std::string claimId; ///< Random; distinguishes the claims of a key.
    std::string fingerprint; ///< KeyedRequest::fingerprint of the request that claimed the key.
    ClaimState state{ClaimState::Claimed};
    state::EntryId entry; ///< Holder of the claim.
    std::uint64_t incarnation{};
    std::chrono::sys_time<std::chrono::milliseconds> createdAt;
    std::string objectKey; ///< Object that holds the response, if it is too large for the row.
    transport::HttpResponse storedResponse; ///< Set if the row holds the response.
};

/// @return the key of the row. It contains a hash of the caller's key, which may have any characters.
std::string idempotencyRowKey(const state::TeamId &team, std::string_view key);

std::string encodeRow(const IdempotencyRow &row);
/// @throws Error(Internal) if the text is not an encoded row
IdempotencyRow decodeRow(std::string_view text);

std::string encodeResponse(const transport::HttpResponse &response);
/// @throws Error(Internal) if the text is not an encoded response
transport::HttpResponse decodeResponse(std::string_view text);

} // namespace heatherquay::coordination
