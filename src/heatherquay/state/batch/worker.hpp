#pragma once

#include "heatherquay/state/batch/job.hpp"

#include <map>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// Identifies one lifetime of a worker process. A restarted worker has a higher incarnation and may keep its ID.
using Incarnation = StrongId<struct IncarnationTag, std::int64_t>;

/// Registration of a worker.
struct WorkerSpec
{
    WorkerId id;
    Incarnation incarnation;
    std::string service;
    std::string address;
    FailureDomainId failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining{};
    Duration coldRemaining{}; ///< How much longer the worker is slow after its start; goes down between registrations.

    friend bool operator==(const WorkerSpec &, const WorkerSpec &) = default;
};

/// How a run ended on its worker.
enum class EndKind
{
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< The worker's lease expired.
    GangMemberEnded, ///< Another gang member ended.
    GangIncomplete ///< The other gang members did not start in time.
};

/// An active run.
struct RunningReport
{
    TaskId task;
    std::uint32_t run{};
    std::string checkpoint;
    std::uint32_t percent{};
    /// Of a task with a latency target, the tail of its response times in milliseconds; of any other task, the CPU in
    /// use in millicores. Both over about the last half second.
    std::int64_t usage{};
};

/// The end of a run.
struct EndReport
{
    std::uint64_t number{}; ///< Increases within an incarnation.
    TaskId task;
    std::uint32_t run{};
    EndKind kind{EndKind::Done};
    std::string checkpoint;
};

/// A worker's answer to a poll: its active runs and its ends that are not confirmed yet.
struct WorkerReport
{
    Incarnation incarnation;
    Instant askedAt; ///< When the poll was sent.
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
    bool endsComplete{true}; ///< False when the worker may have more ends than it reports at a time.
};

} // namespace heatherquay::state::batch
