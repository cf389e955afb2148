#pragma once

#include "soak/soak_options.hpp"
#include "soak/soak_report.hpp"

namespace heatherquay::soak
{

/// Plays one round: starts the processes and an emulated platform, runs clients and faults, waits until all accepted
/// jobs have ended, and stops the processes.
/// @param seed selects the faults and what the clients do
/// @param directory receives the logs
SoakReport runRound(const SoakOptions &options, std::uint64_t seed, const std::filesystem::path &directory);

/// Plays all rounds and prints their results. The logs of rounds with violations are kept.
/// @return the number of violations
std::size_t runSoak(const SoakOptions &options);

} // namespace heatherquay::soak
