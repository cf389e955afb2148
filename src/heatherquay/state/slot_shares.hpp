#pragma once

#include "heatherquay/state/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::state
{

/// Most slots per endpoint: a set of slots is stored as a 32-bit mask.
inline constexpr std::uint32_t slotsPerEndpointMax = 32;

/// Assigns each slot of a service's endpoints to an entry. All entries compute the same owners from the same inputs.
class SlotShares
{
public:
    SlotShares() = default;
    /// @param members the entries, in any order
    /// @param endpoints the endpoints' addresses, in any order
    /// @param slots number of slots per endpoint, at most slotsPerEndpointMax
    /// @throws Error(BadInput) if @p slots is larger
    SlotShares(std::vector<EntryId> members, const ServiceId &service, std::vector<std::string> endpoints,
               std::uint32_t slots);

    /// @return the slots of @p endpoint that @p member owns, one bit each; 0 if either is unknown
    std::uint32_t mask(const EntryId &member, std::string_view endpoint) const;
    /// @return the owner of a slot; nullptr if there is none
    const EntryId *owner(std::string_view endpoint, std::uint32_t slot) const;
    /// @return the number of slots that @p member owns
    std::uint32_t total(const EntryId &member) const;
    /// @return a hash of the inputs, never 0; equal inputs have equal fingerprints on all entries
    std::uint64_t fingerprint() const;

private:
    /// @return the position in m_endpoints, or its size if the endpoint is unknown
    std::size_t endpointIndex(std::string_view endpoint) const;

    std::vector<EntryId> m_members;
    std::vector<std::string> m_endpoints;
    std::uint32_t m_slots{};
    std::vector<std::uint16_t> m_owners; ///< Indices into m_members, by endpoint, then slot.
    std::uint64_t m_fingerprint{};
};

} // namespace heatherquay::state
