#pragma once

#include "heatherquay/state/batch/progress.hpp"
#include "heatherquay/state/batch/worker.hpp"
#include "heatherquay/state/batch/worker_speed.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace heatherquay::state::batch
{

/// Phase of a task's run, as far as the decider knows.
enum class RunPhase
{
    Reserved, ///< Resources are reserved; evicted runs must end before the start.
    Planned, ///< The start is to be recorded and then sent.
    Ordered, ///< The start order is sent and not answered yet.
    Uncertain, ///< The start order timed out; the worker may still execute it.
    Running,
    Gone ///< Ended, or will never start.
};

/// Why the present run of a unit is stopped, for the log.
enum class StopReason
{
    Evicted, ///< For the job in Unit::stoppedFor.
    GangIncomplete, ///< Not all members of the gang started in time.
    MemberEnded, ///< A member failed or was ended by its worker.
    WorkerLost, ///< The worker of a member was given up.
    Hung,
    Cancelled,
    JobFailed,
    Superseded, ///< The unit is done.
    StartFailed, ///< A member did not start, or its start was not answered.
    Withdrawn ///< Its worker takes no new runs.
};

/// One task of a unit that is placed on a worker.
struct Member
{
    WorkerId worker;
    Incarnation incarnation; ///< 0 when a predecessor started the run and the worker has not reported it since.
    RunPhase phase{RunPhase::Planned};
    Instant orderAnsweredAt; ///< When the latest order was answered; answers to later polls reflect its effect.
    bool stopWanted{};
    bool stopAnswered{};
    bool stopPending{}; ///< A stop order is queued or sent, and its outcome is not known yet.
    Instant stopTriedAt; ///< When the outcome of the latest stop order became known.
    std::uint32_t startAttempts{};
    bool maybeSent{}; ///< An order without an answer may have reached the worker.
    std::uint32_t percent{}; ///< Progress of the task.
    bool percentKnown{}; ///< The progress was reported, or the run started without a checkpoint.
    Instant progressAt; ///< When the progress last changed.
    Instant reportedAt; ///< When the worker last listed the run.
    double millisecondsPerPercent{}; ///< Latest pace of the run; 0 until it is measured between two reports.
    double averagePace{}; ///< Milliseconds per percent since paceSince; 0 until it is measured.
    Instant paceSince; ///< Start of the run, or the latest change of its worker's speed; zero while unknown.
    std::uint32_t paceSincePercent{}; ///< Progress at that time.
    SpeedObservation speed; ///< Contribution to the estimate of the worker's speed.
    std::int64_t usage{}; ///< As last reported, see RunningReport.
    std::optional<std::uint32_t> pace; ///< Share in percent at which a best-effort run may work; empty while unknown.
    bool pacePending{}; ///< A pace order is queued or sent, and its outcome is not known yet.
    Instant paceTriedAt; ///< When the outcome of the latest pace order became known.
    Instant startedAt;
    bool startSeen{}; ///< startedAt is when the task began from nothing, so that its run time is that of a whole task.
    Instant confirmedAt; ///< When the worker first confirmed the run to this decider; zero before.
};

/// The part of a unit's state that its latest record holds.
struct RecordedState
{
    std::uint32_t run{};
    std::uint32_t failures{};
    std::uint32_t failedRun{};
    bool done{};
    bool active{}; ///< The record lists the workers of the run.
    std::string checkpoint; ///< Only while the unit has no active run: its worker reports newer ones.

    friend bool operator==(const RecordedState &, const RecordedState &) = default;
};

/// Tasks that start together: all tasks of a gang, or a single task otherwise.
struct Unit
{
    std::uint32_t step{};
    std::uint32_t first{}; ///< Index of its first task.
    std::uint32_t block{}; ///< Units of a block are recorded together.
    RecordedState recorded;
    std::uint32_t run{};
    std::uint32_t failures{};
    std::uint32_t failedRun{}; ///< Latest run counted in failures; 0 for none.
    bool done{};
    bool stopping{}; ///< The present run is being stopped.
    StopReason stopReason{}; ///< Valid while the run is being stopped.
    JobId stoppedFor; ///< The job for which the present run was evicted.
    std::string checkpoint;
    /// Milliseconds per percent that its latest run takes, or has taken, on a worker of normal speed; 0 while unknown.
    double normalizedPace{};
    std::vector<Member> members; ///< Empty while the unit is not placed.
    WorkerId avoided; ///< Worker on which the last run failed or hung.
    std::uint32_t stallsBeforeProgress{}; ///< Runs stopped as hung while the pace of the step was unknown.
    std::uint32_t evictions{}; ///< Number of preemptions by more urgent work.
    bool gangComplete{}; ///< All members of the present run were there at the same time.
    std::string reservedRack; ///< Rack reserved for this gang until it fits there.
    Instant waitingSince;
    Instant readySince; ///< When a pass first found that its turn has come; zero before.
    Instant lostSince; ///< Last sign of life of a lasting run that was given up; becomes readySince.
    Duration placementPause{}; ///< Latest pause after the unit found no place; zero once it is placed.
    Instant placeAgainAt; ///< The unit found no place; it is not tried again before this time.
    Instant startedAt;

    bool waiting() const
    {
        return !done && members.empty();
    }
};

/// @return the number of units of a step
inline std::uint32_t unitCount(const StepSpec &step)
{
    return step.gang ? std::min(step.taskCount, 1U) : step.taskCount;
}

/// One execution of all steps of a job.
struct Occurrence
{
    std::uint32_t number{};
    Instant dueAt;
    std::vector<Unit> units;
    std::vector<std::uint32_t> unitsLeft; ///< Number of units not done, by step.
    bool changed{}; ///< Has changes that are not recorded yet.
    bool needsRewrite{}; ///< Was restored from records with other blocks.
    bool finished{};
};

/// A job that has not ended, or whose end is not recorded yet.
struct Job
{
    JobSpec spec;
    QueuePolicy policy;
    JobState state{JobState::Queued};
    bool statusChanged{};
    bool cancelWanted{};
    JobHistory history;
    /// Occurrences that have become due, by number. A limited number is open at a time; the others follow as these
    /// finish.
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t occurrencesFinished{};
    std::uint32_t occurrencesOpened{};
    std::uint32_t finishedBefore{}; ///< Occurrences below this number have finished and were removed.
    std::uint32_t recordedFinishedBefore{}; ///< The value that the latest record of the schedule holds.
};

} // namespace heatherquay::state::batch
