#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr double objectivesUntilExpiry = 3; // A job that takes longer than three objectives has no value left.
// A ticket must still be valid when the start order arrives, which is sent only after its record is stored.
constexpr Duration ticketValidityMargin{200};
constexpr Duration workSinceCheckpointMax{1'000}; // Assumed maximum of work since the last checkpoint.
// Outside a guarantee, the most core-seconds of lost work per core-second that the beneficiary needs. The limit is high
// for urgent jobs: one that starts late loses four fifths of its value, and an urgent job is worth four times as much
// as other work of its size.
constexpr double urgentLostWorkRatio = 1.5;
constexpr double lostWorkRatio = 0.1;
// For other jobs that can still wait for free resources.
constexpr double waitingLostWorkRatio = 0.02;
// For urgent jobs that can still wait for free resources, or are late already, which leaves them a fifth of their
// value.
constexpr double patientLostWorkRatio = 0.3;
constexpr double gangVictimWeight = 2; // An evicted gang needs a whole rack to restart.
// Extra cost of a victim per earlier eviction, as a share of its total work.
constexpr double earlierEvictionWeight = 0.5;
// Gangs use slower workers only when there are not enough faster ones.
constexpr double gangSlownessMax = 1.4;
// Score penalties for a worker that takes twice the usual time. The penalty for urgent work outweighs the one for using
// part of an idle worker, so urgent work uses a fast worker even when it is idle. Late work prefers fast workers.
constexpr double urgentSlownessWeight = 12;
constexpr double lateSlownessWeight = 4;
// Share of a step's slack that a slow worker may use; the rest is kept for failures.
constexpr double slowWorkerSlack = 0.8;
constexpr double stretchReserve = 0.1; // Part of the stretch reserved for communication with the worker.

} // namespace detail

Duration Scheduler::objectiveOf(const Job &job) const
{
    const Duration criticalPath = m_estimates.criticalPath(job.spec);
    return Duration(static_cast<std::int64_t>(job.policy.stretch * static_cast<double>(criticalPath.count())))
        + job.policy.latencyTarget;
}

bool Scheduler::dependenciesDone(const Job &job, const Occurrence &occurrence, std::uint32_t step) const
{
    const std::vector<std::uint32_t> &dependsOn = job.spec.steps[step].dependsOn;
    return std::all_of(dependsOn.begin(), dependsOn.end(), [&](std::uint32_t before) {
        return before < occurrence.unitsLeft.size() && occurrence.unitsLeft[before] == 0;
    });
}

std::vector<Scheduler::ReadyStep> Scheduler::readySteps(Instant wall)
{
    std::vector<ReadyStep> ready;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.state)) {
            continue;
        }
        const Duration objective = objectiveOf(job);
        const Duration expiry(
            static_cast<std::int64_t>(detail::objectivesUntilExpiry * static_cast<double>(objective.count())));
        for (auto &[number, occurrence] : job.occurrences) {
            if (occurrence.finished) {
                continue;
            }
            std::size_t end = 0;
            for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
                // The units of a step are consecutive; those of steps that are done or not ready are not looked at.
                const std::size_t begin = end;
                end += unitCount(job.spec.steps[step]);
                if (occurrence.unitsLeft[step] == 0 || !dependenciesDone(job, occurrence, step)) {
                    continue;
                }
                std::vector<Unit *> units;
                for (std::size_t i = begin; i < end; ++i) {
                    if (occurrence.units[i].waiting()) {
                        units.push_back(&occurrence.units[i]);
                    }
                }
                if (units.empty()) {
                    continue;
                }
                const Duration left = m_estimates.criticalPathFrom(job.spec, step);
                const Duration age = wall - occurrence.dueAt;
                Lateness lateness = Lateness::Expired;
                if (age + left <= objective || mayMeetObjective(job, step, age, left)) {
                    lateness = Lateness::OnTime;
                } else if (age + left <= expiry) {
                    lateness = Lateness::Late;
                }
                const Duration deadline = lateness == Lateness::OnTime ? objective : expiry;
                const Instant latestStart = occurrence.dueAt + deadline - left;
                ready.push_back(
                    {&job, &occurrence, step, std::move(units), job.policy.priority, lateness, latestStart});
            }
        }
    }
    const auto key = [](const ReadyStep &step) {
        // Jobs that have value come first, by priority. Jobs of one priority are ordered by the latest start that meets
        // their next deadline: the objective or, once it is missed, the time when their value ends.
        return std::tuple(step.lateness == Lateness::Expired, step.priority, step.latestStart, step.job->spec.id);
    };
    std::sort(ready.begin(), ready.end(), [&](const ReadyStep &left, const ReadyStep &right) {
        return key(left) < key(right);
    });
    orderByTeamShares(ready, wall);
    return ready;
}

PlacementRequest Scheduler::requestFor(const Job &job, const Occurrence &occurrence, const StepSpec &step) const
{
    PlacementRequest request;
    request.step = &step;
    request.service = job.policy.service;
    if (step.tasksPerWorkerMax > 0) {
        for (const Unit &unit : occurrence.units) {
            if (&stepOf(job, unit) != &step) {
                continue;
            }
            for (const Member &member : unit.members) {
                if (member.phase != RunPhase::Gone) {
                    ++request.stepTasks[member.worker];
                }
            }
        }
    }
    return request;
}

Scheduler::RequestShape Scheduler::shapeOf(const ReadyStep &ready, Instant now)
{
    const StepSpec &step = ready.job->spec.steps[ready.step];
    const Resources allocation = batch::allocationOf(step);
    return {ready.job->policy.service,
            ready.priority,
            allocation.cpuMillicores,
            allocation.memoryMegabytes,
            allocation.accelerators,
            step.requiredLabel,
            step.dataRack,
            step.gang ? step.taskCount : 0,
            step.sameRack,
            step.bestEffort,
            step.tailLatencyTarget.count() > 0,
            takesAnyPlace(ready, now),
            !hasRuns(*ready.job)};
}

void Scheduler::keepUrgentRoom(const std::vector<ReadyStep> &ready, Instant now)
{
    std::map<std::string, std::int64_t> demand;
    for (const auto &[id, worker] : m_pool.all()) {
        demand[worker.spec.service] += worker.urgentAccelerators;
    }
    for (const ReadyStep &step : ready) {
        if (step.priority == 0) {
            const StepSpec &spec = step.job->spec.steps[step.step];
            const std::size_t tasks = spec.gang ? spec.taskCount : step.units.size();
            demand[step.job->policy.service] += spec.need.accelerators * static_cast<std::int64_t>(tasks);
        }
    }
    for (const auto &[service, accelerators] : demand) {
        m_urgentReserve.noteDemand(service, accelerators, now);
    }
    std::int64_t guaranteed = 0;
    for (const auto &[team, accelerators] : m_guarantees) {
        guaranteed += accelerators;
    }
    m_urgentReserve.choose(m_pool, guaranteed, now);
}

void Scheduler::placeReadySteps(Decision &decision, Instant now, Instant wall, std::size_t startsMax)
{
    std::set<RequestShape> unplaceable;
    std::set<std::string> reservedRacks;
    m_victims.clear();
    m_usedShares.clear();
    m_examined = 0;
    m_firstDecidedAt = m_firstDecidedAt == Instant{} ? now : m_firstDecidedAt;
    m_answersMissing
        = now - m_firstDecidedAt < m_settings.firstAnswersTime && m_pool.fencedShare() < m_settings.firstAnswersShare;
    const std::vector<ReadyStep> readySteps = this->readySteps(wall);
    keepUrgentRoom(readySteps, now);
    for (const ReadyStep &ready : readySteps) {
        const StepSpec &step = ready.job->spec.steps[ready.step];
        Unit &first = *ready.units.front();
        for (Unit *unit : ready.units) {
            unit->readySince = unit->readySince == Instant{} ? now : unit->readySince;
        }
        // What is left for the next pass comes first there, because the steps that failed in this one pause.
        const bool urgent = ready.priority == 0;
        const std::uint64_t examinedMax = urgent ? m_settings.examinedForUrgentMax : m_settings.examinedMax;
        if (now < first.placeAgainAt || m_examined >= examinedMax) {
            if (!first.reservedRack.empty() && reservedRacks.size() < m_settings.reservedRacksMax) {
                reservedRacks.insert(first.reservedRack);
            }
            continue;
        }
        const RequestShape shape = shapeOf(ready, now);
        if (!urgent && (unplaceable.contains(shape) || decision.starts.size() >= startsMax)) {
            continue;
        }
        if (placeReadyStep(ready, decision, now, wall, reservedRacks, startsMax)
            || placeAnywhere(ready, decision, now, startsMax)) {
            continue;
        }
        if (step.gang || urgent) {
            const Duration retryMax = urgent ? m_settings.urgentRetryMax : m_settings.ordinaryRetryMax;
            first.placementPause = std::clamp(first.placementPause * 2, m_settings.placementRetry, retryMax);
            first.placeAgainAt = now + first.placementPause;
        }
        if (step.gang && !urgent) {
            reserveRack(ready, decision, now, reservedRacks);
        }
        const bool comparable = step.tasksPerWorkerMax == 0 && !ready.job->policy.advice;
        if (comparable) {
            unplaceable.insert(shape);
        }
    }
}

bool Scheduler::placeReadyStep(const ReadyStep &ready, Decision &decision, Instant now, Instant wall,
                               const std::set<std::string> &reservedRacks, std::size_t startsMax)
{
    const StepSpec &step = ready.job->spec.steps[ready.step];
    PlacementRequest base = requestFor(*ready.job, *ready.occurrence, step);
    base.tasksMax = startsMax - std::min(startsMax, decision.starts.size());
    if (ready.job->policy.advice) {
        const Advice *advice = adviceFor(ready, decision, now);
        if (advice == nullptr) {
            return false;
        }
        base.tickets = &advice->tickets;
    }
    if (ready.priority != 0) {
        base.reservedRacks = &reservedRacks;
        // A gang would be held up by a slow worker, and shows nothing of its speed.
        base.unknownSpeedBonus = step.gang ? 0 : m_settings.unknownSpeedBonus;
        const Duration slack = ready.latestStart - wall;
        const Duration expected = m_estimates.expected(ready.job->spec.queue, step);
        base.slownessWeight = detail::lateSlownessWeight;
        base.deadlineSlowness = slack.count() <= 0
            ? 0
            : 1 + detail::slowWorkerSlack * static_cast<double>(slack.count()) / static_cast<double>(expected.count());
        if (step.gang) {
            // The slowest member delays all others, which keep their resources meanwhile.
            base.slownessMax = detail::gangSlownessMax;
            if (placeOnFreeResources(ready, decision, now, base) || placeByEviction(ready, decision, now, wall, base)) {
                return true;
            }
            base.slownessMax = std::numeric_limits<double>::max();
        }
        return placeOnFreeResources(ready, decision, now, base)
            || (step.gang && placeByEviction(ready, decision, now, wall, base));
    }
    base.tasksMax = std::numeric_limits<std::size_t>::max();
    base.urgent = true;
    base.usesKept = true;
    base.slownessWeight = detail::urgentSlownessWeight;
    // On a worker slower than its stretch, an urgent job is late even when it starts at once.
    base.slownessMax = std::max(1.0, ready.job->policy.stretch - detail::stretchReserve);
    if (placeOnFreeResources(ready, decision, now, base) || placeByEviction(ready, decision, now, wall, base)) {
        return true;
    }
    const bool guaranteed = withinGuarantee(*ready.job, step, step.gang ? step.taskCount : ready.units.size());
    const bool waitForFastWorker = !guaranteed && ready.lateness == Lateness::OnTime
        && wall - ready.occurrence->dueAt < m_settings.fastWorkerWait;
    if (waitForFastWorker) {
        return false;
    }
    base.slownessMax = std::numeric_limits<double>::max();
    return placeOnFreeResources(ready, decision, now, base) || placeByEviction(ready, decision, now, wall, base);
}

double Scheduler::usedShare(const std::string &service)
{
    const auto [position, added] = m_usedShares.try_emplace(service, 0);
    if (!added) {
        return position->second;
    }
    Resources used;
    Resources capacity;
    for (const auto &[id, worker] : m_pool.all()) {
        if (worker.registered && worker.spec.service == service) {
            used += worker.used;
            capacity += worker.spec.capacity;
        }
    }
    const double whole = coreEquivalents(capacity);
    position->second = whole > 0 ? coreEquivalents(used) / whole : 1;
    return position->second;
}

bool Scheduler::takesAnyPlace(const ReadyStep &ready, Instant now)
{
    const bool waited = std::any_of(ready.units.begin(), ready.units.end(), [&](const Unit *unit) {
        return unit->waiting() && now - unit->readySince >= m_settings.preferenceWait;
    });
    // Runs that last do not make room, so that waiting may never end, however full the service is.
    const bool lasts = ready.job->spec.steps[ready.step].perpetual;
    return waited && (lasts || usedShare(ready.job->policy.service) < m_settings.preferenceUseMax);
}

bool Scheduler::hasRuns(const Job &job)
{
    return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &entry) {
        const std::vector<Unit> &units = entry.second.units;
        return std::any_of(units.begin(), units.end(), [](const Unit &unit) {
            return !unit.members.empty();
        });
    });
}

bool Scheduler::placeAnywhere(const ReadyStep &ready, Decision &decision, Instant now, std::size_t startsMax)
{
    if (!takesAnyPlace(ready, now)) {
        return false;
    }
    PlacementRequest request = requestFor(*ready.job, *ready.occurrence, ready.job->spec.steps[ready.step]);
    request.anyPlace = true;
    request.urgent = ready.priority == 0;
    // Workers kept for urgent jobs take other work only where it would stand still.
    request.usesKept = request.urgent || ready.job->spec.steps[ready.step].perpetual || !hasRuns(*ready.job);
    request.slownessWeight = detail::lateSlownessWeight;
    request.tasksMax = startsMax - std::min(startsMax, decision.starts.size());
    if (ready.job->policy.advice) {
        const Advice *advice = adviceFor(ready, decision, now);
        if (advice == nullptr) {
            return false;
        }
        request.tickets = &advice->tickets;
    }
    return placeOnFreeResources(ready, decision, now, request);
}

const Scheduler::Advice *Scheduler::adviceFor(const ReadyStep &ready, Decision &decision, Instant now)
{
    const StepId id{ready.job->spec.id, ready.occurrence->number, ready.step};
    Advice &advice = m_advice[id];
    std::erase_if(advice.tickets, [&](const auto &ticket) {
        return now + detail::ticketValidityMargin >= advice.validUntil.at(ticket.first);
    });
    // Asks again even while tickets are valid: the step still waits, so the approved workers may not suffice.
    if (!advice.asked && now >= advice.askAgainAt) {
        advice.asked = true;
        advice.askedAbout = workersToAskAbout(ready, advice);
        decision.advice.push_back({id, advice.askedAbout});
    }
    return advice.tickets.empty() ? nullptr : &advice;
}

std::vector<WorkerId> Scheduler::workersToAskAbout(const ReadyStep &ready, const Advice &advice) const
{
    const StepSpec &step = ready.job->spec.steps[ready.step];
    std::vector<const Worker *> suitable;
    for (const auto &[id, worker] : m_pool.all()) {
        const bool fits = worker.spec.service == ready.job->policy.service && worker.registered && !worker.spec.draining
            && !worker.evacuated && batch::allocationOf(step).fitsIn(worker.spec.capacity)
            && (step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel));
        if (fits) {
            suitable.push_back(&worker);
        }
    }
    // New workers come first, so that all are asked about in turn. Of these, prefers workers in the data's rack, then
    // workers with enough free resources.
    const auto rank = [&](const Worker *worker) {
        const bool far = !step.dataRack.empty() && worker->spec.rack != step.dataRack;
        return std::tuple(advice.refused.contains(worker->spec.id), advice.tickets.contains(worker->spec.id), far,
                          !batch::allocationOf(step).fitsIn(worker->free()), worker->spec.rack, worker->spec.id);
    };
    std::sort(suitable.begin(), suitable.end(), [&rank](const Worker *left, const Worker *right) {
        return rank(left) < rank(right);
    });
    std::vector<WorkerId> workers;
    for (std::size_t i = 0; i < suitable.size() && i < m_settings.adviceWorkersMax; ++i) {
        workers.push_back(suitable[i]->spec.id);
    }
    return workers;
}

std::map<WorkerId, double> Scheduler::remainingWork(Instant now)
{
    std::map<WorkerId, double> left;
    for (const auto &[id, runs] : m_runsOn) {
        const Worker *worker = m_pool.find(id);
        for (const RunRef &ref : runs) {
            const RunLocation run = findRun(ref);
            const Duration expected = m_estimates.expected(run.job->spec.queue, stepOf(*run.job, *run.unit));
            const double whole = static_cast<double>(expected.count()) * (worker == nullptr ? 1 : worker->slowness);
            const auto percent = static_cast<double>(std::min(run.member->percent, 100U));
            const double pace = run.member->millisecondsPerPercent;
            const double passed = static_cast<double>((now - run.unit->startedAt).count());
            const double remaining = pace > 0 ? pace * (100 - percent) : std::max(whole - passed, whole / 10);
            left[id] += remaining / 1'000 * coreEquivalents(allocationOf(*run.job, *run.unit));
        }
    }
    return left;
}

void Scheduler::noteReservation(const JobId &job, const std::string &rack, Decision &decision) const
{
    const auto kept = std::count_if(m_pool.all().begin(), m_pool.all().end(), [&rack](const auto &entry) {
        return entry.second.keptForUrgent && entry.second.spec.rack == rack;
    });
    decision.reservations.push_back({job, rack, static_cast<std::uint32_t>(kept)});
}

void Scheduler::reserveRack(const ReadyStep &ready, Decision &decision, Instant now,
                            std::set<std::string> &reservedRacks)
{
    const StepSpec &step = ready.job->spec.steps[ready.step];
    Unit &unit = *ready.units.front();
    if (ready.lateness == Lateness::Expired || reservedRacks.size() >= m_settings.reservedRacksMax) {
        return;
    }
    PlacementRequest request = requestFor(*ready.job, *ready.occurrence, step);
    request.tasks = step.taskCount;
    request.tasksMin = step.taskCount;
    request.reservedRacks = &reservedRacks;
    if (unit.reservedRack.empty() || reservedRacks.contains(unit.reservedRack)) {
        const std::string before
            = std::exchange(unit.reservedRack, Placement(m_pool, now).rackToReserve(request, remainingWork(now)));
        if (!unit.reservedRack.empty() && unit.reservedRack != before) {
            noteReservation(ready.job->spec.id, unit.reservedRack, decision);
        }
    }
    if (!unit.reservedRack.empty()) {
        reservedRacks.insert(unit.reservedRack);
    }
}

bool Scheduler::placeOnFreeResources(const ReadyStep &ready, Decision &decision, Instant now,
                                     const PlacementRequest &base)
{
    const StepSpec &step = ready.job->spec.steps[ready.step];
    const Placement placement(m_pool, now, &m_examined);
    if (step.gang) {
        Unit &unit = *ready.units.front();
        PlacementRequest request = base;
        request.tasks = step.taskCount;
        request.tasksMin = step.taskCount;
        request.avoided = unit.avoided;
        const auto chosen = placement.find(request);
        if (!chosen) {
            return false;
        }
        assign(*ready.job, *ready.occurrence, unit, *chosen, RunPhase::Planned, now);
        planStart(*ready.job, *ready.occurrence, unit, decision);
        return true;
    }
    // Units that avoid a worker are placed individually, all others in one request.
    std::vector<Unit *> together;
    bool all = true;
    for (Unit *unit : ready.units) {
        if (!unit->waiting()) {
            continue;
        }
        if (unit->avoided.value.empty()) {
            together.push_back(unit);
            continue;
        }
        PlacementRequest request = base;
        request.stepTasks = requestFor(*ready.job, *ready.occurrence, step).stepTasks;
        request.avoided = unit->avoided;
        if (const auto chosen = placement.find(request)) {
            assign(*ready.job, *ready.occurrence, *unit, *chosen, RunPhase::Planned, now);
            planStart(*ready.job, *ready.occurrence, *unit, decision);
        } else {
            all = false;
        }
    }
    if (together.empty()) {
        return all;
    }
    PlacementRequest request = base;
    request.stepTasks = requestFor(*ready.job, *ready.occurrence, step).stepTasks;
    request.tasks = static_cast<std::uint32_t>(std::min(together.size(), base.tasksMax));
    const auto chosen = placement.find(request);
    const std::size_t placed = chosen ? chosen->size() : 0;
    for (std::size_t i = 0; i < placed; ++i) {
        assign(*ready.job, *ready.occurrence, *together[i], {(*chosen)[i]}, RunPhase::Planned, now);
        planStart(*ready.job, *ready.occurrence, *together[i], decision);
    }
    return all && placed == together.size();
}

bool Scheduler::withinGuarantee(const Job &job, const StepSpec &step, std::size_t tasks) const
{
    const auto guarantee = m_guarantees.find(job.spec.team);
    if (guarantee == m_guarantees.end()) {
        return false;
    }
    const auto held = m_urgentAccelerators.find(job.spec.team);
    const std::int64_t used = held == m_urgentAccelerators.end() ? 0 : held->second;
    return used + step.need.accelerators * static_cast<std::int64_t>(tasks) <= guarantee->second;
}

double Scheduler::memberLostWork(const RunLocation &run, Instant now) const
{
    if (run.unit->done || run.member->phase != RunPhase::Running) {
        return 0;
    }
    const StepSpec &step = stepOf(*run.job, *run.unit);
    Duration lost = std::max(now - run.member->startedAt, Duration::zero());
    if (step.savesProgress) {
        lost = std::min(lost, detail::workSinceCheckpointMax);
    }
    return coreEquivalents(step.need) * std::chrono::duration<double>(lost).count();
}

double Scheduler::lostCoreSeconds(const TaskId &task, std::uint32_t run, Instant now)
{
    const RunLocation located = findRun(task, run);
    return located.member == nullptr ? 0 : memberLostWork(located, now);
}

double Scheduler::lostWorkOf(const Job &job, const Unit &unit, Instant now) const
{
    const StepSpec &step = stepOf(job, unit);
    Duration lost = now - unit.startedAt;
    if (step.savesProgress) {
        lost = std::min(lost, detail::workSinceCheckpointMax);
    }
    return coreEquivalents(step.need) * static_cast<double>(unit.members.size())
        * std::chrono::duration<double>(lost).count();
}

const Scheduler::Victims &Scheduler::victimsFor(std::uint32_t priority, Instant now)
{
    const auto [position, added] = m_victims.try_emplace(priority);
    Victims &victims = position->second;
    if (!added) {
        return victims;
    }
    for (const auto &[id, runs] : m_runsOn) {
        if (runs.empty()) {
            continue;
        }
        ReclaimableResources &reclaimable = victims.reclaimableByWorker[id];
        for (const RunRef &ref : runs) {
            const RunLocation run = findRun(ref);
            const Resources freed = allocationOf(*run.job, *run.unit);
            if (run.unit->stopping || run.unit->done) {
                reclaimable.pendingRelease += freed;
                continue;
            }
            const bool held = run.member->phase == RunPhase::Reserved;
            if (held || run.job->policy.priority <= priority || stepOf(*run.job, *run.unit).perpetual) {
                continue;
            }
            const auto known = victims.units.find(run.unit);
            const double cost = known != victims.units.end()
                ? known->second.cost
                : victims.units.emplace(run.unit, victimOf(run, now)).first->second.cost;
            const auto same
                = std::find_if(reclaimable.runs.begin(), reclaimable.runs.end(), [&](const EvictableRuns &other) {
                      return other.unit == run.unit;
                  });
            if (same == reclaimable.runs.end()) {
                reclaimable.runs.push_back({freed, cost, run.unit});
            } else {
                same->freed += freed;
            }
        }
        std::stable_sort(reclaimable.runs.begin(), reclaimable.runs.end(),
                         [](const EvictableRuns &left, const EvictableRuns &right) {
                             return left.cost < right.cost;
                         });
    }
    return victims;
}

void Scheduler::noteEvicted(const Unit &unit)
{
    for (auto &[priority, victims] : m_victims) {
        for (const Member &member : unit.members) {
            const auto found = victims.reclaimableByWorker.find(member.worker);
            if (found == victims.reclaimableByWorker.end()) {
                continue;
            }
            auto &runs = found->second.runs;
            const auto run = std::find_if(runs.begin(), runs.end(), [&unit](const EvictableRuns &other) {
                return other.unit == &unit;
            });
            if (run != runs.end()) {
                found->second.pendingRelease += run->freed;
                runs.erase(run);
            }
        }
    }
}

Scheduler::Victim Scheduler::victimOf(const RunLocation &run, Instant now) const
{
    const StepSpec &step = stepOf(*run.job, *run.unit);
    const double lost = lostWorkOf(*run.job, *run.unit, now);
    const Duration whole = m_estimates.expected(run.job->spec.queue, step);
    const double work = coreEquivalents(allocationOf(*run.job, *run.unit))
        * static_cast<double>(run.unit->members.size()) * std::chrono::duration<double>(whole).count();
    const double cost = lost * (step.gang ? detail::gangVictimWeight : 1) * lossPerWorkLeft(run, now)
        + detail::earlierEvictionWeight * run.unit->evictions * work;
    return {run, lost, cost};
}

double Scheduler::lostWorkLimit(const ReadyStep &ready, Instant wall) const
{
    if (ready.priority != 0 || ready.lateness == Lateness::Expired) {
        const bool canWait
            = ready.lateness == Lateness::OnTime && wall + m_settings.ordinaryEvictionLead < ready.latestStart;
        return canWait ? detail::waitingLostWorkRatio : detail::lostWorkRatio;
    }
    const bool lastChance = ready.lateness == Lateness::OnTime && wall + m_settings.evictionLead >= ready.latestStart;
    return lastChance ? detail::urgentLostWorkRatio : detail::patientLostWorkRatio;
}

bool Scheduler::placeByEviction(const ReadyStep &ready, Decision &decision, Instant now, Instant wall,
                                const PlacementRequest &base)
{
    Job &job = *ready.job;
    const StepSpec &step = job.spec.steps[ready.step];
    std::vector<Unit *> waiting;
    for (Unit *unit : ready.units) {
        if (unit->waiting()) {
            waiting.push_back(unit);
        }
    }
    if (waiting.empty()) {
        return true;
    }
    const std::uint32_t tasks = step.gang ? step.taskCount : static_cast<std::uint32_t>(waiting.size());
    const bool guaranteed = ready.priority == 0 && withinGuarantee(job, step, tasks)
        && wall - ready.occurrence->dueAt >= m_settings.guaranteePatience;
    if (m_answersMissing && !guaranteed) {
        return false;
    }
    const Victims &victims = victimsFor(ready.priority, now);
    PlacementRequest request = base;
    request.stepTasks = requestFor(job, *ready.occurrence, step).stepTasks; // Some units may just have been placed.
    request.tasks = tasks;
    request.tasksMin = tasks;
    const auto chosen = Placement(m_pool, now, &m_examined).findWithEviction(request, victims.reclaimableByWorker);
    if (!chosen) {
        return false;
    }
    double lost = 0;
    for (const Unit *unit : chosen->evictedUnits) {
        lost += victims.units.at(unit).lost;
    }
    const double needed = coreEquivalents(step.need) * tasks
        * std::chrono::duration<double>(m_estimates.expected(job.spec.queue, step)).count();
    if (!guaranteed && lost > lostWorkLimit(ready, wall) * needed) {
        return false;
    }
    for (const Unit *unit : chosen->evictedUnits) {
        const Victim &victim = victims.units.at(unit);
        ++victim.run.unit->evictions;
        ++victim.run.job->history.evictions;
        stopUnit(*victim.run.unit, StopReason::Evicted);
        victim.run.unit->stoppedFor = job.spec.id;
        decision.evictions.push_back({taskOf(*victim.run.job, *victim.run.occurrence, *victim.run.unit, 0),
                                      victim.run.job->policy.priority,
                                      static_cast<std::uint32_t>(victim.run.unit->members.size()), job.spec.id,
                                      ready.priority, guaranteed, victim.lost});
        noteEvicted(*victim.run.unit);
    }
    auto next = chosen->workers.begin();
    for (Unit *unit : waiting) {
        const auto end = next + (step.gang ? tasks : 1);
        assign(job, *ready.occurrence, *unit, {next, end}, RunPhase::Reserved, now);
        next = end;
    }
    return true;
}

} // namespace heatherquay::state::batch
