#pragma once

#include "heatherquay/coordination/member_list.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherquay::coordination
{

/// Value of the row member/<id>, which represents the lease of a member.
struct MemberLease
{
    std::uint64_t incarnation{};
    std::uint64_t sequence{}; ///< Incremented by each renewal.
};

inline constexpr std::string_view membersKey = "members";

/// @return the key of the lease row of @p entry
std::string memberLeaseKey(const state::EntryId &entry);

// JSON encoding of the rows. The parse functions throw Error(BadInput) for a malformed value.
std::string encodeMembers(const MemberList &list);
MemberList parseMembers(std::string_view text);
std::string encodeLease(const MemberLease &lease);
MemberLease parseLease(std::string_view text);

/// @return the member with this id, or null
const Member *findMember(const MemberList &list, const state::EntryId &entry);
/// @return a copy of the list without @p entry, with the next version
MemberList withoutMember(const MemberList &list, const state::EntryId &entry);
/// @return a copy of the list with @p member inserted by its id, with the next version
MemberList withMember(const MemberList &list, Member member);

} // namespace heatherquay::coordination
