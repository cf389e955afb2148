#include "promises/capacity_check.hpp"

#include <algorithm>

namespace heatherquay::test
{

using namespace state::batch;
using state::Duration;
using state::Instant;

namespace detail
{

constexpr Duration waitMax{3'000}; // Of work beside free capacity.
constexpr Duration calmBefore{4'000}; // Without a disruption before that time.
constexpr Duration afterLastRun{6'000}; // Of a lasting task.
constexpr double usedShareMax = 0.5; // Below which the rule holds for all work.
constexpr Duration finishTime{14'000}; // After the end of the traffic and its disruptions, jobs are asked for.
constexpr std::int64_t coresPerAccelerator = 8;

/// @return the capacity that a task takes; the CPU of best-effort tasks does not count
Resources taken(const StepSpec &step)
{
    return {step.bestEffort ? 0 : step.need.cpuMillicores, step.need.memoryMegabytes, step.need.accelerators};
}

double cores(const Resources &resources)
{
    return static_cast<double>(resources.cpuMillicores) / 1'000
        + static_cast<double>(coresPerAccelerator * resources.accelerators);
}

} // namespace detail

std::uint32_t CapacityCheck::copiesThatFit(const StepSpec &step, std::uint32_t most) const
{
    std::uint32_t copies = 0;
    for (const auto &[id, worker] : m_pool.workers()) {
        const auto &labels = worker.spec.labels;
        const bool labelled
            = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        if (!labelled || worker.spec.draining || worker.unreachable || worker.gone) {
            continue;
        }
        Resources used;
        std::uint32_t ofStep = 0;
        for (const SimulatedRun &run : m_pool.runs()) {
            if (run.worker == id) {
                used += detail::taken(m_pool.stepOf(run.task));
                ofStep += &m_pool.stepOf(run.task) == &step ? 1 : 0;
            }
        }
        const std::uint32_t allowed = step.tasksPerWorkerMax == 0 ? most : step.tasksPerWorkerMax;
        while (copies < most && ofStep < allowed) {
            used += detail::taken(step);
            if (!used.fitsIn(worker.spec.capacity)) {
                break;
            }
            ++copies;
            ++ofStep;
        }
    }
    return copies;
}

double CapacityCheck::usedShare() const
{
    double whole = 0;
    for (const auto &[id, worker] : m_pool.workers()) {
        whole += worker.gone ? 0 : detail::cores(worker.spec.capacity);
    }
    double used = 0;
    for (const SimulatedRun &run : m_pool.runs()) {
        used += detail::cores(detail::taken(m_pool.stepOf(run.task)));
    }
    return whole > 0 ? used / whole : 1;
}

bool CapacityCheck::calmFor(Duration time) const
{
    return m_disturbedAt == Instant{} || m_pool.now() >= m_disturbedAt + time;
}

void CapacityCheck::note(const std::string &name, bool waits)
{
    if (!waits) {
        m_waitingSince.erase(name);
        return;
    }
    const auto [position, added] = m_waitingSince.try_emplace(name, m_pool.now());
    if (m_pool.now() - position->second >= detail::waitMax && position->second != Instant::max()) {
        violations.push_back(name + " waits beside free capacity, " + std::to_string(usedShare()) + " in use, at "
                             + std::to_string(m_pool.now().time_since_epoch().count()));
        position->second = Instant::max(); // Reported once.
    }
}

void CapacityCheck::observeLastingTasks(const JobSpec &job)
{
    for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
        const StepSpec &step = m_pool.stepOf({job.id, 0, number, 0});
        if (!step.perpetual) {
            continue;
        }
        const bool fits
            = copiesThatFit(step, 2 * (step.gang ? step.taskCount : 1)) >= 2 * (step.gang ? step.taskCount : 1);
        for (std::uint32_t index = 0; index < step.taskCount; ++index) {
            const TaskId task{job.id, 0, number, index};
            const bool runs = m_pool.runs(task);
            auto &lastRunAt = m_lastRunAt.try_emplace(task, m_pool.now()).first->second;
            lastRunAt = runs ? m_pool.now() : lastRunAt;
            note(toString(task),
                 !runs && fits && calmFor(detail::calmBefore) && m_pool.now() >= lastRunAt + detail::afterLastRun);
        }
    }
}

void CapacityCheck::observeJob(const JobSpec &job, double used)
{
    bool runs = false;
    bool waits = false;
    for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
        const StepSpec &step = m_pool.stepOf({job.id, 0, number, 0});
        const bool ready = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::uint32_t before) {
            return m_pool.done(job.id, before);
        });
        const std::uint32_t tasks = step.gang ? step.taskCount : 1;
        for (std::uint32_t index = 0; index < step.taskCount; ++index) {
            runs = runs || m_pool.runs({job.id, 0, number, index});
        }
        const bool turn = ready && (step.perpetual || !m_pool.done(job.id, number));
        waits = waits || (turn && copiesThatFit(step, 2 * tasks) >= 2 * tasks);
    }
    note(job.id.value, !runs && waits && used < detail::usedShareMax && calmFor(detail::finishTime));
}

void CapacityCheck::observe()
{
    const double used = usedShare();
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(m_pool.stateOf(id))) {
            m_waitingSince.erase(id.value);
            continue;
        }
        observeLastingTasks(job);
        observeJob(job, used);
    }
}

} // namespace heatherquay::test
