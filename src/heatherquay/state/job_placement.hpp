#pragma once

#include "heatherquay/state/cluster_state.hpp"
#include "heatherquay/state/placement.hpp"

#include <optional>
#include <string>
#include <vector>

namespace heatherquay::state::detail
{

/// Whether a job may run on workers on which it has failed before.
enum class FailedWorkers
{
    Avoid,
    UseIfNeeded
};

/// @return the union of the parts' accelerators
AcceleratorSet merged(const std::vector<AcceleratorSet> &parts);
/// @param available accelerators that may be used
/// @return accelerators for each part of the job, or nothing if no placement was found
std::optional<std::vector<AcceleratorSet>> placeParts(const ClusterState &state, const Job &job,
                                                      const std::vector<PartRequest> &requests,
                                                      const Availability &available, FailedWorkers failedWorkers);
/// Places the whole job, on workers on which it has failed only if needed.
/// @return the accelerators, or nothing if no placement was found
std::optional<AcceleratorSet> findPlacement(const ClusterState &state, const Job &job, const Availability &available);
/// @return why the job could not run even on an idle cluster, or nothing if it could
std::optional<std::string> impossibleReason(const ClusterState &state, const JobSpec &spec);

} // namespace heatherquay::state::detail
