#include "heatherquay/state/job_placement.hpp"

namespace heatherquay::state::detail
{

namespace
{

constexpr std::uint32_t maxPlacementAttempts = 200; // the parts of one job rarely compete for the same accelerators

PlacementPreference preferenceFor(const ClusterState &state, const Job &job)
{
    return {state.policy.weightCompletion, state.policy.weightFragmentation,
            state.runTimes.slowness(*job.spec, state.topology.kinds())};
}

} // namespace

AcceleratorSet merged(const std::vector<AcceleratorSet> &parts)
{
    AcceleratorSet all;
    for (const AcceleratorSet &part : parts) {
        for (const WorkerAccelerators &pick : part) {
            add(all, pick);
        }
    }
    return all;
}

std::optional<std::vector<AcceleratorSet>> placeParts(const ClusterState &state, const Job &job,
                                                      const std::vector<PartRequest> &requests,
                                                      const Availability &available, FailedWorkers failedWorkers)
{
    const PlacementPreference preference = preferenceFor(state, job);
    if (!job.failedOn.empty()) {
        Availability remaining = available;
        for (const WorkerIndex worker : job.failedOn) {
            remaining.exclude(state.topology, worker);
        }
        auto parts = Placer(state.topology, std::move(remaining), preference).place(requests, maxPlacementAttempts);
        if (parts.has_value() || failedWorkers == FailedWorkers::Avoid) {
            return parts;
        }
    }
    return Placer(state.topology, available, preference).place(requests, maxPlacementAttempts);
}

std::optional<AcceleratorSet> findPlacement(const ClusterState &state, const Job &job, const Availability &available)
{
    const std::vector<PartRequest> requests = requestsOf(state.topology, job.spec->shape);
    const auto parts = placeParts(state, job, requests, available, FailedWorkers::UseIfNeeded);
    return parts.has_value() ? std::optional(merged(*parts)) : std::nullopt;
}

std::optional<std::string> impossibleReason(const ClusterState &state, const JobSpec &spec)
{
    const Team &team = state.teams.at(spec.team);
    const std::uint32_t wanted = acceleratorCount(spec.shape);
    if (team.spec.quota != 0 && wanted > team.spec.quota) {
        return "it needs " + std::to_string(wanted) + " accelerators and the quota of team " + spec.team.value + " is "
            + std::to_string(team.spec.quota) + "; ask for fewer or raise the quota";
    }
    Availability everything(state.topology);
    for (WorkerIndex worker = 0; worker < state.topology.workers().size(); ++worker) {
        if (!state.topology.worker(worker).replaced) {
            everything.put(state.topology, {worker, state.topology.worker(worker).all()});
        }
    }
    const PlacementPreference preference{0.0, 1.0, {}};
    if (Placer(state.topology, everything, preference)
            .place(requestsOf(state.topology, spec.shape), maxPlacementAttempts)) {
        return std::nullopt;
    }
    return "no set of the cluster's accelerators has this shape, even with all workers idle; ask for fewer, for other "
           "kinds or for a looser adjacency";
}

} // namespace heatherquay::state::detail
