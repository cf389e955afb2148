#include "heatherquay/state/event_handlers.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/state/guarantee_admission.hpp"
#include "heatherquay/state/job_lifecycle.hpp"
#include "heatherquay/state/job_placement.hpp"
#include "heatherquay/state/policy_keys.hpp"
#include "heatherquay/state/worker_health.hpp"

#include <algorithm>
#include <initializer_list>

namespace heatherquay::state::detail
{

namespace
{

/// Finds the job that a report refers to.
/// @throws Error(NotFound) if the job does not exist, Error(Conflict) if the report is about an earlier start or the
/// job is in none of @p phases
Job &findReportedJob(ClusterState &state, const JobId &id, Fence fence, std::initializer_list<JobPhase> phases)
{
    Job &job = findJob(state, id);
    if (job.fence != fence) {
        throw Error(ErrorKind::Conflict,
                    "job " + id.value + " has been started again since fence " + std::to_string(fence.value),
                    "discard the report");
    }
    if (std::find(phases.begin(), phases.end(), job.phase) == phases.end()) {
        throw Error(ErrorKind::Conflict, "job " + id.value + " is in a phase that does not allow this report",
                    "discard the report");
    }
    return job;
}

std::set<JobNumber> jobsOn(const ClusterState &state, WorkerIndex worker)
{
    return holdersOf(state, {{worker, state.topology.worker(worker).all()}});
}

void handleEvent(Step &step, const WorkerAdded &event)
{
    ClusterState &state = step.state;
    const bool known = state.topology.contains(event.worker.id);
    if (known) {
        const WorkerIndex index = state.topology.find(event.worker.id);
        if (state.health[index].lost && *state.topology.worker(index).spec == event.worker) {
            state.health[index].lost = false;
            updatePhase(step, index);
            return;
        }
        if (!jobsOn(state, index).empty()) {
            throw Error(ErrorKind::Conflict,
                        "worker " + event.worker.id.value
                            + " still runs tasks that started under its old specification",
                        "wait until they have stopped");
        }
    }
    state.topology.add(event.worker);
    state.health.emplace_back();
    state.occupancy.grow(state.topology);
    step.capacityGrew = true;
}

void handleEvent(Step &step, const WorkerLost &event)
{
    ClusterState &state = step.state;
    const WorkerIndex worker = state.topology.find(event.worker);
    if (state.health[worker].lost) {
        return;
    }
    state.health[worker].lost = true;
    updatePhase(step, worker);
    for (const JobNumber number : jobsOn(state, worker)) {
        Job &job = state.jobs.at(number);
        if (job.phase != JobPhase::Stopping) {
            stopGang(step, job, Duration{0});
        }
    }
}

void handleEvent(Step &step, const WorkerReturned &event)
{
    ClusterState &state = step.state;
    const WorkerIndex worker = state.topology.find(event.worker);
    state.health[worker].lost = false;
    updatePhase(step, worker);
}

void handleEvent(Step &step, const WorkerDraining &event)
{
    ClusterState &state = step.state;
    const WorkerIndex worker = state.topology.find(event.worker);
    state.health[worker].draining = event.draining;
    updatePhase(step, worker);
    if (!event.draining) {
        return;
    }
    for (const JobNumber number : jobsOn(state, worker)) {
        Job &job = state.jobs.at(number);
        if (job.phase != JobPhase::Stopping) {
            stopGang(step, job, state.policy.reclaimGrace);
        }
    }
}

void handleEvent(Step &step, const EndpointDraining &event)
{
    if (event.service.value.empty() || event.address.empty()) {
        throw Error(ErrorKind::BadInput, "an endpoint needs a service and an address", "set both");
    }
    const std::pair<std::string, std::string> endpoint{event.service.value, event.address};
    if (event.draining) {
        step.state.drainingEndpoints.insert(endpoint);
    } else {
        step.state.drainingEndpoints.erase(endpoint);
    }
}

void handleEvent(Step &step, const TeamDeclared &event)
{
    if (event.team.id.value.empty() || event.team.share == 0) {
        throw Error(ErrorKind::BadInput, "a team needs an id and a share of at least 1", "set both");
    }
    checkQuota(step.state, event.team);
    step.state.teams[event.team.id].spec = event.team;
}

void handleEvent(Step &step, const GuaranteeGranted &event)
{
    grantGuarantee(step, event.guarantee);
}

void handleEvent(Step &step, const GuaranteeWithdrawn &event)
{
    withdrawGuarantee(step, event.guarantee);
}

void handleEvent(Step &step, const JobSubmitted &event)
{
    Job &job = submit(step, event.job);
    if (const auto reason = impossibleReason(step.state, event.job)) {
        parkJob(step, job, *reason);
    }
}

void handleEvent(Step &step, const JobCancelled &event)
{
    Job &job = findJob(step.state, event.job);
    switch (job.phase) {
    case JobPhase::Waiting:
    case JobPhase::Parked:
        endJob(step, job, JobPhase::Cancelled);
        return;
    case JobPhase::Finished:
    case JobPhase::Cancelled:
        throw Error(ErrorKind::Conflict, "job " + event.job.value + " has already ended", "no cancellation is needed");
    case JobPhase::Starting:
    case JobPhase::Running:
        stopGang(step, job, Duration{0});
        break;
    case JobPhase::Stopping:
        break;
    }
    job.cancelled = true;
}

void handleEvent(Step &step, const GangStarted &event)
{
    Job &job = findReportedJob(step.state, event.job, event.fence,
                               {JobPhase::Starting, JobPhase::Running, JobPhase::Stopping});
    if (job.phase == JobPhase::Starting) {
        job.phase = JobPhase::Running;
        job.startedAt = step.now;
    }
}

/// Releases the accelerators of a stopped gang. The job returns to the queue, or ends if it was cancelled.
void releaseAndRequeue(Step &step, Job &job, const std::string &reason)
{
    releaseAccelerators(step.state, job);
    if (job.cancelled) {
        endJob(step, job, JobPhase::Cancelled);
    } else {
        requeue(step.state, job, reason);
    }
}

/// Handles a failed start or a failed task of a gang whose members have all stopped. The job loses its progress and
/// returns to the queue, or is parked if it is itself at fault.
void handleGangFailure(Step &step, Job &job, const std::optional<WorkerId> &failedWorker, const std::string &reason)
{
    const bool jobAtFault = !job.cancelled && recordFailure(step, job, failedWorker);
    // A failure report does not say whether a checkpoint was saved.
    job.checkpointedRunTime = Duration{0};
    job.progress = 0;
    releaseAndRequeue(step, job, reason);
    if (jobAtFault) {
        parkJob(step, job,
                "it failed on " + std::to_string(job.failedOn.size()) + " workers, " + std::to_string(job.failures)
                    + " times in all; submit it again under another id once it is mended");
    }
}

void handleEvent(Step &step, const GangStartFailed &event)
{
    Job &job = findReportedJob(step.state, event.job, event.fence, {JobPhase::Starting, JobPhase::Stopping});
    handleGangFailure(step, job, event.failedWorker, "a member of the gang did not start");
}

void handleEvent(Step &step, const TaskFailed &event)
{
    Job &job = findReportedJob(step.state, event.job, event.fence,
                               {JobPhase::Starting, JobPhase::Running, JobPhase::Stopping});
    handleGangFailure(step, job, event.failedWorker, "a task failed");
}

/// @return the accelerator kind if all accelerators are of one kind, otherwise an empty string
std::string commonKind(const ClusterState &state, const AcceleratorSet &picks)
{
    std::string kind;
    for (const WorkerAccelerators &pick : picks) {
        const WorkerNode &worker = state.topology.worker(pick.worker);
        for (const KindGroup &group : worker.groups) {
            const std::string &name = state.topology.kinds()[group.kind];
            if ((group.mask & pick.mask) != 0 && name != kind) {
                if (!kind.empty()) {
                    return {};
                }
                kind = name;
            }
        }
    }
    return kind;
}

void handleEvent(Step &step, const JobFinished &event)
{
    Job &job = findReportedJob(step.state, event.job, event.fence,
                               {JobPhase::Starting, JobPhase::Running, JobPhase::Stopping});
    step.state.runTimes.learn(*job.spec, commonKind(step.state, job.picks),
                              job.checkpointedRunTime + runTimeSinceStart(job, step.now));
    recordSuccess(step.state, job);
    releaseAccelerators(step.state, job);
    job.progress = 1.0;
    endJob(step, job, JobPhase::Finished);
}

void handleEvent(Step &step, const TasksStopped &event)
{
    Job &job = findReportedJob(step.state, event.job, event.fence, {JobPhase::Running, JobPhase::Stopping});
    if (job.stopGrace.count() > 0) {
        step.state.runTimes.learnCheckpoint(*job.spec, event.checkpointed);
    }
    if (event.checkpointed) {
        job.checkpointedRunTime += runTimeSinceStart(job, step.now);
    } else {
        job.checkpointedRunTime = Duration{0};
        job.progress = 0;
    }
    releaseAndRequeue(step, job, "its accelerators were taken back");
}

void handleEvent(Step &step, const UsageReported &event)
{
    const auto number = step.state.jobByName.find(event.job);
    if (number == step.state.jobByName.end()) {
        return;
    }
    // Usage reports are delayed, so one about an earlier start is not an error.
    Job &job = step.state.jobs.at(number->second);
    if (job.fence == event.fence && event.progress >= 0 && event.progress <= 1) {
        job.progress = event.progress;
        job.reportedRunTime = std::max(Duration{0}, event.busy);
    }
}

void handleEvent(Step &step, const SettingChanged &event)
{
    setPolicy(step.state.policy, event.setting.key, event.setting.value);
}

void handleEvent(Step &, const Tick &) { }

} // namespace

void handle(Step &step, const Event &event)
{
    std::visit(
        [&step](const auto &concrete) {
            handleEvent(step, concrete);
        },
        event);
}

} // namespace heatherquay::state::detail
