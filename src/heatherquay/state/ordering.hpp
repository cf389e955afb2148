#pragma once

#include "heatherquay/state/cluster_state.hpp"

#include <vector>

namespace heatherquay::state::detail
{

/// @return 2 to the power of waited / period, interpolated linearly between integer powers so that the result is the
/// same on every processor
double ageingWeight(Duration waited, Duration period);

/// A waiting job with its sort key: urgent jobs first, then the lowest cost, then the earliest submission.
struct QueuedJob
{
    JobNumber number{};
    bool urgent{};
    double cost{};

    friend bool operator<(const QueuedJob &left, const QueuedJob &right);
};

/// @return the sort key of a waiting job; short expected run times and long waits give low values, which start first
double waitingCost(const ClusterState &state, const Job &job, Instant now);
/// @return the jobs in the order in which they should start
std::vector<QueuedJob> sortedForStart(const ClusterState &state, const std::vector<JobNumber> &jobs, Instant now);
/// @return the team's held and claimed accelerators plus one, divided by its share. The extra one keeps the ratio above
/// 0, so that the costs of the jobs of teams that hold nothing still differ.
double shareRatio(const Team &team);
/// @return whether the team may hold @p more accelerators in addition to those it holds and has claimed
bool withinQuota(const Team &team, std::uint32_t more);

} // namespace heatherquay::state::detail
