// Division of resources between teams.

#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace heatherquay::state::batch
{

void Scheduler::orderByTeamShares(std::vector<ReadyStep> &ready, Instant wall)
{
    if (!m_teamShares.enabled()) {
        return;
    }
    std::map<TeamId, Resources> held = heldBeyondGuarantees();
    for (const ReadyStep &step : ready) {
        held.try_emplace(step.job->spec.team);
    }
    Resources capacity;
    for (const auto &[id, worker] : m_pool.all()) {
        if (worker.registered) {
            capacity += worker.spec.capacity;
        }
    }
    m_teamShares.charge(held, capacity, wall);
    std::map<TeamId, Resources> ahead;
    std::map<std::pair<std::uint32_t, Lateness>, std::vector<std::size_t>> classes;
    std::vector<std::uint32_t> ranks;
    ranks.reserve(ready.size());
    for (std::size_t i = 0; i < ready.size(); ++i) {
        const ReadyStep &step = ready[i];
        const StepSpec &spec = step.job->spec.steps[step.step];
        const std::size_t tasks = spec.gang ? spec.taskCount : step.units.size();
        const TeamId &team = step.job->spec.team;
        classes[{step.priority, step.lateness}].push_back(i);
        if (step.priority == 0 && withinGuarantee(*step.job, spec, tasks)) {
            ranks.push_back(0);
            continue;
        }
        ranks.push_back(m_teamShares.rank(team, ahead[team]));
        const Resources need = batch::allocationOf(spec);
        const auto count = static_cast<std::int64_t>(tasks);
        ahead[team] += {need.cpuMillicores * count, need.memoryMegabytes * count, need.accelerators * count};
    }
    std::vector<ReadyStep> ordered(ready.size());
    for (const auto &[key, positions] : classes) {
        std::vector<std::size_t> sorted = positions;
        std::stable_sort(sorted.begin(), sorted.end(), [&ranks](std::size_t left, std::size_t right) {
            return ranks[left] < ranks[right];
        });
        for (std::size_t i = 0; i < positions.size(); ++i) {
            ordered[positions[i]] = std::move(ready[sorted[i]]);
        }
    }
    ready = std::move(ordered);
}

std::map<TeamId, Resources> Scheduler::heldBeyondGuarantees() const
{
    std::map<TeamId, Resources> held;
    std::map<TeamId, Resources> urgent;
    for (const auto &[id, runs] : m_runsOn) {
        for (const RunRef &ref : runs) {
            const bool isUrgent = ref.job->policy.priority == 0;
            (isUrgent ? urgent : held)[ref.job->spec.team] += allocationOf(*ref.job, *ref.unit);
        }
    }
    for (const auto &[team, resources] : urgent) {
        // A guarantee counts accelerators; the share of the team's accelerators beyond it holds for cores and memory.
        const auto guarantee = m_guarantees.find(team);
        const std::int64_t covered = guarantee == m_guarantees.end() ? 0 : guarantee->second;
        const std::int64_t beyond = std::max<std::int64_t>(resources.accelerators - covered, 0);
        const double share = resources.accelerators == 0
            ? 1
            : static_cast<double>(beyond) / static_cast<double>(resources.accelerators);
        held[team] += {static_cast<std::int64_t>(share * static_cast<double>(resources.cpuMillicores)),
                       static_cast<std::int64_t>(share * static_cast<double>(resources.memoryMegabytes)), beyond};
    }
    return held;
}

} // namespace heatherquay::state::batch
