#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr Duration stopEffectTimeout{2'000}; // A confirmed stop without effect is repeated after this time.

constexpr double recordedDeviationMin = 0.1; // Smaller deviations from 1 hardly affect placement.
constexpr double restoredObservations = 8; // Runs that a stored speed counts as.
constexpr std::size_t recordedWorkersMax = 500; // About 45 KB; the store limits a row to 64 KB.
constexpr Duration paceIntervalMin{300}; // Over shorter intervals, the rounding of the percentage dominates.
constexpr std::size_t pacesForMedian = 5;
// Weights of one run in a worker's learned speed, beside that of a comparison with at least pacesForMedian other tasks.
constexpr double fewSiblingsWeight = 0.5; // These may themselves be outliers.
constexpr double queueWeight = 0.15; // The queue's mean run time, from which jobs deviate by half.
constexpr std::uint32_t wholeProgress = 100; // In percent.
constexpr std::uint32_t percentForAverage = 3; // Over less progress, the rounding of the percentage dominates.
constexpr double percentForFullWeight = 15;
constexpr std::uint32_t fullPace = 100; // Of a run at its start.

bool mayBeActive(const Member &member)
{
    return member.phase != RunPhase::Gone && member.phase != RunPhase::Reserved && member.phase != RunPhase::Planned;
}

} // namespace detail

Scheduler::Scheduler(SchedulerSettings settings)
    : m_settings(settings)
    , m_pool(settings.workers)
    , m_estimates(settings.runTimes)
    , m_urgentReserve(settings.urgentReserve)
    , m_teamShares(settings.teamShareSpan)
{
}

void Scheduler::setQueues(std::map<std::string, QueuePolicy> queues)
{
    m_queues = std::move(queues);
    for (auto &[id, job] : m_jobs) {
        if (const auto found = m_queues.find(job.spec.queue); found != m_queues.end()) {
            job.policy = found->second;
        }
    }
}

void Scheduler::setGuarantees(const std::vector<TeamGuarantee> &guarantees)
{
    m_guarantees.clear();
    for (const TeamGuarantee &guarantee : guarantees) {
        m_guarantees[guarantee.team] = guarantee.accelerators;
    }
}

void Scheduler::submit(const JobSpec &spec, Instant now, bool begun)
{
    const auto [position, added] = m_jobs.try_emplace(spec.id);
    if (!added) {
        return;
    }
    Job &job = position->second;
    job.spec = spec;
    job.state = begun ? JobState::Running : JobState::Queued;
    const auto queue = m_queues.find(spec.queue);
    job.policy = queue == m_queues.end() ? spec.policy : queue->second;
    if (spec.repetitions == 0) {
        openOccurrence(job, 0, spec.acceptedAt, now);
    }
}

void Scheduler::cancel(const JobId &id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && !isFinal(found->second.state)) {
        endJob(found->second, JobState::Cancelled);
    }
}

Occurrence &Scheduler::openOccurrence(Job &job, std::uint32_t number, Instant dueAt, Instant now)
{
    const auto [position, added] = job.occurrences.try_emplace(number);
    Occurrence &occurrence = position->second;
    if (!added) {
        return occurrence;
    }
    occurrence.number = number;
    occurrence.dueAt = dueAt;
    std::uint32_t block = 0;
    std::uint32_t tasksInBlock = 0;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        const std::uint32_t units = unitCount(spec);
        occurrence.unitsLeft.push_back(units);
        for (std::uint32_t i = 0; i < units; ++i) {
            Unit &unit = occurrence.units.emplace_back();
            unit.step = step;
            unit.first = i;
            unit.block = block;
            unit.waitingSince = now;
            tasksInBlock += spec.gang ? spec.taskCount : 1;
            if (tasksInBlock >= m_settings.tasksPerRecord) {
                ++block;
                tasksInBlock = 0;
            }
        }
    }
    return occurrence;
}

void Scheduler::restore(const ScheduleRecord &record)
{
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || record.finishedBefore >= found->second.spec.repetitions) {
        return; // The last occurrences of a job are kept, so that a higher number comes from a damaged record.
    }
    Job &job = found->second;
    job.finishedBefore = record.finishedBefore;
    job.recordedFinishedBefore = record.finishedBefore;
    job.occurrencesFinished = record.finishedBefore;
    job.occurrencesOpened = record.finishedBefore;
    if (job.state == JobState::Queued && record.finishedBefore > 0) {
        job.state = JobState::Running;
    }
}

void Scheduler::restore(const OccurrenceRecord &record, Instant now, Instant leaseUntil)
{
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = found->second;
    if (record.occurrence < job.finishedBefore || record.occurrence >= std::max(job.spec.repetitions, 1U)) {
        return;
    }
    Occurrence &occurrence = openOccurrence(job, record.occurrence, dueTime(job.spec, record.occurrence), now);
    bool allInBlock = true;
    for (const UnitRecord &recorded : record.units) {
        const std::uint32_t index = unitIndex(job, recorded.step, recorded.first);
        if (recorded.step >= job.spec.steps.size() || index >= occurrence.units.size()) {
            continue;
        }
        Unit &unit = occurrence.units[index];
        const StepSpec &step = stepOf(job, unit);
        const std::size_t tasks = step.gang ? step.taskCount : 1;
        // A damaged record must not refer to another unit, to tasks that do not exist, or to one unit twice.
        const bool matches = unit.step == recorded.step && unit.first == recorded.first && unit.run == 0;
        if (!matches || recorded.workers.size() > tasks) {
            continue;
        }
        unit.run = recorded.run;
        unit.failures = recorded.failures;
        unit.failedRun = recorded.failedRun;
        unit.checkpoint = recorded.checkpoint;
        if (recorded.done) {
            finishUnit(job, occurrence, unit);
        }
        // A recorded run may have been refused, or never sent.
        if (recorded.done || recorded.failures > 0 || !recorded.checkpoint.empty()) {
            noteBegun(job);
        }
        for (const WorkerId &id : recorded.workers) {
            Member &member = unit.members.emplace_back();
            member.worker = id;
            member.phase = RunPhase::Running;
            member.progressAt = now;
            member.startedAt = now;
            Worker &worker = m_pool.findOrCreate(id, leaseUntil);
            worker.used += allocationOf(job, unit);
            countRun(worker, job, unit, 1);
            if (job.policy.priority == 0) {
                m_urgentAccelerators[job.spec.team] += allocationOf(job, unit).accelerators;
            }
            const auto position = static_cast<std::uint32_t>(unit.members.size() - 1);
            m_runsOn[id].insert({&job, &occurrence, &unit, position});
        }
        unit.startedAt = now;
        // Earlier versions recorded more units per row. Such a unit is recorded again, in the row of its block.
        const bool inBlock = unit.block == record.block;
        unit.recorded = inBlock ? recordedStateOf(unit) : RecordedState{};
        allInBlock = allInBlock && inBlock;
        if (isFinal(job.state)) {
            // The job was cancelled while runs that the predecessor started were still active.
            stopUnit(unit, StopReason::Cancelled);
        } else if (unit.members.empty()) {
            // The predecessor may have crashed after recording the last failure and before recording the job as failed.
            failIfAttemptsExhausted(job, unit);
        }
    }
    occurrence.changed = occurrence.needsRewrite = occurrence.needsRewrite || !allInBlock;
}

void Scheduler::registerWorker(const WorkerSpec &spec, Instant now, Instant leaseUntil)
{
    const bool restarted = m_pool.registerWorker(spec, leaseUntil);
    m_pool.setColdRemaining(spec.id, spec.coldRemaining, now);
    if (!restarted) {
        return;
    }
    const std::set<RunRef> runs = m_runsOn[spec.id];
    for (const RunRef &ref : runs) {
        handleRestart(ref, spec.incarnation);
    }
    m_pool.find(spec.id)->answeredAt = now;
}

void Scheduler::handleRestart(const RunRef &ref, Incarnation incarnation)
{
    const RunLocation run = findRun(ref);
    Member &member = *run.member;
    if (member.phase == RunPhase::Gone) {
        return;
    }
    if (!detail::mayBeActive(member)) {
        // Nothing was sent yet. The new incarnation may lack the room or the label, so the unit is placed again.
        stopUnit(*run.unit, StopReason::Withdrawn);
        return;
    }
    member.incarnation = incarnation;
    member.stopAnswered = false;
    if (member.phase == RunPhase::Running && !member.maybeSent) {
        if (member.reportedAt == Instant{}) {
            // The answer to a start does not name the incarnation, so the new one may have accepted the run. Its next
            // answer to a poll shows whether it has.
            return;
        }
        giveUpRun(ref, ReleaseReason::WorkerRestarted);
    } else {
        member.phase = RunPhase::Uncertain; // An unanswered order may still reach the new incarnation.
    }
    stopUnit(*run.unit, StopReason::WorkerLost);
    run.occurrence->changed = true;
}

void Scheduler::setColdRemaining(const WorkerId &id, Duration remaining, Instant now)
{
    m_pool.setColdRemaining(id, remaining, now);
}

void Scheduler::unregisterWorker(const WorkerId &id)
{
    m_pool.unregister(id);
    m_pool.removeIfUnused(id);
}

void Scheduler::workerUnreachable(const WorkerId &id)
{
    if (Worker *worker = m_pool.find(id)) {
        worker->unreachable = true;
    }
}

void Scheduler::workerReplaced(const WorkerId &id)
{
    const std::set<RunRef> runs = m_runsOn[id];
    m_pool.unregister(id);
    for (const RunRef &ref : runs) {
        const RunLocation run = findRun(ref);
        if (detail::mayBeActive(*run.member)) {
            run.occurrence->changed = true;
            giveUpRun(ref, ReleaseReason::WorkerReplaced);
        }
        if (!run.unit->done) {
            stopUnit(*run.unit, StopReason::WorkerLost);
        }
    }
    m_pool.removeIfUnused(id);
}

void Scheduler::leaseExtended(const WorkerId &id, Instant until)
{
    if (Worker *worker = m_pool.find(id)) {
        worker->leaseUntil = std::max(worker->leaseUntil, until);
    }
}

void Scheduler::predecessorsFenced(const WorkerId &id, Instant until)
{
    if (Worker *worker = m_pool.find(id)) {
        worker->leaseUntil = std::min(worker->leaseUntil, until);
    }
}

bool Scheduler::needsPoll(const WorkerId &id) const
{
    const Worker *worker = m_pool.find(id);
    return worker != nullptr && (worker->runs > 0 || worker->strayRuns > 0 || !worker->fenced || worker->unreachable);
}

void Scheduler::workerAnswered(const WorkerId &id, const WorkerReport &report, Instant now)
{
    Worker *worker = m_pool.find(id);
    if (worker == nullptr || report.incarnation < worker->spec.incarnation) {
        return;
    }
    if (report.incarnation != worker->spec.incarnation) {
        WorkerSpec restarted = worker->spec;
        restarted.incarnation = report.incarnation;
        const bool registered = worker->registered;
        restarted.coldRemaining = Duration::zero(); // Of the earlier start; the next registration tells.
        registerWorker(restarted, now, worker->leaseUntil);
        worker->registered = registered;
    }
    m_pool.noteAnswer(*worker, now);
    std::map<std::pair<TaskId, std::uint32_t>, const RunningReport *> running;
    for (const RunningReport &entry : report.running) {
        running[{entry.task, entry.run}] = &entry;
    }
    std::map<std::pair<TaskId, std::uint32_t>, const EndReport *> ended;
    for (const EndReport &entry : report.ended) {
        ended[{entry.task, entry.run}] = &entry;
    }
    const std::set<RunRef> runs = m_runsOn[id];
    for (const RunRef &ref : runs) {
        RunLocation run = findRun(ref);
        Member &member = *run.member;
        if (!detail::mayBeActive(member)) {
            continue;
        }
        const std::pair key{taskOf(*run.job, *run.occurrence, *run.unit, ref.member), run.unit->run};
        if (const auto end = ended.find(key); end != ended.end()) {
            handleRunEnd(run, *end->second, now);
            running.erase(key);
            continue;
        }
        if (const auto alive = running.find(key); alive != running.end()) {
            const RunningReport &entry = *alive->second;
            noteBegun(*run.job);
            if (member.phase != RunPhase::Running) {
                member.phase = RunPhase::Running;
                member.startedAt = now;
                member.startSeen = entry.percent == 0 && run.unit->checkpoint.empty();
                member.progressAt = now;
            }
            member.incarnation = report.incarnation;
            member.reportedAt = now;
            member.usage = entry.usage;
            if (member.confirmedAt == Instant{}) {
                member.confirmedAt = now;
            }
            // Gang members make progress only together.
            run.unit->gangComplete = run.unit->gangComplete || entry.percent > 0;
            updateProgress(run, entry.percent, now);
            if (!entry.checkpoint.empty()) {
                run.unit->checkpoint = entry.checkpoint;
            }
            if (member.stopAnswered && report.askedAt >= member.orderAnsweredAt + detail::stopEffectTimeout) {
                member.stopAnswered = false;
            }
            running.erase(alive);
            continue;
        }
        // An end that is not reported yet follows once the reported ones are confirmed.
        const bool settled = report.endsComplete && (member.phase == RunPhase::Running || member.stopAnswered);
        // Timestamps have millisecond resolution: a poll sent in the same millisecond may have overtaken the order.
        if (settled && report.askedAt > member.orderAnsweredAt) {
            // The start never took effect, or a predecessor confirmed the run's end.
            giveUpRun(ref, ReleaseReason::NotListed);
            stopUnit(*run.unit, StopReason::WorkerLost);
            run.occurrence->changed = true;
        }
    }
    for (const EndReport &entry : report.ended) {
        if (entry.kind == EndKind::Done) {
            handleLateDone(entry);
        }
    }
    worker = m_pool.find(id); // It is removed with its last run if it is not registered.
    if (worker != nullptr) {
        worker->strayRuns = running.size();
        adaptSharingPace(*worker, now);
    }
    for (const auto &[key, entry] : running) {
        auto &[where, stoppedAt] = m_orphans[key];
        where = id;
        if (now >= stoppedAt + m_settings.stopRetry) {
            stoppedAt = now;
            m_orphanStops.push_back({key.first, key.second, id});
        }
    }
}

void Scheduler::updateProgress(const RunLocation &run, std::uint32_t percent, Instant now)
{
    Member &member = *run.member;
    const Duration passed = now - member.progressAt;
    if (percent == member.percent) {
        return;
    }
    const bool measured = member.percentKnown && percent > member.percent && passed >= detail::paceIntervalMin;
    const std::uint32_t advanced = measured ? percent - member.percent : 0;
    if (measured) {
        member.millisecondsPerPercent = static_cast<double>(passed.count()) / static_cast<double>(advanced);
    }
    if (!member.percentKnown || percent < member.paceSincePercent) {
        member.paceSince = now;
        member.paceSincePercent = percent;
    }
    member.percent = percent;
    member.percentKnown = true;
    member.progressAt = now;
    Worker *worker = m_pool.find(member.worker);
    if (measured && worker != nullptr && showsSpeed(run) && !detectSpeedChange(run, *worker, advanced, now)) {
        updateSpeed(run, *worker, percent, now);
    }
}

bool Scheduler::showsSpeed(const RunLocation &run) const
{
    const StepSpec &step = stepOf(*run.job, *run.unit);
    const Worker *worker = m_pool.find(run.member->worker);
    const bool farFromData = worker != nullptr && !step.dataRack.empty() && worker->spec.rack != step.dataRack;
    // All members of a gang progress at the pace of the slowest one, which tells nothing about the others.
    return !farFromData && !step.perpetual && run.unit->members.size() == 1 && run.member->paceSince != Instant{};
}

bool Scheduler::detectSpeedChange(const RunLocation &run, Worker &worker, std::uint32_t advanced, Instant now)
{
    Member &member = *run.member;
    const SpeedSettings &settings = m_settings.speeds;
    const double latest = member.millisecondsPerPercent;
    const double average = member.averagePace;
    // The true progress lies within one percent of the reported one.
    const double slowestPossible
        = advanced > 1 ? latest * advanced / (advanced - 1) : std::numeric_limits<double>::max();
    const double fastestPossible = latest * advanced / (advanced + 1);
    const bool changed = average > 0
        && (fastestPossible > average * settings.changeFactor || slowestPossible < average / settings.changeFactor);
    if (changed) {
        worker.speed.reset(worker.slowness * latest / average, settings);
        worker.slowness = worker.speed.slowness(settings);
        member.paceSince = now;
        member.paceSincePercent = member.percent;
        member.averagePace = 0;
        member.speed = {};
    }
    return changed;
}

void Scheduler::updateSpeed(const RunLocation &run, Worker &worker, std::uint32_t percent, Instant now)
{
    Member &member = *run.member;
    const std::uint32_t covered = percent - std::min(percent, member.paceSincePercent);
    if (covered < detail::percentForAverage) {
        return;
    }
    member.averagePace = static_cast<double>((now - member.paceSince).count()) / covered;
    run.unit->normalizedPace = member.averagePace / worker.slowness;
    // Tasks of a step are identical, so the median of their paces is the reference. Those that have ended count as
    // well: the ones that still run are slower than most.
    std::vector<double> paces;
    for (const Unit &unit : run.occurrence->units) {
        if (unit.step == run.unit->step && unit.normalizedPace > 0) {
            paces.push_back(unit.normalizedPace);
        }
    }
    const Duration expected = m_estimates.expected(run.job->spec.queue, stepOf(*run.job, *run.unit));
    double reference = static_cast<double>(expected.count()) / detail::wholeProgress;
    double weight = detail::queueWeight;
    if (paces.size() > 1) {
        const auto median = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
        std::nth_element(paces.begin(), median, paces.end());
        reference = *median;
        weight = paces.size() >= detail::pacesForMedian ? 1 : detail::fewSiblingsWeight;
    }
    weight *= std::min(1.0, static_cast<double>(covered) / detail::percentForFullWeight);
    worker.speed.observe(member.speed, member.averagePace / reference, weight, m_settings.speeds);
    worker.slowness = worker.speed.slowness(m_settings.speeds);
    worker.slownessMeasured = worker.slownessMeasured || worker.speed.observations() >= 1;
}

void Scheduler::handleRunEnd(RunLocation &run, const EndReport &end, Instant now)
{
    Unit &unit = *run.unit;
    const StepSpec &step = stepOf(*run.job, unit);
    Member &member = *run.member;
    run.occurrence->changed = true;
    noteBegun(*run.job);
    if (!end.checkpoint.empty()) {
        unit.checkpoint = end.checkpoint;
    }
    Worker *worker = m_pool.find(member.worker);
    const auto position = static_cast<std::size_t>(&member - unit.members.data());
    if (end.kind == EndKind::Done && !step.perpetual) {
        if (!unit.done) {
            if (worker != nullptr && showsSpeed(run)) {
                updateSpeed(run, *worker, detail::wholeProgress, now);
            }
            if (member.startSeen) {
                m_estimates.addRun(run.job->spec.queue, now - member.startedAt);
            }
            learnCompleted(run, now);
            finishUnit(*run.job, *run.occurrence, unit);
        }
        if (worker != nullptr) {
            m_pool.noteSuccess(*worker);
        }
        releaseMember(*run.job, *run.occurrence, unit, position);
        return;
    }
    if (end.kind == EndKind::Failed) {
        // A run counts as one failure: all members of a gang report it, and an end that was recorded but not confirmed
        // is reported again to a successor.
        if (unit.failedRun != end.run) {
            ++unit.failures;
            unit.failedRun = end.run;
        }
        unit.avoided = member.worker;
        if (worker != nullptr) {
            m_pool.noteFailure(*worker, now);
        }
    }
    releaseMember(*run.job, *run.occurrence, unit, position);
    if (!unit.done) {
        stopUnit(unit, StopReason::MemberEnded);
    }
}

void Scheduler::handleLateDone(const EndReport &end)
{
    const RunLocation located = findUnit(end.task);
    if (located.unit == nullptr || located.unit->done || end.run > located.unit->run || isFinal(located.job->state)
        || stepOf(*located.job, *located.unit).perpetual) {
        return;
    }
    located.occurrence->changed = true;
    noteBegun(*located.job);
    finishUnit(*located.job, *located.occurrence, *located.unit);
    stopUnit(*located.unit, StopReason::Superseded);
}

void Scheduler::finishUnit(Job &job, Occurrence &occurrence, Unit &unit)
{
    unit.done = true;
    occurrence.changed = true;
    --occurrence.unitsLeft[unit.step];
    const bool finished = std::all_of(occurrence.unitsLeft.begin(), occurrence.unitsLeft.end(), [](std::uint32_t left) {
        return left == 0;
    });
    if (!finished || occurrence.finished) {
        return;
    }
    occurrence.finished = true;
    ++job.occurrencesFinished;
    if (job.occurrencesFinished >= std::max(job.spec.repetitions, 1U) && !isFinal(job.state)) {
        job.state = JobState::Completed;
        job.statusChanged = true;
    }
}

void Scheduler::noteBegun(Job &job)
{
    if (job.state == JobState::Queued) {
        job.state = JobState::Running;
        job.statusChanged = true;
    }
}

void Scheduler::endJob(Job &job, JobState state)
{
    job.state = state;
    job.statusChanged = true;
    for (auto &[number, occurrence] : job.occurrences) {
        for (Unit &unit : occurrence.units) {
            if (!unit.members.empty()) {
                stopUnit(unit, state == JobState::Failed ? StopReason::JobFailed : StopReason::Cancelled);
                occurrence.changed = true;
            }
        }
    }
}

void Scheduler::stopUnit(Unit &unit, StopReason reason)
{
    if (!unit.stopping) {
        unit.stopReason = reason;
    }
    unit.stopping = true;
    for (Member &member : unit.members) {
        if (detail::mayBeActive(member)) {
            member.stopWanted = true;
        }
    }
}

void Scheduler::releaseMember(Job &job, Occurrence &occurrence, Unit &unit, std::size_t position)
{
    Member &member = unit.members[position];
    if (member.phase == RunPhase::Gone) {
        return;
    }
    learnCensored({&job, &occurrence, &unit, &member});
    member.phase = RunPhase::Gone;
    if (job.policy.priority == 0) {
        m_urgentAccelerators[job.spec.team] -= allocationOf(job, unit).accelerators;
    }
    m_runsOn[member.worker].erase({&job, &occurrence, &unit, static_cast<std::uint32_t>(position)});
    if (Worker *worker = m_pool.find(member.worker)) {
        worker->used -= allocationOf(job, unit);
        countRun(*worker, job, unit, -1);
        m_pool.removeIfUnused(member.worker);
    }
}

void Scheduler::giveUpRun(const RunRef &ref, ReleaseReason reason)
{
    const RunLocation run = findRun(ref);
    if (stepOf(*run.job, *run.unit).perpetual) {
        // The time for which its worker was silent counts as waiting for a preferred place.
        run.unit->lostSince = std::max(run.member->reportedAt, run.member->startedAt);
    }
    m_releases.push_back({taskOf(*run.job, *run.occurrence, *run.unit, ref.member), run.unit->run, run.member->worker,
                          reason, memberLostWork(run, m_decidedAt)});
    releaseMember(*run.job, *run.occurrence, *run.unit, ref.member);
}

bool Scheduler::beginStart(const TaskId &task, std::uint32_t run)
{
    const RunLocation located = findRun(task, run);
    if (located.member == nullptr || located.unit->stopping || located.unit->done) {
        return false;
    }
    Member &member = *located.member;
    if (member.phase != RunPhase::Planned && member.phase != RunPhase::Ordered) {
        return false;
    }
    if (const Worker *worker = m_pool.find(member.worker); worker != nullptr && worker->evacuated) {
        // An order that is repeated may have been executed, so that only a stop order resolves it.
        member.phase = member.maybeSent ? RunPhase::Uncertain : RunPhase::Planned;
        withdrawStart(located);
        return false;
    }
    member.phase = RunPhase::Ordered;
    ++member.startAttempts;
    return true;
}

void Scheduler::startAnswered(const TaskId &task, std::uint32_t run, StartOutcome outcome, Instant now)
{
    const RunLocation located = findRun(task, run);
    if (located.member == nullptr || located.member->phase != RunPhase::Ordered) {
        return;
    }
    Member &member = *located.member;
    member.orderAnsweredAt = now;
    const bool refused
        = outcome != StartOutcome::Started && outcome != StartOutcome::Unknown && outcome != StartOutcome::NotSent;
    if (refused && member.maybeSent) {
        // An earlier attempt was not answered, so its run may have ended already or may still start. The answer to a
        // stop order resolves this.
        member.phase = RunPhase::Uncertain;
        stopUnit(*located.unit, StopReason::StartFailed);
        return;
    }
    switch (outcome) {
    case StartOutcome::Started:
        noteBegun(*located.job);
        member.phase = RunPhase::Running;
        member.startedAt = now;
        member.startSeen = located.unit->checkpoint.empty();
        member.confirmedAt = now;
        member.progressAt = now;
        member.percentKnown = located.unit->checkpoint.empty();
        member.paceSince = now;
        member.pace = detail::fullPace;
        return;
    case StartOutcome::Unknown:
    case StartOutcome::NotSent:
        member.maybeSent = member.maybeSent || outcome == StartOutcome::Unknown;
        // A run that no order can have reached needs no stop order.
        member.phase = member.maybeSent ? RunPhase::Uncertain : RunPhase::Planned;
        if (member.startAttempts >= m_settings.startAttemptsMax) {
            stopUnit(*located.unit, StopReason::StartFailed);
        }
        if (const Worker *worker = m_pool.find(member.worker); worker != nullptr && worker->evacuated) {
            withdrawStart(located); // The order is not repeated.
        }
        return;
    case StartOutcome::NoCapacity:
        if (Worker *worker = m_pool.find(member.worker)) {
            m_pool.suspendPlacement(*worker, now, m_settings.workers.capacityRefusalPause);
        }
        break;
    case StartOutcome::NoTicket:
        m_advice.erase({task.job, task.occurrence, task.step});
        break;
    case StartOutcome::Refused:
        located.unit->avoided = member.worker;
        if (Worker *worker = m_pool.find(member.worker)) {
            m_pool.noteFailure(*worker, now);
        }
        break;
    }
    located.occurrence->changed = true;
    const auto position = static_cast<std::size_t>(&member - located.unit->members.data());
    releaseMember(*located.job, *located.occurrence, *located.unit, position);
    stopUnit(*located.unit, StopReason::StartFailed);
}

void Scheduler::adviceAnswered(const StepId &step, const std::optional<std::map<WorkerId, std::string>> &tickets,
                               Duration validity, Instant now)
{
    Advice &advice = m_advice[step];
    advice.asked = false;
    advice.askAgainAt = now + m_settings.adviceRetry;
    const std::vector<WorkerId> askedAbout = std::exchange(advice.askedAbout, {});
    if (!tickets) {
        return;
    }
    for (const WorkerId &id : askedAbout) {
        const auto ticket = tickets->find(id);
        if (ticket == tickets->end()) {
            advice.refused.insert(id);
            continue;
        }
        advice.refused.erase(id);
        advice.tickets[id] = ticket->second;
        advice.validUntil[id] = now + validity;
    }
}

void Scheduler::stopAnswered(const TaskId &task, std::uint32_t run, Instant now)
{
    const RunLocation located = findRun(task, run);
    if (located.member == nullptr) {
        return;
    }
    located.member->stopPending = false;
    located.member->stopTriedAt = now;
    located.member->stopAnswered = true;
    located.member->orderAnsweredAt = now;
}

void Scheduler::stopUnanswered(const TaskId &task, std::uint32_t run, Instant now)
{
    const RunLocation located = findRun(task, run);
    if (located.member != nullptr) {
        located.member->stopPending = false;
        located.member->stopTriedAt = now;
    }
}

Decision Scheduler::decide(Instant now, Instant wall, std::size_t startsMax)
{
    Decision decision;
    if (now - m_decidedAt >= m_settings.passGapMax) {
        restartHangDetection(now);
    }
    m_decidedAt = now;
    m_decidedAtWall = wall;
    openDueOccurrences(now, wall);
    releaseExpiredRuns(now);
    stopHungRuns(decision, now);
    closeRuns(now);
    startReserved(decision);
    if (startsMax > 0) {
        placeReadySteps(decision, now, wall, startsMax);
    }
    emitOrders(decision, now);
    collectRecords(decision, wall);
    decision.releases = std::exchange(m_releases, {});
    return decision;
}

void Scheduler::recordAgain(const Decision &lost)
{
    for (const OccurrenceRecord &record : lost.records) {
        if (const auto job = m_jobs.find(record.job); job != m_jobs.end()) {
            if (const auto found = job->second.occurrences.find(record.occurrence);
                found != job->second.occurrences.end()) {
                found->second.changed = true;
                for (Unit &unit : found->second.units) {
                    if (unit.block == record.block) {
                        unit.recorded = {};
                    }
                }
            }
        }
    }
    for (const ScheduleChange &change : lost.schedules) {
        if (const auto job = m_jobs.find(change.record.job); job != m_jobs.end()) {
            job->second.recordedFinishedBefore = std::min(job->second.recordedFinishedBefore, change.discardedFrom);
        }
    }
    for (const JobStatus &status : lost.statuses) {
        if (const auto job = m_jobs.find(status.job); job != m_jobs.end()) {
            job->second.statusChanged = true;
        }
    }
}

LearnedRecord Scheduler::learned() const
{
    LearnedRecord record;
    for (const auto &[id, worker] : m_pool.all()) {
        if (std::abs(worker.slowness - 1) >= detail::recordedDeviationMin) {
            record.workers.push_back({id, worker.spec.incarnation.value, worker.slowness});
        }
    }
    // The record is limited in size, so the largest deviations come first.
    std::sort(record.workers.begin(), record.workers.end(), [](const WorkerSpeed &left, const WorkerSpeed &right) {
        return std::abs(left.slowness - 1) > std::abs(right.slowness - 1);
    });
    record.workers.resize(std::min(record.workers.size(), detail::recordedWorkersMax));
    record.queues = m_estimates.estimates();
    record.teams = m_teamShares.uses();
    record.teamsAt = m_teamShares.chargedAt();
    return record;
}

void Scheduler::restoreLearned(const LearnedRecord &learned)
{
    for (const WorkerSpeed &speed : learned.workers) {
        Worker *worker = m_pool.find(speed.worker);
        if (worker != nullptr && worker->spec.incarnation.value == speed.incarnation) {
            worker->speed.restore(speed.slowness, detail::restoredObservations, m_settings.speeds);
            worker->slowness = worker->speed.slowness(m_settings.speeds);
            worker->slownessMeasured = true;
        }
    }
    for (const QueueEstimate &estimate : learned.queues) {
        m_estimates.restore(estimate);
    }
    m_teamShares.restore(learned.teams, learned.teamsAt);
}

std::map<std::string, QueueView> Scheduler::queues() const
{
    std::map<std::string, QueueView> views;
    for (const auto &[id, job] : m_jobs) {
        QueueView &view = views[job.spec.queue];
        view.waitingJobs += job.state == JobState::Queued ? 1 : 0;
        view.runningJobs += job.state == JobState::Running ? 1 : 0;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const Unit &unit : occurrence.units) {
                const bool waits = unit.waiting() && !isFinal(job.state);
                view.waitingUnits += waits && dependenciesDone(job, occurrence, unit.step) ? 1 : 0;
            }
        }
    }
    return views;
}

PoolUsage Scheduler::usage() const
{
    PoolUsage usage;
    const auto shareOf = [&usage](const RunLocation &run) -> std::int64_t & {
        if (run.unit->stopping || run.unit->done) {
            return usage.stopping;
        }
        if (run.member->phase == RunPhase::Reserved) {
            return usage.reserved;
        }
        return run.member->phase == RunPhase::Running ? usage.running : usage.starting;
    };
    for (const auto &[id, worker] : m_pool.all()) {
        usage.capacity += worker.registered ? worker.spec.capacity.accelerators : 0;
        if (worker.registered && worker.keptForUrgent) {
            usage.kept += worker.spec.capacity.accelerators;
            usage.keptIdle += std::max<std::int64_t>(worker.free().accelerators, 0);
        }
    }
    for (const auto &[id, runs] : m_runsOn) {
        for (const RunRef &ref : runs) {
            const RunLocation run = findRun(ref);
            shareOf(run) += allocationOf(*run.job, *run.unit).accelerators;
        }
    }
    for (const auto &[id, job] : m_jobs) {
        if (job.policy.priority == 0 || isFinal(job.state)) {
            continue;
        }
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const Unit &unit : occurrence.units) {
                const StepSpec &step = stepOf(job, unit);
                if (step.gang && unit.waiting() && dependenciesDone(job, occurrence, unit.step)) {
                    usage.waitingGangs += step.need.accelerators * step.taskCount;
                }
            }
        }
    }
    return usage;
}

const StepSpec &Scheduler::stepOf(const Job &job, const Unit &unit) const
{
    return job.spec.steps[unit.step];
}

void Scheduler::countRun(Worker &worker, const Job &job, const Unit &unit, int change) const
{
    const StepSpec &step = stepOf(job, unit);
    const auto count = [change](std::uint32_t &number, bool counts) {
        number = counts ? number + static_cast<std::uint32_t>(change) : number;
    };
    count(worker.runs, true);
    worker.urgentAccelerators += job.policy.priority == 0 ? change * allocationOf(job, unit).accelerators : 0;
    count(worker.uncheckpointedRuns, losesWorkWhenStopped(job, unit));
    count(worker.latencyBoundRuns, step.tailLatencyTarget.count() > 0);
    count(worker.bestEffortRuns, step.bestEffort);
}

bool Scheduler::losesWorkWhenStopped(const Job &job, const Unit &unit) const
{
    return job.spec.policy.priority != 0 && !stepOf(job, unit).savesProgress;
}

Resources Scheduler::allocationOf(const Job &job, const Unit &unit) const
{
    return batch::allocationOf(stepOf(job, unit));
}

TaskId Scheduler::taskOf(const Job &job, const Occurrence &occurrence, const Unit &unit, std::size_t member)
{
    return {job.spec.id, occurrence.number, unit.step, unit.first + static_cast<std::uint32_t>(member)};
}

std::uint32_t Scheduler::unitIndex(const Job &job, std::uint32_t step, std::uint32_t index)
{
    std::uint32_t position = 0;
    for (std::uint32_t i = 0; i < step && i < job.spec.steps.size(); ++i) {
        position += unitCount(job.spec.steps[i]);
    }
    const bool gang = step < job.spec.steps.size() && job.spec.steps[step].gang;
    return gang ? position : position + index;
}

Scheduler::RunLocation Scheduler::findUnit(const TaskId &task)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || task.step >= job->second.spec.steps.size()
        || task.index >= job->second.spec.steps[task.step].taskCount) {
        return {};
    }
    const auto occurrence = job->second.occurrences.find(task.occurrence);
    if (occurrence == job->second.occurrences.end()) {
        return {};
    }
    const std::uint32_t position = unitIndex(job->second, task.step, task.index);
    if (position >= occurrence->second.units.size()) {
        return {};
    }
    return {&job->second, &occurrence->second, &occurrence->second.units[position], nullptr};
}

Scheduler::RunLocation Scheduler::findRun(const TaskId &task, std::uint32_t run)
{
    RunLocation located = findUnit(task);
    if (located.unit == nullptr) {
        return {};
    }
    const std::uint32_t member = task.index - located.unit->first;
    if (located.unit->run != run || member >= located.unit->members.size()) {
        return {};
    }
    located.member = &located.unit->members[member];
    return located;
}

Scheduler::RunLocation Scheduler::findRun(const RunRef &ref)
{
    return {ref.job, ref.occurrence, ref.unit, &ref.unit->members.at(ref.member)};
}

} // namespace heatherquay::state::batch
