#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace heatherquay::state::batch
{

void Scheduler::openDueOccurrences(Instant now, Instant wall)
{
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.state)) {
            continue;
        }
        const std::uint32_t openMax = openOccurrencesMax(job.spec);
        while (job.occurrencesOpened < job.spec.repetitions && job.occurrencesOpened - job.finishedBefore < openMax) {
            const Instant dueAt = dueTime(job.spec, job.occurrencesOpened);
            if (dueAt > wall) {
                break;
            }
            openOccurrence(job, job.occurrencesOpened, dueAt, now);
            ++job.occurrencesOpened;
        }
    }
}

std::uint32_t Scheduler::openOccurrencesMax(const JobSpec &job) const
{
    const std::uint64_t byTasks = m_settings.openTasksMax / std::max<std::uint64_t>(taskCount(job), 1);
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(byTasks, 1, m_settings.openOccurrencesMax));
}

void Scheduler::removeFinishedOccurrences(Job &job)
{
    while (!job.occurrences.empty()) {
        const auto &[number, occurrence] = *job.occurrences.begin();
        // A finished occurrence is recorded when a pass has gone by without recordAgain(), see collectRecords().
        const bool recorded = occurrence.finished && !occurrence.changed;
        const bool idle = std::all_of(occurrence.units.begin(), occurrence.units.end(), [](const Unit &unit) {
            return unit.members.empty();
        });
        if (number != job.finishedBefore || !recorded || !idle) {
            break;
        }
        m_advice.erase(m_advice.lower_bound({job.spec.id, number, 0}),
                       m_advice.upper_bound({job.spec.id, number, ~0U}));
        job.occurrences.erase(job.occurrences.begin());
        ++job.finishedBefore;
    }
}

void Scheduler::collectSchedule(Job &job, Decision &decision) const
{
    if (job.finishedBefore < job.recordedFinishedBefore + m_settings.occurrencesPerScheduleRecord) {
        return;
    }
    const auto blocks = static_cast<std::uint32_t>(taskCount(job.spec) / std::max(m_settings.tasksPerRecord, 1U)) + 1;
    decision.schedules.push_back({{job.spec.id, job.finishedBefore}, job.recordedFinishedBefore, blocks});
    job.recordedFinishedBefore = job.finishedBefore;
}

void Scheduler::releaseExpiredRuns(Instant now)
{
    std::vector<WorkerId> expired;
    for (const auto &[id, worker] : m_pool.all()) {
        const bool notAnswering = worker.unreachable || !worker.fenced;
        if (worker.runs > 0 && notAnswering && now >= worker.leaseUntil) {
            expired.push_back(id);
        }
    }
    for (const WorkerId &id : expired) {
        const std::set<RunRef> runs = m_runsOn[id];
        for (const RunRef &ref : runs) {
            const RunLocation run = findRun(ref);
            stopUnit(*run.unit, StopReason::WorkerLost);
            giveUpRun(ref, ReleaseReason::LeaseExpired);
            run.occurrence->changed = true;
        }
    }
}

void Scheduler::stopIncompleteGang(const Job &job, Unit &unit, Instant now)
{
    if (!stepOf(job, unit).gang || unit.gangComplete || unit.stopping || unit.done) {
        return;
    }
    Instant first = Instant::max();
    bool complete = true;
    for (const Member &member : unit.members) {
        const bool confirmed = member.phase == RunPhase::Running && member.confirmedAt != Instant{};
        complete = complete && confirmed;
        first = confirmed ? std::min(first, member.confirmedAt) : first;
    }
    unit.gangComplete = complete;
    if (!complete && first != Instant::max() && now - first >= m_settings.gangStartTime) {
        stopUnit(unit, StopReason::GangIncomplete);
    }
}

void Scheduler::closeRuns(Instant now)
{
    for (auto &[id, job] : m_jobs) {
        for (auto &[number, occurrence] : job.occurrences) {
            for (Unit &unit : occurrence.units) {
                if (!unit.members.empty()) {
                    stopIncompleteGang(job, unit, now);
                    closeRun(job, occurrence, unit, now);
                }
            }
        }
    }
}

void Scheduler::closeRun(Job &job, Occurrence &occurrence, Unit &unit, Instant now)
{
    // A start that is not confirmed when its gang is done would neither be sent again nor stopped.
    const bool unconfirmed = std::any_of(unit.members.begin(), unit.members.end(), [](const Member &member) {
        return member.phase != RunPhase::Running && member.phase != RunPhase::Gone;
    });
    if (unit.done && unconfirmed && !unit.stopping) {
        stopUnit(unit, StopReason::Superseded);
    }
    if (unit.stopping) {
        for (std::size_t i = 0; i < unit.members.size(); ++i) {
            const RunPhase phase = unit.members[i].phase;
            if (phase == RunPhase::Reserved || phase == RunPhase::Planned) {
                releaseMember(job, occurrence, unit, i);
            }
        }
    }
    const bool over = std::all_of(unit.members.begin(), unit.members.end(), [](const Member &member) {
        return member.phase == RunPhase::Gone;
    });
    if (!over) {
        return;
    }
    unit.members.clear();
    unit.stopping = false;
    unit.stoppedFor = {};
    unit.waitingSince = now;
    unit.readySince = std::exchange(unit.lostSince, {});
    occurrence.changed = true;
    failIfAttemptsExhausted(job, unit);
}

void Scheduler::failIfAttemptsExhausted(Job &job, const Unit &unit)
{
    const bool exhausted = !unit.done && unit.failures >= job.policy.attemptsMax && !stepOf(job, unit).perpetual;
    if (exhausted && !isFinal(job.state)) {
        endJob(job, JobState::Failed);
    }
}

void Scheduler::startReserved(Decision &decision)
{
    for (auto &[id, job] : m_jobs) {
        for (auto &[number, occurrence] : job.occurrences) {
            for (Unit &unit : occurrence.units) {
                if (unit.members.empty() || unit.members.front().phase != RunPhase::Reserved) {
                    continue;
                }
                bool ready = true;
                for (const Member &member : unit.members) {
                    const Worker *worker = m_pool.find(member.worker);
                    if (worker == nullptr || worker->spec.draining || worker->evacuated || worker->unreachable) {
                        stopUnit(unit, StopReason::Withdrawn);
                        ready = false;
                        break;
                    }
                    ready = ready && worker->used.fitsIn(worker->spec.capacity);
                }
                if (ready && !unit.stopping) {
                    planStart(job, occurrence, unit, decision);
                }
            }
        }
    }
}

void Scheduler::assign(Job &job, Occurrence &occurrence, Unit &unit, const std::vector<WorkerId> &chosen,
                       RunPhase phase, Instant now)
{
    for (std::uint32_t i = 0; i < chosen.size(); ++i) {
        Member &member = unit.members.emplace_back();
        Worker &worker = *m_pool.find(chosen[i]);
        member.worker = chosen[i];
        member.incarnation = worker.spec.incarnation;
        member.phase = phase;
        member.progressAt = now;
        worker.used += allocationOf(job, unit);
        countRun(worker, job, unit, 1);
        m_runsOn[chosen[i]].insert({&job, &occurrence, &unit, i});
    }
    if (job.policy.priority == 0) {
        m_urgentAccelerators[job.spec.team]
            += allocationOf(job, unit).accelerators * static_cast<std::int64_t>(chosen.size());
    }
    unit.startedAt = now;
    unit.stopping = false;
    unit.gangComplete = false;
    unit.placementPause = {};
    unit.reservedRack.clear();
}

void Scheduler::planStart(Job &job, Occurrence &occurrence, Unit &unit, Decision &decision)
{
    ++unit.run;
    occurrence.changed = true;
    job.history.lastStart = m_decidedAtWall - job.spec.acceptedAt;
    if (job.history.firstStart == Duration{}) {
        job.history.firstStart = job.history.lastStart;
    }
    for (std::size_t i = 0; i < unit.members.size(); ++i) {
        Member &member = unit.members[i];
        member.phase = RunPhase::Planned;
        decision.starts.push_back(startOrderOf({&job, &occurrence, &unit, &member}, i));
    }
}

StartOrder Scheduler::startOrderOf(const RunLocation &run, std::size_t member) const
{
    return {taskOf(*run.job, *run.occurrence, *run.unit, member),
            run.unit->run,
            run.member->worker,
            run.member->incarnation,
            run.job->spec.payload,
            run.unit->checkpoint,
            ticketFor(*run.job, *run.occurrence, *run.unit, *run.member),
            run.job->policy.priority == 0,
            static_cast<std::uint32_t>(run.unit->members.size())};
}

std::string Scheduler::ticketFor(const Job &job, const Occurrence &occurrence, const Unit &unit,
                                 const Member &member) const
{
    const auto advice = m_advice.find({job.spec.id, occurrence.number, unit.step});
    if (advice == m_advice.end()) {
        return {};
    }
    const auto ticket = advice->second.tickets.find(member.worker);
    return ticket == advice->second.tickets.end() ? std::string() : ticket->second;
}

void Scheduler::emitOrders(Decision &decision, Instant now)
{
    decision.stops = std::move(m_orphanStops);
    m_orphanStops.clear();
    std::erase_if(m_orphans, [&](const auto &entry) {
        return now > entry.second.second + m_settings.stopRetry * 4;
    });
    for (auto &[id, runs] : m_runsOn) {
        const Worker *worker = m_pool.find(id);
        const bool unreachable = worker == nullptr || worker->unreachable;
        if (!unreachable && worker->bestEffortRuns > 0) {
            emitPaces(*worker, runs, decision, now);
        }
        for (const RunRef &ref : runs) {
            const RunLocation run = findRun(ref);
            Member &member = *run.member;
            const TaskId task = taskOf(*run.job, *run.occurrence, *run.unit, ref.member);
            const bool stopDue = member.stopWanted && !member.stopAnswered && !member.stopPending
                && member.phase != RunPhase::Planned && member.phase != RunPhase::Reserved
                && (member.stopTriedAt == Instant{} || now >= member.stopTriedAt + m_settings.stopRetry);
            // An unreachable worker is stopped by its lease; orders to it would only delay those to others.
            if (stopDue && !unreachable) {
                member.stopPending = true;
                decision.stops.push_back({task, run.unit->run, id, run.unit->stopReason, run.unit->stoppedFor});
            }
            // Start orders are idempotent: a worker starts a run only once.
            const bool unsent = member.phase == RunPhase::Planned && member.startAttempts > 0;
            const bool retryDue = (member.phase == RunPhase::Uncertain || unsent) && !member.stopWanted
                && !run.unit->stopping && member.startAttempts < m_settings.startAttemptsMax
                && now >= member.orderAnsweredAt + m_settings.startRetry;
            if (retryDue) {
                member.phase = RunPhase::Ordered;
                decision.starts.push_back(startOrderOf(run, ref.member));
            }
        }
    }
}

bool Scheduler::isRemovable(const Job &job)
{
    if (!isFinal(job.state) || job.statusChanged) {
        return false;
    }
    for (const auto &[number, occurrence] : job.occurrences) {
        if (occurrence.changed) {
            return false;
        }
        for (const Unit &unit : occurrence.units) {
            if (!unit.members.empty()) {
                return false;
            }
        }
    }
    return true;
}

RecordedState Scheduler::recordedStateOf(const Unit &unit)
{
    const bool active = std::any_of(unit.members.begin(), unit.members.end(), [](const Member &member) {
        return member.phase != RunPhase::Gone && member.phase != RunPhase::Reserved;
    });
    return {unit.run, unit.failures, unit.failedRun, unit.done, active, active ? std::string() : unit.checkpoint};
}

void Scheduler::collectChangedBlocks(const Job &job, Occurrence &occurrence, Decision &decision)
{
    // The first blocks come last: they replace rows of earlier versions, which may hold units of later blocks too.
    auto end = occurrence.units.end();
    while (end != occurrence.units.begin()) {
        const std::uint32_t block = std::prev(end)->block;
        auto begin = std::prev(end); // The units of a block are consecutive.
        while (begin != occurrence.units.begin() && std::prev(begin)->block == block) {
            --begin;
        }
        const bool changed = std::any_of(begin, end, [](const Unit &unit) {
            return recordedStateOf(unit) != unit.recorded;
        });
        if (changed) {
            OccurrenceRecord &record = decision.records.emplace_back();
            record.job = job.spec.id;
            record.occurrence = occurrence.number;
            record.block = block;
            for (auto unit = begin; unit != end; ++unit) {
                if (unit->run == 0) {
                    continue;
                }
                unit->recorded = recordedStateOf(*unit);
                UnitRecord &recorded = record.units.emplace_back();
                recorded = {unit->step,      unit->first, unit->run,        unit->failures,
                            unit->failedRun, unit->done,  unit->checkpoint, {}};
                for (std::size_t i = 0; unit->recorded.active && i < unit->members.size(); ++i) {
                    recorded.workers.push_back(unit->members[i].worker);
                }
            }
        }
        end = begin;
    }
}

void Scheduler::collectRecords(Decision &decision, Instant wall)
{
    for (auto position = m_jobs.begin(); position != m_jobs.end();) {
        Job &job = position->second;
        // A job is removed one pass after its last record was handed out, because recordAgain() marks the record as
        // changed again when it could not be stored.
        if (isRemovable(job)) {
            m_advice.erase(m_advice.lower_bound({job.spec.id, 0, 0}), m_advice.upper_bound({job.spec.id, ~0U, ~0U}));
            position = m_jobs.erase(position);
            continue;
        }
        if (job.spec.repetitions > 0 && !isFinal(job.state)) {
            removeFinishedOccurrences(job);
            collectSchedule(job, decision);
        }
        for (auto &[number, occurrence] : job.occurrences) {
            if (!occurrence.changed) {
                continue;
            }
            occurrence.changed = false;
            occurrence.needsRewrite = false;
            collectChangedBlocks(job, occurrence, decision);
        }
        if (job.statusChanged) {
            job.statusChanged = false;
            decision.statuses.push_back({job.spec.id, job.spec.queue, job.state, wall - job.spec.acceptedAt,
                                         job.history, job.spec.team, job.policy.priority, objectiveOf(job),
                                         m_estimates.criticalPath(job.spec)});
        }
        ++position;
    }
}

} // namespace heatherquay::state::batch
