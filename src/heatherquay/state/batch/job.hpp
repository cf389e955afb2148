#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// What a task holds on a worker.
struct Resources
{
    std::int64_t cpuMillicores{};
    std::int64_t memoryMegabytes{};
    std::int64_t accelerators{};

    bool fitsIn(const Resources &room) const
    {
        return cpuMillicores <= room.cpuMillicores && memoryMegabytes <= room.memoryMegabytes
            && accelerators <= room.accelerators;
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

/// A group of equal tasks of a job.
struct StepSpec
{
    std::uint32_t taskCount{};
    Resources need; ///< Of one task.
    Duration estimate{}; ///< Declared run time of one task; often far off.
    std::vector<std::uint32_t> after; ///< Earlier steps whose tasks must all be done first.
    bool savesProgress{}; ///< A stopped task can resume from its checkpoint.
    bool gang{}; ///< All tasks run together or not at all.
    bool sameRack{}; ///< Tasks slow down when they are spread over racks.
    std::string requiredLabel; ///< A worker without this label cannot run the tasks; empty accepts all.
    std::string dataRack; ///< Tasks slow down on other racks; empty for none.
    std::uint32_t tasksPerWorkerMax{}; ///< 0 sets no bound.
    bool allowDuplicates{};
    bool perpetual{}; ///< Restarted however it ends, until the job is cancelled.
    std::uint32_t mayMiss{};
    std::string image;
    Duration tailTarget{}; ///< Bound on the response times of a perpetual task; zero for none.
    bool fills{}; ///< Processor need does not count; the task takes what the others leave.
};

/// What a queue's placement advice costs; only advised workers may run the queue's steps.
struct AdviceTerms
{
    Duration decision{}; ///< Of one call.
    Duration perWorker{}; ///< Added for each worker that is asked about.
    Duration validity{}; ///< Of the tickets given.
};

/// How the jobs of a queue are treated.
struct QueuePolicy
{
    std::string service; ///< Workers of this service run the tasks.
    std::uint32_t priority{}; ///< 0 is the most urgent and may preempt others.
    std::uint32_t attemptsMax{1};
    double stretch{1}; ///< The objective is this many times the longest chain of work, plus latencyTarget.
    Duration latencyTarget{};
    std::optional<AdviceTerms> advice; ///< None when any worker may be used.
};

/// A job as accepted. Never changes.
struct JobSpec
{
    JobId id;
    std::string queue;
    QueuePolicy policy; ///< Of the queue when the job was accepted; for queues that are dropped meanwhile.
    TeamId team;
    Instant acceptedAt;
    std::string payload; ///< Passed to the workers unchanged.
    std::vector<StepSpec> steps;
    std::uint32_t repetitions{}; ///< 0: the steps run once, at once.
    Instant firstRun;
    Duration interval{};
};

/// Accelerators that are a team's at all times for its jobs of priority 0.
struct TeamGuarantee
{
    TeamId team;
    std::int64_t accelerators{};
};

/// Names one task: job, occurrence, step, index within the step.
struct TaskId
{
    JobId job;
    std::uint32_t occurrence{};
    std::uint32_t step{};
    std::uint32_t index{};

    friend auto operator<=>(const TaskId &, const TaskId &) = default; // NOLINT(modernize-use-nullptr)
};

/// Names one step of an occurrence.
struct StepId
{
    JobId job;
    std::uint32_t occurrence{};
    std::uint32_t step{};

    friend auto operator<=>(const StepId &, const StepId &) = default; // NOLINT(modernize-use-nullptr)
};

/// @return for example "5c0e7a21d94b36f8.0.1"
std::string toString(const StepId &step);
/// @return for example "5c0e7a21d94b36f8.0.1.17"
std::string toString(const TaskId &task);
/// @return nothing when @p text does not name a task
std::optional<TaskId> parseTaskId(const std::string &text);

} // namespace heatherquay::state::batch
