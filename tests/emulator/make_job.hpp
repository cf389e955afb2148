#pragma once

#include "heatherquay/state/batch/job.hpp"

#include <cstdint>
#include <string>

namespace heatherquay::test
{

/// @return a job with one step in queue "batch"
state::batch::JobSpec makeJob(const std::string &id, std::uint32_t tasks, const state::batch::Resources &need,
                              state::Duration estimate);

} // namespace heatherquay::test
