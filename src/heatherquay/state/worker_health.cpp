#include "heatherquay/state/worker_health.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

namespace
{

constexpr std::uint32_t probationDoublingsMax = 3; // Limits a probation to eight periods.
// A job is also parked after this many times jobFailureBound failures, so that one that keeps failing on a single
// worker does not restart forever.
constexpr std::uint32_t totalFailuresFactor = 3;

/// Starts a probation. Consecutive probations double in length, up to the limit.
void startProbation(Step &step, WorkerIndex worker)
{
    WorkerHealth &health = step.state.health[worker];
    const std::uint32_t doublings = std::min(health.probations, probationDoublingsMax);
    health.probationUntil = step.now + step.state.policy.probationPeriod * (1U << doublings);
    ++health.probations;
    updatePhase(step, worker);
    step.notify(Severity::Warning,
                "worker " + step.state.topology.worker(worker).spec->id.value + " failed "
                    + std::to_string(health.failedJobs.size())
                    + " distinct jobs; it is on probation and gets no new work");
}

void endProbation(Step &step, WorkerIndex worker)
{
    step.state.health[worker].probationUntil.reset();
    step.state.health[worker].failedJobs.clear();
    updatePhase(step, worker);
}

/// Removes the job's failures from its workers' records and ends probations that depend on them. A job that fails on
/// several workers is itself at fault, so its failures are no evidence against the workers.
void retractFailures(Step &step, const Job &job)
{
    for (const WorkerIndex worker : job.failedOn) {
        WorkerHealth &health = step.state.health[worker];
        const bool counted = std::erase(health.failedJobs, job.number) > 0;
        const bool enough = health.failedJobs.size() >= step.state.policy.probationFailures;
        if (counted && !enough && health.probationUntil.has_value()) {
            --health.probations;
            endProbation(step, worker);
        }
    }
}

void recordFailureOnWorker(Step &step, const Job &job, WorkerIndex worker)
{
    WorkerHealth &health = step.state.health[worker];
    if (std::find(health.failedJobs.begin(), health.failedJobs.end(), job.number) == health.failedJobs.end()) {
        health.failedJobs.push_back(job.number);
    }
    if (!health.probationUntil.has_value() && health.failedJobs.size() >= step.state.policy.probationFailures) {
        startProbation(step, worker);
    }
}

} // namespace

void updatePhase(Step &step, WorkerIndex worker)
{
    ClusterState &state = step.state;
    const WorkerHealth &health = state.health[worker];
    WorkerPhase phase = WorkerPhase::Live;
    if (health.lost) {
        phase = WorkerPhase::Lost;
    } else if (health.draining) {
        phase = WorkerPhase::Draining;
    } else if (health.probationUntil.has_value()) {
        phase = WorkerPhase::Probation;
    }
    state.topology.setPhase(worker, phase);
    state.occupancy.setUsable(state.topology, worker, phase == WorkerPhase::Live);
    step.capacityGrew = step.capacityGrew || phase == WorkerPhase::Live;
}

bool recordFailure(Step &step, Job &job, const std::optional<WorkerId> &failedWorker)
{
    ++job.failures;
    const std::uint32_t bound = step.state.policy.jobFailureBound;
    if (failedWorker.has_value() && step.state.topology.contains(*failedWorker)) {
        const WorkerIndex worker = step.state.topology.find(*failedWorker);
        if (std::find(job.failedOn.begin(), job.failedOn.end(), worker) == job.failedOn.end()) {
            job.failedOn.push_back(worker);
        }
        if (job.failedOn.size() < bound) {
            recordFailureOnWorker(step, job, worker);
        }
    }
    const bool jobAtFault = job.failedOn.size() >= bound || job.failures >= bound * totalFailuresFactor;
    if (jobAtFault) {
        retractFailures(step, job);
    }
    return jobAtFault;
}

void recordSuccess(ClusterState &state, const Job &job)
{
    for (const WorkerAccelerators &pick : job.picks) {
        WorkerHealth &health = state.health[pick.worker];
        health.probations = 0;
        if (!health.failedJobs.empty() && !health.probationUntil.has_value()) {
            health.failedJobs.erase(health.failedJobs.begin());
        }
    }
}

void endProbations(Step &step)
{
    for (WorkerIndex worker = 0; worker < step.state.health.size(); ++worker) {
        const std::optional<Instant> &until = step.state.health[worker].probationUntil;
        if (until.has_value() && *until <= step.now) {
            endProbation(step, worker);
        }
    }
}

} // namespace heatherquay::state::detail
