// Best-effort runs beside runs with a latency target.

#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr std::uint32_t paceMax = 100;

} // namespace detail

void Scheduler::adaptSharingPace(Worker &worker, Instant now)
{
    if (worker.latencyBoundRuns == 0 || worker.bestEffortRuns == 0) {
        worker.sharingPace = 0; // Runs that meet start to share at the lowest pace.
        return;
    }
    double pressure = 0; // Highest response time relative to its target.
    for (const RunRef &ref : m_runsOn[worker.spec.id]) {
        const RunLocation run = findRun(ref);
        const Duration target = stepOf(*run.job, *run.unit).tailLatencyTarget;
        if (target.count() > 0 && run.member->reportedAt == now) {
            pressure = std::max(pressure, static_cast<double>(run.member->usage) / static_cast<double>(target.count()));
        }
    }
    if (now < worker.sharingPaceChangedAt + m_settings.paceSettleTime) {
        return;
    }
    const std::uint32_t before = worker.sharingPace;
    if (pressure > 1) {
        const auto lower = static_cast<std::uint32_t>(m_settings.paceDecrease * before);
        worker.sharingPace = lower < m_settings.paceMin ? 0 : lower;
    } else if (pressure < m_settings.paceHeadroom) {
        worker.sharingPace = std::min(before + m_settings.paceIncrease, detail::paceMax);
    }
    if (worker.sharingPace != before) {
        worker.sharingPaceChangedAt = now;
    }
}

void Scheduler::emitPaces(const Worker &worker, const std::set<RunRef> &runs, Decision &decision, Instant now) const
{
    const std::uint32_t percent = worker.latencyBoundRuns > 0 ? worker.sharingPace : detail::paceMax;
    for (const RunRef &ref : runs) {
        const RunLocation run = findRun(ref);
        Member &member = *run.member;
        const bool paced = stepOf(*run.job, *run.unit).bestEffort && member.phase == RunPhase::Running
            && !run.unit->stopping && member.pace != percent;
        const bool due = !member.pacePending
            && (member.paceTriedAt == Instant{} || now >= member.paceTriedAt + m_settings.stopRetry);
        if (paced && due) {
            member.pacePending = true;
            decision.paces.push_back(
                {taskOf(*run.job, *run.occurrence, *run.unit, ref.member), run.unit->run, worker.spec.id, percent});
        }
    }
}

void Scheduler::paceAnswered(const PaceOrder &order, bool answered, Instant now)
{
    const RunLocation located = findRun(order.task, order.run);
    if (located.member == nullptr) {
        return;
    }
    located.member->pacePending = false;
    located.member->paceTriedAt = answered ? Instant{} : now;
    if (answered) {
        located.member->pace = order.percent;
    }
}

} // namespace heatherquay::state::batch
