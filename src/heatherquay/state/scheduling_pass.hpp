#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

/// Runs all steps of scheduling at the current time: enforces deadlines, completes claims, maintains guarantees, makes
/// new claims, starts jobs by fair share and reserves accelerators for gangs that have waited too long.
void runSchedulingPass(Step &step);

} // namespace heatherquay::state::detail
