#pragma once

#include "heatherquay/state/batch/progress.hpp"
#include "heatherquay/state/batch/run_time_model.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace heatherquay::state::batch
{

/// Which decisions use the learned distributions. The distributions are learned in any case.
struct RunTimeUses
{
    bool expected{}; ///< The median of the distribution replaces the mean of the queue as the expected run time.
    bool eviction{}; ///< Runs are evicted by the work that is lost for the work that they still have.
    bool hangs{}; ///< A task that may be long gets more time until its first progress.
    bool lateness{}; ///< A job counts as late only if it also is for a long run time, which extends its objective.
    RunTimeSettings model;
};

/// @param list names of uses, separated by commas: expected, eviction, hangs and lateness
/// @return the uses; std::nullopt if a name is unknown
std::optional<RunTimeUses> parseRunTimeUses(std::string_view list);

/// Learns the run times of tasks per queue, because declared estimates are often inaccurate.
class RunEstimates
{
public:
    explicit RunEstimates(const RunTimeUses &uses = {});

    /// Adds a completed task to the mean of its queue; jobs of one queue are assumed to have similar run times.
    /// @param runTime the run time of the task
    void addRun(const std::string &queue, Duration runTime);
    /// Adds a completed task to the distribution of its kind.
    /// @param runTime on a worker of normal speed
    /// @param weight see RunTimeModel::addCompleted()
    void addCompleted(const std::string &queue, const StepSpec &step, Duration runTime, double weight);
    /// Adds a task that was stopped, has failed or was given up.
    /// @param elapsed how long it has worked at least, on a worker of normal speed
    /// @param weight see RunTimeModel::addCompleted()
    void addCensored(const std::string &queue, const StepSpec &step, Duration elapsed, double weight);
    /// @return the expected run time of a task of @p step, at least 1 ms
    Duration expected(const std::string &queue, const StepSpec &step) const;
    /// @return a length that a task of @p step may well have; unlike expected(), never a tenth of a declared estimate,
    /// and long when there is neither an estimate nor experience
    Duration plausibleLength(const std::string &queue, const StepSpec &step) const;
    /// @return the expected duration of the longest chain of dependent steps of @p job that begins with @p step
    Duration criticalPathFrom(const JobSpec &job, std::uint32_t step) const;
    /// @return the expected duration of the longest chain of dependent steps of @p job
    Duration criticalPath(const JobSpec &job) const;

    /// @return the run time that a task stays within with probability @p probability
    Duration quantile(const std::string &queue, const StepSpec &step, double probability) const;
    /// @return the mean time that a task still needs after @p elapsed, on a worker of normal speed; at least 1 ms
    Duration expectedLeft(const std::string &queue, const StepSpec &step, Duration elapsed) const;
    const RunTimeModel &model() const
    {
        return m_model;
    }
    RunTimeModel &model()
    {
        return m_model;
    }

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
    RunTimeUses m_uses;
    RunTimeModel m_model;

    /// Quantiles of one queue. Computing them again after each run would dominate a pass with many jobs.
    struct QuantileCache
    {
        std::map<std::tuple<std::string, std::uint32_t, bool, std::int64_t, Duration, double>, Duration> values;
        std::uint64_t runs{};
        std::uint64_t validUntilRuns{};
    };
    mutable std::map<std::string, QuantileCache> m_quantiles;
    void noteRun(const std::string &queue);
};

} // namespace heatherquay::state::batch
