#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/coordination/batch/progress_reader.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using state::batch::OccurrenceRecord;
using state::batch::UnitRecord;

namespace
{

protocol::batch::StoredRow rowOf(std::uint32_t block, std::uint64_t version, std::vector<UnitRecord> units)
{
    OccurrenceRecord record;
    record.job.value = "a";
    record.units = std::move(units);
    return {progressRow({"a"}, 0, block), protocol::batch::encodeOccurrence(record), version, false};
}

UnitRecord unitAt(std::uint32_t first, std::uint32_t run)
{
    UnitRecord unit;
    unit.first = first;
    unit.run = run;
    return unit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_progress_reader)

// Guards against a unit that is restored twice, or from the older of two rows, after an upgrade: earlier versions
// stored up to 500 units in the first row.
BOOST_AUTO_TEST_CASE(the_newest_row_of_a_unit_counts)
{
    ProgressReader reader;
    reader.add(rowOf(1, 9, {unitAt(16, 3)}));
    reader.add(rowOf(0, 5, {unitAt(0, 1), unitAt(16, 2)}));
    const auto records = reader.records();
    BOOST_REQUIRE(records.size() == 2U);
    BOOST_TEST(records[0].block == 0U);
    BOOST_REQUIRE(records[0].units.size() == 1U);
    BOOST_TEST(records[0].units[0].first == 0U);
    BOOST_TEST(records[1].block == 1U);
    BOOST_REQUIRE(records[1].units.size() == 1U);
    BOOST_TEST(records[1].units[0].run == 3U);
}

// Guards against occurrences that run again, because their rows were not removed before the decider ended.
BOOST_AUTO_TEST_CASE(rows_that_a_schedule_replaces_are_left_out)
{
    ProgressReader reader;
    for (std::uint32_t occurrence = 0; occurrence < 4; ++occurrence) {
        OccurrenceRecord record;
        record.job.value = "a";
        record.occurrence = occurrence;
        record.units.push_back(unitAt(0, 1));
        reader.add(
            {progressRow({"a"}, occurrence, 0), protocol::batch::encodeOccurrence(record), occurrence + 1, false});
    }
    reader.add({scheduleRow({"a"}), protocol::batch::encodeSchedule({{"a"}, 3}), 9, false});
    BOOST_REQUIRE(reader.schedules().size() == 1U);
    BOOST_TEST(reader.schedules().front().finishedBefore == 3U);
    BOOST_REQUIRE(reader.records().size() == 1U);
    BOOST_TEST(reader.records().front().occurrence == 3U);
    BOOST_TEST(reader.replacedRows().size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_decoded_is_reported)
{
    ProgressReader reader;
    BOOST_CHECK_THROW(reader.add({progressRow({"a"}, 0, 0), "[", 1, false}), Error);
    BOOST_TEST(reader.records().empty());
}

BOOST_AUTO_TEST_SUITE_END()
