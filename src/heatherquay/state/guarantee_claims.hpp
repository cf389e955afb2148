#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

/// Starts the jobs whose claimed accelerators are all free, if the team's quota allows it, and drops claims on
/// accelerators that are no longer usable.
void completeClaims(Step &step);
/// Claims guaranteed accelerators for waiting jobs. A job starts at once if the accelerators are free or cells can be
/// moved to free ones; otherwise the borrowers with the least lost work are preempted.
void claimGuarantees(Step &step);
/// @return whether the job would fit into the unused part of its team's guarantees if the pending claims did not count.
/// Such a job must not start as a borrower: it would run within its team's guarantee and still be preemptible.
bool awaitsGuarantee(const ClusterState &state, const Job &job);

} // namespace heatherquay::state::detail
