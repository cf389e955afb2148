#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

/// Applies an event and runs a scheduling pass.
/// @return the commands to carry out
/// @throws Error if the event is invalid; the state is then unchanged
std::vector<Command> applyEvent(ClusterState &state, const Event &event, Instant now);

/// Applies the intent to a copy of the state.
/// @return the changes and preemptions that the intent would cause, or why it is refused
PlanOutcome previewIntent(const ClusterState &state, const Intent &intent, Instant now);

} // namespace heatherquay::state::detail
