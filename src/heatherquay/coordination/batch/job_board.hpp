#pragma once

#include "heatherquay/coordination/batch/intake_parts.hpp"
#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/state/batch/progress.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heatherquay::coordination::batch
{

/// State of one job, merged from its intake row and its status row.
struct BoardEntry
{
    std::string queue;
    state::TeamId team; ///< Empty when the intake row names none.
    bool accepted{}; ///< An intake row has been seen.
    IntakePartSet intakeParts; ///< Parts with an intake row; more than one only after a change of their number.
    IntakePartSet withdrawnParts; ///< Parts with an intake row that holds no job, see IntakeRecord::withdrawn.
    bool cancelRequested{};
    std::uint64_t statusVersion{}; ///< Version of the status row; 0 when the decider has not written one yet.
    state::batch::JobState state{state::batch::JobState::Queued};
};

/// @return whether the entry only records that a job was cancelled before it was stored
inline bool isWithdrawn(const BoardEntry &entry)
{
    return !entry.accepted && entry.withdrawnParts.any();
}

/// Value of a job's intake row, which the entry process writes.
struct IntakeRecord
{
    std::string queue;
    bool cancelRequested{};
    state::TeamId team; ///< Empty for a submission without a key, and in rows of earlier versions.
    /// The job was cancelled before it was stored. Such a row belongs to nobody and prevents that a submission whose
    /// outcome was open at that time stores the job later.
    bool withdrawn{};
};

/// @return the record as JSON text for the intake row
std::string encodeIntake(const IntakeRecord &record);
/// @throws Error(BadInput) when @p text is not an intake record
IntakeRecord decodeIntake(const std::string &text);

/// States of all jobs, built from the rows of the board table.
class JobBoard
{
public:
    /// Applies a new, changed or removed row of a job. Rows that cannot be decoded are logged and ignored.
    /// @return the job that changed; nothing when the row was ignored
    std::optional<state::JobId> applyRow(const protocol::batch::StoredRow &row);

    /// @return the job's entry; nothing when the job is unknown
    std::optional<BoardEntry> find(const state::JobId &job) const;
    /// @return the number of jobs in @p queue that are accepted, not cancelled and still queued
    std::uint32_t queuedJobCount(const std::string &queue) const;
    /// @return the number of jobs of @p team, ended ones included
    std::size_t jobCount(const state::TeamId &team) const;
    const std::map<state::JobId, BoardEntry> &all() const
    {
        return m_jobs;
    }

private:
    std::map<state::JobId, BoardEntry> m_jobs;
};

} // namespace heatherquay::coordination::batch
