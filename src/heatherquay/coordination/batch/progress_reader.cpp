#include "heatherquay/coordination/batch/progress_reader.hpp"

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
    state::batch::OccurrenceRecord record = protocol::batch::decodeOccurrence(row.value);
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

} // namespace heatherquay::coordination::batch
