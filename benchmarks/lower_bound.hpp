#pragma once

#include "workload.hpp"

#include <functional>

namespace heatherquay::benchmarks
{

/// Selects the jobs of a workload that the bounds and measures cover.
using JobFilter = std::function<bool(const WorkloadJob &)>;

/// Lower bounds in seconds that hold for every policy.
struct LowerBounds
{
    double minimumRunTime{}; ///< Mean run time of the jobs, each on the fastest accelerators that it accepts.
    double meanCompletion{}; ///< Largest of several lower bounds on the mean completion time.
    /// From the first submission; the maximum of total work over capacity and the earliest possible end of each job.
    double makespan{};
};

LowerBounds lowerBounds(const Workload &workload, const JobFilter &filter);

} // namespace heatherquay::benchmarks
