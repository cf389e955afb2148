#pragma once

#include "heatherquay/state/batch/job.hpp"
#include "heatherquay/state/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heatherquay::state::batch
{

/// What an operator last requested for a failure domain.
struct EvacuationChange
{
    FailureDomainId domain;
    std::uint64_t version{}; ///< Of the store's row, or of its removal; later changes have higher versions.
    bool evacuated{};

    friend bool operator==(const EvacuationChange &, const EvacuationChange &) = default;
};

/// How soon an evacuation must be in force.
struct EvacuationLimits
{
    /// Time from the confirmation of a request to the last start in its failure domain; 0 where the deployment has no
    /// such bound.
    Duration bound{};
    /// Used instead of a bound of 0 once there was a request: the bound on changes of the configuration.
    Duration defaultBound{3'000};
    /// Longest time from the check of the list to the start on a worker: two timeouts of an order.
    Duration orderTime{600};
};

/// The failure domains on whose workers nothing may be started. Merges the changes that reach a process from the store
/// and from its peers in any order.
class Evacuations
{
public:
    /// Applies a change unless a later one of the same domain is known.
    /// @return whether the domain is evacuated now and was not before, or the other way round
    bool apply(const EvacuationChange &change);
    bool contains(const FailureDomainId &domain) const;
    std::set<FailureDomainId> domains() const;
    /// @return the latest change of each domain, including those that have ended
    std::vector<EvacuationChange> changes() const;
    /// Decides whether tasks may be started with a list of this age. A request that the store confirmed after the list
    /// was read is not in it, so that each start must reach its worker before the bound of such a request.
    /// @param listAge time since the call that returned the list was sent; nothing when it was never read
    bool allowStarts(const EvacuationLimits &limits, std::optional<Duration> listAge) const;

private:
    std::map<FailureDomainId, EvacuationChange> m_changes;
};

} // namespace heatherquay::state::batch
