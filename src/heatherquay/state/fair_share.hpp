#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

/// Starts waiting jobs on free accelerators. The team with the lowest ratio of held accelerators to share goes first;
/// the ratio is weighted with the waiting cost of the team's next job.
void startJobsByFairShare(Step &step);

} // namespace heatherquay::state::detail
