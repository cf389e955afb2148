#pragma once

#include "heatherquay/state/batch/progress.hpp"

#include <map>

namespace heatherquay::state::batch
{

/// Learns how long tasks run, because declared times are far off.
class RunEstimates
{
public:
    /// @param queue jobs of one queue are expected to behave alike
    /// @param ran of one whole task
    void learn(const std::string &queue, Duration ran);
    /// @return the expected run time of a task of @p step, at least 1 ms
    Duration expected(const std::string &queue, const StepSpec &step) const;
    /// @return the expected time of the longest chain of steps of @p job from @p step on
    Duration chainFrom(const JobSpec &job, std::uint32_t step) const;
    /// @return the expected time of the longest chain of steps of the whole job
    Duration chain(const JobSpec &job) const;

    std::vector<QueueEstimate> estimates() const;
    void restore(const QueueEstimate &estimate);

private:
    struct Record
    {
        std::uint32_t runs{};
        double meanMilliseconds{};
    };
    std::map<std::string, Record> m_queues;
};

} // namespace heatherquay::state::batch
