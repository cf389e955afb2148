#include "heatherquay/coordination/rendezvous.hpp"

#include <cstdint>
#include <utility>

namespace heatherquay::coordination
{

namespace detail
{

/// FNV-1a with a final mix. All entries must compute the same value, and std::hash may differ between builds.
std::uint64_t weightOf(std::string_view member, std::string_view key)
{
    std::uint64_t hash = 1469598103934665603ULL;
    for (const std::string_view part : {member, std::string_view("/"), key}) {
        for (const char c : part) {
            hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
        }
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace detail

std::size_t responsibilityRank(const MemberList &members, const state::EntryId &member, std::string_view key)
{
    const std::pair own{detail::weightOf(member.value, key), std::string_view(member.value)};
    std::size_t rank = 0;
    bool listed = false;
    for (const Member &other : members.members) {
        listed |= other.id == member;
        const std::pair weight{detail::weightOf(other.id.value, key), std::string_view(other.id.value)};
        if (weight > own) {
            ++rank;
        }
    }
    return listed ? rank : members.members.size();
}

} // namespace heatherquay::coordination
