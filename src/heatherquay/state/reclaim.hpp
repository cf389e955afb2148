#pragma once

#include "heatherquay/state/cluster_state.hpp"
#include "heatherquay/state/placement.hpp"

#include <optional>
#include <vector>

namespace heatherquay::state::detail
{

/// A gang that may be preempted for a claim, with the cost of the preemption.
struct Victim
{
    JobNumber number{};
    Duration lostWork{}; ///< Expected lost accelerator time.
};

/// @return expected run time lost if the gang is stopped after a checkpoint, including the time to restart
Duration lostRunTime(const ClusterState &state, const Job &job, Instant now);
/// @return lostRunTime() multiplied by the number of accelerators that the job holds
Duration lostWork(const ClusterState &state, const Job &job, Instant now);
/// @return all borrowers that are starting or running, the cheapest first
std::vector<Victim> victimsByCost(const ClusterState &state, Instant now);
/// @return total expected lost work of the borrowers on these accelerators that are not being stopped already
Duration preemptionCost(const ClusterState &state, const AcceleratorSet &picks, Instant now);
/// Finds the node of the hierarchy in which placing a part has the lowest total preemption cost.
/// @param allowed accelerators that may be used, whether held or free
/// @return the accelerators of that node that are free or held by the chosen victims, or nothing if no node is large
/// enough
std::optional<Availability> cheapestReclaimPool(const ClusterState &state, const PartRequest &request,
                                                const Availability &allowed, Instant now);
/// Asks the borrowers on these accelerators to stop within @p grace. If a borrower is already stopping and its deadline
/// is later, the deadline is shortened.
void preemptHolders(Step &step, const AcceleratorSet &picks, Duration grace);

} // namespace heatherquay::state::detail
