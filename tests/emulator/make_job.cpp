#include "emulator/make_job.hpp"

namespace heatherquay::test
{

state::batch::JobSpec makeJob(const std::string &id, std::uint32_t tasks, const state::batch::Resources &need,
                              state::Duration estimate)
{
    state::batch::JobSpec job;
    job.id.value = id;
    job.queue = "batch";
    job.team.value = "team";
    state::batch::StepSpec &step = job.steps.emplace_back();
    step.taskCount = tasks;
    step.need = need;
    step.estimate = estimate;
    return job;
}

} // namespace heatherquay::test
