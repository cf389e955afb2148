#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace heatherquay::soak
{

/// What a soak does.
struct SoakOptions
{
    std::uint64_t seed{1}; ///< Seed of the first round; each further round uses the next one.
    unsigned rounds{1};
    std::chrono::seconds duration{20}; ///< Time with traffic and faults in each round.
    unsigned processes{3};
    unsigned clients{60};
    double rate{0.8}; ///< Requests of one client in a second, on average.
    double submissions{0.15}; ///< Part of the requests that submit a job.
    double share{1}; ///< Part of the time in which a process runs.
    std::vector<std::string> faults; ///< Names from plannedFaults() and unplannedFaults().
    std::filesystem::path logs; ///< Keeps the logs of all rounds; if empty, only those of rounds with violations.
};

/// @return the names of the planned operations: stops, reloads and configuration changes
const std::vector<std::string> &plannedFaults();
/// @return the names of the other faults
const std::vector<std::string> &unplannedFaults();

} // namespace heatherquay::soak
