#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/state/ids.hpp"

#include <string>

namespace heatherquay::coordination::batch
{

// Tables. Every process mirrors the board; only the decider mirrors the jobs and reads the progress table.
constexpr const char *boardTable = "hq-board"; ///< Intake and status of jobs, members, and the term of the leader.
constexpr const char *jobsTable = "hq-jobs"; ///< Specifications of accepted jobs; immutable.
/// Progress of occurrences and learned speeds, written by the decider.
constexpr const char *progressTable = "hq-progress";

// Parts. Entry processes write to the intake parts (see intake_parts.hpp), of which this is the first. The decider
// writes to its part on the condition that it still holds the term.
constexpr const char *intakePart = "intake";
constexpr const char *deciderPart = "decider";
constexpr const char *membersPart = "members";
/// How well suited each process is to be the leader. Separate from the members, because earlier versions read those
/// rows.
constexpr const char *ranksPart = "ranks";

// Board keys that are not job ids. Job ids are hexadecimal, so that the '!' prevents a clash.
constexpr const char *termKey = "!term";
constexpr const char *heartbeatKey = "!pulse";

constexpr const char *scheduleSuffix = ".schedule"; ///< Of a key in the progress table.
constexpr const char *learnedKey = "!learned"; ///< In the progress table.
constexpr const char *runTimesKey = "!runtimes"; ///< In the progress table.
constexpr std::size_t runTimesRowBytesMax = 60'000; ///< The store limits a row to 64 KB.

/// @return the key of the row with the rank of the process on a VM
inline protocol::batch::RowKey rankRow(const std::string &vm)
{
    return {boardTable, ranksPart, "!" + vm};
}
/// @param part the intake part that holds the job
/// @return the key of the row with the job's specification
inline protocol::batch::RowKey jobRow(const state::JobId &job, const std::string &part = intakePart)
{
    return {jobsTable, part, job.value};
}
/// @param part the intake part that holds the job
/// @return the key of the job's intake row on the board
inline protocol::batch::RowKey intakeRow(const state::JobId &job, const std::string &part = intakePart)
{
    return {boardTable, part, job.value};
}
/// @return the key of the job's status row on the board
inline protocol::batch::RowKey statusRow(const state::JobId &job)
{
    return {boardTable, deciderPart, job.value};
}
/// @return the key of the row with the learned speeds and run estimates
inline protocol::batch::RowKey learnedRow()
{
    return {progressTable, deciderPart, learnedKey};
}
/// @return the key of the row with the learned distributions of run times
inline protocol::batch::RowKey runTimesRow()
{
    return {progressTable, deciderPart, runTimesKey};
}
/// @return the key of the row with one block of an occurrence's units
inline protocol::batch::RowKey progressRow(const state::JobId &job, std::uint32_t occurrence, std::uint32_t block)
{
    return {progressTable, deciderPart, job.value + "." + std::to_string(occurrence) + "." + std::to_string(block)};
}

/// @return the key of the row with the job's position in its schedule
inline protocol::batch::RowKey scheduleRow(const state::JobId &job)
{
    return {progressTable, deciderPart, job.value + scheduleSuffix};
}

} // namespace heatherquay::coordination::batch
