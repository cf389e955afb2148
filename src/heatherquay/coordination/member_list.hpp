#pragma once

#include "heatherquay/state/ids.hpp"

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace heatherquay::coordination
{

struct Member
{
    state::EntryId id;
    std::uint64_t incarnation{}; ///< Random number that identifies the process.
    std::string peerAddress;
};

/// The current members, ordered by id. Version 0 is the empty list that is used until the first list is known.
struct MemberList
{
    std::uint64_t version{};
    std::vector<Member> members;
};

/// Membership interface that request routing and lease renewal use.
template<typename T>
concept MembershipSource = requires(const T source)
{
    {
        source.members()
        } -> std::same_as<std::shared_ptr<const MemberList>>;
    {
        source.self()
        } -> std::same_as<const state::EntryId &>;
    {
        source.mayAct()
        } -> std::same_as<bool>;
};

} // namespace heatherquay::coordination
