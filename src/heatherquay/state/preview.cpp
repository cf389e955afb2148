#include "heatherquay/state/preview.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/state/event_handlers.hpp"
#include "heatherquay/state/job_placement.hpp"
#include "heatherquay/state/policy_keys.hpp"
#include "heatherquay/state/reclaim.hpp"
#include "heatherquay/state/scheduling_pass.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

namespace
{

Event eventOf(const TeamIntent &intent)
{
    return TeamDeclared{intent.team};
}

Event eventOf(const GuaranteeIntent &intent)
{
    if (intent.withdraw) {
        return GuaranteeWithdrawn{intent.guarantee.id};
    }
    return GuaranteeGranted{intent.guarantee};
}

Event eventOf(const JobIntent &intent)
{
    return JobSubmitted{intent.job};
}

Event eventOf(const CancelIntent &intent)
{
    return JobCancelled{intent.job};
}

Event eventOf(const DrainIntent &intent)
{
    if (intent.worker.has_value() == intent.service.has_value()) {
        throw Error(ErrorKind::BadInput, "a drain needs either a worker or an endpoint", "give exactly one of the two");
    }
    if (intent.worker.has_value()) {
        return WorkerDraining{*intent.worker, intent.draining};
    }
    return EndpointDraining{*intent.service, intent.endpoint, intent.draining};
}

Event eventOf(const SettingIntent &intent)
{
    return SettingChanged{intent.setting};
}

/// @return the change that the operator asked for
PlannedChange changeOf(const ClusterState &, const TeamIntent &intent)
{
    return {"team/" + intent.team.id.value,
            "share " + std::to_string(intent.team.share) + ", quota "
                + (intent.team.quota == 0 ? "unbounded" : std::to_string(intent.team.quota))};
}

PlannedChange changeOf(const ClusterState &, const GuaranteeIntent &intent)
{
    const std::string object = "guarantee/" + intent.guarantee.id.value;
    if (intent.withdraw) {
        return {object, "withdrawn"};
    }
    return {object,
            "granted to team " + intent.guarantee.team.value + ": "
                + std::to_string(acceleratorCount(intent.guarantee.shape)) + " accelerators"};
}

PlannedChange changeOf(const ClusterState &, const JobIntent &intent)
{
    return {"job/" + intent.job.id.value, "submitted by team " + intent.job.team.value};
}

PlannedChange changeOf(const ClusterState &, const CancelIntent &intent)
{
    return {"job/" + intent.job.value, "cancelled"};
}

PlannedChange changeOf(const ClusterState &, const DrainIntent &intent)
{
    const std::string object = intent.worker.has_value() ? "worker/" + intent.worker->value
                                                         : "endpoint/" + intent.service->value + "/" + intent.endpoint;
    return {object, intent.draining ? "gets no new work" : "gets new work again"};
}

PlannedChange changeOf(const ClusterState &state, const SettingIntent &intent)
{
    return {"setting/" + intent.setting.key,
            policyValue(state.policy, intent.setting.key) + " becomes " + intent.setting.value};
}

/// Adds the effect of each command to the plan.
class CommandSummarizer
{
public:
    CommandSummarizer(const ClusterState &before, const ClusterState &after, Instant now, PlanOutcome &outcome)
        : m_before(before)
        , m_after(after)
        , m_now(now)
        , m_outcome(outcome)
    {
    }

    void operator()(const StartGang &command)
    {
        const Job &job = *lookUpJob(m_after, command.job);
        const std::string terms = job.onGuarantee ? " on the guarantee of team " : " on free accelerators for team ";
        addChange(command.job, "starts on " + describe(m_after, job.picks) + terms + job.spec->team.value);
    }
    void operator()(const CheckpointGang &command)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(command.grace).count();
        addChange(command.job, "is asked for a checkpoint and stopped within " + std::to_string(seconds) + " s");
        addPreemption(command.job);
    }
    void operator()(const StopGang &command)
    {
        addChange(command.job, "is stopped");
        addPreemption(command.job);
    }
    void operator()(const ParkJob &command)
    {
        addChange(command.job, "is parked: " + command.reason);
    }
    void operator()(const NotifyOperator &command)
    {
        m_outcome.changes.push_back({"cluster", command.text});
    }

private:
    void addChange(const JobId &job, const std::string &text)
    {
        m_outcome.changes.push_back({"job/" + job.value, text});
        m_outcome.basedOn.push_back("job/" + job.value);
    }
    void addPreemption(const JobId &id)
    {
        const Job *job = lookUpJob(m_before, id);
        if (job != nullptr && !lookUpJob(m_after, id)->cancelled) {
            m_outcome.preemptions.push_back({id, job->spec->team, lostRunTime(m_before, *job, m_now)});
        }
    }

    const ClusterState &m_before;
    const ClusterState &m_after;
    Instant m_now;
    PlanOutcome &m_outcome;
};

/// @return why a valid job is refused, or an empty string
std::string refusalReason(const ClusterState &before, const ClusterState &, const JobIntent &intent)
{
    const auto reason = impossibleReason(before, intent.job);
    return reason.has_value() ? "job " + intent.job.id.value + " can never run: " + *reason : "";
}

/// @return why a drain is refused, or an empty string. A planned drain must not degrade a guarantee; only the unplanned
/// loss of a worker may.
std::string refusalReason(const ClusterState &before, const ClusterState &after, const DrainIntent &intent)
{
    for (std::size_t position = 0; intent.worker.has_value() && position < before.guarantees.size(); ++position) {
        const Guarantee &guarantee = before.guarantees[position];
        if (!guarantee.degraded && after.guarantees[position].degraded) {
            return "without worker " + intent.worker->value + ", guarantee " + guarantee.spec->id.value + " of team "
                + guarantee.spec->team.value + " does not fit; add hardware or withdraw a guarantee first";
        }
    }
    return "";
}

template<typename Other>
std::string refusalReason(const ClusterState &, const ClusterState &, const Other &)
{
    return "";
}

/// @return the objects, besides the changed one, whose modification makes the plan stale
std::vector<std::string> planDependencies(const Intent &intent)
{
    if (const auto *job = std::get_if<JobIntent>(&intent)) {
        return {"team/" + job->job.team.value};
    }
    if (const auto *guarantee = std::get_if<GuaranteeIntent>(&intent)) {
        return {"guarantees", "team/" + guarantee->guarantee.team.value};
    }
    const auto *drain = std::get_if<DrainIntent>(&intent);
    return drain != nullptr && drain->worker.has_value() ? std::vector<std::string>{"guarantees"}
                                                         : std::vector<std::string>{};
}

} // namespace

std::vector<Command> applyEvent(ClusterState &state, const Event &event, Instant now)
{
    Step step{state, std::max(now, state.now), {}, false, 0};
    handle(step, event);
    state.now = step.now;
    // These events neither free nor request accelerators, so no scheduling pass is needed.
    const bool changesNothing
        = std::holds_alternative<UsageReported>(event) || std::holds_alternative<GangStarted>(event);
    if (!changesNothing) {
        runSchedulingPass(step);
    }
    return std::move(step.commands);
}

PlanOutcome previewIntent(const ClusterState &state, const Intent &intent, Instant now)
{
    PlanOutcome outcome;
    try {
        const Event event = std::visit(
            [](const auto &concrete) {
                return eventOf(concrete);
            },
            intent);
        outcome.changes.push_back(std::visit(
            [&state](const auto &concrete) {
                return changeOf(state, concrete);
            },
            intent));
        ClusterState after = state;
        const std::vector<Command> commands = applyEvent(after, event, now);
        outcome.basedOn = planDependencies(intent);
        outcome.basedOn.push_back(outcome.changes.front().object);
        CommandSummarizer summarizer(state, after, std::max(now, state.now), outcome);
        for (const Command &command : commands) {
            std::visit(summarizer, command);
        }
        outcome.refusal = std::visit(
            [&](const auto &concrete) {
                return refusalReason(state, after, concrete);
            },
            intent);
        outcome.events = {event};
    } catch (const Error &error) {
        outcome.refusal = error.what();
    }
    std::sort(outcome.basedOn.begin(), outcome.basedOn.end());
    outcome.basedOn.erase(std::unique(outcome.basedOn.begin(), outcome.basedOn.end()), outcome.basedOn.end());
    outcome.admitted = outcome.refusal.empty();
    if (!outcome.admitted) {
        return {false, outcome.refusal, {}, {}, {}, {}};
    }
    return outcome;
}

} // namespace heatherquay::state::detail
