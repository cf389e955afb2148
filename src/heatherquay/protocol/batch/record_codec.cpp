#include "heatherquay/protocol/batch/record_codec.hpp"

#include "heatherquay/protocol/json_fields.hpp"
#include "heatherquay/state/batch/job_limits.hpp"

namespace heatherquay::protocol::detail
{

using state::batch::JobState;

template<>
struct EnumNames<JobState>
{
    static constexpr EnumName<JobState> all[]{{JobState::Queued, "queued"},
                                              {JobState::Running, "running"},
                                              {JobState::Completed, "completed"},
                                              {JobState::Failed, "failed"},
                                              {JobState::Cancelled, "cancelled"}};
};

} // namespace heatherquay::protocol::detail

// The fields of each type; encoding and decoding share one list.
namespace heatherquay::state::batch
{

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<Resources> value)
{
    archive("cpuMillicores", value.cpuMillicores);
    archive("memoryMegabytes", value.memoryMegabytes);
    archive("accelerators", value.accelerators);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<StepSpec> value)
{
    archive("tasks", value.taskCount);
    archive("need", value.need);
    archive("estimate", value.estimate);
    archive.optional("after", value.dependsOn);
    archive.optional("savesProgress", value.savesProgress);
    archive.optional("gang", value.gang);
    archive.optional("sameRack", value.sameRack);
    archive.optional("requiredLabel", value.requiredLabel);
    archive.optional("dataRack", value.dataRack);
    archive.optional("tasksPerWorkerMax", value.tasksPerWorkerMax);
    archive.optional("allowDuplicates", value.allowDuplicates);
    archive.optional("perpetual", value.perpetual);
    archive.optional("mayMiss", value.mayMiss);
    archive.optional("image", value.image);
    archive.optional("tailTarget", value.tailLatencyTarget);
    archive.optional("fills", value.bestEffort);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<AdviceTiming> value)
{
    archive("decision", value.decision);
    archive("perWorker", value.perWorker);
    archive("validity", value.validity);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<QueuePolicy> value)
{
    archive("service", value.service);
    archive("priority", value.priority);
    archive("attemptsMax", value.attemptsMax);
    archive("stretch", value.stretch);
    archive("latencyTarget", value.latencyTarget);
    archive.optional("advice", value.advice);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<JobSpec> value)
{
    archive("id", value.id);
    archive("queue", value.queue);
    archive("policy", value.policy);
    archive.optional("team", value.team.value);
    archive("acceptedAt", value.acceptedAt);
    archive("payload", value.payload);
    archive("steps", value.steps);
    archive.optional("repetitions", value.repetitions);
    archive.optional("firstRun", value.firstRun);
    archive.optional("interval", value.interval);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<UnitRecord> value)
{
    archive("s", value.step);
    archive("i", value.first);
    archive("r", value.run);
    archive.optional("f", value.failures);
    archive.optional("q", value.failedRun);
    archive.optional("d", value.done);
    archive.optional("c", value.checkpoint);
    archive.optional("w", value.workers);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<OccurrenceRecord> value)
{
    archive("job", value.job);
    archive("occurrence", value.occurrence);
    archive("units", value.units);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<ScheduleRecord> value)
{
    archive("job", value.job);
    archive("finishedBefore", value.finishedBefore);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<WorkerSpeed> value)
{
    archive("worker", value.worker);
    archive("incarnation", value.incarnation);
    archive("slowness", value.slowness);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<QueueEstimate> value)
{
    archive("queue", value.queue);
    archive("runs", value.runs);
    archive("meanMilliseconds", value.meanMilliseconds);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<RunKindRecord> value)
{
    archive("queue", value.queue);
    archive.optional("image", value.image);
    archive.optional("shape", value.shape);
    archive("runs", value.runs);
    archive("fit", value.fit);
    archive("q", value.quantiles);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<RunTimesRecord> value)
{
    archive("version", value.version);
    archive("kinds", value.kinds);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<TeamUse> value)
{
    archive("team", value.team);
    archive("cores", value.cores);
    archive("memory", value.memory);
    archive("accelerators", value.accelerators);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<LearnedRecord> value)
{
    archive("workers", value.workers);
    archive("queues", value.queues);
    archive.optional("teams", value.teams);
    archive.optional("teamsAt", value.teamsAt);
}

template<typename Archive>
void fields(Archive &archive, typename Archive::template Ref<JobStatus> value)
{
    archive("queue", value.queue);
    archive("state", value.state);
}

} // namespace heatherquay::state::batch

namespace heatherquay::protocol::batch
{

namespace detail
{

template<typename T>
T decode(const std::string &text, const char *what)
{
    boost::system::error_code error;
    const boost::json::value json = boost::json::parse(text, error);
    if (error) {
        throw Error(ErrorKind::BadInput, std::string(what) + " is not JSON: " + error.message(),
                    "restore the value that the row had before another program changed it");
    }
    T value;
    protocol::detail::fromJson(json, value, what);
    return value;
}

template<typename T>
std::string encode(const T &value)
{
    return boost::json::serialize(protocol::detail::toJson(value));
}

} // namespace detail

std::string encodeJob(const state::batch::JobSpec &job)
{
    return detail::encode(job);
}

state::batch::JobSpec decodeJob(const std::string &text)
{
    auto job = detail::decode<state::batch::JobSpec>(text, "job");
    if (const auto problem = state::batch::findProblem(job)) {
        const std::string step = problem->step ? "step " + std::to_string(*problem->step) : "the job";
        throw Error(ErrorKind::BadInput, "a field of " + step + " " + problem->text,
                    "submit the job with values within docs/job-limits.md");
    }
    return job;
}

std::string encodeOccurrence(const state::batch::OccurrenceRecord &record)
{
    return detail::encode(record);
}

state::batch::OccurrenceRecord decodeOccurrence(const std::string &text)
{
    return detail::decode<state::batch::OccurrenceRecord>(text, "occurrence");
}

std::string encodeSchedule(const state::batch::ScheduleRecord &record)
{
    return detail::encode(record);
}

state::batch::ScheduleRecord decodeSchedule(const std::string &text)
{
    return detail::decode<state::batch::ScheduleRecord>(text, "schedule");
}

std::string encodeLearned(const state::batch::LearnedRecord &learned)
{
    return detail::encode(learned);
}

state::batch::LearnedRecord decodeLearned(const std::string &text)
{
    return detail::decode<state::batch::LearnedRecord>(text, "learned");
}

std::string encodeRunTimes(const state::batch::RunTimesRecord &record)
{
    return detail::encode(record);
}

state::batch::RunTimesRecord decodeRunTimes(const std::string &text)
{
    return detail::decode<state::batch::RunTimesRecord>(text, "run times");
}

std::string encodeStatus(const state::batch::JobStatus &status)
{
    return detail::encode(status);
}

state::batch::JobStatus decodeStatus(const state::JobId &job, const std::string &text)
{
    auto status = detail::decode<state::batch::JobStatus>(text, "status");
    status.job = job;
    return status;
}

} // namespace heatherquay::protocol::batch
