#pragma once

#include "heatherquay/coordination/endpoint_directory.hpp"
#include "heatherquay/state/entry_settings.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::coordination
{

/// A slot granted to a request. The holder must release it, quarantine it or give it back to the lender, exactly once.
struct SlotGrant
{
    std::shared_ptr<Endpoint> endpoint;
    std::uint32_t slot{};
    bool slotTaken{true}; ///< False with RoutingStrategy::TwoChoices, which does not use slots.
    state::EntryId lender; ///< Entry that lent the slot; empty for an own slot.
    std::uint64_t loan{}; ///< Identifier of the loan, assigned by the lender.
};

/// Takes a free own slot at the live endpoint with the lowest expected response time. Skips endpoints without a spare
/// connection.
/// @param avoid addresses of endpoints where this request has already failed
/// @return the granted slot, or std::nullopt if no endpoint qualifies
std::optional<SlotGrant> chooseFreeSlot(const ServiceEndpoints &endpoints, const std::vector<std::string> &avoid,
                                        std::chrono::steady_clock::time_point now);

/// Chooses the endpoint with fewer running requests of this entry out of two random ones ("power of two choices").
/// Several entries together can exceed the slot limit of an endpoint. The strategy serves as a baseline for comparison
/// with slots.
/// @param avoid addresses of endpoints where this request has already failed
/// @return the chosen endpoint, or std::nullopt if no endpoint qualifies
std::optional<SlotGrant> choosePowerOfTwo(const ServiceEndpoints &endpoints, const std::vector<std::string> &avoid);

} // namespace heatherquay::coordination
