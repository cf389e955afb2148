#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/state/ids.hpp"

#include <string>

namespace heatherquay::coordination::batch
{

// Tables. Every process follows the board; only the decider follows jobs and reads progress.
constexpr const char *boardTable = "hq-board"; ///< What all processes need to know.
constexpr const char *jobsTable = "hq-jobs"; ///< Accepted jobs, which never change.
constexpr const char *progressTable = "hq-progress"; ///< What the decider records of runs.

// Parts. Entries write into the first, the decider into the second under the condition of its term.
constexpr const char *intakePart = "intake";
constexpr const char *deciderPart = "decider";
constexpr const char *membersPart = "members";

// Units recorded in one row: at most 110 bytes each, within the store's 64 KB a row.
constexpr std::size_t unitsPerRow = 500;

// Keys of the board that are no job ids; those are hexadecimal.
constexpr const char *termKey = "!term";
constexpr const char *pulseKey = "!pulse";

constexpr const char *learnedKey = "!learned"; ///< In the progress table.

inline protocol::batch::RowKey jobRow(const state::JobId &job)
{
    return {jobsTable, intakePart, job.value};
}
inline protocol::batch::RowKey intakeRow(const state::JobId &job)
{
    return {boardTable, intakePart, job.value};
}
inline protocol::batch::RowKey statusRow(const state::JobId &job)
{
    return {boardTable, deciderPart, job.value};
}
inline protocol::batch::RowKey learnedRow()
{
    return {progressTable, deciderPart, learnedKey};
}
/// @param piece a wide occurrence is recorded in several rows
inline protocol::batch::RowKey progressRow(const state::JobId &job, std::uint32_t occurrence, std::size_t piece)
{
    return {progressTable, deciderPart, job.value + "." + std::to_string(occurrence) + "." + std::to_string(piece)};
}

} // namespace heatherquay::coordination::batch
