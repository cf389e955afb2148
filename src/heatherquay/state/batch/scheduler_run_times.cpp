// Learning and use of the run times of tasks.

#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>

namespace heatherquay::state::batch
{

namespace detail
{

// Tasks of one step resemble each other, so that all of them together count as one run.
constexpr std::uint32_t learnedTasksMax = 4;
constexpr double longJobProbability = 0.8;
// Limits the cost of runs that are almost done: they may also take longer than expected.
constexpr double lossPerWorkLeftMax = 5;

} // namespace detail

double Scheduler::learningWeight(const RunLocation &run) const
{
    const StepSpec &step = stepOf(*run.job, *run.unit);
    const Worker *worker = m_pool.find(run.member->worker);
    const bool farFromData = worker != nullptr && !step.dataRack.empty() && worker->spec.rack != step.dataRack;
    const bool whole = std::all_of(run.unit->members.begin(), run.unit->members.end(), [](const Member &member) {
        return member.startSeen;
    });
    if (step.perpetual || step.bestEffort || farFromData || !whole) {
        return 0;
    }
    if (step.gang) {
        return 1;
    }
    const std::uint32_t stride = (step.taskCount + detail::learnedTasksMax - 1) / detail::learnedTasksMax;
    const std::uint32_t learned = stride == 0 ? 0 : (step.taskCount + stride - 1) / stride;
    return learned > 0 && run.unit->first % stride == 0 ? 1.0 / learned : 0;
}

double Scheduler::slownessOf(const Unit &unit) const
{
    double slowness = 0;
    for (const Member &member : unit.members) {
        const Worker *worker = m_pool.find(member.worker);
        slowness = std::max(slowness, worker == nullptr ? 1 : worker->slowness);
    }
    return slowness > 0 ? slowness : 1;
}

void Scheduler::learnCompleted(const RunLocation &run, Instant now)
{
    const double weight = learningWeight(run);
    if (weight == 0) {
        return;
    }
    Instant startedAt; // Of the last member, because a gang works only while it is complete.
    for (const Member &member : run.unit->members) {
        startedAt = std::max(startedAt, member.startedAt);
    }
    const double runTime = static_cast<double>((now - startedAt).count()) / slownessOf(*run.unit);
    m_estimates.addCompleted(run.job->spec.queue, stepOf(*run.job, *run.unit),
                             Duration(static_cast<Duration::rep>(runTime)), weight);
}

void Scheduler::learnCensored(const RunLocation &run)
{
    const Member &member = *run.member;
    const bool firstMember = run.member == &run.unit->members.front(); // A gang counts once.
    if (run.unit->done || member.phase != RunPhase::Running || !firstMember) {
        return;
    }
    // A run that has stopped advancing shows nothing about the time that its work needs.
    const Instant workedUntil = std::min(member.progressAt, member.reportedAt);
    const double weight = learningWeight(run);
    if (weight > 0 && workedUntil > member.startedAt) {
        const double elapsed = static_cast<double>((workedUntil - member.startedAt).count()) / slownessOf(*run.unit);
        m_estimates.addCensored(run.job->spec.queue, stepOf(*run.job, *run.unit),
                                Duration(static_cast<Duration::rep>(elapsed)), weight);
    }
}

bool Scheduler::mayMeetObjective(const Job &job, std::uint32_t step, Duration age, Duration left) const
{
    if (!m_settings.runTimes.lateness) {
        return false;
    }
    const StepSpec &spec = job.spec.steps[step];
    const double median = static_cast<double>(m_estimates.quantile(job.spec.queue, spec, 0.5).count());
    const double longer
        = static_cast<double>(m_estimates.quantile(job.spec.queue, spec, detail::longJobProbability).count()) / median;
    const double objective
        = job.policy.stretch * longer * static_cast<double>(m_estimates.criticalPath(job.spec).count())
        + static_cast<double>(job.policy.latencyTarget.count());
    return static_cast<double>(age.count()) + longer * static_cast<double>(left.count()) <= objective;
}

double Scheduler::lossPerWorkLeft(const RunLocation &run, Instant now) const
{
    if (!m_settings.runTimes.eviction) {
        return 1;
    }
    const double slowness = slownessOf(*run.unit);
    const Duration elapsed(
        static_cast<Duration::rep>(static_cast<double>((now - run.unit->startedAt).count()) / slowness));
    const Duration left = m_estimates.expectedLeft(run.job->spec.queue, stepOf(*run.job, *run.unit), elapsed);
    return std::min(static_cast<double>((elapsed + left).count()) / static_cast<double>(left.count()),
                    detail::lossPerWorkLeftMax);
}

RunTimesRecord Scheduler::learnedRunTimes(std::size_t bytesMax) const
{
    RunTimesRecord record;
    record.kinds = m_estimates.model().records(bytesMax);
    return record;
}

std::size_t Scheduler::restoreRunTimes(const RunTimesRecord &record)
{
    std::size_t usable = 0;
    if (record.version == RunTimesRecord().version) {
        for (const RunKindRecord &kind : record.kinds) {
            usable += m_estimates.model().restore(kind) ? 1 : 0;
        }
    }
    return usable;
}

} // namespace heatherquay::state::batch
