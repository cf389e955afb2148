#pragma once

#include "batch/pool_simulation.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::test
{

/// Checks the users' rule on work that waits beside free capacity (LOST), from what the simulated workers run and what
/// callers submitted. Knows nothing of the scheduler's state.
class CapacityCheck
{
public:
    explicit CapacityCheck(PoolSimulation &pool)
        : m_pool(pool)
    {
    }

    /// Notes a disruption: the rule holds only some time after it.
    void noteDisruption()
    {
        m_disturbedAt = m_pool.now();
    }
    void addJob(const state::batch::JobSpec &job)
    {
        m_jobs[job.id] = job;
    }
    /// The caller has cancelled the job.
    void removeJob(const state::JobId &job)
    {
        m_jobs.erase(job);
    }
    /// Looks at the present state. Call it at short intervals.
    void observe();

    std::vector<std::string> violations;

private:
    /// @return how many further tasks of the step fit into the free capacity; counts to @p most
    std::uint32_t copiesThatFit(const state::batch::StepSpec &step, std::uint32_t most) const;
    /// @return the share of the capacity in use, with an accelerator as eight cores
    double usedShare() const;
    /// Notes since when the rule's condition holds for the waiting work, and reports it after three seconds.
    /// @param waits whether the condition holds now
    void note(const std::string &name, bool waits);
    void observeLastingTasks(const state::batch::JobSpec &job);
    void observeJob(const state::batch::JobSpec &job, double used);
    /// @return whether the latest disruption was at least @p time ago
    bool calmFor(state::Duration time) const;

    PoolSimulation &m_pool;
    state::Instant m_disturbedAt;
    std::map<state::JobId, state::batch::JobSpec> m_jobs;
    std::map<std::string, state::Instant> m_waitingSince; ///< Of work for which the condition holds.
    std::map<TaskId, state::Instant> m_lastRunAt; ///< Of lasting tasks: when they last ran, or could have run first.
};

} // namespace heatherquay::test
