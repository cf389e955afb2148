#include "heatherquay/coordination/contacts.hpp"

#include <algorithm>
#include <functional>

namespace heatherquay::coordination
{

namespace detail
{

bool hasRemovalMark(const protocol::Gossip &gossip, const Member &member)
{
    return std::any_of(gossip.removing.begin(), gossip.removing.end(), [&](const protocol::RemovalMark &mark) {
        return mark.entry == member.id && mark.incarnation == member.incarnation;
    });
}

} // namespace detail

void Contacts::recordExchange(Clock::time_point startedAt, protocol::Gossip gossip)
{
    Contact &contact = m_contacts[gossip.from];
    if (startedAt >= contact.startedAt) {
        contact = {startedAt, std::move(gossip)};
    }
}

const Contacts::Contact *Contacts::find(const state::EntryId &entry) const
{
    const auto found = m_contacts.find(entry);
    return found == m_contacts.end() ? nullptr : &found->second;
}

bool Contacts::contactedSince(const state::EntryId &entry, Clock::time_point since) const
{
    const Contact *contact = find(entry);
    return contact != nullptr && contact->startedAt >= since;
}

const std::map<state::EntryId, Contacts::Contact> &Contacts::all() const
{
    return m_contacts;
}

void Contacts::setTerminated(std::set<state::EntryId> terminated)
{
    m_terminated = std::move(terminated);
}

bool Contacts::isTerminated(const state::EntryId &entry) const
{
    return m_terminated.contains(entry);
}

std::size_t Contacts::majority(const MemberList &list) const
{
    const auto voters = std::count_if(list.members.begin(), list.members.end(), [this](const Member &member) {
        return !isTerminated(member.id);
    });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

Contacts::Clock::time_point Contacts::outageAuthorityUntil(const OutageQuery &query, Clock::time_point now) const
{
    const Clock::time_point since = std::max(query.since, now - query.window);
    for (const auto &[id, contact] : m_contacts) {
        if (contact.startedAt < since) {
            continue;
        }
        const bool tableReachable = contact.gossip.tableAge < query.unreachableAfter;
        const bool newerList = contact.gossip.memberVersion > query.list.version;
        if (tableReachable || newerList) {
            return {};
        }
    }
    std::vector<Clock::time_point> supporters;
    for (const Member &member : query.list.members) {
        const Contact *contact = find(member.id);
        const bool supports = contact != nullptr && contact->startedAt >= since && !isTerminated(member.id)
            && contact->gossip.incarnation == member.incarnation
            && !detail::hasRemovalMark(contact->gossip, query.self);
        if (member.id != query.self.id && supports) {
            supporters.push_back(contact->startedAt);
        }
    }
    const std::size_t needed = majority(query.list) - 1;
    if (supporters.size() < needed) {
        return {};
    }
    if (needed == 0) {
        return now + query.window;
    }
    // The majority holds until the oldest of the most recent exchanges that form it leaves the window.
    std::sort(supporters.begin(), supporters.end(), std::greater<>());
    return supporters[needed - 1] + query.window;
}

} // namespace heatherquay::coordination
