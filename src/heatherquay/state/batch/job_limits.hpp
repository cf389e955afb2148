#pragma once

#include "heatherquay/state/batch/job.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace heatherquay::state::batch
{

// Bounds of what a job can carry. docs/job-limits.md says where each one comes from.
constexpr std::size_t payloadBytesMax = 4'000;
constexpr std::size_t stepsPerJobMax = 1'000;
constexpr std::uint32_t tasksPerStepMax = 10'000;
constexpr std::uint64_t tasksPerOccurrenceMax = 100'000;
constexpr std::uint32_t tasksPerGangMax = 1'000;
constexpr std::int64_t resourceMax = 1'000'000'000'000; ///< Of a task and of a worker, in each unit.
constexpr Duration durationMax = std::chrono::hours(24) * 365 * 100;

/// A part of a job that has a bound.
enum class JobField
{
    Payload,
    Steps,
    TaskCount,
    DependsOn,
    Cpu,
    Memory,
    Accelerators,
    Estimate,
    TailLatencyTarget,
    FirstRun,
    Interval
};

/// A part of a job that is beyond its bound.
struct JobProblem
{
    JobField field{};
    std::optional<std::size_t> step; ///< Index of the step that has the field; empty for a field of the job.
    std::string text; ///< What is wrong, to follow the name of the field.
};

/// Checks all bounds. Acceptance and the decoder of stored jobs both use it, so that an accepted job can be decoded.
/// @return the first problem; nothing when the job can be carried
std::optional<JobProblem> findProblem(const JobSpec &job);

} // namespace heatherquay::state::batch
