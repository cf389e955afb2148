#include "heatherquay/coordination/plan.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/event_codec.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;

namespace detail
{

std::string jobState(const state::Cluster &cluster, const state::JobId &id)
{
    const auto job = cluster.job(id);
    return job ? "phase " + std::to_string(static_cast<int>(job->phase)) + " fence " + std::to_string(job->fence.value)
               : "absent";
}

std::string teamState(const state::Cluster &cluster, const state::TeamId &id)
{
    const auto team = cluster.team(id);
    if (!team) {
        return "absent";
    }
    return "share " + std::to_string(team->spec.share) + " quota " + std::to_string(team->spec.quota);
}

std::string guaranteesState(const state::Cluster &cluster)
{
    std::string text;
    for (const state::TeamView &team : cluster.teams()) {
        for (const state::GuaranteeSpec &guarantee : team.guarantees) {
            text += guarantee.id.value + ":" + team.spec.id.value + ":"
                + std::to_string(state::acceleratorCount(guarantee.shape)) + " ";
        }
    }
    return text.empty() ? "none" : text;
}

std::string drainState(const state::Cluster &cluster, const state::DrainIntent &intent)
{
    if (intent.worker) {
        const auto worker = cluster.worker(*intent.worker);
        return worker ? "phase " + std::to_string(static_cast<int>(worker->phase)) : "absent";
    }
    const auto draining = cluster.drainingEndpoints();
    const bool found = std::any_of(draining.begin(), draining.end(), [&intent](const auto &endpoint) {
        return intent.service && endpoint.service == *intent.service && endpoint.address == intent.endpoint;
    });
    return found ? "draining" : "not draining";
}

std::string settingState(const state::Cluster &cluster, const std::string &key)
{
    for (const state::SettingValue &setting : cluster.settings()) {
        if (setting.key == key) {
            return setting.value;
        }
    }
    return "not set";
}

/// Returns the object that an intent changes, with its current state.
struct PlanBasisReader
{
    const state::Cluster &cluster;

    PlanBasis operator()(const state::TeamIntent &intent) const
    {
        return {"team/" + intent.team.id.value, teamState(cluster, intent.team.id)};
    }
    PlanBasis operator()(const state::GuaranteeIntent &) const
    {
        return {"guarantees", guaranteesState(cluster)};
    }
    PlanBasis operator()(const state::JobIntent &intent) const
    {
        return {"job/" + intent.job.id.value, jobState(cluster, intent.job.id)};
    }
    PlanBasis operator()(const state::CancelIntent &intent) const
    {
        return {"job/" + intent.job.value, jobState(cluster, intent.job)};
    }
    PlanBasis operator()(const state::DrainIntent &intent) const
    {
        const std::string object = intent.worker ? "worker/" + intent.worker->value : "endpoint/" + intent.endpoint;
        return {object, drainState(cluster, intent)};
    }
    PlanBasis operator()(const state::SettingIntent &intent) const
    {
        return {"setting/" + intent.setting.key, settingState(cluster, intent.setting.key)};
    }
};

} // namespace detail

std::vector<PlanBasis> collectBasis(const state::Cluster &cluster, const state::Intent &intent,
                                    const state::PlanOutcome &outcome)
{
    std::vector<PlanBasis> basis{std::visit(detail::PlanBasisReader{cluster}, intent)};
    for (const state::PlannedPreemption &preemption : outcome.preemptions) {
        basis.push_back({"job/" + preemption.job.value, detail::jobState(cluster, preemption.job)});
    }
    return basis;
}

std::string describeDifference(const std::vector<PlanBasis> &planned, const std::vector<PlanBasis> &current)
{
    for (const PlanBasis &expected : planned) {
        const auto match = std::find_if(current.begin(), current.end(), [&expected](const PlanBasis &item) {
            return item.object == expected.object;
        });
        if (match == current.end()) {
            return expected.object + " would no longer be preempted by this plan";
        }
        if (match->state != expected.state) {
            return expected.object + " was \"" + expected.state + "\" and is now \"" + match->state + "\"";
        }
    }
    for (const PlanBasis &actual : current) {
        const bool known = std::any_of(planned.begin(), planned.end(), [&actual](const PlanBasis &item) {
            return item.object == actual.object;
        });
        if (!known) {
            return actual.object + " would now be preempted as well";
        }
    }
    return {};
}

std::string encodePlan(const Plan &plan)
{
    json::array basis;
    for (const PlanBasis &item : plan.basis) {
        basis.emplace_back(json::object{{"object", item.object}, {"state", item.state}});
    }
    json::object object;
    object["id"] = plan.id.value;
    object["intent"] = protocol::encode(plan.intent);
    object["outcome"] = protocol::encode(plan.outcome);
    object["basis"] = std::move(basis);
    object["journal_number"] = plan.journalNumber;
    object["expires_at_ms"] = plan.expiresAt.time_since_epoch().count();
    return json::serialize(object);
}

Plan decodePlan(std::string_view text)
{
    try {
        const json::value value = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = value.as_object();
        Plan plan;
        plan.id = {std::string(object.at("id").as_string())};
        plan.intent = protocol::decodeIntent(object.at("intent").as_string());
        plan.outcome = protocol::decodePlanOutcome(object.at("outcome").as_string());
        for (const json::value &item : object.at("basis").as_array()) {
            plan.basis.push_back(
                {std::string(item.at("object").as_string()), std::string(item.at("state").as_string())});
        }
        plan.journalNumber = object.at("journal_number").to_number<std::uint64_t>();
        plan.expiresAt = state::Instant(state::Duration(object.at("expires_at_ms").to_number<std::int64_t>()));
        return plan;
    } catch (const Error &) {
        throw;
    } catch (const std::exception &error) {
        throw Error(ErrorKind::BadInput, std::string("the stored plan is unreadable: ") + error.what(),
                    "create a new plan");
    }
}

std::string planKey(const state::PlanId &id)
{
    return "plan/" + id.value;
}

} // namespace heatherquay::coordination
