#include "heatherquay/state/gang_reservation.hpp"

#include "heatherquay/state/job_lifecycle.hpp"
#include "heatherquay/state/job_placement.hpp"
#include "heatherquay/state/ordering.hpp"
#include "heatherquay/state/reclaim.hpp"

#include <algorithm>
#include <set>

namespace heatherquay::state::detail
{

namespace
{

constexpr std::size_t maxReservations = 4; // more would leave too few accelerators for the other jobs
// Bounds the duration of a pass when guaranteed jobs hold nearly all accelerators.
constexpr std::uint32_t maxPlacementSearches = 8;

bool isReservation(const Job &job)
{
    return job.claimKind == ClaimKind::Reservation;
}

/// @return the jobs that hold a reservation
std::vector<JobNumber> reservingJobs(const ClusterState &state)
{
    std::vector<JobNumber> jobs;
    for (const JobNumber number : state.claiming) {
        if (isReservation(state.jobs.at(number))) {
            jobs.push_back(number);
        }
    }
    return jobs;
}

/// @return the expected time until the gang releases its accelerators; 0 if it is already being stopped
Duration expectedTimeToRelease(const ClusterState &state, const Job &job, Instant now)
{
    return job.phase == JobPhase::Stopping ? Duration{0} : expectedRemaining(state, job, now);
}

/// @return all borrowers, sorted by expected end, the earliest first
std::vector<JobNumber> borrowersByEnd(const ClusterState &state, Instant now)
{
    std::vector<std::pair<Duration, JobNumber>> expectedEnds;
    for (const JobNumber number : state.holding) {
        const Job &job = state.jobs.at(number);
        if (!job.onGuarantee) {
            expectedEnds.emplace_back(expectedTimeToRelease(state, job, now), number);
        }
    }
    std::sort(expectedEnds.begin(), expectedEnds.end());
    std::vector<JobNumber> borrowers;
    borrowers.reserve(expectedEnds.size());
    for (const auto &[end, number] : expectedEnds) {
        borrowers.push_back(number);
    }
    return borrowers;
}

/// Finds the accelerators that are expected to be free soonest, by a binary search over the borrowers sorted by end.
std::optional<AcceleratorSet> earliestPlacement(const ClusterState &state, const Job &job, Instant now)
{
    const std::vector<JobNumber> borrowers = borrowersByEnd(state, now);
    const auto placementAfter = [&](std::size_t endedCount) {
        Availability available = state.occupancy.free();
        for (std::size_t position = 0; position < endedCount; ++position) {
            for (const WorkerAccelerators &pick : state.jobs.at(borrowers[position]).picks) {
                const AcceleratorMask open
                    = state.occupancy.usable(pick.worker) & ~state.occupancy.claimed(pick.worker);
                available.put(state.topology, {pick.worker, pick.mask & open});
            }
        }
        return findPlacement(state, job, available);
    };
    std::size_t low = 0;
    std::size_t high = borrowers.size();
    std::optional<AcceleratorSet> best = placementAfter(high);
    while (best.has_value() && low < high) {
        const std::size_t middle = (low + high) / 2;
        if (auto placement = placementAfter(middle)) {
            best = std::move(placement);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    return best;
}

} // namespace

void reserveForGangs(Step &step)
{
    ClusterState &state = step.state;
    std::size_t reserved = reservingJobs(state).size();
    std::uint32_t searches = 0;
    std::set<std::uint32_t> unplaceableShapes;
    // Waiting jobs are sorted by submission, so the loop stops at the first one that has not reached the wait bound.
    for (const JobNumber number : state.waiting) {
        Job &job = state.jobs.at(number);
        if (reserved >= maxReservations || searches >= maxPlacementSearches
            || step.now - job.submittedAt < state.policy.gangWaitBound) {
            return;
        }
        const std::uint32_t wanted = job.accelerators;
        if (job.claimKind != ClaimKind::None || !withinQuota(state.teams.at(job.spec->team), wanted)) {
            continue;
        }
        if (unplaceableShapes.contains(job.shapeNumber)) {
            continue;
        }
        ++searches;
        const std::optional<AcceleratorSet> placement = earliestPlacement(state, job, step.now);
        if (!placement.has_value()) {
            unplaceableShapes.insert(job.shapeNumber);
            job.reason = "guaranteed jobs hold the accelerators that it needs";
            continue;
        }
        job.reservedAt = job.reservedAt.value_or(step.now);
        setClaim(state, job, *placement, ClaimKind::Reservation);
        job.reason = "accelerators are being reserved for it";
        ++reserved;
    }
}

void preemptForReservations(Step &step)
{
    ClusterState &state = step.state;
    for (const JobNumber number : reservingJobs(state)) {
        const Job &job = state.jobs.at(number);
        const std::set<JobNumber> holders = holdersOf(state, job.claim);
        const bool onlyBackfillJobsLeft = std::all_of(holders.begin(), holders.end(), [&state](JobNumber holder) {
            return state.jobs.at(holder).backfilled || state.jobs.at(holder).phase == JobPhase::Stopping;
        });
        if (onlyBackfillJobsLeft || step.now >= *job.reservedAt + state.policy.gangWaitBound) {
            preemptHolders(step, job.claim, state.policy.reclaimGrace);
        }
    }
}

std::vector<BackfillWindow> backfillWindows(const ClusterState &state, Instant now)
{
    std::vector<BackfillWindow> windows;
    for (const JobNumber number : reservingJobs(state)) {
        const Job &job = state.jobs.at(number);
        BackfillWindow window;
        for (const WorkerAccelerators &pick : job.claim) {
            add(window.picks, {pick.worker, pick.mask & ~state.occupancy.held(pick.worker)});
        }
        for (const JobNumber holder : holdersOf(state, job.claim)) {
            const Job &other = state.jobs.at(holder);
            if (!other.backfilled) {
                window.length = std::max(window.length, expectedTimeToRelease(state, other, now));
            }
        }
        if (!window.picks.empty() && window.length.count() > 0) {
            windows.push_back(std::move(window));
        }
    }
    return windows;
}

} // namespace heatherquay::state::detail
