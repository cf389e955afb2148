#include "heatherquay/state/batch/placement.hpp"

#include <algorithm>
#include <limits>

namespace heatherquay::state::batch
{

namespace detail
{

// Weights of the placement score. The worker with the lowest score is chosen.
constexpr double leftoverAcceleratorWeight = 1.0; // Per free accelerator left on the worker; keeps idle workers whole.
constexpr double leftoverCpuWeight = 0.5; // When all CPUs of the worker would stay free; proportional below.
// For mixing tasks with and without checkpoints on a worker; equals three free accelerators.
constexpr double mixedCheckpointingWeight = 3.0;
// Bonus for a worker that takes twice the usual time and still meets the deadline; equals the eight accelerators of a
// whole worker.
constexpr double slowWorkerBonus = 8.0;
// Assumed of a worker whose speed is not measured yet, between a normal and a slow one.
constexpr double unmeasuredSlowness = 1.2;
constexpr double observationsWanted = 3; // With fewer, the speed of a worker counts as unknown.
constexpr double avoidedWorkerPenalty = 1'000.0; // The worker of the last failure is the last resort.
constexpr double quarantinePenalty = 500.0; // Such a worker comes last, but before the one of the last failure.
constexpr double interferencePenalty = 250.0; // Sharing a worker comes before one that may fail the run.
// A worker that is cold comes after all that are warm, whatever else is preferred; equals 200 core-seconds of lost
// work.
constexpr double coldPenalty = 20.0;
constexpr double lostWorkWeight = 0.1; // Per core-second of work lost by eviction.

std::uint32_t copiesThatFit(const Resources &need, const Resources &available)
{
    std::int64_t copies = std::numeric_limits<std::uint32_t>::max();
    const auto bound = [&copies](std::int64_t requested, std::int64_t free) {
        if (requested > 0) {
            copies = std::min(copies, std::max<std::int64_t>(free, 0) / requested);
        }
    };
    bound(need.cpuMillicores, available.cpuMillicores);
    bound(need.memoryMegabytes, available.memoryMegabytes);
    bound(need.accelerators, available.accelerators);
    return static_cast<std::uint32_t>(copies);
}

/// Best-effort tasks raise the response times of tasks with a latency bound.
bool interferes(const StepSpec &step, const Worker &worker)
{
    return (step.bestEffort && worker.latencyBoundRuns > 0)
        || (step.tailLatencyTarget.count() > 0 && worker.bestEffortRuns > 0);
}

/// @return the part of a worker's placement score that depends on its speed
double slownessScore(const Worker &worker, const PlacementRequest &request)
{
    // Urgent tasks have no time to find out that a worker is slow.
    const bool doubtful = request.urgent && !worker.slownessMeasured;
    const double slowness = doubtful ? std::max(worker.slowness, unmeasuredSlowness) : worker.slowness;
    const double excess = std::clamp(slowness - 1, -0.5, 1.5);
    return slowness <= request.deadlineSlowness ? -slowWorkerBonus * excess : request.slownessWeight * excess;
}

bool needsSingleRack(const StepSpec &step)
{
    return step.gang && step.sameRack;
}

} // namespace detail

Resources allocationOf(const StepSpec &step)
{
    Resources allocation = step.need;
    if (step.bestEffort) {
        allocation.cpuMillicores = 0;
    }
    return allocation;
}

Placement::Placement(const WorkerPool &pool, Instant now, std::uint64_t *examined)
    : m_pool(pool)
    , m_now(now)
    , m_examined(examined)
{
}

void Placement::noteExamined(std::size_t workers) const
{
    if (m_examined != nullptr) {
        *m_examined += workers;
    }
}

/// Finds the entries of ascending worker ids without a search for each of them.
class Placement::ReclaimableCursor
{
public:
    /// @param resources may be null
    explicit ReclaimableCursor(const std::map<WorkerId, ReclaimableResources> *resources)
        : m_resources(resources)
    {
        if (m_resources != nullptr) {
            m_next = m_resources->begin();
        }
    }

    /// @param id higher than in the call before
    /// @return the entry of the worker; null when it has none
    const ReclaimableResources *find(const WorkerId &id)
    {
        if (m_resources == nullptr) {
            return nullptr;
        }
        while (m_next != m_resources->end() && m_next->first < id) {
            ++m_next;
        }
        return m_next != m_resources->end() && m_next->first == id ? &m_next->second : nullptr;
    }

private:
    const std::map<WorkerId, ReclaimableResources> *m_resources;
    std::map<WorkerId, ReclaimableResources>::const_iterator m_next;
};

Placement::Candidates Placement::candidates(const PlacementRequest &request,
                                            const std::map<WorkerId, ReclaimableResources> *reclaimable) const
{
    Candidates found;
    noteExamined(m_pool.all().size());
    const StepSpec &step = *request.step;
    const Resources allocation = allocationOf(step);
    ReclaimableCursor cursor(reclaimable);
    for (const auto &[id, worker] : m_pool.all()) {
        const ReclaimableResources *evictable = cursor.find(id);
        Candidate candidate{&worker, worker.free(), std::numeric_limits<std::uint32_t>::max()};
        candidate.reclaimable = evictable;
        if (evictable != nullptr) {
            candidate.available += evictable->pendingRelease;
        }
        // Rules out most workers of a busy pool without comparing texts.
        if (!allocation.fitsIn(availableAtMost(candidate))) {
            continue;
        }
        const bool accepts = m_pool.acceptsRuns(worker, m_now);
        const bool usable = request.anyPlace ? WorkerPool::isUsable(worker) : accepts;
        const bool kept = worker.keptForUrgent && !request.usesKept && !(step.gang && worker.lentToGangs);
        if (worker.spec.service != request.service || !usable || kept
            || (!step.requiredLabel.empty() && !worker.hasLabel(step.requiredLabel))
            || worker.slowness > request.slownessMax || (!request.anyPlace && detail::interferes(step, worker))
            || (request.tickets != nullptr && !request.tickets->contains(id))
            || (request.reservedRacks != nullptr && request.reservedRacks->contains(worker.spec.rack))) {
            continue;
        }
        candidate.avoided = id == request.avoided;
        candidate.quarantined = !accepts;
        if (step.tasksPerWorkerMax > 0) {
            const auto there = request.stepTasks.find(id);
            const std::uint32_t running = there == request.stepTasks.end() ? 0 : there->second;
            candidate.tasksLeft = running >= step.tasksPerWorkerMax ? 0 : step.tasksPerWorkerMax - running;
        }
        if (candidate.tasksLeft > 0) {
            found.push_back(candidate);
        }
    }
    return found;
}

Resources Placement::availableAtMost(const Candidate &candidate)
{
    Resources available = candidate.available;
    if (candidate.reclaimable != nullptr) {
        for (const EvictableRuns &run : candidate.reclaimable->runs) {
            available += run.freed;
        }
    }
    return available;
}

std::optional<Placement::Eviction> Placement::planEviction(const Candidate &candidate, const Resources &allocation,
                                                           const std::vector<const Unit *> &plannedVictims)
{
    const auto isEvicted = [&plannedVictims](const Unit *unit) {
        return std::find(plannedVictims.begin(), plannedVictims.end(), unit) != plannedVictims.end();
    };
    Eviction eviction;
    eviction.available = candidate.available;
    if (candidate.reclaimable == nullptr) {
        return allocation.fitsIn(eviction.available) ? std::optional(eviction) : std::nullopt;
    }
    std::vector<const EvictableRuns *> chosen;
    for (const EvictableRuns &run : candidate.reclaimable->runs) {
        if (isEvicted(run.unit)) {
            eviction.available += run.freed;
        }
    }
    for (const EvictableRuns &run : candidate.reclaimable->runs) {
        if (allocation.fitsIn(eviction.available)) {
            break;
        }
        if (!isEvicted(run.unit)) {
            eviction.available += run.freed;
            chosen.push_back(&run);
        }
    }
    if (!allocation.fitsIn(eviction.available)) {
        return std::nullopt;
    }
    for (std::size_t i = chosen.size(); i-- > 0;) {
        Resources without = eviction.available;
        without -= chosen[i]->freed;
        if (allocation.fitsIn(without)) {
            eviction.available = without;
            continue;
        }
        eviction.cost += chosen[i]->cost;
        eviction.units.push_back(chosen[i]->unit);
    }
    return eviction;
}

std::optional<Placement::Offer> Placement::offerOf(const Candidate &candidate, const PlacementRequest &request,
                                                   const std::vector<const Unit *> &plannedVictims) const
{
    const Resources allocation = allocationOf(*request.step);
    auto eviction = candidate.tasksLeft == 0 ? std::nullopt : planEviction(candidate, allocation, plannedVictims);
    if (!eviction) {
        return std::nullopt;
    }
    Resources left = eviction->available;
    left -= allocation;
    const Worker &worker = *candidate.worker;
    double score = detail::leftoverAcceleratorWeight * static_cast<double>(std::max<std::int64_t>(left.accelerators, 0))
        + detail::leftoverCpuWeight * static_cast<double>(std::max<std::int64_t>(left.cpuMillicores, 0))
            / static_cast<double>(std::max<std::int64_t>(worker.spec.capacity.cpuMillicores, 1));
    score += detail::slownessScore(worker, request);
    if (worker.speed.observations() < detail::observationsWanted) {
        score -= request.unknownSpeedBonus;
    }
    // Tasks without checkpoints share workers, so that other workers can be preempted without losing work.
    const bool besideUncheckpointed = worker.uncheckpointedRuns > 0;
    if (!request.urgent && besideUncheckpointed == request.step->savesProgress) {
        score += detail::mixedCheckpointingWeight;
    }
    if (candidate.avoided) {
        score += detail::avoidedWorkerPenalty;
    }
    if (worker.isCold(m_now)) {
        score += detail::coldPenalty;
    }
    if (candidate.quarantined) {
        score += detail::quarantinePenalty;
    }
    if (detail::interferes(*request.step, worker)) {
        score += detail::interferencePenalty;
    }
    if (!eviction->units.empty()) {
        score += detail::lostWorkWeight * eviction->cost + 1;
    }
    return Offer{score, std::move(eviction->units)};
}

bool Placement::losesRun(const Candidate &candidate, const std::vector<const Unit *> &victims)
{
    return candidate.reclaimable != nullptr
        && std::any_of(candidate.reclaimable->runs.begin(), candidate.reclaimable->runs.end(),
                       [&victims](const EvictableRuns &run) {
                           return std::find(victims.begin(), victims.end(), run.unit) != victims.end();
                       });
}

std::optional<PlacementWithEviction> Placement::placeTasks(Candidates pool, const PlacementRequest &request,
                                                           double &cost) const
{
    const Resources allocation = allocationOf(*request.step);
    PlacementWithEviction chosen;
    chosen.workers.reserve(request.tasks);
    cost = 0;
    // An offer changes only when its worker takes a task or one of its runs is chosen as a victim.
    std::vector<std::optional<Offer>> offers;
    offers.reserve(pool.size());
    for (const Candidate &candidate : pool) {
        offers.push_back(offerOf(candidate, request, {}));
    }
    noteExamined(pool.size());
    for (std::uint32_t task = 0; task < request.tasks; ++task) {
        std::size_t best = pool.size();
        for (std::size_t i = 0; i < pool.size(); ++i) {
            if (offers[i] && (best == pool.size() || offers[i]->score < offers[best]->score)) {
                best = i;
            }
        }
        if (best == pool.size()) {
            break;
        }
        const std::vector<const Unit *> victims = std::move(offers[best]->victims);
        cost += offers[best]->score;
        pool[best].available -= allocation;
        --pool[best].tasksLeft;
        chosen.workers.push_back(pool[best].worker->spec.id);
        chosen.evictedUnits.insert(chosen.evictedUnits.end(), victims.begin(), victims.end());
        for (std::size_t i = 0; i < pool.size(); ++i) {
            if (i == best || (!victims.empty() && losesRun(pool[i], victims))) {
                offers[i] = offerOf(pool[i], request, chosen.evictedUnits);
            }
        }
    }
    return chosen.workers.size() >= std::max(request.tasksMin, 1U) ? std::optional(chosen) : std::nullopt;
}

std::uint32_t Placement::idleTaskCapacity(const Candidates &pool, const PlacementRequest &request)
{
    std::uint64_t fit = 0;
    for (const Candidate &candidate : pool) {
        const Resources &whole = candidate.worker->spec.capacity;
        fit += std::min(candidate.tasksLeft, detail::copiesThatFit(allocationOf(*request.step), whole));
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(fit, std::numeric_limits<std::uint32_t>::max()));
}

std::map<std::string, Placement::Candidates> Placement::workersByRack(const PlacementRequest &request) const
{
    // Current use is ignored: a gang waits for a busy rack that is large enough, but not for one that is too small.
    std::map<std::string, Candidates> racks;
    const StepSpec &step = *request.step;
    for (const auto &[id, worker] : m_pool.all()) {
        if (worker.spec.service == request.service && worker.registered && !worker.spec.draining && !worker.evacuated
            && (step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel))) {
            const std::uint32_t tasksMax
                = step.tasksPerWorkerMax > 0 ? step.tasksPerWorkerMax : std::numeric_limits<std::uint32_t>::max();
            racks[worker.spec.rack].push_back({&worker, {}, tasksMax});
        }
    }
    return racks;
}

std::string Placement::rackToReserve(const PlacementRequest &request,
                                     const std::map<WorkerId, double> &remainingWork) const
{
    std::string best;
    double least = std::numeric_limits<double>::max();
    for (const auto &[rack, workers] : workersByRack(request)) {
        const bool allowed = request.step->dataRack.empty() || request.step->dataRack == rack;
        const bool reserved = request.reservedRacks != nullptr && request.reservedRacks->contains(rack);
        if (!allowed || reserved || idleTaskCapacity(workers, request) < request.tasksMin) {
            continue;
        }
        double left = 0;
        for (const Candidate &candidate : workers) {
            const auto found = remainingWork.find(candidate.worker->spec.id);
            left += found == remainingWork.end() ? 0 : found->second;
        }
        if (left < least) {
            least = left;
            best = rack;
        }
    }
    return best;
}

std::optional<PlacementWithEviction> Placement::chooseWorkers(const PlacementRequest &request,
                                                              const Candidates &pool) const
{
    const StepSpec &step = *request.step;
    const bool prefersOneRack = !request.anyPlace && (detail::needsSingleRack(step) || !step.dataRack.empty());
    if (!prefersOneRack) {
        double cost = 0;
        return placeTasks(pool, request, cost);
    }
    const std::map<std::string, Candidates> byRack = workersByRack(request);
    const auto rackCanHold = [&](const std::string &rack) {
        const auto found = byRack.find(rack);
        return found != byRack.end() && idleTaskCapacity(found->second, request) >= request.tasksMin;
    };
    const auto candidatesIn = [&](const std::string &rack) {
        Candidates subset;
        std::copy_if(pool.begin(), pool.end(), std::back_inserter(subset), [&](const Candidate &candidate) {
            return candidate.worker->spec.rack == rack;
        });
        return subset;
    };
    double cost = 0;
    if (!step.dataRack.empty() && rackCanHold(step.dataRack)) {
        return placeTasks(candidatesIn(step.dataRack), request, cost);
    }
    if (!detail::needsSingleRack(step)) {
        return placeTasks(pool, request, cost);
    }
    bool anyRackCanHold = false;
    std::optional<PlacementWithEviction> best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto &[rack, workers] : byRack) {
        if (!rackCanHold(rack)) {
            continue;
        }
        anyRackCanHold = true;
        const auto chosen = placeTasks(candidatesIn(rack), request, cost);
        if (chosen && cost < bestCost) {
            best = chosen;
            bestCost = cost;
        }
    }
    return anyRackCanHold ? best : placeTasks(pool, request, cost);
}

std::optional<std::vector<WorkerId>> Placement::find(const PlacementRequest &request) const
{
    auto chosen = chooseWorkers(request, candidates(request, nullptr));
    return chosen ? std::optional(std::move(chosen->workers)) : std::nullopt;
}

std::optional<PlacementWithEviction>
Placement::findWithEviction(const PlacementRequest &request,
                            const std::map<WorkerId, ReclaimableResources> &reclaimable) const
{
    return chooseWorkers(request, candidates(request, &reclaimable));
}

} // namespace heatherquay::state::batch
