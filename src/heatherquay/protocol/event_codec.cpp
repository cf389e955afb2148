#include "heatherquay/protocol/event_codec.hpp"

#include "heatherquay/protocol/json_fields.hpp"

#include <array>

// The fields() functions are in this namespace so that argument-dependent lookup finds them.
namespace heatherquay::state
{

template<typename Archive, typename T>
using Ref = typename Archive::template Ref<T>;

template<typename Archive>
void fields(Archive &archive, Ref<Archive, ShapePart> part)
{
    archive("count", part.count);
    archive.optional("kinds", part.kinds);
    archive.optional("adjacency", part.adjacency);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, AcceleratorSpec> spec)
{
    archive("kind", spec.kind);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, WorkerSpec> spec)
{
    archive("id", spec.id);
    archive("address", spec.address);
    archive("region", spec.region);
    archive("failure_domain", spec.failureDomain);
    archive("rack", spec.rack);
    archive("cores", spec.cores);
    archive("memory_mb", spec.memoryMegabytes);
    archive("accelerators", spec.accelerators);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, TeamSpec> spec)
{
    archive("id", spec.id);
    archive.optional("share", spec.share);
    archive.optional("quota", spec.quota);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, GuaranteeSpec> spec)
{
    archive("id", spec.id);
    archive("team", spec.team);
    archive("shape", spec.shape.parts);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, JobSpec> spec)
{
    archive("id", spec.id);
    archive("team", spec.team);
    archive("shape", spec.shape.parts);
    archive.optional("urgent", spec.urgent);
    archive.optional("use_guarantee", spec.useGuarantee);
    archive.optional("declared_run_time_ms", spec.declaredRunTime);
    archive.optional("class", spec.jobClass);
    archive.optional("command", spec.command);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, SettingValue> setting)
{
    archive("key", setting.key);
    archive("value", setting.value);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, Placement> placement)
{
    archive("worker", placement.worker);
    archive("accelerators", placement.accelerators);
}

// Events.

template<typename Archive>
void fields(Archive &archive, Ref<Archive, WorkerAdded> event)
{
    archive("worker", event.worker);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, WorkerLost> event)
{
    archive("worker", event.worker);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, WorkerReturned> event)
{
    archive("worker", event.worker);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, WorkerDraining> event)
{
    archive("worker", event.worker);
    archive("draining", event.draining);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, EndpointDraining> event)
{
    archive("service", event.service);
    archive("endpoint", event.address);
    archive("draining", event.draining);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, TeamDeclared> event)
{
    archive("team", event.team);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, GuaranteeGranted> event)
{
    archive("guarantee", event.guarantee);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, GuaranteeWithdrawn> event)
{
    archive("guarantee", event.guarantee);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, JobSubmitted> event)
{
    archive("job", event.job);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, JobCancelled> event)
{
    archive("job", event.job);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, GangStarted> event)
{
    archive("job", event.job);
    archive("fence", event.fence);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, GangStartFailed> event)
{
    archive("job", event.job);
    archive("fence", event.fence);
    archive.optional("culprit", event.failedWorker);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, TaskFailed> event)
{
    archive("job", event.job);
    archive("fence", event.fence);
    archive.optional("culprit", event.failedWorker);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, JobFinished> event)
{
    archive("job", event.job);
    archive("fence", event.fence);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, TasksStopped> event)
{
    archive("job", event.job);
    archive("fence", event.fence);
    archive("checkpointed", event.checkpointed);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, UsageReported> event)
{
    archive("job", event.job);
    archive("fence", event.fence);
    archive("progress", event.progress);
    archive("busy_ms", event.busy);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, SettingChanged> event)
{
    archive("setting", event.setting);
}

template<typename Archive>
void fields(Archive &, Ref<Archive, Tick>)
{
}

// Intents.

template<typename Archive>
void fields(Archive &archive, Ref<Archive, TeamIntent> intent)
{
    fields(archive, intent.team);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, GuaranteeIntent> intent)
{
    archive.optional("withdraw", intent.withdraw);
    if (intent.withdraw) {
        archive("id", intent.guarantee.id);
        archive.optional("team", intent.guarantee.team);
        archive.optional("shape", intent.guarantee.shape.parts);
    } else {
        fields(archive, intent.guarantee);
    }
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, JobIntent> intent)
{
    fields(archive, intent.job);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, CancelIntent> intent)
{
    archive("job", intent.job);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, DrainIntent> intent)
{
    archive.optional("worker", intent.worker);
    archive.optional("service", intent.service);
    if (intent.service.has_value()) {
        archive("endpoint", intent.endpoint);
    }
    archive.optional("draining", intent.draining);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, SettingIntent> intent)
{
    fields(archive, intent.setting);
}

// Commands.

template<typename Archive>
void fields(Archive &archive, Ref<Archive, StartGang> command)
{
    archive("job", command.job);
    archive("fence", command.fence);
    archive("placements", command.placements);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, CheckpointGang> command)
{
    archive("job", command.job);
    archive("fence", command.fence);
    archive("grace_ms", command.grace);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, StopGang> command)
{
    archive("job", command.job);
    archive("fence", command.fence);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, ParkJob> command)
{
    archive("job", command.job);
    archive("reason", command.reason);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, NotifyOperator> command)
{
    archive("severity", command.severity);
    archive("text", command.text);
}

// Plans and views.

template<typename Archive>
void fields(Archive &archive, Ref<Archive, PlannedChange> change)
{
    archive("object", change.object);
    archive("text", change.text);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, PlannedPreemption> preemption)
{
    archive("job", preemption.job);
    archive("team", preemption.team);
    archive("lost_work_ms", preemption.lostWork);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, JobView> view)
{
    archive("job", view.spec);
    archive("phase", view.phase);
    archive("fence", view.fence);
    archive("placements", view.placements);
    archive("on_guarantee", view.onGuarantee);
    archive("submitted_at_ms", view.submittedAt);
    archive.optional("started_at_ms", view.startedAt);
    archive.optional("ended_at_ms", view.endedAt);
    archive("progress", view.progress);
    archive("reason", view.reason);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, TeamView> view)
{
    archive("team", view.spec);
    archive("guarantees", view.guarantees);
    archive("degraded", view.degraded);
    archive("held_accelerators", view.heldAccelerators);
    archive("borrowed_accelerators", view.borrowedAccelerators);
    archive("waiting_jobs", view.waitingJobs);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, WorkerView> view)
{
    archive("worker", view.spec);
    archive("phase", view.phase);
    archive("busy_accelerators", view.busyAccelerators);
}

template<typename Archive>
void fields(Archive &archive, Ref<Archive, ClusterTotals> totals)
{
    archive("accelerators", totals.accelerators);
    archive("free", totals.free);
    archive("waiting_jobs", totals.waitingJobs);
    archive("running_jobs", totals.runningJobs);
    archive("fragmentation", totals.fragmentation);
}

} // namespace heatherquay::state

namespace heatherquay::protocol
{

namespace json = boost::json;

namespace detail
{

template<>
struct EnumNames<state::Adjacency>
{
    static constexpr std::array<EnumName<state::Adjacency>, 5> all{{{state::Adjacency::None, "none"},
                                                                    {state::Adjacency::Worker, "worker"},
                                                                    {state::Adjacency::Rack, "rack"},
                                                                    {state::Adjacency::FailureDomain, "failure_domain"},
                                                                    {state::Adjacency::Region, "region"}}};
};

template<>
struct EnumNames<state::Severity>
{
    static constexpr std::array<EnumName<state::Severity>, 3> all{{{state::Severity::Info, "info"},
                                                                   {state::Severity::Warning, "warning"},
                                                                   {state::Severity::Critical, "critical"}}};
};

template<>
struct EnumNames<state::JobPhase>
{
    static constexpr std::array<EnumName<state::JobPhase>, 7> all{{{state::JobPhase::Waiting, "waiting"},
                                                                   {state::JobPhase::Starting, "starting"},
                                                                   {state::JobPhase::Running, "running"},
                                                                   {state::JobPhase::Stopping, "stopping"},
                                                                   {state::JobPhase::Parked, "parked"},
                                                                   {state::JobPhase::Finished, "finished"},
                                                                   {state::JobPhase::Cancelled, "cancelled"}}};
};

template<>
struct EnumNames<state::WorkerPhase>
{
    static constexpr std::array<EnumName<state::WorkerPhase>, 4> all{{{state::WorkerPhase::Live, "live"},
                                                                      {state::WorkerPhase::Draining, "draining"},
                                                                      {state::WorkerPhase::Probation, "probation"},
                                                                      {state::WorkerPhase::Lost, "lost"}}};
};

} // namespace detail

namespace
{

using detail::FieldReader;
using detail::FieldWriter;

/// JSON names of a variant's alternatives, in the order of the alternatives.
template<typename Variant>
using AlternativeNames = std::array<std::string_view, std::variant_size_v<Variant>>;

constexpr AlternativeNames<state::Event> eventNames{"worker_added",      "worker_lost",         "worker_returned",
                                                    "worker_draining",   "endpoint_draining",   "team_declared",
                                                    "guarantee_granted", "guarantee_withdrawn", "job_submitted",
                                                    "job_cancelled",     "gang_started",        "gang_start_failed",
                                                    "task_failed",       "job_finished",        "tasks_stopped",
                                                    "usage_reported",    "setting_changed",     "tick"};
constexpr AlternativeNames<state::Intent> intentNames{"team", "guarantee", "job", "cancel", "drain", "setting"};
constexpr AlternativeNames<state::Command> commandNames{"start_gang", "checkpoint_gang", "stop_gang", "park_job",
                                                        "notify_operator"};

template<typename Variant>
json::object encodeVariant(std::string_view key, const AlternativeNames<Variant> &names, const Variant &variant)
{
    FieldWriter writer;
    writer(key, std::string(names[variant.index()]));
    std::visit(
        [&writer](const auto &value) {
            fields(writer, value);
        },
        variant);
    return writer.take();
}

/// Reads the alternative called @p name into @p variant. @return whether an alternative has this name
template<typename Variant, std::size_t Index = 0>
bool readAlternative(FieldReader &reader, const AlternativeNames<Variant> &names, std::string_view name,
                     Variant &variant)
{
    if constexpr (Index == std::variant_size_v<Variant>) {
        return false;
    } else {
        if (names[Index] != name) {
            return readAlternative<Variant, Index + 1>(reader, names, name, variant);
        }
        fields(reader, variant.template emplace<Index>());
        return true;
    }
}

template<typename Variant>
Variant decodeVariant(std::string_view key, const AlternativeNames<Variant> &names, const json::value &value,
                      const std::string &path)
{
    FieldReader reader(value, path);
    std::string name;
    reader(key, name);
    Variant variant;
    if (!readAlternative<Variant>(reader, names, name, variant)) {
        std::string allowed;
        for (const std::string_view candidate : names) {
            allowed += (allowed.empty() ? "" : ", ") + std::string(candidate);
        }
        detail::throwFieldError(std::string(key), "has the unknown value \"" + name + "\"", "use one of " + allowed);
    }
    reader.rejectUnknownKeys();
    return variant;
}

json::value parse(std::string_view text)
{
    boost::system::error_code failure;
    json::value value = json::parse(text, failure);
    if (failure) {
        throw Error(ErrorKind::BadInput, "the text is not JSON: " + failure.message(), "send one JSON object");
    }
    return value;
}

template<typename T>
std::string encodeFields(const T &value)
{
    return json::serialize(detail::toJson(value));
}

} // namespace

std::string encode(const state::Event &event)
{
    return json::serialize(encodeVariant<state::Event>("event", eventNames, event));
}

state::Event decodeEvent(std::string_view text)
{
    return decodeVariant<state::Event>("event", eventNames, parse(text), "");
}

std::string encode(const state::Intent &intent)
{
    return json::serialize(encodeVariant<state::Intent>("kind", intentNames, intent));
}

state::Intent decodeIntent(std::string_view text)
{
    state::Intent intent = decodeVariant<state::Intent>("kind", intentNames, parse(text), "");
    const auto *drain = std::get_if<state::DrainIntent>(&intent);
    if (drain != nullptr && drain->worker.has_value() == drain->service.has_value()) {
        detail::throwFieldError("worker", "and \"service\" are both given or both missing",
                                "give either worker, or service and endpoint");
    }
    return intent;
}

std::string encode(const state::Command &command)
{
    return json::serialize(encodeVariant<state::Command>("command", commandNames, command));
}

state::Command decodeCommand(std::string_view text)
{
    return decodeVariant<state::Command>("command", commandNames, parse(text), "");
}

std::string encode(const state::PlanOutcome &outcome)
{
    FieldWriter writer;
    writer("admitted", outcome.admitted);
    writer("refusal", outcome.refusal);
    json::array events;
    for (const state::Event &event : outcome.events) {
        events.push_back(encodeVariant<state::Event>("event", eventNames, event));
    }
    writer("changes", outcome.changes);
    writer("preemptions", outcome.preemptions);
    writer("based_on", outcome.basedOn);
    json::object object = writer.take();
    object["events"] = std::move(events);
    return json::serialize(object);
}

std::string encode(const state::JobView &view)
{
    return encodeFields(view);
}

std::string encode(const state::TeamView &view)
{
    return encodeFields(view);
}

std::string encode(const state::WorkerView &view)
{
    return encodeFields(view);
}

std::string encode(const state::ClusterTotals &totals)
{
    return encodeFields(totals);
}

state::PlanOutcome decodePlanOutcome(std::string_view text)
{
    const json::value value = parse(text);
    FieldReader reader(value, "");
    state::PlanOutcome outcome;
    reader("admitted", outcome.admitted);
    reader("refusal", outcome.refusal);
    reader("changes", outcome.changes);
    reader("preemptions", outcome.preemptions);
    reader("based_on", outcome.basedOn);
    std::vector<json::value> events;
    reader("events", events);
    reader.rejectUnknownKeys();
    for (std::size_t index = 0; index < events.size(); ++index) {
        outcome.events.push_back(
            decodeVariant<state::Event>("event", eventNames, events[index], "events[" + std::to_string(index) + "]"));
    }
    return outcome;
}

} // namespace heatherquay::protocol
