#pragma once

#include "heatherquay/coordination/member_list.hpp"
#include "heatherquay/protocol/peer_messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::coordination
{

/// Observes the lease rows of other members and holds the removal marks of members whose lease has expired. Entries
/// that hold a mark do not support the marked member, so it cannot act without the table while it is being removed. Not
/// thread-safe; to be used from one strand.
class RemovalMarks
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param self the entry that sets the marks
    /// @param lease how long a lease row must be unchanged before its member is marked
    /// @param observationGapMax after a longer time without reading a row, its observation starts again: if the table
    /// was unreachable, the member could not renew its lease either
    RemovalMarks(state::EntryId self, std::chrono::milliseconds lease, std::chrono::milliseconds observationGapMax);

    /// Records a successful read of a lease row; marks the member if its row has been unchanged for a lease, and
    /// removes its marks if the row has changed.
    /// @param version the version of the row, or 0 if there is no row
    /// @param sentAt when the read was sent
    /// @param receivedAt when the response arrived
    void observe(const Member &member, std::uint64_t version, Clock::time_point sentAt, Clock::time_point receivedAt);
    /// Adds the marks that the sender of the gossip has set, and removes those that it has withdrawn.
    void adopt(const protocol::Gossip &gossip, const MemberList &list);
    /// Removes the marks and observations of members that are no longer in the list.
    void prune(const MemberList &list);

    /// @return how long this entry has observed the lease row of @p entry without a change; 0 for an unknown entry
    std::chrono::milliseconds unchangedFor(const state::EntryId &entry) const;
    /// @return the version of the lease row of @p entry at its last read; nothing for an unknown entry
    std::optional<std::uint64_t> observedVersion(const state::EntryId &entry) const;
    /// @return whether any entry has marked @p entry
    bool isMarked(const state::EntryId &entry) const;
    /// @return all marks, to be sent to peers
    std::vector<protocol::RemovalMark> all() const;

private:
    struct Observation
    {
        std::uint64_t incarnation{};
        std::uint64_t version{};
        Clock::time_point unchangedSince;
        Clock::time_point lastReadAt;
        std::chrono::milliseconds unchangedFor{};
    };

    state::EntryId m_self;
    std::chrono::milliseconds m_lease;
    std::chrono::milliseconds m_observationGapMax;
    std::map<state::EntryId, Observation> m_observations;
    /// By marked entry and by the entry that set the mark.
    std::map<std::pair<state::EntryId, state::EntryId>, protocol::RemovalMark> m_marks;
};

} // namespace heatherquay::coordination
