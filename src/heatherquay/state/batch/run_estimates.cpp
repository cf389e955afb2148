#include "heatherquay/state/batch/run_estimates.hpp"

#include <algorithm>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr std::uint32_t learnedRunsMin = 3; // With fewer runs, the declared time is as accurate.
constexpr int estimateErrorMax = 10; // Estimates may be wrong by this factor.
// A tenth of half a day, the longest task designed for, because the users of this value allow for estimateErrorMax.
constexpr Duration unknownLength = std::chrono::hours(12) / estimateErrorMax;
constexpr double newestRunWeight = 0.1; // Weight of the newest run after the first ten, which are averaged equally.

} // namespace detail

void RunEstimates::addRun(const std::string &queue, Duration runTime)
{
    Record &record = m_queues[queue];
    ++record.runs;
    const double weight = std::max(1.0 / record.runs, detail::newestRunWeight);
    record.meanMilliseconds += weight * (static_cast<double>(runTime.count()) - record.meanMilliseconds);
}

Duration RunEstimates::expected(const std::string &queue, const StepSpec &step) const
{
    const auto found = m_queues.find(queue);
    if (found != m_queues.end() && found->second.runs >= detail::learnedRunsMin) {
        return std::max(Duration(1), Duration(static_cast<std::int64_t>(found->second.meanMilliseconds)));
    }
    return std::max(Duration(1), step.estimate);
}

Duration RunEstimates::plausibleLength(const std::string &queue, const StepSpec &step) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.runs < detail::learnedRunsMin) {
        return step.estimate.count() > 0 ? step.estimate : detail::unknownLength;
    }
    const Duration learned(static_cast<Duration::rep>(found->second.meanMilliseconds));
    // A task of which only the queue is known may be as far from the queue's mean as an estimate from its task.
    if (step.estimate.count() == 0 || step.estimate > learned * detail::estimateErrorMax) {
        return std::max(step.estimate, learned * detail::estimateErrorMax);
    }
    return learned;
}

std::vector<QueueEstimate> RunEstimates::estimates() const
{
    std::vector<QueueEstimate> result;
    for (const auto &[queue, record] : m_queues) {
        result.push_back({queue, record.runs, record.meanMilliseconds});
    }
    return result;
}

void RunEstimates::restore(const QueueEstimate &estimate)
{
    m_queues[estimate.queue] = {estimate.runs, estimate.meanMilliseconds};
}

std::vector<Duration> RunEstimates::criticalPathsFrom(const JobSpec &job, std::uint32_t step) const
{
    // Steps depend only on earlier ones, so a single backward pass visits every successor first.
    std::vector<Duration> fromStep(job.steps.size(), Duration::zero());
    for (std::size_t i = job.steps.size(); i-- > step;) {
        fromStep[i] += expected(job.queue, job.steps[i]);
        for (const std::uint32_t before : job.steps[i].dependsOn) {
            fromStep[before] = std::max(fromStep[before], fromStep[i]);
        }
    }
    return fromStep;
}

Duration RunEstimates::criticalPathFrom(const JobSpec &job, std::uint32_t step) const
{
    return step < job.steps.size() ? criticalPathsFrom(job, step)[step] : Duration::zero();
}

Duration RunEstimates::criticalPath(const JobSpec &job) const
{
    const std::vector<Duration> paths = criticalPathsFrom(job, 0);
    return paths.empty() ? Duration::zero() : *std::max_element(paths.begin(), paths.end());
}

} // namespace heatherquay::state::batch
