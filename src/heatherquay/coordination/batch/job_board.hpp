#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/state/batch/progress.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heatherquay::coordination::batch
{

/// What the board says of one job.
struct BoardEntry
{
    std::string queue;
    bool accepted{}; ///< The intake row has been seen.
    bool cancelWanted{};
    std::uint64_t statusVersion{}; ///< Of the decider's row; 0 before it has written one.
    state::batch::JobState state{state::batch::JobState::Queued};
};

/// The intake row of a job.
struct IntakeRecord
{
    std::string queue;
    bool cancelWanted{};
};

std::string encodeIntake(const IntakeRecord &record);
/// @throws Error(BadInput) when @p text is not an intake record
IntakeRecord decodeIntake(const std::string &text);

/// The states of all jobs as the board's rows give them.
class JobBoard
{
public:
    /// Takes in a row of a job. Rows that cannot be read are logged and left out.
    /// @return the job that changed
    std::optional<state::JobId> take(const protocol::batch::StoredRow &row);

    /// @return nothing when the board does not know the job
    std::optional<BoardEntry> find(const state::JobId &job) const;
    /// @return accepted jobs of the queue without any started task
    std::uint32_t waiting(const std::string &queue) const;
    const std::map<state::JobId, BoardEntry> &all() const
    {
        return m_jobs;
    }

private:
    std::map<state::JobId, BoardEntry> m_jobs;
};

} // namespace heatherquay::coordination::batch
