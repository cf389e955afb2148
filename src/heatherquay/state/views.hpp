#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

JobView viewOf(const ClusterState &state, const Job &job);
TeamView viewOf(const ClusterState &state, const Team &team);
WorkerView viewOf(const ClusterState &state, WorkerIndex worker);
ClusterTotals totalsOf(const ClusterState &state);
/// @return commands that repeat the starts without an outcome and the stops without a confirmation
std::vector<Command> openCommandsOf(const ClusterState &state);

} // namespace heatherquay::state::detail
