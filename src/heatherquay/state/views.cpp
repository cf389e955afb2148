#include "heatherquay/state/views.hpp"

#include "heatherquay/state/placement.hpp"

#include <bit>

namespace heatherquay::state::detail
{

JobView viewOf(const ClusterState &state, const Job &job)
{
    JobView view;
    view.spec = *job.spec;
    view.phase = job.phase;
    view.fence = job.fence;
    view.placements = placementsOf(state, job.picks);
    view.onGuarantee = job.onGuarantee;
    view.submittedAt = job.submittedAt;
    view.startedAt = job.startedAt;
    view.endedAt = job.endedAt;
    view.progress = job.progress;
    view.reason = job.reason;
    return view;
}

TeamView viewOf(const ClusterState &state, const Team &team)
{
    TeamView view;
    view.spec = team.spec;
    for (const Guarantee &guarantee : state.guarantees) {
        if (guarantee.spec->team == team.spec.id) {
            view.guarantees.push_back(*guarantee.spec);
            if (guarantee.degraded) {
                view.degraded.push_back(guarantee.spec->id);
            }
        }
    }
    view.heldAccelerators = team.held;
    view.borrowedAccelerators = team.borrowed;
    view.waitingJobs = static_cast<std::uint32_t>(team.waiting.size());
    return view;
}

WorkerView viewOf(const ClusterState &state, WorkerIndex worker)
{
    const WorkerNode &node = state.topology.worker(worker);
    return {*node.spec, node.phase, static_cast<std::uint32_t>(std::popcount(state.occupancy.held(worker)))};
}

namespace
{

/// @return the waiting or guaranteed shape with the most accelerators, the first one if several have as many; nullptr
/// if there is none
const Shape *largestShape(const ClusterState &state)
{
    const Shape *largest = nullptr;
    const auto consider = [&largest](const Shape &shape) {
        if (largest == nullptr || acceleratorCount(shape) > acceleratorCount(*largest)) {
            largest = &shape;
        }
    };
    for (const JobNumber number : state.waiting) {
        consider(state.jobs.at(number).spec->shape);
    }
    for (const Guarantee &guarantee : state.guarantees) {
        consider(guarantee.spec->shape);
    }
    return largest;
}

/// @return the fraction of the free accelerators that remain after placing the largest shape as often as possible
double fragmentationOf(const ClusterState &state)
{
    const Shape *shape = largestShape(state);
    Availability rest = state.occupancy.free();
    const std::uint32_t free = rest.count(0, ~KindMask{0});
    if (shape == nullptr || free == 0) {
        return 0.0;
    }
    const PlacementPreference preference{0.0, 1.0, {}};
    const std::vector<PartRequest> requests = requestsOf(state.topology, *shape);
    constexpr std::uint32_t searchBudget = 50; // Candidate nodes per placement.
    while (const auto parts = Placer(state.topology, rest, preference).place(requests, searchBudget)) {
        for (const AcceleratorSet &picks : *parts) {
            rest.take(state.topology, picks);
        }
    }
    return static_cast<double>(rest.count(0, ~KindMask{0})) / free;
}

} // namespace

ClusterTotals totalsOf(const ClusterState &state)
{
    ClusterTotals totals;
    for (WorkerIndex worker = 0; worker < state.topology.workers().size(); ++worker) {
        totals.accelerators += static_cast<std::uint32_t>(std::popcount(state.occupancy.usable(worker)));
    }
    totals.free = state.occupancy.free().count(0, ~KindMask{0});
    totals.waitingJobs = static_cast<std::uint32_t>(state.waiting.size());
    for (const JobNumber number : state.holding) {
        totals.runningJobs += state.jobs.at(number).phase == JobPhase::Running ? 1 : 0;
    }
    totals.fragmentation = fragmentationOf(state);
    return totals;
}

std::vector<Command> openCommandsOf(const ClusterState &state)
{
    std::vector<Command> commands;
    for (const JobNumber number : state.holding) {
        const Job &job = state.jobs.at(number);
        if (job.phase == JobPhase::Starting) {
            commands.emplace_back(StartGang{job.spec->id, job.fence, placementsOf(state, job.picks)});
        } else if (job.phase == JobPhase::Stopping && job.checkpointing) {
            commands.emplace_back(CheckpointGang{job.spec->id, job.fence, job.stopGrace});
        } else if (job.phase == JobPhase::Stopping) {
            commands.emplace_back(StopGang{job.spec->id, job.fence});
        }
    }
    return commands;
}

} // namespace heatherquay::state::detail
