#pragma once

#include "heatherquay/state/cluster_state.hpp"

namespace heatherquay::state::detail
{

/// Admits a guarantee if its shape fits on the live hardware together with all guarantees in force.
/// @throws Error(Conflict) if it does not fit, its id is in use, another guarantee is degraded, or the team's quota is
/// exceeded; Error(BadInput) for an invalid specification; Error(NotFound) for an unknown team
void grantGuarantee(Step &step, const GuaranteeSpec &spec);
/// Withdraws a guarantee; the jobs that use it become borrowers.
/// @throws Error(NotFound) if the guarantee is not known
void withdrawGuarantee(Step &step, const GuaranteeId &id);
/// Checks that the team's new quota covers its guarantees.
/// @throws Error(Conflict) if the quota is lower than the number of accelerators guaranteed to the team
void checkQuota(const ClusterState &state, const TeamSpec &spec);
/// Keeps the reserved cells on live hardware: moves cells, degrades guarantees that no longer fit, the last admitted
/// first, and restores degraded guarantees in the order of admission.
void maintainGuarantees(Step &step);

} // namespace heatherquay::state::detail
