#pragma once

#include "heatherquay/state/events.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace heatherquay::tests
{

/// Tracks which parts of a team's guarantees its jobs use, from observable events only. A job that fits when it starts
/// draws each of its parts from one guaranteed part and keeps it until it ends. The choice of guaranteed part is not
/// observable, so all attributions that are consistent with the events are kept, and a property counts as certain only
/// if it holds in all of them.
class GuaranteeDraws
{
public:
    void grant(const state::GuaranteeSpec &guarantee);
    void withdraw(const state::GuaranteeId &guarantee);
    /// @param mayBorrow whether the job may run as a borrower although it fits, because a guarantee may be degraded
    void start(const state::JobSpec &job, bool mayBorrow);
    /// Records that the job no longer draws from a guarantee.
    void release(const state::JobId &job);
    /// Records that the job was preempted for another one, which shows that it was a borrower.
    void recordPreemption(const state::JobId &job);

    /// @return whether the job draws from a guarantee in every attribution
    bool certainlyDraws(const state::JobId &job) const;
    /// @param guarantees the guarantees to consider
    /// @return whether the shape fits into what is unused of these guarantees in every attribution
    bool certainlyFits(const state::Shape &shape, const std::vector<state::GuaranteeSpec> &guarantees) const;

private:
    using GuaranteedPart = std::pair<state::GuaranteeId, std::size_t>;
    using Attribution = std::map<state::JobId, std::vector<GuaranteedPart>>; ///< The guaranteed part of each job part.
    using RemainingParts = std::map<GuaranteedPart, state::ShapePart>; ///< With their unused counts.

    RemainingParts remainingAfter(const Attribution &attribution) const;
    /// Collects all ways to draw the parts of @p shape from the remaining guaranteed parts.
    static void collectDraws(const state::Shape &shape, RemainingParts &remaining, std::vector<GuaranteedPart> &chosen,
                             std::vector<std::vector<GuaranteedPart>> &found);

    std::vector<state::GuaranteeSpec> m_guarantees;
    std::map<state::JobId, state::Shape> m_shapes; ///< Shapes of all jobs that have been started.
    std::set<Attribution> m_attributions{Attribution{}};
};

} // namespace heatherquay::tests
