#pragma once

#include "heatherquay/state/cluster_state.hpp"

#include <optional>

namespace heatherquay::state::detail
{

/// Sets the worker's phase according to its health.
void updatePhase(Step &step, WorkerIndex worker);
/// Records a failure of the job. A worker on which several distinct jobs failed goes on probation.
/// @param failedWorker the worker that caused the failure, if known
/// @return whether the job itself is at fault and must be parked
bool recordFailure(Step &step, Job &job, const std::optional<WorkerId> &failedWorker);
/// Records a success of the job on all workers that it holds.
void recordSuccess(ClusterState &state, const Job &job);
/// Ends the probations whose time has passed.
void endProbations(Step &step);

} // namespace heatherquay::state::detail
