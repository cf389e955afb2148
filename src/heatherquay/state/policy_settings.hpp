#pragma once

#include "heatherquay/state/time.hpp"

#include <cstdint>

namespace heatherquay::state
{

/// Weights and limits of the scheduling policy. SettingChanged changes them at run time with the key "policy.<name>".
struct PolicySettings
{
    /// policy.weight_completion, 0 to 1: weight of completion times in the order of jobs and in the choice of a
    /// placement.
    double weightCompletion{1.0};
    /// policy.weight_fragmentation, 0 to 1: weight of low fragmentation in the choice of a placement.
    double weightFragmentation{0.5};
    /// policy.reclaim_grace: time that a preempted gang gets for a checkpoint before it is stopped.
    Duration reclaimGrace{10'000};
    /// policy.ageing_period: waiting time that doubles a job's weight.
    Duration ageingPeriod{600'000};
    /// policy.gang_wait_bound: waiting time after which a gang gets a reservation that later jobs cannot delay.
    Duration gangWaitBound{7'200'000};
    /// policy.probation_failures: number of distinct failed jobs that puts a worker on probation.
    std::uint32_t probationFailures{3};
    /// policy.probation_period: length of a worker's first probation; consecutive ones take longer.
    Duration probationPeriod{600'000};
    /// policy.job_failure_bound: a job that fails on this many distinct workers is parked.
    std::uint32_t jobFailureBound{3};
};

} // namespace heatherquay::state
