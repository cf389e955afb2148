#include "heatherquay/state/batch/evacuations.hpp"

namespace heatherquay::state::batch
{

bool Evacuations::apply(const EvacuationChange &change)
{
    const auto [position, added] = m_changes.try_emplace(change.domain, change);
    if (added) {
        return change.evacuated;
    }
    EvacuationChange &known = position->second;
    // A removal that a mirror has found by reading the table again has the earliest version that it may have, which can
    // be the version of the next request.
    const bool sameVersion = change.version == known.version && change.evacuated;
    if (change.version < known.version || (change.version == known.version && !sameVersion)) {
        return false;
    }
    const bool differs = known.evacuated != change.evacuated;
    known = change;
    return differs;
}

bool Evacuations::contains(const FailureDomainId &domain) const
{
    const auto found = m_changes.find(domain);
    return found != m_changes.end() && found->second.evacuated;
}

std::set<FailureDomainId> Evacuations::domains() const
{
    std::set<FailureDomainId> evacuated;
    for (const auto &[domain, change] : m_changes) {
        if (change.evacuated) {
            evacuated.insert(domain);
        }
    }
    return evacuated;
}

std::vector<EvacuationChange> Evacuations::changes() const
{
    std::vector<EvacuationChange> changes;
    for (const auto &[domain, change] : m_changes) {
        changes.push_back(change);
    }
    return changes;
}

bool Evacuations::allowStarts(const EvacuationLimits &limits, std::optional<Duration> listAge) const
{
    if (!listAge) {
        return false;
    }
    // Without a bound and without any request, tasks are started whatever the store does.
    if (limits.bound.count() <= 0 && m_changes.empty()) {
        return true;
    }
    const Duration bound = limits.bound.count() > 0 ? limits.bound : limits.defaultBound;
    return *listAge <= bound - limits.orderTime;
}

} // namespace heatherquay::state::batch
