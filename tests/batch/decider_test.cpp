#include "batch/decider_fixture.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;
using test::DeciderProcess;

BOOST_FIXTURE_TEST_SUITE(batch_decider, DeciderFixture)

// Guards against duplicate or missing starts of the tasks of an ordinary job.
BOOST_AUTO_TEST_CASE(a_stored_job_runs_and_its_status_is_stored)
{
    start();
    submit("a", 4);
    runFor(600ms);
    BOOST_TEST(completed("a"));
    BOOST_TEST(starts().size() == 4U);
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against lost results: a worker discards confirmed ends, so an unrecorded one must not be confirmed.
BOOST_AUTO_TEST_CASE(ends_are_confirmed_only_after_their_record_is_stored)
{
    start();
    submit("a", 1);
    runFor(60ms);
    store.down = true;
    runFor(250ms);
    for (const auto &[id, worker] : workers) {
        BOOST_TEST(worker->confirmedEnd == 0U);
    }
    store.down = false;
    runFor(500ms);
    BOOST_TEST(completed("a"));
}

// The store rejects a transaction with a row over 64 KB. An unsplit record of one large job therefore blocked all
// records of the pass.
BOOST_AUTO_TEST_CASE(a_job_that_spans_several_rows_runs_and_survives_failover)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 20ms;
        worker->spec.capacity = {2'000'000, 2'000'000, 2'000};
    }
    start();
    submit("00000000000000aa", 1'500);
    runFor(150ms);
    process->kill();
    successor = std::make_unique<DeciderProcess>(context, store, workers, 2);
    for (int i = 0; i < 100 && !completed("00000000000000aa"); ++i) {
        runFor(100ms);
    }
    BOOST_TEST(completed("00000000000000aa"));
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against records that grow with the size of the job: one change must not rewrite the rows of other blocks.
BOOST_AUTO_TEST_CASE(the_end_of_one_task_rewrites_only_the_rows_of_its_block)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 10s;
        worker->spec.capacity = {2'000'000, 2'000'000, 2'000};
    }
    start();
    submit("00000000000000aa", 200);
    runFor(150ms);
    std::map<std::uint32_t, std::string> before;
    for (std::uint32_t block = 0; block < 12; ++block) {
        before[block] = store.value(progressRow({"00000000000000aa"}, 0, block));
        BOOST_TEST(!before[block].empty());
    }
    for (auto &[id, worker] : workers) {
        worker->endRun({{"00000000000000aa"}, 0, 0, 100});
    }
    runFor(100ms);
    std::size_t rewritten = 0;
    for (std::uint32_t block = 0; block < 12; ++block) {
        rewritten += store.value(progressRow({"00000000000000aa"}, 0, block)) != before[block] ? 1 : 0;
    }
    BOOST_TEST(rewritten == 1U);
}

// Guards against a failover that starts tasks again although their runs continue.
BOOST_AUTO_TEST_CASE(a_successor_continues_without_duplicate_starts)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 250ms;
    }
    start();
    submit("a", 8);
    runFor(100ms);
    process->kill();
    successor = std::make_unique<DeciderProcess>(context, store, workers, 2);
    runFor(800ms);
    BOOST_TEST(completed("a"));
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against orders from a decider that has lost its term.
BOOST_AUTO_TEST_CASE(a_decider_that_was_replaced_is_deposed_and_starts_nothing)
{
    start();
    runFor(50ms);
    successor = std::make_unique<DeciderProcess>(context, store, workers, 2);
    runFor(50ms);
    submit("a", 4);
    runFor(500ms);
    BOOST_TEST(completed("a"));
    BOOST_TEST(process->deposed);
    for (const auto &[id, worker] : workers) {
        for (const auto &record : worker->records) {
            BOOST_TEST(record.token == 2U);
        }
    }
}

// Guards against lost or overwritten records, and so duplicate starts, when store transactions commit without an answer
// or late.
BOOST_AUTO_TEST_CASE(records_survive_lost_and_late_answers_of_the_store)
{
    start();
    submit("a", 4);
    store.loseResponses = 2;
    runFor(150ms);
    store.deferTransactions = 1;
    runFor(300ms);
    store.applyDeferred();
    runFor(600ms);
    BOOST_TEST(completed("a"));
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against a table of progress, and a recovery, that grow with the number of occurrences that a job has had.
BOOST_AUTO_TEST_CASE(the_rows_of_finished_occurrences_are_removed)
{
    constexpr std::uint32_t repetitions = 120;
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 20ms;
    }
    start();
    runFor(30ms);
    auto job = test::makeJob("a", 1, {16'000, 1'000, 1}, 20ms);
    job.policy = {"service", 1, 3, 3.0, 1'000ms};
    job.repetitions = repetitions;
    job.firstRun = state::Instant(1s);
    job.interval = 1ms;
    store.put(jobRow({"a"}), protocol::batch::encodeJob(job));
    store.put(intakeRow({"a"}), encodeIntake({"batch", false}));
    const auto storedOccurrences = [this] {
        std::uint32_t stored = 0;
        for (std::uint32_t occurrence = 0; occurrence < repetitions; ++occurrence) {
            stored += store.value(progressRow({"a"}, occurrence, 0)).empty() ? 0 : 1;
        }
        return stored;
    };
    for (int i = 0; i < 20 && starts().size() < 60; ++i) {
        process->confirmedAt = std::chrono::steady_clock::now();
        runFor(50ms);
    }
    process->kill();
    successor = std::make_unique<DeciderProcess>(context, store, workers, 2);
    for (int i = 0; i < 40 && !completed("a"); ++i) {
        successor->confirmedAt = std::chrono::steady_clock::now();
        runFor(50ms);
    }
    runFor(50ms);
    BOOST_TEST(completed("a"));
    BOOST_TEST(starts().size() == repetitions);
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
    BOOST_TEST(storedOccurrences() < 40U);
}

// Guards against a job that runs again: its rows are removed in several transactions, and a successor may take over
// between any two of them.
BOOST_DATA_TEST_CASE(a_takeover_while_an_ended_job_is_removed_starts_nothing, boost::unit_test::data::xrange(1, 4),
                     removals)
{
    constexpr auto retention = 100ms;
    constexpr auto clockRate = DeciderTimes().clockRateMin;
    process = std::make_unique<DeciderProcess>(context, store, workers, 1, clockRate, retention);
    submit("a", 20);
    for (int i = 0; i < 500 && !completed("a"); ++i) {
        runFor(1ms);
    }
    BOOST_REQUIRE(completed("a"));
    const auto rowsLeft = [this] {
        int left = store.value(jobRow({"a"})).empty() ? 0 : 1;
        left += store.value(intakeRow({"a"})).empty() ? 0 : 1;
        left += store.value(statusRow({"a"})).empty() ? 0 : 1;
        for (std::uint32_t block = 0; block < 2; ++block) {
            left += store.value(progressRow({"a"}, 0, block)).empty() ? 0 : 1;
        }
        return left;
    };
    int rows = rowsLeft();
    for (int removed = 0; removed < removals && rows > 0;) {
        process->confirmedAt = std::chrono::steady_clock::now();
        context.run_one();
        removed += rowsLeft() < rows ? 1 : 0;
        rows = rowsLeft();
    }
    store.down = true; // The process is killed before its next transaction is applied.
    process->kill();
    runFor(10ms);
    store.down = false;
    successor = std::make_unique<DeciderProcess>(context, store, workers, 2, clockRate, retention);
    for (int i = 0; i < 10; ++i) {
        successor->confirmedAt = std::chrono::steady_clock::now();
        runFor(50ms);
    }
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
    BOOST_TEST(rowsLeft() == 0);
}

// Guards against runs that continue after their job is cancelled.
BOOST_AUTO_TEST_CASE(a_cancelled_job_is_stopped)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 10s;
    }
    start();
    submit("a", 3);
    runFor(100ms);
    store.put(intakeRow({"a"}), encodeIntake({"batch", true}));
    runFor(300ms);
    BOOST_TEST(status("a").find("cancelled") != std::string::npos);
    for (const auto &[id, worker] : workers) {
        BOOST_TEST(worker->running() == 0U);
    }
}

// Guards against missed jobs when the store has discarded the changes that a mirror has not read yet.
BOOST_AUTO_TEST_CASE(the_table_is_reloaded_when_the_change_history_is_compacted)
{
    start();
    submit("a", 2);
    store.compactedUpTo = 1'000;
    runFor(100ms);
    store.compactedUpTo = 0;
    submit("b", 2);
    runFor(700ms);
    BOOST_TEST(completed("a"));
    BOOST_TEST(completed("b"));
}

BOOST_AUTO_TEST_SUITE_END()
