#include "heatherquay/coordination/batch/progress_reader.hpp"

#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"

#include <charconv>

namespace heatherquay::coordination::batch
{

namespace detail
{

/// @return the block number at the end of a progress row's key; 0 when there is none
std::uint32_t blockOf(const std::string &key)
{
    std::uint32_t block = 0;
    const std::size_t dot = key.rfind('.');
    if (dot != std::string::npos) {
        std::from_chars(key.data() + dot + 1, key.data() + key.size(), block);
    }
    return block;
}

} // namespace detail

void ProgressReader::add(const protocol::batch::StoredRow &row)
{
    if (row.key.key.ends_with(scheduleSuffix)) {
        const state::batch::ScheduleRecord schedule = protocol::batch::decodeSchedule(row.value);
        m_schedules[schedule.job] = schedule;
        return;
    }
    state::batch::OccurrenceRecord record = protocol::batch::decodeOccurrence(row.value);
    m_rows.insert({{record.job, record.occurrence}, row.key});
    const std::uint32_t block = detail::blockOf(row.key.key);
    for (state::batch::UnitRecord &unit : record.units) {
        NewestUnit &newest = m_units[{record.job, record.occurrence, unit.step, unit.first}];
        if (row.version >= newest.version) {
            newest = {row.version, block, std::move(unit)};
        }
    }
}

std::vector<state::batch::OccurrenceRecord> ProgressReader::records() const
{
    std::map<std::tuple<state::JobId, std::uint32_t, std::uint32_t>, state::batch::OccurrenceRecord> byRow;
    for (const auto &[key, newest] : m_units) {
        const auto &[job, occurrence, step, first] = key;
        if (isReplaced(job, occurrence)) {
            continue;
        }
        state::batch::OccurrenceRecord &record = byRow[{job, occurrence, newest.block}];
        record.job = job;
        record.occurrence = occurrence;
        record.block = newest.block;
        record.units.push_back(newest.unit);
    }
    std::vector<state::batch::OccurrenceRecord> records;
    records.reserve(byRow.size());
    for (auto &[key, record] : byRow) {
        records.push_back(std::move(record));
    }
    return records;
}

std::vector<state::batch::ScheduleRecord> ProgressReader::schedules() const
{
    std::vector<state::batch::ScheduleRecord> schedules;
    for (const auto &[job, record] : m_schedules) {
        schedules.push_back(record);
    }
    return schedules;
}

std::vector<protocol::batch::RowKey> ProgressReader::replacedRows() const
{
    std::vector<protocol::batch::RowKey> rows;
    for (const auto &[where, key] : m_rows) {
        if (isReplaced(where.first, where.second)) {
            rows.push_back(key);
        }
    }
    return rows;
}

bool ProgressReader::isReplaced(const state::JobId &job, std::uint32_t occurrence) const
{
    const auto schedule = m_schedules.find(job);
    return schedule != m_schedules.end() && occurrence < schedule->second.finishedBefore;
}

} // namespace heatherquay::coordination::batch
