#include "heatherquay/coordination/operator_json.hpp"

#include "heatherquay/coordination/operator_api.hpp"

#include <string_view>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;

namespace detail
{

std::string_view phaseName(state::JobPhase phase)
{
    switch (phase) {
    case state::JobPhase::Waiting:
        return "waiting";
    case state::JobPhase::Starting:
        return "starting";
    case state::JobPhase::Running:
        return "running";
    case state::JobPhase::Stopping:
        return "stopping";
    case state::JobPhase::Parked:
        return "parked";
    case state::JobPhase::Finished:
        return "finished";
    case state::JobPhase::Cancelled:
        break;
    }
    return "cancelled";
}

std::string_view phaseName(state::WorkerPhase phase)
{
    switch (phase) {
    case state::WorkerPhase::Live:
        return "live";
    case state::WorkerPhase::Draining:
        return "draining";
    case state::WorkerPhase::Probation:
        return "probation";
    case state::WorkerPhase::Lost:
        break;
    }
    return "lost";
}

json::value timeJson(const std::optional<state::Instant> &time)
{
    return time ? json::value(time->time_since_epoch().count()) : json::value(nullptr);
}

json::array placementsJson(const std::vector<state::Placement> &placements)
{
    json::array array;
    for (const state::Placement &placement : placements) {
        json::array accelerators;
        for (const std::uint16_t index : placement.accelerators) {
            accelerators.emplace_back(index);
        }
        array.emplace_back(json::object{{"worker", placement.worker.value}, {"accelerators", std::move(accelerators)}});
    }
    return array;
}

} // namespace detail

json::object statusJson(const EntryStatus &status, const state::ClusterTotals &totals)
{
    json::array members;
    for (const StatusMember &member : status.members) {
        members.emplace_back(json::object{{"id", member.id}, {"address", member.address}});
    }
    json::object object;
    object["entry"] = status.entry;
    object["version"] = status.version;
    object["ready"] = status.ready;
    object["may_act"] = status.mayAct;
    object["journal_number"] = status.journalNumber;
    object["members"] = std::move(members);
    object["totals"] = json::object{{"accelerators", totals.accelerators},
                                    {"free", totals.free},
                                    {"waiting_jobs", totals.waitingJobs},
                                    {"running_jobs", totals.runningJobs},
                                    {"fragmentation", totals.fragmentation}};
    return object;
}

json::object jobJson(const state::JobView &job)
{
    json::object object;
    object["id"] = job.spec.id.value;
    object["team"] = job.spec.team.value;
    object["phase"] = detail::phaseName(job.phase);
    object["urgent"] = job.spec.urgent;
    object["on_guarantee"] = job.onGuarantee;
    object["accelerators"] = state::acceleratorCount(job.spec.shape);
    object["placements"] = detail::placementsJson(job.placements);
    object["progress"] = job.progress;
    object["reason"] = job.reason;
    object["submitted_at_ms"] = job.submittedAt.time_since_epoch().count();
    object["started_at_ms"] = detail::timeJson(job.startedAt);
    object["ended_at_ms"] = detail::timeJson(job.endedAt);
    return object;
}

json::object teamJson(const state::TeamView &team)
{
    json::array guarantees;
    for (const state::GuaranteeSpec &guarantee : team.guarantees) {
        guarantees.emplace_back(guarantee.id.value);
    }
    json::array degraded;
    for (const state::GuaranteeId &guarantee : team.degraded) {
        degraded.emplace_back(guarantee.value);
    }
    json::object object;
    object["id"] = team.spec.id.value;
    object["share"] = team.spec.share;
    object["quota"] = team.spec.quota;
    object["guarantees"] = std::move(guarantees);
    object["degraded"] = std::move(degraded);
    object["held"] = team.heldAccelerators;
    object["borrowed"] = team.borrowedAccelerators;
    object["waiting"] = team.waitingJobs;
    return object;
}

json::object workerJson(const state::WorkerView &worker)
{
    json::object object;
    object["id"] = worker.spec.id.value;
    object["address"] = worker.spec.address;
    object["failure_domain"] = worker.spec.failureDomain.value;
    object["rack"] = worker.spec.rack.value;
    object["phase"] = detail::phaseName(worker.phase);
    object["accelerators"] = worker.spec.accelerators.size();
    object["busy"] = worker.busyAccelerators;
    return object;
}

json::object planJson(const Plan &plan)
{
    json::array changes;
    for (const state::PlannedChange &change : plan.outcome.changes) {
        changes.emplace_back(json::object{{"object", change.object}, {"text", change.text}});
    }
    json::array preemptions;
    for (const state::PlannedPreemption &preemption : plan.outcome.preemptions) {
        preemptions.emplace_back(json::object{{"job", preemption.job.value},
                                              {"team", preemption.team.value},
                                              {"lost_work_ms", preemption.lostWork.count()}});
    }
    json::array objects;
    for (const PlanBasis &basis : plan.basis) {
        objects.emplace_back(basis.object);
    }
    json::object object;
    object["id"] = plan.id.value;
    object["admitted"] = plan.outcome.admitted;
    object["refusal"] = plan.outcome.refusal;
    object["changes"] = std::move(changes);
    object["preemptions"] = std::move(preemptions);
    object["based_on"] = json::object{{"journal_number", plan.journalNumber}, {"objects", std::move(objects)}};
    object["expires_at_ms"] = plan.expiresAt.time_since_epoch().count();
    return object;
}

} // namespace heatherquay::coordination
