#include "heatherquay/state/scheduling_pass.hpp"

#include "heatherquay/state/fair_share.hpp"
#include "heatherquay/state/gang_reservation.hpp"
#include "heatherquay/state/guarantee_admission.hpp"
#include "heatherquay/state/guarantee_claims.hpp"
#include "heatherquay/state/job_lifecycle.hpp"
#include "heatherquay/state/worker_health.hpp"

namespace heatherquay::state::detail
{

void runSchedulingPass(Step &step)
{
    enforceStopDeadlines(step);
    endProbations(step);
    purgeEndedJobs(step);
    // Claims on lost hardware are dropped before the cells are maintained, because a claim pins its cell.
    completeClaims(step);
    maintainGuarantees(step);
    claimGuarantees(step);
    startJobsByFairShare(step);
    reserveForGangs(step);
    preemptForReservations(step);
}

} // namespace heatherquay::state::detail
