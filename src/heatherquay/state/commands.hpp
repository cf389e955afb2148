#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace heatherquay::state
{

/// The accelerators of one gang on one worker.
struct Placement
{
    WorkerId worker;
    std::vector<std::uint16_t> accelerators; ///< Indices on the worker, ascending.

    friend bool operator==(const Placement &, const Placement &) = default;
};

/// Starts all members of a gang.
struct StartGang
{
    JobId job;
    Fence fence;
    std::vector<Placement> placements;
};
/// Requests a checkpoint, after which the gang must stop within the grace period.
struct CheckpointGang
{
    JobId job;
    Fence fence;
    Duration grace{};
};
/// Stops all members of a gang without a checkpoint.
struct StopGang
{
    JobId job;
    Fence fence;
};
/// Parks a job: it does not start again and needs an operator.
struct ParkJob
{
    JobId job;
    std::string reason;
};
enum class Severity
{
    Info,
    Warning,
    Critical
};
/// Reports a condition to the operators.
struct NotifyOperator
{
    Severity severity{Severity::Info};
    std::string text;
};

using Command = std::variant<StartGang, CheckpointGang, StopGang, ParkJob, NotifyOperator>;

} // namespace heatherquay::state
