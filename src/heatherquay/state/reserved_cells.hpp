#pragma once

#include "heatherquay/state/cluster_state.hpp"
#include "heatherquay/state/placement.hpp"

#include <optional>
#include <vector>

namespace heatherquay::state::detail
{

// Each guarantee in force has one reserved cell for each part of its shape: a set of accelerators on live workers that
// satisfies the part and overlaps with no other cell. A cell may be moved to other accelerators, except for those that
// a job uses on the guarantee; these are pinned.

/// A request to bind the cells of a guarantee, with the pinned accelerators that the cells must contain.
struct CellRequest
{
    std::size_t guarantee{}; ///< Position in ClusterState::guarantees.
    std::vector<AcceleratorSet> pins; ///< One entry for each part.
};

/// The cells of several guarantees, in the order of their requests.
using Binding = std::vector<std::vector<AcceleratorSet>>;

/// @return the pinned accelerators of the guarantee's cells, one entry for each part
std::vector<AcceleratorSet> pinsOf(const ClusterState &state, const Guarantee &guarantee);
/// @return the accelerators to which cells of these guarantees may be bound: the unpinned ones in their current cells
/// and the unbound ones
Availability bindableBy(const ClusterState &state, const std::vector<std::size_t> &guarantees);
/// Finds cells that satisfy all requests at once.
/// @param available accelerators that may be used in addition to the pinned ones
/// @return the cells, or nothing if none were found
std::optional<Binding> bindCells(const ClusterState &state, const std::vector<CellRequest> &requests,
                                 Availability available);
/// Replaces the cells of the requested guarantees; these guarantees are then no longer degraded.
void applyBinding(ClusterState &state, const std::vector<CellRequest> &requests, const Binding &binding);
/// @return positions of all guarantees that are not degraded
std::vector<std::size_t> guaranteesInForce(const ClusterState &state);
/// Counts an attempt to rebind all cells.
/// @return whether the step's budget of such attempts allows it
bool consumeFullRebindBudget(Step &step);

} // namespace heatherquay::state::detail
