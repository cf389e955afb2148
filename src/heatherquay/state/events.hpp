#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/shape.hpp"
#include "heatherquay/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heatherquay::state
{

struct AcceleratorSpec
{
    std::string kind;

    friend bool operator==(const AcceleratorSpec &, const AcceleratorSpec &) = default;
};

/// A worker's identity, location and hardware, as the inventory reports them.
struct WorkerSpec
{
    WorkerId id;
    std::string address; ///< IP address and port of the worker's interface.
    RegionId region;
    FailureDomainId failureDomain;
    RackId rack;
    std::uint32_t cores{};
    std::uint64_t memoryMegabytes{};
    std::vector<AcceleratorSpec> accelerators; ///< The position is AcceleratorId::index.

    friend bool operator==(const WorkerSpec &, const WorkerSpec &) = default;
};

struct TeamSpec
{
    TeamId id;
    std::uint32_t share{1}; ///< Weight of the team in fair sharing of the free accelerators.
    std::uint32_t quota{}; ///< Most accelerators that the team may hold; 0 for no limit.

    friend bool operator==(const TeamSpec &, const TeamSpec &) = default;
};

struct GuaranteeSpec
{
    GuaranteeId id;
    TeamId team;
    Shape shape;

    friend bool operator==(const GuaranteeSpec &, const GuaranteeSpec &) = default;
};

struct JobSpec
{
    JobId id;
    TeamId team;
    Shape shape; ///< The accelerators of the whole gang.
    bool urgent{};
    bool useGuarantee{true}; ///< Whether the job may claim its team's guarantee; otherwise it only borrows.
    Duration declaredRunTime{}; ///< The team's own estimate, which may be wrong.
    /// Jobs of one class are expected to behave alike: run times are learned per class and accelerator kind.
    std::string jobClass;
    std::string command; ///< Passed to the workers without interpretation.

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// A setting that can change at run time, with its key and its value as text.
struct SettingValue
{
    std::string key;
    std::string value;

    friend bool operator==(const SettingValue &, const SettingValue &) = default;
};

// Events.

/// Adds a worker. A lost worker with the same id is readmitted if its specification is unchanged; otherwise it is
/// replaced, which requires that its old tasks have stopped.
struct WorkerAdded
{
    WorkerSpec worker;
};
/// The worker is unreachable. The sender has waited until the worker's lease expired, so its tasks have stopped.
struct WorkerLost
{
    WorkerId worker;
};
/// A lost worker is reachable again.
struct WorkerReturned
{
    WorkerId worker;
};
/// Starts or ends the draining of a worker. A draining worker gets no new work, and its gangs are preempted.
struct WorkerDraining
{
    WorkerId worker;
    bool draining{true};
};
/// Starts or ends the draining of an endpoint. A draining endpoint gets no new requests.
struct EndpointDraining
{
    ServiceId service;
    std::string address; ///< IP address and port.
    bool draining{true};
};
/// Adds a team or replaces its specification.
struct TeamDeclared
{
    TeamSpec team;
};
struct GuaranteeGranted
{
    GuaranteeSpec guarantee;
};
struct GuaranteeWithdrawn
{
    GuaranteeId guarantee;
};
struct JobSubmitted
{
    JobSpec job;
};
struct JobCancelled
{
    JobId job;
};
/// All members of the gang accepted the start.
struct GangStarted
{
    JobId job;
    Fence fence;
};
/// At least one member of the gang did not start. All members have stopped or their leases have expired.
struct GangStartFailed
{
    JobId job;
    Fence fence;
    std::optional<WorkerId> failedWorker; ///< The worker that refused the start or did not respond, if known.
};
/// A running task failed. All members of its gang have stopped or their leases have expired.
struct TaskFailed
{
    JobId job;
    Fence fence;
    std::optional<WorkerId> failedWorker; ///< The worker of the failed task, if known.
};
/// All tasks of the job's gang have finished successfully.
struct JobFinished
{
    JobId job;
    Fence fence;
};
/// All tasks of a gang have stopped after StopGang or CheckpointGang, so its accelerators are free.
struct TasksStopped
{
    JobId job;
    Fence fence;
    bool checkpointed{}; ///< Whether a checkpoint saved the work done so far.
};
/// Progress of a running gang. The report may arrive late.
struct UsageReported
{
    JobId job;
    Fence fence;
    double progress{}; ///< Fraction of the work that is done, 0 to 1; negative if unknown.
    Duration busy{}; ///< Run time of the gang since its current start.
};
/// A setting has a new value.
struct SettingChanged
{
    SettingValue setting;
};
/// Time has passed. Runs a scheduling pass, in which deadlines expire, waiting jobs age and reservations are made.
struct Tick
{
};

using Event = std::variant<WorkerAdded, WorkerLost, WorkerReturned, WorkerDraining, EndpointDraining, TeamDeclared,
                           GuaranteeGranted, GuaranteeWithdrawn, JobSubmitted, JobCancelled, GangStarted,
                           GangStartFailed, TaskFailed, JobFinished, TasksStopped, UsageReported, SettingChanged, Tick>;

} // namespace heatherquay::state
