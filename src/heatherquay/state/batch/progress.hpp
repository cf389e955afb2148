#pragma once

#include "heatherquay/state/batch/job.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

enum class JobState
{
    Queued, ///< No task has begun.
    Running, ///< A worker has confirmed that a task has begun; stays so when that run is stopped.
    Completed,
    Failed,
    Cancelled
};

inline bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// Persisted state of a unit: all tasks of a gang, or a single task otherwise.
struct UnitRecord
{
    std::uint32_t step{};
    std::uint32_t first{}; ///< Index of its first task.
    std::uint32_t run{}; ///< Number of the latest run; 0 before the first start.
    std::uint32_t failures{};
    std::uint32_t failedRun{}; ///< Latest run counted in failures, so that a repeated report does not count twice.
    bool done{};
    std::string checkpoint;
    std::vector<WorkerId> workers; ///< One entry per task while the latest run may still exist; empty otherwise.

    friend bool operator==(const UnitRecord &, const UnitRecord &) = default;
};

/// Persisted state of a block of consecutive units of one occurrence of a job. Omits units that never started.
struct OccurrenceRecord
{
    JobId job;
    std::uint32_t occurrence{};
    std::uint32_t block{}; ///< Unit::block of the units; not stored, because the key of the row holds it.
    std::vector<UnitRecord> units;
};

/// Position of a recurring job in its schedule.
struct ScheduleRecord
{
    JobId job;
    std::uint32_t finishedBefore{}; ///< All occurrences below this number have finished; their records are not kept.
};

/// Learned speed of a worker.
struct WorkerSpeed
{
    WorkerId worker;
    std::int64_t incarnation{}; ///< The value is void after a restart, which may change the worker's hardware.
    double slowness{1}; ///< Run time relative to the expected one.
};

/// Learned run time of the tasks of a queue.
struct QueueEstimate
{
    std::string queue;
    std::uint32_t runs{};
    double meanMilliseconds{};
};

/// Learned distribution of the run times of a kind, see RunTimeModel. Numbers are hundredths, and times are natural
/// logarithms of milliseconds.
struct RunKindRecord
{
    std::string queue;
    std::string image; ///< Empty for all runs of the queue.
    std::string shape; ///< Empty for all runs of the image.
    std::uint64_t runs{};
    std::vector<std::int64_t> fit; ///< Number of runs, mean declared time, slope and the slope's weight.
    std::vector<std::int64_t> quantiles; ///< 0.1, 0.3, 0.5, 0.7, 0.85, 0.925 and 0.975.
};

/// Learned distributions, persisted in a row of their own.
struct RunTimesRecord
{
    std::uint32_t version{1}; ///< A row of another version is ignored.
    std::vector<RunKindRecord> kinds;
};

/// Use of a team, as shares of the capacity of all workers, averaged over time; see TeamShares.
struct TeamUse
{
    TeamId team;
    double cores{};
    double memory{};
    double accelerators{};
};

/// Learned estimates, persisted so that a successor starts with them.
struct LearnedRecord
{
    std::vector<WorkerSpeed> workers;
    std::vector<QueueEstimate> queues;
    std::vector<TeamUse> teams;
    Instant teamsAt; ///< Wall time of the teams' averages.
};

/// What delayed a job, as far as the present decider knows.
struct JobHistory
{
    Duration firstStart{}; ///< Time from acceptance to the first planned start; zero before.
    Duration lastStart{}; ///< Time from acceptance to the latest planned start; zero before.
    std::uint32_t evictions{}; ///< Preemptions of its units.
};

/// Status of a job as its callers see it.
struct JobStatus
{
    JobId job;
    std::string queue;
    JobState state{JobState::Queued};
    Duration age{}; ///< Time from acceptance to the change to this state; not stored.
    JobHistory history; ///< Not stored.
    TeamId team; ///< Not stored.
    std::uint32_t priority{}; ///< Not stored.
    Duration objective{}; ///< Time to completion that the scheduler aims at, by its estimates; not stored.
    Duration expected{}; ///< Critical path of one occurrence, by the scheduler's estimates; not stored.
};

} // namespace heatherquay::state::batch
