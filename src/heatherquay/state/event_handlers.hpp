#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

/// Updates the state for one event. It issues no starts; runSchedulingPass() does that afterwards.
/// @throws Error if the event is not valid; the state is then unchanged
void handle(Step &step, const Event &event);

} // namespace heatherquay::state::detail
