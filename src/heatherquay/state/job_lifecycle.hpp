#pragma once

#include "heatherquay/state/cluster_state.hpp"

#include <string>

namespace heatherquay::state::detail
{

/// Validates a shape.
/// @param owner description of the job or guarantee, for the error message
/// @throws Error(BadInput) if the shape has no part or a part asks for 0 accelerators
void checkShape(const Shape &shape, const std::string &owner);

/// Adds a job to the queue.
/// @throws Error(BadInput) for an empty id or an invalid shape, Error(Conflict) if the id is in use, Error(NotFound)
/// for an unknown team
Job &submit(Step &step, const JobSpec &spec);
/// Starts a waiting job on free accelerators or on those that it has claimed.
/// @param onGuarantee whether the job uses its team's guarantee, which protects it from preemption
void startGang(Step &step, Job &job, AcceleratorSet picks, bool onGuarantee);
/// Claims accelerators for a waiting job. Borrowers that hold them keep running until they are stopped separately.
void setClaim(ClusterState &state, Job &job, const AcceleratorSet &picks, ClaimKind kind);
/// Releases the job's claim, if it has one.
void dropClaim(ClusterState &state, Job &job);
/// Asks a gang to stop. A running gang takes a checkpoint first if @p grace is greater than 0.
void stopGang(Step &step, Job &job, Duration grace);
/// Stops gangs whose checkpoint deadline has passed.
void enforceStopDeadlines(Step &step);
/// Releases all accelerators that the job holds.
void releaseAccelerators(ClusterState &state, Job &job);
/// Puts a job back into the queue. The job must hold no accelerators.
void requeue(ClusterState &state, Job &job, const std::string &reason);
/// Ends a job. The job must hold no accelerators.
void endJob(Step &step, Job &job, JobPhase phase);
/// Parks a job until an operator acts on it. The job must hold no accelerators.
void parkJob(Step &step, Job &job, const std::string &reason);
/// Turns a job on its team's guarantee into a borrower, which may be preempted. Has no effect on other jobs.
void convertToBorrower(ClusterState &state, Job &job);
/// Removes ended jobs that exceed the retention time or the maximum number.
void purgeEndedJobs(Step &step);

/// @return run time since the current start; 0 if the job is not running
Duration runTimeSinceStart(const Job &job, Instant now);
/// @return expected time until the job ends if it keeps running
Duration expectedRemaining(const ClusterState &state, const Job &job, Instant now);

} // namespace heatherquay::state::detail
