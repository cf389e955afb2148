#pragma once

#include "heatherquay/state/batch/job.hpp"

#include <map>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// One life of a worker process; a restarted worker is another incarnation, at times under the same id.
using Incarnation = StrongId<struct IncarnationTag, std::int64_t>;

/// A worker as it registers itself.
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

    friend bool operator==(const WorkerSpec &, const WorkerSpec &) = default;
};

/// How a run ended on its worker.
enum class EndKind
{
    Done,
    Failed,
    Stopped,
    Lapsed, ///< The worker's lease ran out.
    Broken, ///< Another member of the gang ended.
    Alone ///< The other members of the gang did not come in time.
};

struct RunningReport
{
    TaskId task;
    std::uint32_t run{};
    std::string checkpoint;
    std::uint32_t percent{};
};

struct EndReport
{
    std::uint64_t number{}; ///< Grows within an incarnation.
    TaskId task;
    std::uint32_t run{};
    EndKind kind{EndKind::Done};
    std::string checkpoint;
};

/// What a worker says about its runs.
struct WorkerReport
{
    Incarnation incarnation;
    Instant askedAt; ///< The worker answered after this time.
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
};

} // namespace heatherquay::state::batch
