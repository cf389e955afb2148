#pragma once

#include "heatherquay/coordination/member_list.hpp"

#include <cstddef>
#include <string_view>

namespace heatherquay::coordination
{

/// Ranks the members for an object by rendezvous hashing.
/// @param key identifies the object
/// @return the rank of @p member in the order of responsibility for the object, 0 for the owner; the number of members
/// if @p member is not in the list
std::size_t responsibilityRank(const MemberList &members, const state::EntryId &member, std::string_view key);

} // namespace heatherquay::coordination
