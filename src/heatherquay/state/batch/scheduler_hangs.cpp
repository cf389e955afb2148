// Detection of runs that make no progress.

#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr double longRunProbability = 0.99;
constexpr std::uint32_t percentDone = 100;
constexpr std::uint32_t doublingsMax = 10; // Of the limit of a task of unknown pace: from 2 s to half an hour.

} // namespace detail

void Scheduler::restartHangDetection(Instant now)
{
    for (const auto &[id, runs] : m_runsOn) {
        for (const RunRef &ref : runs) {
            findRun(ref).member->progressAt = now;
        }
    }
}

double Scheduler::siblingPace(const RunLocation &run, SiblingPaces &known) const
{
    const auto [position, added] = known.try_emplace({run.occurrence, run.unit->step}, 0);
    double &pace = position->second;
    if (!added) {
        return pace;
    }
    std::vector<double> paces;
    for (const Unit &unit : run.occurrence->units) {
        if (unit.step != run.unit->step) {
            continue;
        }
        for (const Member &member : unit.members) {
            const Worker *worker = m_pool.find(member.worker);
            if (worker != nullptr && member.millisecondsPerPercent > 0) {
                paces.push_back(member.millisecondsPerPercent / worker->slowness);
            }
        }
    }
    if (!paces.empty()) {
        const auto median = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
        std::nth_element(paces.begin(), median, paces.end());
        pace = *median;
    }
    return pace;
}

double Scheduler::paceOf(const RunLocation &run, SiblingPaces &known) const
{
    if (run.member->millisecondsPerPercent > 0) {
        return run.member->millisecondsPerPercent;
    }
    const Worker *worker = m_pool.find(run.member->worker);
    return siblingPace(run, known) * (worker == nullptr ? 1 : worker->slowness);
}

bool Scheduler::isHung(const RunLocation &run, SiblingPaces &known) const
{
    const Member &member = *run.member;
    const StepSpec &step = stepOf(*run.job, *run.unit);
    // A gang member that has completed its work waits for the others and is not hung.
    if (run.unit->stopping || run.unit->done || step.perpetual || member.percent >= detail::percentDone) {
        return false;
    }
    // A gang makes no progress before all its members run.
    Instant since = member.progressAt;
    for (const Member &other : run.unit->members) {
        if (other.phase != RunPhase::Running) {
            return false;
        }
        since = std::max(since, other.startedAt);
    }
    const auto share = [](double factor, Duration length) {
        return Duration(static_cast<Duration::rep>(factor * static_cast<double>(length.count())));
    };
    const Duration standing = member.reportedAt - since;
    const Duration expected = m_estimates.expected(run.job->spec.queue, step);
    Duration limit = std::clamp(share(m_settings.hungShare, expected), m_settings.hungTimeMin, m_settings.hungTimeMax);
    if (standing < limit) {
        return false; // The usual case, without the search below.
    }
    // Progress is reported in whole percent, which take minutes in a long task.
    const double pace = paceOf(run, known);
    if (pace > 0) {
        limit = std::max(limit, Duration(static_cast<Duration::rep>(m_settings.hungPercents * pace)));
    } else {
        Duration longest = m_estimates.plausibleLength(run.job->spec.queue, step);
        if (m_settings.runTimes.hangs) {
            longest = std::max(longest, m_estimates.quantile(run.job->spec.queue, step, detail::longRunProbability));
        }
        limit = std::max(limit, share(m_settings.hungShareBeforeProgress, longest))
            * (1U << std::min(run.unit->stallsBeforeProgress, detail::doublingsMax));
    }
    return standing >= limit;
}

void Scheduler::stopHungRuns(Decision &decision, Instant now)
{
    struct Suspect
    {
        WorkerId worker;
        StepId step;
        bool paceKnown{}; ///< Of this run, or of others of its step.
    };
    std::vector<Suspect> suspects;
    SiblingPaces paces;
    for (auto &[id, runs] : m_runsOn) {
        const Worker *worker = m_pool.find(id);
        if (worker == nullptr || worker->unreachable || !worker->fenced) {
            continue;
        }
        for (const RunRef &ref : runs) {
            const RunLocation run = findRun(ref);
            if (!isHung(run, paces)) {
                continue;
            }
            const bool paceKnown = paceOf(run, paces) > 0;
            run.unit->stallsBeforeProgress += paceKnown ? 0 : 1;
            run.unit->avoided = id;
            decision.hung.push_back(taskOf(*run.job, *run.occurrence, *run.unit, ref.member));
            suspects.push_back({id, {run.job->spec.id, run.occurrence->number, run.unit->step}, paceKnown});
            stopUnit(*run.unit, StopReason::Hung);
        }
    }
    for (const Suspect &suspect : suspects) {
        Worker *worker = m_pool.find(suspect.worker);
        if (worker == nullptr) {
            continue;
        }
        // When no task of a step has shown progress anywhere, the step or its estimate may be the cause. Two steps that
        // stall on one worker point to the worker.
        const bool otherStep = worker->suspectedBy && *worker->suspectedBy != suspect.step;
        worker->suspectedBy = suspect.step;
        if (suspect.paceKnown || otherStep) {
            m_pool.noteFailure(*worker, now);
        }
    }
}

} // namespace heatherquay::state::batch
