#include "heatherquay/state/fair_share.hpp"

#include "heatherquay/state/gang_reservation.hpp"
#include "heatherquay/state/guarantee_claims.hpp"
#include "heatherquay/state/job_lifecycle.hpp"
#include "heatherquay/state/job_placement.hpp"
#include "heatherquay/state/ordering.hpp"

#include <algorithm>
#include <set>

namespace heatherquay::state::detail
{

namespace
{

/// The waiting jobs of one team, in the order in which they should start.
struct TeamQueue
{
    Team *team{};
    std::vector<QueuedJob> jobs;
    std::size_t position{};

    bool empty() const
    {
        return position == jobs.size();
    }
    /// @return the sort key of the queue; the queue with the lowest value is served first
    double rank() const
    {
        return shareRatio(*team) * jobs[position].cost;
    }
};

/// @return a queue for each team that has waiting jobs without a claim
std::vector<TeamQueue> teamQueues(ClusterState &state, Instant now)
{
    std::vector<TeamQueue> queues;
    for (auto &[id, team] : state.teams) {
        std::vector<JobNumber> jobs;
        for (const JobNumber number : team.waiting) {
            if (state.jobs.at(number).claimKind == ClaimKind::None) {
                jobs.push_back(number);
            }
        }
        if (!jobs.empty()) {
            queues.push_back({&team, sortedForStart(state, jobs, now)});
        }
    }
    return queues;
}

/// Heap comparator that puts the queue with the lowest rank on top.
bool ranksLater(const TeamQueue &left, const TeamQueue &right)
{
    return left.rank() != right.rank() ? left.rank() > right.rank() : right.team->spec.id < left.team->spec.id;
}

/// Starts jobs by fair share within one scheduling pass.
class FairShareStarter
{
public:
    explicit FairShareStarter(Step &step)
        : m_step(step)
        , m_backfillWindows(backfillWindows(step.state, step.now))
    {
    }

    void tryStart(const Team &team, Job &job)
    {
        if (!withinQuota(team, job.accelerators)) {
            job.reason = "the team's quota is used up";
            return;
        }
        if (awaitsGuarantee(m_step.state, job)) {
            job.reason = "its team's guarantee is claimed by a job that waits for borrowers to stop";
            return;
        }
        if (m_unplaceableShapes.contains(job.shapeNumber) || !startOnFreeAccelerators(job)) {
            m_unplaceableShapes.insert(job.shapeNumber);
            job.reason = "no free accelerators of this shape";
            startAsBackfill(job);
        }
    }

private:
    bool startOnFreeAccelerators(Job &job)
    {
        const std::optional<AcceleratorSet> placement = findPlacement(m_step.state, job, m_step.state.occupancy.free());
        if (placement.has_value()) {
            startGang(m_step, job, *placement, false);
        }
        return placement.has_value();
    }

    /// Starts the job on reserved accelerators if it is expected to end before the reserving gang starts (backfill).
    void startAsBackfill(Job &job)
    {
        if (m_backfillWindows.empty() || m_backfillAttempts == maxBackfillAttempts) {
            return;
        }
        ++m_backfillAttempts;
        const Duration remaining = expectedRemaining(m_step.state, job, m_step.now);
        Availability available = m_step.state.occupancy.free();
        bool windowAdded = false;
        for (const BackfillWindow &window : m_backfillWindows) {
            if (remaining <= window.length) {
                available.put(m_step.state.topology, window.picks);
                windowAdded = true;
            }
        }
        const std::optional<AcceleratorSet> placement
            = windowAdded ? findPlacement(m_step.state, job, available) : std::nullopt;
        if (placement.has_value()) {
            startGang(m_step, job, *placement, false);
            job.backfilled = true;
            m_backfillWindows = backfillWindows(m_step.state, m_step.now);
        }
    }

    static constexpr std::uint32_t maxBackfillAttempts = 16; // bounds the duration of a pass when the queue is long

    Step &m_step;
    std::vector<BackfillWindow> m_backfillWindows;
    std::uint32_t m_backfillAttempts{};
    std::set<std::uint32_t> m_unplaceableShapes; ///< Shape numbers that could not be placed in this pass.
};

} // namespace

void startJobsByFairShare(Step &step)
{
    ClusterState &state = step.state;
    const bool hasFreeCapacity
        = state.occupancy.free().count(0, ~KindMask{0}) > 0 || !backfillWindows(state, step.now).empty();
    if (state.waiting.empty() || !hasFreeCapacity) {
        return;
    }
    std::vector<TeamQueue> queues = teamQueues(state, step.now);
    std::make_heap(queues.begin(), queues.end(), ranksLater);
    FairShareStarter starter(step);
    while (!queues.empty()) {
        std::pop_heap(queues.begin(), queues.end(), ranksLater);
        TeamQueue &queue = queues.back();
        starter.tryStart(*queue.team, state.jobs.at(queue.jobs[queue.position].number));
        ++queue.position;
        if (queue.empty()) {
            queues.pop_back();
        } else {
            std::push_heap(queues.begin(), queues.end(), ranksLater);
        }
    }
}

} // namespace heatherquay::state::detail
