#pragma once

#include "heatherquay/coordination/member_list.hpp"
#include "heatherquay/protocol/peer_messages.hpp"

#include <chrono>
#include <map>
#include <set>

namespace heatherquay::coordination
{

/// The latest gossip of each peer, from exchanges that this entry started. A response is at most as old as the request
/// that it answers, whereas a message that a peer sends by itself may have waited in a buffer for any time. Not
/// thread-safe; to be used from one strand.
class Contacts
{
public:
    using Clock = std::chrono::steady_clock;

    struct Contact
    {
        Clock::time_point startedAt; ///< When the latest exchange that got a response was started.
        protocol::Gossip gossip;
    };

    /// Input of outageAuthorityUntil().
    struct OutageQuery
    {
        const MemberList &list;
        const Member &self;
        Clock::time_point since; ///< Exchanges started earlier are ignored.
        std::chrono::milliseconds window; ///< How long an exchange counts, from its start.
        /// A peer counts as reaching the table if its last contact with the table is more recent than this.
        std::chrono::milliseconds unreachableAfter;
    };

    /// Stores the response to an exchange, unless a later exchange with the same peer is known.
    void recordExchange(Clock::time_point startedAt, protocol::Gossip gossip);
    /// @return the latest contact with @p entry, or null
    const Contact *find(const state::EntryId &entry) const;
    /// @return whether an exchange with @p entry that started at @p since or later got a response
    bool contactedSince(const state::EntryId &entry, Clock::time_point since) const;
    const std::map<state::EntryId, Contact> &all() const;

    /// Sets the entries whose VM no longer exists. They do not count in majorities.
    void setTerminated(std::set<state::EntryId> terminated);
    /// @return how many members, including this entry, form a majority
    std::size_t majority(const MemberList &list) const;
    bool isTerminated(const state::EntryId &entry) const;

    /// Grants authority without the table while a majority of the members responds, none of them reaches the table or
    /// knows a later member list, and the supporting members hold no removal mark against this entry.
    /// @return until when the entry may act without the table; the epoch of the clock if it may not
    Clock::time_point outageAuthorityUntil(const OutageQuery &query, Clock::time_point now) const;

private:
    std::map<state::EntryId, Contact> m_contacts;
    std::set<state::EntryId> m_terminated;
};

} // namespace heatherquay::coordination
