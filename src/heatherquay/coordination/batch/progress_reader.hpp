#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/state/batch/progress.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Reads the progress rows of a predecessor. When several rows hold the same unit, the newest row counts: a version
/// with other blocks may have written the older one.
class ProgressReader
{
public:
    /// Adds one row of the progress table, in any order.
    /// @throws Error(BadInput) when the row's value cannot be decoded
    void add(const protocol::batch::StoredRow &row);
    /// @return the records, one per row that holds the newest state of a unit; without those that schedules() replace
    std::vector<state::batch::OccurrenceRecord> records() const;
    /// @return the positions in the schedules of recurring jobs
    std::vector<state::batch::ScheduleRecord> schedules() const;
    /// @return the rows of occurrences that schedules() replace
    std::vector<protocol::batch::RowKey> replacedRows() const;

private:
    /// Job, occurrence, step and index of the unit's first task.
    using UnitKey = std::tuple<state::JobId, std::uint32_t, std::uint32_t, std::uint32_t>;
    struct NewestUnit
    {
        std::uint64_t version{};
        std::uint32_t block{};
        state::batch::UnitRecord unit;
    };

    /// @return whether the record of the job's schedule says that the occurrence has finished
    bool isReplaced(const state::JobId &job, std::uint32_t occurrence) const;

    std::map<UnitKey, NewestUnit> m_units;
    std::map<state::JobId, state::batch::ScheduleRecord> m_schedules;
    /// Rows of occurrences, by job and occurrence.
    std::multimap<std::pair<state::JobId, std::uint32_t>, protocol::batch::RowKey> m_rows;
};

} // namespace heatherquay::coordination::batch
