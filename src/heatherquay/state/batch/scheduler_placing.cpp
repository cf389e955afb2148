#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr double objectivesUntilWorthless = 3; // A job that is later than this earns its callers nothing more.
constexpr double acceleratorCores = 8; // What an accelerator-second counts in core-seconds.
constexpr Duration checkpointLoss{1'000}; // Work since the last checkpoint, when progress is saved.
constexpr double evictionShare = 0.5; // Beyond the guarantee, most work lost for each core-second the urgent job needs.

double coresOf(const Resources &need)
{
    return static_cast<double>(need.cpuMillicores) / 1'000 + acceleratorCores * static_cast<double>(need.accelerators);
}

} // namespace detail

bool Scheduler::turnHasCome(const Job &job, const Occurrence &occurrence, std::uint32_t step) const
{
    const std::vector<std::uint32_t> &after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t before) {
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
        const Duration chain = m_estimates.chain(job.spec);
        const Duration objective
            = Duration(static_cast<std::int64_t>(job.policy.stretch * static_cast<double>(chain.count())))
            + job.policy.latencyTarget;
        const Duration worthless(
            static_cast<std::int64_t>(detail::objectivesUntilWorthless * static_cast<double>(objective.count())));
        for (auto &[number, occurrence] : job.occurrences) {
            if (occurrence.finished) {
                continue;
            }
            std::map<std::uint32_t, std::vector<Unit *>> waiting;
            for (Unit &unit : occurrence.units) {
                if (unit.waiting()) {
                    waiting[unit.step].push_back(&unit);
                }
            }
            for (auto &[step, units] : waiting) {
                if (!turnHasCome(job, occurrence, step)) {
                    continue;
                }
                const Duration left = m_estimates.chainFrom(job.spec, step);
                const Duration age = wall - occurrence.dueAt;
                const int lateness = age + left <= objective ? 0 : (age + left <= worthless ? 1 : 2);
                const Instant latestStart = occurrence.dueAt + (lateness == 0 ? objective : worthless) - left;
                ready.push_back(
                    {&job, &occurrence, step, std::move(units), job.policy.priority, lateness, latestStart});
            }
        }
    }
    const auto key = [](const ReadyStep &step) {
        // Urgent jobs go first while anything can still be earned with them; the rest by what can still be on time.
        const bool urgent = step.priority == 0;
        return std::tuple(step.lateness == 2, !urgent, step.lateness, step.latestStart, step.job->spec.id);
    };
    std::sort(ready.begin(), ready.end(), [&](const ReadyStep &left, const ReadyStep &right) {
        return key(left) < key(right);
    });
    return ready;
}

PlacementRequest Scheduler::requestFor(const Job &job, const Occurrence &occurrence, const StepSpec &step,
                                       std::uint32_t tasks) const
{
    PlacementRequest request;
    request.step = &step;
    request.service = job.policy.service;
    request.tasks = tasks;
    request.atLeast = step.gang ? tasks : 1;
    request.preferFast = job.policy.priority == 0;
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

void Scheduler::place(Decision &decision, Instant now, Instant wall)
{
    // Equal requests that found no room earlier in the pass are not tried again.
    using Shape
        = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t, std::string, std::string, std::uint32_t>;
    std::set<Shape> full;
    for (const ReadyStep &ready : readySteps(wall)) {
        const StepSpec &step = ready.job->spec.steps[ready.step];
        const Resources claim = batch::claimOf(step);
        const Shape shape{
            ready.job->policy.service, claim.cpuMillicores, claim.memoryMegabytes,         claim.accelerators,
            step.requiredLabel,        step.dataRack,       step.gang ? step.taskCount : 1};
        const bool urgent = ready.priority == 0;
        if (full.contains(shape) && !urgent) {
            continue;
        }
        if (placeStep(ready, decision, now)) {
            continue;
        }
        if (urgent && reclaim(ready, decision, now)) {
            continue;
        }
        if (step.tasksPerWorkerMax == 0) {
            full.insert(shape);
        }
    }
}

bool Scheduler::placeStep(const ReadyStep &ready, Decision &decision, Instant now)
{
    const StepSpec &step = ready.job->spec.steps[ready.step];
    const Placement placement(m_pool, now);
    if (step.gang) {
        Unit &unit = *ready.units.front();
        PlacementRequest request = requestFor(*ready.job, *ready.occurrence, step, step.taskCount);
        request.avoided = unit.avoided;
        const auto chosen = placement.find(request);
        if (!chosen) {
            return false;
        }
        assign(*ready.job, *ready.occurrence, unit, *chosen, RunPhase::Planned, now);
        plan(*ready.job, *ready.occurrence, unit, decision);
        return true;
    }
    // Units that avoid a worker are placed one by one, all others together.
    std::vector<Unit *> together;
    bool all = true;
    for (Unit *unit : ready.units) {
        if (unit->avoided.value.empty()) {
            together.push_back(unit);
            continue;
        }
        PlacementRequest request = requestFor(*ready.job, *ready.occurrence, step, 1);
        request.avoided = unit->avoided;
        if (const auto chosen = placement.find(request)) {
            assign(*ready.job, *ready.occurrence, *unit, *chosen, RunPhase::Planned, now);
            plan(*ready.job, *ready.occurrence, *unit, decision);
        } else {
            all = false;
        }
    }
    if (together.empty()) {
        return all;
    }
    const auto request = requestFor(*ready.job, *ready.occurrence, step, static_cast<std::uint32_t>(together.size()));
    const auto chosen = placement.find(request);
    const std::size_t placed = chosen ? chosen->size() : 0;
    for (std::size_t i = 0; i < placed; ++i) {
        assign(*ready.job, *ready.occurrence, *together[i], {(*chosen)[i]}, RunPhase::Planned, now);
        plan(*ready.job, *ready.occurrence, *together[i], decision);
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

double Scheduler::lossOf(const Job &job, const Unit &unit, Instant now) const
{
    const StepSpec &step = stepOf(job, unit);
    Duration lost = now - unit.startedAt;
    if (step.savesProgress) {
        lost = std::min(lost, detail::checkpointLoss);
    }
    return detail::coresOf(step.need) * static_cast<double>(unit.members.size())
        * std::chrono::duration<double>(lost).count();
}

bool Scheduler::reclaim(const ReadyStep &ready, Decision &decision, Instant now)
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
    const bool guaranteed = withinGuarantee(job, step, tasks);

    struct Victim
    {
        Located run;
        double cost{};
        Resources room;
    };
    std::map<WorkerId, Evictable> evictable;
    std::map<WorkerId, std::vector<Victim>> victims;
    for (const auto &[id, runs] : m_runsOn) {
        for (const RunRef &ref : runs) {
            const Located run = locate(ref);
            const Resources room = claimOf(*run.job, *run.unit);
            if (run.unit->abandoned || run.unit->done) {
                evictable[id].room += room;
                continue;
            }
            const bool held = run.member->phase == RunPhase::Reserved;
            if (held || run.job->policy.priority == 0 || stepOf(*run.job, *run.unit).perpetual) {
                continue;
            }
            const double cost = lossOf(*run.job, *run.unit, now);
            evictable[id].room += room;
            evictable[id].cost += cost;
            victims[id].push_back({run, cost, room});
        }
    }
    PlacementRequest request = requestFor(job, *ready.occurrence, step, tasks);
    request.atLeast = tasks;
    const auto chosen = Placement(m_pool, now).findWithEviction(request, evictable);
    if (!chosen) {
        return false;
    }
    // Chooses victims worker by worker; a gang that is stopped gives room on its other workers too.
    std::map<WorkerId, std::uint32_t> tasksOn;
    for (const WorkerId &id : *chosen) {
        ++tasksOn[id];
    }
    std::set<Unit *> stopped;
    std::vector<Eviction> evictions;
    double lost = 0;
    for (const auto &[id, count] : tasksOn) {
        Resources room = m_pool.find(id)->free();
        for (const RunRef &ref : m_runsOn[id]) {
            const Located run = locate(ref);
            if (run.unit->abandoned || run.unit->done || stopped.contains(run.unit)) {
                room += claimOf(*run.job, *run.unit);
            }
        }
        Resources need;
        for (std::uint32_t i = 0; i < count; ++i) {
            need += batch::claimOf(step);
        }
        std::vector<Victim> &candidates = victims[id];
        std::sort(candidates.begin(), candidates.end(), [](const Victim &left, const Victim &right) {
            return left.cost < right.cost;
        });
        for (const Victim &victim : candidates) {
            if (need.fitsIn(room)) {
                break;
            }
            if (!stopped.insert(victim.run.unit).second) {
                continue;
            }
            for (const Member &member : victim.run.unit->members) {
                if (member.worker == id && member.phase != RunPhase::Gone) {
                    room += victim.room;
                }
            }
            lost += victim.cost;
            evictions.push_back(
                {taskOf(*victim.run.job, *victim.run.occurrence, *victim.run.unit, 0), job.spec.id, victim.cost});
        }
        if (!need.fitsIn(room)) {
            return false;
        }
    }
    const double needed = detail::coresOf(step.need) * tasks
        * std::chrono::duration<double>(m_estimates.expected(job.spec.queue, step)).count();
    if (!guaranteed && lost > detail::evictionShare * needed) {
        return false;
    }
    for (Unit *unit : stopped) {
        abandon(*unit);
    }
    decision.evictions.insert(decision.evictions.end(), evictions.begin(), evictions.end());
    std::size_t next = 0;
    for (Unit *unit : waiting) {
        const std::size_t size = step.gang ? tasks : 1;
        const std::vector<WorkerId> workers(chosen->begin() + static_cast<std::ptrdiff_t>(next),
                                            chosen->begin() + static_cast<std::ptrdiff_t>(next + size));
        next += size;
        assign(job, *ready.occurrence, *unit, workers, RunPhase::Reserved, now);
    }
    return true;
}

} // namespace heatherquay::state::batch
