#include "heatherquay/state/ordering.hpp"

#include "heatherquay/state/job_lifecycle.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

namespace
{

constexpr std::int64_t maxDoublings = 60; // keeps the shift by `doublings` within 64 bits
constexpr double referenceRunTimeMilliseconds = 3'600'000.0;
constexpr double minRunTimeMilliseconds = 1'000.0; // shorter jobs are treated as equal

} // namespace

double ageingWeight(Duration waited, Duration period)
{
    if (waited.count() <= 0 || period.count() <= 0) {
        return 1.0;
    }
    const std::int64_t doublings = std::min(waited / period, maxDoublings);
    const double fraction = static_cast<double>((waited % period).count()) / static_cast<double>(period.count());
    return static_cast<double>(std::uint64_t{1} << doublings) * (1.0 + fraction);
}

bool operator<(const QueuedJob &left, const QueuedJob &right)
{
    if (left.urgent != right.urgent) {
        return left.urgent;
    }
    return left.cost != right.cost ? left.cost < right.cost : left.number < right.number;
}

double waitingCost(const ClusterState &state, const Job &job, Instant now)
{
    const auto remaining = static_cast<double>(expectedRemaining(state, job, now).count());
    const double relativeRunTime = std::max(remaining, minRunTimeMilliseconds) / referenceRunTimeMilliseconds;
    const double weight = state.policy.weightCompletion;
    return (1.0 - weight + weight * relativeRunTime) / ageingWeight(now - job.submittedAt, state.policy.ageingPeriod);
}

std::vector<QueuedJob> sortedForStart(const ClusterState &state, const std::vector<JobNumber> &jobs, Instant now)
{
    std::vector<QueuedJob> queue;
    queue.reserve(jobs.size());
    for (const JobNumber number : jobs) {
        const Job &job = state.jobs.at(number);
        queue.push_back({number, job.spec->urgent, waitingCost(state, job, now)});
    }
    std::sort(queue.begin(), queue.end());
    return queue;
}

double shareRatio(const Team &team)
{
    return (static_cast<double>(team.held) + team.claimed + 1.0) / std::max<std::uint32_t>(team.spec.share, 1);
}

bool withinQuota(const Team &team, std::uint32_t more)
{
    return team.spec.quota == 0 || team.held + team.claimed + more <= team.spec.quota;
}

} // namespace heatherquay::state::detail
