// Evacuation of failure domains: nothing is started on their workers, and what runs there goes on.

#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <vector>

namespace heatherquay::state::batch
{

void Scheduler::setEvacuatedDomains(const std::set<FailureDomainId> &domains, Instant now)
{
    const std::vector<WorkerId> changed = m_pool.setEvacuatedDomains(domains, now);
    for (const WorkerId &id : changed) {
        const Worker *worker = m_pool.find(id);
        if (worker == nullptr || !worker->evacuated) {
            continue;
        }
        const std::set<RunRef> runs = m_runsOn[id];
        for (const RunRef &ref : runs) {
            withdrawStart(findRun(ref));
        }
    }
}

void Scheduler::withdrawStart(const RunLocation &run)
{
    Unit &unit = *run.unit;
    // An order on its way has been sent before, and its answer decides what follows.
    const bool unsent = run.member->phase == RunPhase::Reserved || run.member->phase == RunPhase::Planned;
    const bool unanswered = run.member->phase == RunPhase::Uncertain;
    if ((unsent || unanswered) && !unit.stopping && !unit.done) {
        stopUnit(unit, StopReason::Withdrawn);
        run.occurrence->changed = true;
    }
}

std::uint32_t Scheduler::runsInEvacuatedDomains() const
{
    std::uint32_t runs = 0;
    for (const auto &[id, worker] : m_pool.all()) {
        runs += worker.evacuated ? worker.runs : 0;
    }
    return runs;
}

} // namespace heatherquay::state::batch
