#pragma once

#include "workload.hpp"

#include "heatherquay/state/commands.hpp"

#include <concepts>
#include <functional>
#include <string>
#include <vector>

namespace heatherquay::benchmarks
{

/// A policy that can be replayed; apply() has the contract of state::Cluster::apply().
template<typename T>
concept Policy = requires(T policy, const state::Event &event, state::Instant now)
{
    {
        policy.apply(event, now)
        } -> std::same_as<std::vector<state::Command>>;
};

struct ReplayResult
{
    std::vector<double> completions; ///< Seconds from submission to end of each measured job.
    /// Share of the free accelerators that are unusable for the largest part; time average over the window.
    double fragmentation{};
    double utilisation{}; ///< Share of the accelerators in use; time average over the window.
    double makespan{}; ///< Seconds from the start of the workload to the end of the last measured job.
    std::uint64_t preemptions{};
    std::uint64_t unfinished{}; ///< Measured jobs that did not finish; their completion time ends with the replay.
    std::uint64_t policyErrors{}; ///< Invalid starts and checkpoints, and events that the policy rejected.
    std::string firstPolicyError; ///< Description of the first of them.
};

namespace detail
{

using Apply = std::function<std::vector<state::Command>(const state::Event &, state::Instant)>;
ReplayResult replay(const Workload &workload, const Apply &apply);

} // namespace detail

/// @return a filter for the jobs that are measured: those that can finish and are not cancelled
std::function<bool(const WorkloadJob &)> measuredJobFilter(const Workload &workload);

/// Replays a workload in virtual time. It simulates the workers: it starts gangs, finishes them after their actual run
/// time and executes checkpoint and stop commands.
template<Policy P>
ReplayResult replay(const Workload &workload, P &policy)
{
    return detail::replay(workload, [&policy](const state::Event &event, state::Instant now) {
        return policy.apply(event, now);
    });
}

} // namespace heatherquay::benchmarks
