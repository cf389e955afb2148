#include "heatherquay/state/batch/job.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace heatherquay::state::batch
{

double coreEquivalents(const Resources &need)
{
    constexpr double coresPerAccelerator = 8;
    return static_cast<double>(need.cpuMillicores) / 1'000
        + coresPerAccelerator * static_cast<double>(need.accelerators);
}

Instant dueTime(const JobSpec &job, std::uint32_t occurrence)
{
    if (job.repetitions == 0) {
        return job.acceptedAt;
    }
    const Duration left = Instant::max() - std::max(job.firstRun, Instant{});
    const bool representable = job.interval.count() == 0 || occurrence <= left / job.interval;
    return representable ? job.firstRun + job.interval * occurrence : Instant::max();
}

std::uint64_t taskCount(const JobSpec &job)
{
    std::uint64_t count = 0;
    for (const StepSpec &step : job.steps) {
        count += step.taskCount;
    }
    return count;
}

std::string toString(const StepId &step)
{
    return step.job.value + "." + std::to_string(step.occurrence) + "." + std::to_string(step.step);
}

std::string toString(const TaskId &task)
{
    return task.job.value + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

std::optional<TaskId> parseTaskId(const std::string &text)
{
    TaskId task;
    const std::array<std::uint32_t *, 3> numbers{&task.index, &task.step, &task.occurrence};
    std::size_t end = text.size();
    for (std::uint32_t *number : numbers) {
        const std::size_t dot = end == 0 ? std::string::npos : text.rfind('.', end - 1);
        if (dot == std::string::npos || dot + 1 == end) {
            return std::nullopt;
        }
        const char *first = text.data() + dot + 1;
        const char *last = text.data() + end;
        const auto [parsed, error] = std::from_chars(first, last, *number);
        if (error != std::errc{} || parsed != last) {
            return std::nullopt;
        }
        end = dot;
    }
    task.job.value = text.substr(0, end);
    return task.job.value.empty() ? std::nullopt : std::optional(task);
}

} // namespace heatherquay::state::batch
