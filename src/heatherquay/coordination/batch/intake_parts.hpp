#pragma once

#include "heatherquay/state/ids.hpp"

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Number of parts of the store that can hold accepted jobs. Every process reads all of them, so that processes that
/// write to different numbers of parts understand each other. A decider that starts needs an answer of each part, so
/// that more parts make a failover during a partial outage less likely to succeed.
constexpr std::uint32_t intakePartsMax = 2;

/// Intake parts that hold rows of one job.
using IntakePartSet = std::bitset<intakePartsMax>;

/// @param index number of the part, less than intakePartsMax
/// @return the name of the part; that of the first one is the name that earlier versions use for all jobs
std::string intakePartName(std::uint32_t index);

/// @return the names of all intake parts, in the order of their numbers
std::vector<std::string> intakePartNames();

/// @return the number of the intake part; nothing for other parts
std::optional<std::uint32_t> intakePartIndex(std::string_view part);

/// Orders the parts for a new job: the first one by a hash of the job's id, so that repeated submissions meet in it,
/// then the others, for the case that it does not answer.
/// @param parts number of parts in use, from 1 to intakePartsMax
std::vector<std::string> orderIntakeParts(const state::JobId &job, std::uint32_t parts);

/// @return the name of the first part of the set; nothing when the set is empty
std::optional<std::string> firstIntakePart(const IntakePartSet &parts);

} // namespace heatherquay::coordination::batch
