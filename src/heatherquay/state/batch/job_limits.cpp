#include "heatherquay/state/batch/job_limits.hpp"

#include <algorithm>
#include <array>

namespace heatherquay::state::batch
{

namespace detail
{

struct BoundedNumber
{
    JobField field;
    std::int64_t value{};
    std::int64_t least{};
    std::int64_t most{};
};

std::optional<JobProblem> findProblem(const BoundedNumber &number, std::optional<std::size_t> step)
{
    if (number.value >= number.least && number.value <= number.most) {
        return std::nullopt;
    }
    return JobProblem{number.field, step,
                      "is not between " + std::to_string(number.least) + " and " + std::to_string(number.most)};
}

std::optional<JobProblem> findProblem(const StepSpec &step, std::size_t index)
{
    const std::array numbers{
        BoundedNumber{JobField::TaskCount, step.taskCount, 1, step.gang ? tasksPerGangMax : tasksPerStepMax},
        BoundedNumber{JobField::Cpu, step.need.cpuMillicores, 0, resourceMax},
        BoundedNumber{JobField::Memory, step.need.memoryMegabytes, 0, resourceMax},
        BoundedNumber{JobField::Accelerators, step.need.accelerators, 0, resourceMax},
        BoundedNumber{JobField::Estimate, step.estimate.count(), 0, durationMax.count()},
        BoundedNumber{JobField::TailLatencyTarget, step.tailLatencyTarget.count(), 0, durationMax.count()}};
    for (const BoundedNumber &number : numbers) {
        if (auto problem = findProblem(number, index)) {
            return problem;
        }
    }
    const bool earlierOnly = std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [index](std::uint32_t before) {
        return before < index;
    });
    return earlierOnly
        ? std::nullopt
        : std::optional(JobProblem{JobField::DependsOn, index, "does not contain only indices of earlier steps"});
}

} // namespace detail

std::optional<JobProblem> findProblem(const JobSpec &job)
{
    if (job.payload.size() > payloadBytesMax) {
        return JobProblem{JobField::Payload, {}, "is longer than " + std::to_string(payloadBytesMax) + " bytes"};
    }
    if (job.steps.empty() || job.steps.size() > stepsPerJobMax) {
        return JobProblem{JobField::Steps, {}, "is not a list of 1 to " + std::to_string(stepsPerJobMax) + " steps"};
    }
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (auto problem = detail::findProblem(job.steps[i], i)) {
            return problem;
        }
    }
    if (taskCount(job) > tasksPerOccurrenceMax) {
        return JobProblem{
            JobField::Steps, {}, "has more than " + std::to_string(tasksPerOccurrenceMax) + " tasks in total"};
    }
    const detail::BoundedNumber firstRun{JobField::FirstRun, job.firstRun.time_since_epoch().count(), 0,
                                         Instant::max().time_since_epoch().count()};
    if (auto problem = detail::findProblem(firstRun, {})) {
        return problem;
    }
    return detail::findProblem({JobField::Interval, job.interval.count(), 0, durationMax.count()}, {});
}

} // namespace heatherquay::state::batch
