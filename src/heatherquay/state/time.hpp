#pragma once

#include <chrono>

namespace heatherquay::state
{

/// Time span with the resolution of the decision core, one millisecond.
using Duration = std::chrono::milliseconds;

/// Wall-clock time; callers pass it to the decision core, which reads no clock.
using Instant = std::chrono::sys_time<Duration>;

} // namespace heatherquay::state
