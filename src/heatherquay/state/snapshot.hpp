#pragma once

#include "heatherquay/state/cluster_state.hpp"

#include <string>

namespace heatherquay::state::detail
{

/// @return the state as text, without its derived members
std::string writeSnapshot(const ClusterState &state);
/// Restores a state that writeSnapshot() returned, including its derived members.
/// @throws Error(BadInput) if the text is damaged or has another format version
ClusterState readSnapshot(const std::string &text);

} // namespace heatherquay::state::detail
