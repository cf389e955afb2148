#include "heatherquay/coordination/removal_marks.hpp"

#include "heatherquay/coordination/member_rows.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

RemovalMarks::RemovalMarks(state::EntryId self, std::chrono::milliseconds lease,
                           std::chrono::milliseconds observationGapMax)
    : m_self(std::move(self))
    , m_lease(lease)
    , m_observationGapMax(observationGapMax)
{
}

void RemovalMarks::observe(const Member &member, std::uint64_t version, Clock::time_point sentAt,
                           Clock::time_point receivedAt)
{
    const auto [entry, first] = m_observations.try_emplace(member.id);
    Observation &observation = entry->second;
    const bool renewed = !first && (observation.version != version || observation.incarnation != member.incarnation);
    if (renewed) {
        std::erase_if(m_marks, [&](const auto &mark) {
            return mark.first.first == member.id;
        });
    }
    if (first || renewed || sentAt - observation.lastReadAt > m_observationGapMax) {
        observation = {member.incarnation, version, receivedAt, receivedAt, {}};
        return;
    }
    observation.lastReadAt = receivedAt;
    observation.unchangedFor
        = std::chrono::duration_cast<std::chrono::milliseconds>(sentAt - observation.unchangedSince);
    if (observation.unchangedFor >= m_lease) {
        m_marks[{member.id, m_self}] = {member.id, member.incarnation, m_self};
    }
}

void RemovalMarks::adopt(const protocol::Gossip &gossip, const MemberList &list)
{
    std::erase_if(m_marks, [&](const auto &mark) {
        const bool listed
            = std::find(gossip.removing.begin(), gossip.removing.end(), mark.second) != gossip.removing.end();
        return mark.second.origin == gossip.from && !listed;
    });
    for (const protocol::RemovalMark &mark : gossip.removing) {
        const Member *member = findMember(list, mark.entry);
        const bool current = member != nullptr && member->incarnation == mark.incarnation;
        if (mark.origin == gossip.from && current) {
            m_marks[{mark.entry, mark.origin}] = mark;
        }
    }
}

void RemovalMarks::prune(const MemberList &list)
{
    const auto outdated = [&](const state::EntryId &entry, std::uint64_t incarnation) {
        const Member *member = findMember(list, entry);
        return member == nullptr || member->incarnation != incarnation;
    };
    std::erase_if(m_marks, [&](const auto &mark) {
        return outdated(mark.second.entry, mark.second.incarnation);
    });
    std::erase_if(m_observations, [&](const auto &observation) {
        return outdated(observation.first, observation.second.incarnation);
    });
}

std::chrono::milliseconds RemovalMarks::unchangedFor(const state::EntryId &entry) const
{
    const auto found = m_observations.find(entry);
    return found == m_observations.end() ? std::chrono::milliseconds(0) : found->second.unchangedFor;
}

std::optional<std::uint64_t> RemovalMarks::observedVersion(const state::EntryId &entry) const
{
    const auto found = m_observations.find(entry);
    return found == m_observations.end() ? std::nullopt : std::optional(found->second.version);
}

bool RemovalMarks::isMarked(const state::EntryId &entry) const
{
    return std::any_of(m_marks.begin(), m_marks.end(), [&](const auto &mark) {
        return mark.second.entry == entry;
    });
}

std::vector<protocol::RemovalMark> RemovalMarks::all() const
{
    std::vector<protocol::RemovalMark> marks;
    for (const auto &[key, mark] : m_marks) {
        marks.push_back(mark);
    }
    return marks;
}

} // namespace heatherquay::coordination
