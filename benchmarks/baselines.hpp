#pragma once

#include "free_accelerators.hpp"

#include "heatherquay/state/commands.hpp"
#include "heatherquay/state/events.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heatherquay::benchmarks
{

enum class QueueDiscipline
{
    InOrder, ///< First fit in arrival order: the first job that does not fit blocks all later ones.
    /// Like InOrder, but a later job may start if, by the declared run times, it does not delay the first one.
    InOrderBackfill,
    BestFit ///< Best fit in arrival order: each job that fits starts where it leaves the fewest accelerators free.
};

/// Baseline policy for comparisons. It trusts declared run times, ignores guarantees, quotas and speeds, and never
/// preempts. A job avoids the workers on which it has failed and is parked after failures on several workers.
class QueuePolicy
{
public:
    explicit QueuePolicy(QueueDiscipline discipline);

    /// Has the same contract as state::Cluster::apply().
    std::vector<state::Command> apply(const state::Event &event, state::Instant now);

private:
    struct QueuedJob
    {
        state::JobSpec spec;
        std::uint64_t order{};
        state::Fence fence;
        std::vector<state::Placement> placements;
        state::Instant startedAt;
        std::set<state::WorkerId> failedOn;
        bool cancelled{};
        bool stopping{};
    };

    void handle(const state::Event &event);
    void submit(const state::JobSpec &spec);
    void cancel(const state::JobId &id);
    void handleWorkerLoss(const state::WorkerId &id);
    void stop(QueuedJob &job);
    void release(const state::JobId &id, const state::Fence &fence, bool finished);
    void handleFailure(const state::JobId &id, const state::Fence &fence,
                       const std::optional<state::WorkerId> &failedWorker);
    void schedule(state::Instant now);
    void backfill(const QueuedJob &head, std::vector<std::uint64_t> &laterOrders, state::Instant now);
    std::optional<std::vector<state::Placement>> findPlacement(const QueuedJob &job);
    void setUsable(const state::WorkerId &worker, bool usable);
    void start(QueuedJob &job, std::vector<state::Placement> placements, state::Instant now);

    QueueDiscipline m_discipline;
    Fit m_fit;
    FreeAccelerators m_free;
    FreeAccelerators m_hardware; ///< All accelerators are free, so a search tells whether a shape fits at all.
    std::map<state::JobId, QueuedJob> m_jobs;
    std::map<std::uint64_t, state::JobId> m_waiting; ///< Ordered by arrival.
    std::set<state::JobId> m_running;
    std::map<state::WorkerId, bool> m_lost;
    std::map<state::WorkerId, bool> m_draining;
    std::uint64_t m_nextOrder{};
    std::uint64_t m_nextFence{1};
    std::vector<state::Command> m_commands;
};

} // namespace heatherquay::benchmarks
