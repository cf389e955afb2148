#include "heatherquay/state/job_lifecycle.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <utility>

namespace heatherquay::state::detail
{

namespace
{

constexpr Duration endedJobRetention = std::chrono::hours(1);
constexpr std::size_t maxEndedJobs = 4'096;
constexpr double minReportedProgress = 0.05; // lower values extrapolate poorly to the whole run time
constexpr double maxRunTimeMilliseconds = 30.0 * 24 * 3'600'000;

void eraseJob(ClusterState &state, JobNumber number)
{
    const Job &job = state.jobs.at(number);
    state.jobByName.erase(job.spec->id);
    state.jobs.erase(number);
}

void removeFromQueue(ClusterState &state, Job &job)
{
    dropClaim(state, job);
    state.waiting.erase(job.number);
    state.teams.at(job.spec->team).waiting.erase(job.number);
}

} // namespace

void checkShape(const Shape &shape, const std::string &owner)
{
    if (shape.parts.empty()) {
        throw Error(ErrorKind::BadInput, owner + " has an empty shape", "ask for at least one accelerator");
    }
    for (const ShapePart &part : shape.parts) {
        if (part.count == 0) {
            throw Error(ErrorKind::BadInput, owner + " has a part with count 0", "ask for at least one accelerator");
        }
    }
}

Job &submit(Step &step, const JobSpec &spec)
{
    ClusterState &state = step.state;
    if (spec.id.value.empty()) {
        throw Error(ErrorKind::BadInput, "a job has no id", "give each job an id");
    }
    if (state.jobByName.contains(spec.id)) {
        throw Error(ErrorKind::Conflict, "job " + spec.id.value + " is already known", "choose another id");
    }
    checkShape(spec.shape, "job " + spec.id.value);
    Team &team = findTeam(state, spec.team);
    Job job;
    job.number = state.nextJob++;
    job.spec = std::make_shared<const JobSpec>(spec);
    job.submittedAt = step.now;
    job.shapeNumber = shapeNumber(state, spec.shape);
    job.accelerators = acceleratorCount(spec.shape);
    state.jobByName[spec.id] = job.number;
    state.waiting.insert(job.number);
    team.waiting.insert(job.number);
    return state.jobs.emplace(job.number, std::move(job)).first->second;
}

void startGang(Step &step, Job &job, AcceleratorSet picks, bool onGuarantee)
{
    ClusterState &state = step.state;
    // `picks` is passed by value because it may come from the job's claim, which removeFromQueue clears.
    removeFromQueue(state, job);
    job.phase = JobPhase::Starting;
    job.fence = Fence{state.nextFence++};
    job.picks = std::move(picks);
    job.onGuarantee = onGuarantee;
    job.reason.clear();
    job.reservedAt.reset();
    job.checkpointing = false;
    job.stopDeadline.reset();
    job.stopGrace = Duration{0};
    job.reportedRunTime = Duration{0};
    job.startedAt.reset();
    state.holding.insert(job.number);
    state.occupancy.hold(state.topology, job.picks, job.number);
    Team &team = state.teams.at(job.spec->team);
    team.held += count(job.picks);
    if (onGuarantee) {
        state.occupancy.pin(job.picks);
    } else {
        team.borrowed += count(job.picks);
    }
    step.commands.emplace_back(StartGang{job.spec->id, job.fence, placementsOf(state, job.picks)});
}

void setClaim(ClusterState &state, Job &job, const AcceleratorSet &picks, ClaimKind kind)
{
    job.claim = picks;
    job.claimKind = kind;
    state.claiming.insert(job.number);
    state.occupancy.claim(state.topology, picks, job.number);
    if (kind == ClaimKind::Guarantee) {
        state.teams.at(job.spec->team).claimed += count(picks);
        state.occupancy.pin(picks);
    }
}

void dropClaim(ClusterState &state, Job &job)
{
    if (job.claimKind == ClaimKind::None) {
        return;
    }
    state.occupancy.unclaim(state.topology, job.claim);
    for (const JobNumber holder : holdersOf(state, job.claim)) {
        state.jobs.at(holder).backfilled = false;
    }
    if (job.claimKind == ClaimKind::Guarantee) {
        state.teams.at(job.spec->team).claimed -= count(job.claim);
        state.occupancy.unpin(job.claim);
    }
    state.claiming.erase(job.number);
    job.claim.clear();
    job.claimKind = ClaimKind::None;
}

void stopGang(Step &step, Job &job, Duration grace)
{
    convertToBorrower(step.state, job);
    // A gang that is still starting has no work to checkpoint.
    const bool checkpoint = grace.count() > 0 && job.phase == JobPhase::Running;
    job.phase = JobPhase::Stopping;
    job.checkpointing = checkpoint;
    if (checkpoint) {
        job.stopGrace = grace;
        job.stopDeadline = step.now + grace;
        step.commands.emplace_back(CheckpointGang{job.spec->id, job.fence, grace});
    } else {
        job.stopDeadline.reset();
        step.commands.emplace_back(StopGang{job.spec->id, job.fence});
    }
}

void enforceStopDeadlines(Step &step)
{
    for (const JobNumber number : step.state.holding) {
        Job &job = step.state.jobs.at(number);
        if (job.phase == JobPhase::Stopping && job.checkpointing && job.stopDeadline <= step.now) {
            job.checkpointing = false;
            job.stopDeadline.reset();
            step.commands.emplace_back(StopGang{job.spec->id, job.fence});
        }
    }
}

void convertToBorrower(ClusterState &state, Job &job)
{
    if (job.onGuarantee) {
        job.onGuarantee = false;
        state.occupancy.unpin(job.picks);
        state.teams.at(job.spec->team).borrowed += count(job.picks);
    }
}

void releaseAccelerators(ClusterState &state, Job &job)
{
    convertToBorrower(state, job);
    Team &team = state.teams.at(job.spec->team);
    team.held -= count(job.picks);
    team.borrowed -= count(job.picks);
    state.occupancy.release(state.topology, job.picks);
    state.holding.erase(job.number);
    job.picks.clear();
    job.backfilled = false;
    job.checkpointing = false;
    job.stopDeadline.reset();
}

void requeue(ClusterState &state, Job &job, const std::string &reason)
{
    job.phase = JobPhase::Waiting;
    job.startedAt.reset();
    job.reason = reason;
    state.waiting.insert(job.number);
    state.teams.at(job.spec->team).waiting.insert(job.number);
}

void endJob(Step &step, Job &job, JobPhase phase)
{
    removeFromQueue(step.state, job);
    job.phase = phase;
    job.endedAt = step.now;
    step.state.ended.emplace(step.now, job.number);
}

void parkJob(Step &step, Job &job, const std::string &reason)
{
    removeFromQueue(step.state, job);
    job.phase = JobPhase::Parked;
    job.reason = reason;
    step.commands.emplace_back(ParkJob{job.spec->id, reason});
}

void purgeEndedJobs(Step &step)
{
    ClusterState &state = step.state;
    while (!state.ended.empty()) {
        const auto [endedAt, number] = *state.ended.begin();
        if (state.ended.size() <= maxEndedJobs && endedAt + endedJobRetention > step.now) {
            return;
        }
        state.ended.erase(state.ended.begin());
        eraseJob(state, number);
    }
}

Duration runTimeSinceStart(const Job &job, Instant now)
{
    return job.startedAt.has_value() ? std::max(Duration{0}, now - *job.startedAt) : Duration{0};
}

Duration expectedRemaining(const ClusterState &state, const Job &job, Instant now)
{
    const Duration done = job.checkpointedRunTime + runTimeSinceStart(job, now);
    Duration total = state.runTimes.expected(*job.spec);
    if (job.progress >= minReportedProgress && job.reportedRunTime.count() > 0) {
        const double reported
            = static_cast<double>((job.checkpointedRunTime + job.reportedRunTime).count()) / job.progress;
        total = Duration(static_cast<std::int64_t>(std::min(reported, maxRunTimeMilliseconds)));
    }
    // A job that has exceeded its expected run time is assumed to need as much time again as the excess.
    return total > done ? total - done : std::max(Duration{1}, done - total);
}

} // namespace heatherquay::state::detail
