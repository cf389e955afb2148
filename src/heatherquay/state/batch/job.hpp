#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// CPU, memory and accelerators: of a task, or of a worker.
struct Resources
{
    std::int64_t cpuMillicores{};
    std::int64_t memoryMegabytes{};
    std::int64_t accelerators{};

    bool fitsIn(const Resources &available) const
    {
        return cpuMillicores <= available.cpuMillicores && memoryMegabytes <= available.memoryMegabytes
            && accelerators <= available.accelerators;
    }
    Resources &operator+=(const Resources &other)
    {
        cpuMillicores += other.cpuMillicores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        cpuMillicores -= other.cpuMillicores;
        memoryMegabytes -= other.memoryMegabytes;
        accelerators -= other.accelerators;
        return *this;
    }
    friend bool operator==(const Resources &, const Resources &) = default;
};

/// @return the resources as a number of cores; an accelerator counts as eight
double coreEquivalents(const Resources &need);

/// A step of a job: a number of identical tasks.
struct StepSpec
{
    std::uint32_t taskCount{};
    Resources need; ///< Resources that one task requests.
    Duration estimate{}; ///< Declared run time of one task; often inaccurate, see RunEstimates.
    std::vector<std::uint32_t> dependsOn; ///< Indices of earlier steps that must complete before this one starts.
    bool savesProgress{}; ///< Tasks write checkpoints, from which a stopped task resumes.
    bool gang{}; ///< Gang scheduling: all tasks start together or none does.
    bool sameRack{}; ///< Tasks run slower when they are spread over several racks.
    std::string requiredLabel; ///< Only workers with this label can run the tasks; empty means any worker.
    std::string dataRack; ///< Rack of the input data; tasks run slower on other racks. Empty means no preference.
    std::uint32_t tasksPerWorkerMax{}; ///< Limit for this step on one worker; 0 means no limit.
    bool allowDuplicates{};
    bool perpetual{}; ///< Tasks are restarted whenever they end, until the job is cancelled.
    std::uint32_t mayMiss{};
    std::string image;
    Duration tailLatencyTarget{}; ///< Tail latency bound for the requests a perpetual task serves; 0 means none.
    bool bestEffort{}; ///< Tasks run on CPU time that other tasks leave idle; their CPU request is not allocated.
};

/// Timing of the placement advice service of a queue. Steps of such a queue run only on workers that the service
/// approves.
struct AdviceTiming
{
    Duration decision{}; ///< Fixed time of one call.
    Duration perWorker{}; ///< Time that each worker in the call adds.
    Duration validity{}; ///< Lifetime of the returned tickets.
};

/// Scheduling policy of the jobs in a queue.
struct QueuePolicy
{
    std::string service; ///< Service whose workers run the tasks.
    std::uint32_t priority{}; ///< 0 is the most urgent. Urgent jobs and gangs may preempt work of a higher number.
    std::uint32_t attemptsMax{1};
    double stretch{1}; ///< A job should complete within stretch * critical path + latencyTarget.
    Duration latencyTarget{};
    std::optional<AdviceTiming> advice; ///< Empty when any worker may be used.
};

/// A job as accepted. Immutable.
struct JobSpec
{
    JobId id;
    std::string queue;
    QueuePolicy policy; ///< The queue's policy at acceptance, used when the queue no longer exists.
    TeamId team;
    Instant acceptedAt;
    std::string payload; ///< Passed to the workers unchanged.
    std::vector<StepSpec> steps;
    std::uint32_t repetitions{}; ///< Number of occurrences; 0 means one immediate run.
    Instant firstRun;
    Duration interval{};
};

/// @return the wall time at which an occurrence is due; the latest representable time when it lies beyond
Instant dueTime(const JobSpec &job, std::uint32_t occurrence);
/// @return the number of tasks of one occurrence
std::uint64_t taskCount(const JobSpec &job);

/// Number of accelerators that a team's priority-0 jobs can obtain at any time.
struct TeamGuarantee
{
    TeamId team;
    std::int64_t accelerators{};
};

/// Identifies one task by job, occurrence, step and index within the step.
struct TaskId
{
    JobId job;
    std::uint32_t occurrence{};
    std::uint32_t step{};
    std::uint32_t index{};

    friend auto operator<=>(const TaskId &, const TaskId &) = default; // NOLINT(modernize-use-nullptr)
};

/// Identifies one step of an occurrence.
struct StepId
{
    JobId job;
    std::uint32_t occurrence{};
    std::uint32_t step{};

    friend auto operator<=>(const StepId &, const StepId &) = default; // NOLINT(modernize-use-nullptr)
};

/// @return the dotted form, for example "5c0e7a21d94b36f8.0.1"
std::string toString(const StepId &step);
/// @return the dotted form, for example "5c0e7a21d94b36f8.0.1.17"
std::string toString(const TaskId &task);
/// @return the task, or std::nullopt when @p text is not a dotted task ID
std::optional<TaskId> parseTaskId(const std::string &text);

} // namespace heatherquay::state::batch
