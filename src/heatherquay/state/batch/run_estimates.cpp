#include "heatherquay/state/batch/run_estimates.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr std::uint32_t learnedRunsMin = 3; // With fewer runs, the declared time is as accurate.
constexpr int estimateErrorMax = 10; // Estimates may be wrong by this factor.
// A tenth of half a day, the longest task designed for, because the users of this value allow for estimateErrorMax.
constexpr Duration unknownLength = std::chrono::hours(12) / estimateErrorMax;
constexpr double newestRunWeight = 0.1; // Weight of the newest run after the first ten, which are averaged equally.

constexpr std::uint64_t cachedRunsMax = 8; // Runs of a queue after which its quantiles are computed again.
constexpr std::uint64_t cachedRunsShare = 10; // The same as a part of all its runs, so that the first ones count soon.
constexpr std::size_t cachedQuantilesMax = 4'096; // Of one queue.

} // namespace detail

std::optional<RunTimeUses> parseRunTimeUses(std::string_view list)
{
    RunTimeUses uses;
    const std::pair<std::string_view, bool RunTimeUses::*> known[]{{"expected", &RunTimeUses::expected},
                                                                   {"eviction", &RunTimeUses::eviction},
                                                                   {"hangs", &RunTimeUses::hangs},
                                                                   {"lateness", &RunTimeUses::lateness}};
    while (!list.empty()) {
        const std::string_view name = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), name.size() + 1));
        const auto found = std::find_if(std::begin(known), std::end(known), [name](const auto &entry) {
            return entry.first == name;
        });
        if (found == std::end(known)) {
            return std::nullopt;
        }
        uses.*found->second = true;
    }
    return uses;
}

RunEstimates::RunEstimates(const RunTimeUses &uses)
    : m_uses(uses)
    , m_model(uses.model)
{
}

void RunEstimates::addRun(const std::string &queue, Duration runTime)
{
    Record &record = m_queues[queue];
    ++record.runs;
    const double weight = std::max(1.0 / record.runs, detail::newestRunWeight);
    record.meanMilliseconds += weight * (static_cast<double>(runTime.count()) - record.meanMilliseconds);
}

void RunEstimates::addCompleted(const std::string &queue, const StepSpec &step, Duration runTime, double weight)
{
    m_model.addCompleted(queue, step, runTime, weight);
    noteRun(queue);
}

void RunEstimates::addCensored(const std::string &queue, const StepSpec &step, Duration elapsed, double weight)
{
    m_model.addCensored(queue, step, elapsed, weight);
    noteRun(queue);
}

void RunEstimates::noteRun(const std::string &queue)
{
    QuantileCache &cache = m_quantiles[queue];
    if (++cache.runs >= cache.validUntilRuns) {
        cache.values.clear();
        cache.validUntilRuns
            = cache.runs + std::clamp<std::uint64_t>(cache.runs / detail::cachedRunsShare, 1, detail::cachedRunsMax);
    }
}

Duration RunEstimates::quantile(const std::string &queue, const StepSpec &step, double probability) const
{
    auto &values = m_quantiles[queue].values;
    if (values.size() >= detail::cachedQuantilesMax) {
        values.clear();
    }
    const auto [position, added] = values.try_emplace(
        {step.image, step.taskCount, step.gang, step.need.accelerators, step.estimate, probability}, Duration());
    if (added) {
        position->second = m_model.quantile(queue, step, probability);
    }
    return position->second;
}

Duration RunEstimates::expectedLeft(const std::string &queue, const StepSpec &step, Duration elapsed) const
{
    return m_model.expectedLeft(queue, step, elapsed);
}

Duration RunEstimates::expected(const std::string &queue, const StepSpec &step) const
{
    if (m_uses.expected && (step.estimate.count() > 0 || m_model.knows(queue))) {
        return quantile(queue, step, 0.5);
    }
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
