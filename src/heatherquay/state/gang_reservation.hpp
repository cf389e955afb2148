#pragma once

#include "heatherquay/state/cluster_state.hpp"

#include <vector>

namespace heatherquay::state::detail
{

/// Reserves accelerators for the jobs that have waited longest, once they reach PolicySettings::gangWaitBound. Reserved
/// accelerators are kept free as their holders end, until the whole gang can start.
void reserveForGangs(Step &step);
/// Preempts the jobs that still run on reserved accelerators once only backfilled jobs are left there, or once the job
/// has been entitled to a reservation for the wait bound, that is, after about twice the bound in total.
void preemptForReservations(Step &step);

/// Reserved accelerators that stay idle until the rest of the reservation is free.
struct BackfillWindow
{
    AcceleratorSet picks;
    Duration length{}; ///< Expected time until the reserving gang starts.
};
/// @return the windows of all reservations in which a short job can run without delaying the reserving gang
std::vector<BackfillWindow> backfillWindows(const ClusterState &state, Instant now);

} // namespace heatherquay::state::detail
