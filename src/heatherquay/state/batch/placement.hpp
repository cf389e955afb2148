#pragma once

#include "heatherquay/state/batch/unit.hpp"
#include "heatherquay/state/batch/worker_pool.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

namespace heatherquay::state::batch
{

/// Tasks to place and the workers they may use.
struct PlacementRequest
{
    const StepSpec *step{};
    std::string service;
    std::uint32_t tasks{1};
    std::size_t tasksMax{std::numeric_limits<std::size_t>::max()}; ///< Most single tasks to place in this pass.
    std::uint32_t tasksMin{1}; ///< Placement fails when fewer tasks fit. Equals tasks for a gang.
    WorkerId avoided; ///< Worker to use only when no other fits.
    /// Number of tasks of the step on each worker; set only when the step has tasksPerWorkerMax.
    std::map<WorkerId, std::uint32_t> stepTasks;
    double slownessWeight{}; ///< Score penalty for a worker that takes twice the usual time.
    /// Largest slowness at which a worker still meets the deadline. The slowest such workers are preferred, so that
    /// fast ones stay free for other work. 0 always prefers fast workers.
    double deadlineSlowness{};
    /// Score bonus for a worker of unknown speed, so that its speed is known before urgent work needs it.
    double unknownSpeedBonus{};
    bool urgent{};
    bool usesKept{}; ///< Uses workers that are kept for urgent jobs.
    double slownessMax{std::numeric_limits<double>::max()}; ///< Slower workers are excluded.
    const std::map<WorkerId, std::string> *tickets{}; ///< Only these workers may be used; null allows any.
    /// Uses racks other than the preferred one, and, where no other fits, workers in quarantine and those on which
    /// best-effort tasks and tasks with a latency bound come together.
    bool anyPlace{};
    const std::set<std::string> *reservedRacks{}; ///< Racks reserved for other gangs; null for none.
};

/// Runs of one unit on one worker that can be evicted.
struct EvictableRuns
{
    Resources freed; ///< Resources freed on this worker.
    double cost{}; ///< Eviction cost of the whole unit, based on core-seconds of lost work.
    const Unit *unit{}; ///< All runs of the unit stop together, so its cost counts once for all workers.
};

/// Resources that one worker can free.
struct ReclaimableResources
{
    Resources pendingRelease; ///< Resources of runs that are already stopping.
    std::vector<EvictableRuns> runs; ///< In ascending order of cost.
};

/// A placement and the evictions it needs.
struct PlacementWithEviction
{
    std::vector<WorkerId> workers; ///< One entry per placed task.
    std::vector<const Unit *> evictedUnits;
};

/// Chooses workers for the tasks of a step.
class Placement
{
public:
    /// @param examined incremented by the number of workers examined; may be null
    Placement(const WorkerPool &pool, Instant now, std::uint64_t *examined = nullptr);

    /// Places tasks on resources that are free now.
    /// A gang with sameRack is placed within one rack, unless every rack is too small for it.
    /// @return one worker per placed task, or std::nullopt when fewer than tasksMin tasks fit
    std::optional<std::vector<WorkerId>> find(const PlacementRequest &request) const;

    /// Like find(), but may also evict runs. Prefers evictions of low cost.
    /// @param reclaimable the resources that each worker can free
    std::optional<PlacementWithEviction>
    findWithEviction(const PlacementRequest &request,
                     const std::map<WorkerId, ReclaimableResources> &reclaimable) const;

    /// Chooses a rack to reserve for a gang that does not fit now.
    /// @param remainingWork core-seconds of work left on each worker
    /// @return the large enough rack with the least work left; empty when there is none
    std::string rackToReserve(const PlacementRequest &request, const std::map<WorkerId, double> &remainingWork) const;

private:
    struct Candidate
    {
        const Worker *worker{};
        Resources available; ///< Free resources, including those of runs that are already stopping.
        std::uint32_t tasksLeft{}; ///< Further tasks that tasksPerWorkerMax allows.
        bool avoided{};
        bool quarantined{};
        const ReclaimableResources *reclaimable{};
    };
    using Candidates = std::vector<Candidate>;
    /// The evictions that make one task fit on a worker.
    struct Eviction
    {
        Resources available; ///< Free resources after the evictions.
        double cost{}; ///< Total cost of evicting units.
        std::vector<const Unit *> units; ///< Units to evict.
    };

    /// The best way to place one task on a candidate.
    struct Offer
    {
        double score{}; ///< Lower is better.
        std::vector<const Unit *> victims; ///< Units to evict.
    };

    /// @return the candidate's offer; nothing when the task does not fit
    std::optional<Offer> offerOf(const Candidate &candidate, const PlacementRequest &request,
                                 const std::vector<const Unit *> &plannedVictims) const;
    /// @return whether one of the victims has runs on the candidate
    static bool losesRun(const Candidate &candidate, const std::vector<const Unit *> &victims);
    /// @return the workers that can run the step, by rack, whatever they run at present
    std::map<std::string, Candidates> workersByRack(const PlacementRequest &request) const;
    class ReclaimableCursor;
    Candidates candidates(const PlacementRequest &request,
                          const std::map<WorkerId, ReclaimableResources> *reclaimable) const;
    /// @return the free resources of the candidate after the eviction of all runs that can be evicted
    static Resources availableAtMost(const Candidate &candidate);
    /// Selects victims in ascending order of cost until @p allocation fits, then drops those that are not needed.
    /// @param plannedVictims units whose eviction is already planned for other tasks
    /// @return std::nullopt when the task does not fit even after all evictions
    static std::optional<Eviction> planEviction(const Candidate &candidate, const Resources &allocation,
                                                const std::vector<const Unit *> &plannedVictims);
    /// Places the tasks one by one, each on the worker with the lowest score.
    /// @param cost set to the sum of the scores
    std::optional<PlacementWithEviction> placeTasks(Candidates pool, const PlacementRequest &request,
                                                    double &cost) const;
    std::optional<PlacementWithEviction> chooseWorkers(const PlacementRequest &request, const Candidates &pool) const;
    /// @return how many tasks of the step fit on the workers when they are idle
    static std::uint32_t idleTaskCapacity(const Candidates &pool, const PlacementRequest &request);

    void noteExamined(std::size_t workers) const;

    const WorkerPool &m_pool;
    Instant m_now;
    std::uint64_t *m_examined;
};

/// @return the resources that one task of the step is allocated on a worker; a best-effort task gets no CPU
Resources allocationOf(const StepSpec &step);

} // namespace heatherquay::state::batch
