#include "batch/pool_simulation.hpp"
#include "emulator/fake_worker.hpp"
#include "emulator/memory_store.hpp"
#include "heatherquay/coordination/batch/acceptance.hpp"
#include "heatherquay/coordination/batch/decider.hpp"
#include "heatherquay/coordination/batch/term.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"

#include <map>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using state::batch::JobState;

namespace
{

/// Id of a worker row that makes its decoder throw.
constexpr const char *oddWorker = "odd";

constexpr std::chrono::milliseconds longestLease{1'000};

using TestDecider = Decider<test::MemoryStore, test::FakeWorker>;

/// A decider with its own mirror of the store, as in a separate process.
struct DeciderProcess
{
    DeciderProcess(boost::asio::io_context &context, test::MemoryStore &rowStore,
                   std::map<std::string, std::shared_ptr<test::FakeWorker>> &workers, std::uint64_t token,
                   double clockRateMin = DeciderTimes().clockRateMin,
                   std::chrono::milliseconds retention = DeciderTimes().endedJobRetention)
        : store(rowStore)
        , mirror(store, boardTable, {intakePart, deciderPart}, [this](const protocol::batch::StoredRow &row) {
            if (row.key.key == termKey) {
                termVersion = row.version;
                return;
            }
            const auto job = board.applyRow(row);
            if (job && decider) {
                decider->handleBoardChange(*job);
            }
        })
    {
        TermRecord term;
        term.token.value = token;
        store.put({boardTable, deciderPart, termKey}, encodeTerm(term));
        boost::asio::co_spawn(context, mirror.run(), boost::asio::detached);
        context.run_for(30ms);
        context.restart();
        confirmedAt = std::chrono::steady_clock::now();
        DeciderPorts<test::FakeWorker> ports;
        ports.term = [this] {
            return protocol::batch::RowCondition{{boardTable, deciderPart, termKey}, termVersion};
        };
        ports.confirmedAt = [this] {
            return confirmedAt;
        };
        ports.confirm = [this](std::chrono::steady_clock::time_point sentAt) {
            confirmedAt = sentAt;
        };
        ports.depose = [this](const std::string &) {
            deposed = true;
            decider->stop();
        };
        ports.connect = [&workers](const state::batch::WorkerSpec &spec) {
            return workers.at(spec.id.value);
        };
        ports.readWorker = [&workers](const protocol::batch::StoredRow &row) {
            if (row.key.key == oddWorker) {
                throw Error(ErrorKind::BadInput, "odd row", "remove it");
            }
            const auto found = workers.find(row.key.key);
            return found == workers.end() ? std::nullopt : std::optional(found->second->spec);
        };
        ports.workersTable = "workers";
        ports.board = &board;
        ports.metrics = &metrics;
        DeciderTimes times;
        times.lease = 300ms;
        times.authorityTimeout = 200ms;
        times.passIntervalMax = 10ms;
        times.passIntervalMin = 1ms;
        times.pollWait = 50ms;
        times.pollResponseMargin = 60ms;
        times.pollRetryDelay = 10ms;
        times.orderTimeout = 60ms;
        times.recordTimeout = 50ms;
        times.leaseExpiryMargin = 20ms;
        times.leaseMax = longestLease;
        times.clockRateMin = clockRateMin;
        times.endedJobRetention = retention;
        state::batch::SchedulerSettings settings;
        settings.stopRetry = 50ms;
        decider = std::make_shared<TestDecider>(context.get_executor(), store, protocol::batch::FencingToken{token},
                                                ports, times, settings);
        decider->setQueues({{"batch", {"service", 1, 3, 3.0, 1'000ms}}});
        decider->start();
    }

    ~DeciderProcess()
    {
        kill();
    }

    /// Stops without resigning, like a killed process.
    void kill()
    {
        decider->stop();
        mirror.stop();
    }

    test::MemoryStore &store;
    transport::MetricsRegistry registry;
    DeciderMetrics metrics{registry};
    JobBoard board;
    TableMirror<test::MemoryStore> mirror;
    std::shared_ptr<TestDecider> decider;
    std::uint64_t termVersion{};
    std::chrono::steady_clock::time_point confirmedAt;
    bool deposed{};
};

struct DeciderFixture
{
    DeciderFixture()
    {
        for (int i = 0; i < 2; ++i) {
            state::batch::WorkerSpec spec;
            spec.id.value = "w" + std::to_string(i);
            spec.incarnation.value = 1;
            spec.service = "service";
            spec.rack = "r0";
            spec.labels = {"a", "r0"};
            spec.capacity = {32'000, 64'000, 8};
            workers[spec.id.value] = std::make_shared<test::FakeWorker>(spec);
            registerWorker(spec.id.value);
        }
    }

    ~DeciderFixture()
    {
        process.reset();
        successor.reset();
        context.run_for(200ms); // Lets the deciders' coroutines finish.
    }

    void registerWorker(const std::string &id)
    {
        store.put({"workers", "", id}, std::to_string(++registrations));
    }

    void start(double clockRateMin = DeciderTimes().clockRateMin)
    {
        process = std::make_unique<DeciderProcess>(context, store, workers, 1, clockRateMin);
    }

    /// Makes the worker that runs the only task unreachable.
    std::shared_ptr<test::FakeWorker> partitionBusyWorker()
    {
        std::shared_ptr<test::FakeWorker> partitioned;
        for (auto &[id, worker] : workers) {
            if (worker->running() > 0) {
                worker->unreachable = true;
                partitioned = worker;
            }
        }
        BOOST_REQUIRE(partitioned);
        return partitioned;
    }

    /// Runs until the only task has started a second time, for at most two seconds.
    void runUntilSecondStart()
    {
        for (int i = 0; i < 100 && starts().begin()->second == 1; ++i) {
            process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
            runFor(20ms);
        }
    }

    void submit(const std::string &id, std::uint32_t tasks)
    {
        auto job = test::makeJob(id, tasks, {1'000, 1'000, 1}, 100ms);
        job.policy = {"service", 1, 3, 3.0, 1'000ms};
        bool accepted = false;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                Acceptance<test::MemoryStore> acceptance(store);
                const auto outcome = co_await acceptance.submit(job, std::chrono::steady_clock::now() + 1s);
                accepted = outcome == AcceptOutcome::Accepted;
            },
            boost::asio::detached);
        runFor(10ms);
        BOOST_REQUIRE(accepted);
    }

    void runFor(std::chrono::milliseconds time)
    {
        context.run_for(time);
        context.restart();
    }

    std::string status(const std::string &id) const
    {
        return store.value({boardTable, deciderPart, id});
    }

    bool completed(const std::string &id) const
    {
        return status(id).find("completed") != std::string::npos;
    }

    /// Number of starts of each task, summed over all workers.
    std::map<std::string, int> starts() const
    {
        std::map<std::string, int> count;
        for (const auto &[id, worker] : workers) {
            for (const auto &record : worker->records) {
                count[toString(record.task)] += record.started ? 1 : 0;
            }
        }
        return count;
    }

    boost::asio::io_context context;
    test::MemoryStore store;
    std::map<std::string, std::shared_ptr<test::FakeWorker>> workers;
    std::unique_ptr<DeciderProcess> process;
    std::unique_ptr<DeciderProcess> successor;
    int registrations{};
};

} // namespace

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

// Guards against a crash: the poll loop of a worker that is removed before the decider has recovered ends at once.
BOOST_AUTO_TEST_CASE(a_worker_removed_during_recovery_does_not_end_the_decider)
{
    store.unreadableTable = progressTable;
    start();
    runFor(50ms);
    store.remove({"workers", "", "w0"});
    store.remove({"workers", "", "w1"});
    runFor(50ms);
    store.unreadableTable.clear();
    runFor(100ms);
    process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
    registerWorker("w0");
    submit("a", 1);
    runFor(500ms);
    BOOST_TEST(completed("a"));
}

// Guards against a decider that no longer follows the table of workers after a row of another writer.
BOOST_AUTO_TEST_CASE(an_odd_row_among_the_workers_is_skipped)
{
    store.put({"workers", "", oddWorker}, "first");
    start();
    runFor(50ms);
    store.put({"workers", "", oddWorker}, "changed");
    store.remove({"workers", "", "w0"});
    store.remove({"workers", "", "w1"});
    runFor(50ms);
    store.remove({"workers", "", oddWorker});
    registerWorker("w1");
    submit("a", 1);
    runFor(500ms);
    BOOST_TEST(completed("a"));
    BOOST_TEST(!process->deposed);
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

// Guards against a job that waits forever after its worker disappears during a run. The run never counted as ended
// while unanswered polls extended the worker's lease.
BOOST_AUTO_TEST_CASE(a_run_on_a_worker_that_never_answers_again_starts_elsewhere)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 400ms;
    }
    start();
    submit("a", 1);
    runFor(100ms);
    for (auto &[id, worker] : workers) {
        if (worker->running() > 0) {
            worker->unreachable = true;
            store.remove({"workers", "", id});
        }
    }
    for (int i = 0; i < 15; ++i) {
        process->confirmedAt = std::chrono::steady_clock::now();
        runFor(100ms);
    }
    BOOST_TEST(completed("a"));
    BOOST_TEST(starts().begin()->second == 2);
}

// Guards against two concurrent runs of a task: an unreachable worker may run it until its lease expires.
BOOST_AUTO_TEST_CASE(no_run_starts_elsewhere_before_the_lease_of_a_silent_worker_has_ended)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 10s;
    }
    start();
    submit("a", 1);
    runFor(100ms);
    const auto partitioned = partitionBusyWorker();
    runUntilSecondStart();
    BOOST_TEST(starts().begin()->second == 2);
    BOOST_TEST(partitioned->clock().count() > partitioned->leaseUntil().count());
}

// Guards against two concurrent runs of a task: the lease of a worker with a slow clock grew while the worker was idle,
// because the age of the clock reading was added at the full rate.
BOOST_AUTO_TEST_CASE(an_idle_worker_with_a_slow_clock_gets_no_longer_lease)
{
    constexpr double slowRate = 0.5;
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 10s;
        worker->clockRate = slowRate;
    }
    start(slowRate);
    runFor(1'200ms);
    process->confirmedAt = std::chrono::steady_clock::now();
    submit("a", 1);
    runFor(60ms);
    const auto partitioned = partitionBusyWorker();
    runUntilSecondStart();
    BOOST_TEST(starts().begin()->second == 2);
    BOOST_TEST(partitioned->clock().count() > partitioned->leaseUntil().count());
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

// Guards against workers that stay excluded, and a job that never completes, after polls went unanswered.
BOOST_AUTO_TEST_CASE(a_job_completes_after_workers_left_polls_unanswered)
{
    for (auto &[id, worker] : workers) {
        worker->dropsResponses = true;
    }
    start();
    runFor(50ms);
    for (auto &[id, worker] : workers) {
        worker->dropsResponses = false;
    }
    submit("a", 2);
    runFor(800ms);
    BOOST_TEST(completed("a"));
}

// Guards against waiting for runs that a worker lost when it restarted under the same id.
BOOST_AUTO_TEST_CASE(runs_of_a_worker_restarted_under_its_id_start_again)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 300ms;
    }
    start();
    submit("a", 2);
    runFor(100ms);
    for (auto &[id, worker] : workers) {
        worker->restart();
        registerWorker(id);
    }
    runFor(900ms);
    BOOST_TEST(completed("a"));
}

// Guards against two concurrent runs: a worker that has restarted accepts an order before the decider learns of the
// restart.
BOOST_AUTO_TEST_CASE(a_run_accepted_by_a_restarted_worker_runs_once)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 400ms;
    }
    start();
    runFor(50ms);
    for (auto &[id, worker] : workers) {
        worker->restart();
    }
    submit("a", 2);
    runFor(30ms);
    for (const auto &[id, worker] : workers) {
        registerWorker(id);
    }
    runFor(900ms);
    BOOST_TEST(completed("a"));
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against two concurrent runs: a restarted worker counts the lease in an order to its earlier incarnation on its
// new clock, and so works for longer than the lease was meant to last.
BOOST_DATA_TEST_CASE(no_run_starts_elsewhere_within_the_lease_of_a_restarted_worker,
                     boost::unit_test::data::make({false, true}), registered)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 10s;
        worker->leaseMax = longestLease;
    }
    start();
    runFor(1'500ms);
    process->confirmedAt = std::chrono::steady_clock::now();
    for (auto &[id, worker] : workers) {
        worker->restart();
    }
    submit("a", 1);
    for (int i = 0; i < 20 && starts().empty(); ++i) {
        runFor(2ms);
    }
    if (registered) {
        registerWorker("w0");
        registerWorker("w1");
        runFor(20ms);
    }
    const auto partitioned = partitionBusyWorker();
    runUntilSecondStart();
    BOOST_TEST(starts().begin()->second == 2);
    BOOST_TEST(partitioned->clock().count() > partitioned->leaseUntil().count());
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

// Guards against running work again that is done: a worker reports a limited number of ends at a time, and the others
// follow only after these are confirmed.
BOOST_AUTO_TEST_CASE(ends_beyond_the_first_answer_are_not_taken_for_lost_runs)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 100ms;
        worker->endsPerAnswer = 3;
    }
    start();
    submit("a", 16);
    runFor(60ms);
    store.down = true;
    runFor(250ms);
    store.down = false;
    process->confirmedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < 10 && !completed("a"); ++i) {
        runFor(100ms);
    }
    BOOST_TEST(completed("a"));
    BOOST_TEST(starts().size() == 16U);
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
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
