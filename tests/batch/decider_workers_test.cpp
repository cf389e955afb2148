// The decider's view of workers that are silent, restart, or report in parts.

#include "batch/decider_fixture.hpp"

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;
using test::DeciderProcess;
using test::longestLease;
using test::oddWorker;

BOOST_FIXTURE_TEST_SUITE(batch_decider, DeciderFixture)

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

// Guards against ends that are noted seconds late: polls of silent workers went ahead of those of all others.
BOOST_AUTO_TEST_CASE(ends_are_noted_while_many_other_workers_are_silent)
{
    constexpr int silentWorkers = 200;
    constexpr std::uint32_t tasksPerWorker = 8;
    for (int i = 0; i < silentWorkers; ++i) {
        addWorker("s" + std::to_string(i), "silent").taskDuration = 60s;
    }
    process = std::make_unique<DeciderProcess>(context, store, workers, 1, DeciderTimes().clockRateMin,
                                               DeciderTimes().endedJobRetention, 10s);
    auto longJob = test::makeJob("long", silentWorkers * tasksPerWorker, {1'000, 1'000, 1}, 60s);
    longJob.steps.front().requiredLabel = "silent";
    submit(longJob);
    const auto runUntil = [this](const auto &condition) {
        for (int i = 0; i < 300 && !condition(); ++i) {
            process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
            runFor(10ms);
        }
        return condition();
    };
    BOOST_REQUIRE(runUntil([this] {
        return process->decider->scheduler().usage().running == silentWorkers * tasksPerWorker;
    }));
    for (auto &[id, worker] : workers) {
        worker->unreachable = id.starts_with("s");
    }
    store.transactionTime = 40ms;
    runFor(200ms);
    for (const std::string id : {"a", "b", "c"}) {
        submit(id, 1);
        BOOST_TEST(runUntil([&] {
                       return completed(id);
                   }),
                   "job " + id + " has not completed after three seconds");
    }
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

BOOST_AUTO_TEST_SUITE_END()
