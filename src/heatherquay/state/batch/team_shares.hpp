#pragma once

#include "heatherquay/state/batch/job.hpp"
#include "heatherquay/state/batch/progress.hpp"

#include <map>
#include <vector>

namespace heatherquay::state::batch
{

/// Divides what guarantees leave between teams by their use over time, not by the number of jobs that they queue. The
/// use of a team is that of its dominant resource: the largest share of all cores, memory or accelerators, averaged
/// with a weight that decays exponentially over a span. Work-conserving: the rank orders steps and excludes none.
class TeamShares
{
public:
    /// @param span after which use counts e times less; zero switches the division off
    explicit TeamShares(Duration span);

    bool enabled() const
    {
        return m_span > Duration::zero();
    }
    /// @param weights by team, greater than 0; teams without one have weight 1
    void setWeights(std::map<TeamId, double> weights);
    /// Adds the time since the latest call to the averages.
    /// @param held what the runs of each team hold beyond its guarantee; an entry for each team with waiting work too
    /// @param capacity of all workers
    /// @param wall wall clock, so that a successor continues the averages; a clock that goes back adds nothing
    void charge(const std::map<TeamId, Resources> &held, const Resources &capacity, Instant wall);
    /// The larger of averaged and present use counts: the average alone would let a burst take everything until it has
    /// lasted for a part of the span.
    /// @param ahead what the team gets before the step that is ranked, beside what it holds
    /// @return 0 for a team below its fair share, otherwise 1 and one more for each half of a fair share above; steps
    /// of teams of the same rank are ordered by their deadlines
    std::uint32_t rank(const TeamId &team, const Resources &ahead = {}) const;
    /// @return the averaged share of the team's dominant resource, from 0 to 1
    double use(const TeamId &team) const;
    /// @return the share to which the team is entitled beside the teams that have work now, from 0 to 1
    double fairShare(const TeamId &team) const;

    /// @return the averages of the teams that used most, at most recordedTeamsMax
    std::vector<TeamUse> uses() const;
    /// @return the wall time of the averages; zero before the first charge
    Instant chargedAt() const
    {
        return m_chargedAt;
    }
    /// Continues the averages of a predecessor.
    /// @param chargedAt their wall time; the time since then is charged with what the teams hold at the next charge
    void restore(const std::vector<TeamUse> &uses, Instant chargedAt);

    static constexpr std::size_t recordedTeamsMax = 100;

private:
    double weight(const TeamId &team) const;

    Duration m_span;
    std::map<TeamId, double> m_weights;
    std::map<TeamId, TeamUse> m_uses;
    Resources m_capacity;
    std::map<TeamId, Resources> m_present; ///< Teams that hold resources or have waiting work.
    double m_presentWeights{};
    Instant m_chargedAt; ///< Wall time of the latest charge; zero before.
};

} // namespace heatherquay::state::batch
