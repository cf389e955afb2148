#pragma once

#include "heatherquay/state/batch/progress.hpp"

#include <map>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// Learns the run times of tasks per queue, because declared estimates are often inaccurate.
class RunEstimates
{
public:
    /// Adds a completed task to the mean of its queue; jobs of one queue are assumed to have similar run times.
    /// @param runTime the run time of the task
    void addRun(const std::string &queue, Duration runTime);
    /// @return the expected run time of a task of @p step, at least 1 ms
    Duration expected(const std::string &queue, const StepSpec &step) const;
    /// @return a length that a task of @p step may well have; unlike expected(), never a tenth of a declared estimate,
    /// and long when there is neither an estimate nor experience
    Duration plausibleLength(const std::string &queue, const StepSpec &step) const;
    /// @return the expected duration of the longest chain of dependent steps of @p job that begins with @p step
    Duration criticalPathFrom(const JobSpec &job, std::uint32_t step) const;
    /// @return the expected duration of the longest chain of dependent steps of @p job
    Duration criticalPath(const JobSpec &job) const;

    std::vector<QueueEstimate> estimates() const;
    void restore(const QueueEstimate &estimate);

private:
    /// @return by step of @p job, criticalPathFrom(); computed for @p step and the steps after it
    std::vector<Duration> criticalPathsFrom(const JobSpec &job, std::uint32_t step) const;

    struct Record
    {
        std::uint32_t runs{};
        double meanMilliseconds{};
    };
    std::map<std::string, Record> m_queues;
};

} // namespace heatherquay::state::batch
