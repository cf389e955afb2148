#include "batch/pool_simulation.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;
using test::makeJob;
using test::PoolSimulation;

namespace
{

const Resources wholeWorker{128'000, 256'000, 8};
const Resources smallTask{1'000, 100, 0};
constexpr std::uint32_t waitingUnitsMax = 10'000;

/// A job that runs once a minute and whose first run was due long ago.
JobSpec overdueJob(const std::string &id, std::uint32_t repetitions)
{
    JobSpec job = makeJob(id, 1, smallTask, 100ms);
    job.repetitions = repetitions;
    job.firstRun = state::Instant(1s);
    job.interval = 1ms;
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_schedule)

// Guards against one job that keeps the decider busy and fills its memory: all occurrences of a year were due at once.
BOOST_AUTO_TEST_CASE(due_occurrences_are_opened_in_portions)
{
    Scheduler scheduler;
    const state::Instant now(700'000s);
    scheduler.setQueues({{"batch", {"service", 1, 3, 3.0, state::Duration(1'000)}}});
    scheduler.submit(overdueJob("a", 525'600), now);
    scheduler.decide(now, now);
    BOOST_TEST(scheduler.queues().at("batch").waitingUnits > 0U);
    BOOST_TEST(scheduler.queues().at("batch").waitingUnits <= waitingUnitsMax);
}

// Guards against occurrences that are skipped or run twice when a backlog is worked off in portions, also by
// successors.
BOOST_DATA_TEST_CASE(every_occurrence_of_a_backlog_runs_once, boost::unit_test::data::xrange(0, 4), failovers)
{
    constexpr std::uint32_t repetitions = 2'000;
    constexpr std::size_t recordsMax = 400; // The open occurrences and one portion that is removed together.
    PoolSimulation pool;
    pool.addWorkers(6, 8, wholeWorker);
    pool.submit(overdueJob("a", repetitions));
    for (int i = 0; i < failovers; ++i) {
        pool.advance(130ms * (i + 1));
        BOOST_TEST(pool.records() <= recordsMax);
        pool.replaceScheduler();
    }
    pool.advance(12s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
    for (std::uint32_t occurrence = 0; occurrence < repetitions; ++occurrence) {
        BOOST_REQUIRE(pool.startsOf({{"a"}, occurrence, 0, 0}) == 1U);
    }
    for (const std::string &violation : pool.violations) {
        BOOST_ERROR(violation);
    }
}

// Guards against a backlog that keeps the jobs of others waiting.
BOOST_AUTO_TEST_CASE(other_jobs_run_beside_a_backlog)
{
    PoolSimulation pool;
    pool.addWorkers(2, 8, {32'000, 64'000, 8});
    pool.submit(overdueJob("a", 525'600));
    pool.advance(500ms);
    pool.submit(makeJob("b", 8, smallTask, 200ms));
    pool.advance(600ms);
    BOOST_TEST((pool.stateOf({"b"}) == JobState::Completed));
}

// Guards against records that were removed although the schedule that replaces them could not be stored.
BOOST_AUTO_TEST_CASE(a_schedule_that_was_not_stored_is_recorded_again)
{
    PoolSimulation pool;
    pool.addWorkers(6, 8, wholeWorker);
    pool.submit(overdueJob("a", 20'000));
    pool.advance(1s);
    Decision lost;
    for (int i = 0; i < 100 && lost.schedules.empty(); ++i) {
        pool.advance(10ms);
        lost = pool.latest;
    }
    BOOST_REQUIRE(lost.schedules.size() == 1U);
    pool.scheduler().recordAgain(lost);
    const Decision again = pool.scheduler().decide(pool.now(), pool.now());
    BOOST_REQUIRE(again.schedules.size() == 1U);
    BOOST_TEST(again.schedules.front().discardedFrom == lost.schedules.front().discardedFrom);
    BOOST_TEST(again.schedules.front().record.finishedBefore >= lost.schedules.front().record.finishedBefore);
}

// Guards against an overflow that makes an occurrence of the far future due at once.
BOOST_AUTO_TEST_CASE(an_occurrence_beyond_the_clock_is_never_due)
{
    JobSpec job = overdueJob("a", 4'000'000'000);
    job.interval = std::chrono::hours(24 * 365 * 90);
    BOOST_TEST((dueTime(job, 1) == job.firstRun + job.interval));
    BOOST_TEST((dueTime(job, 3'999'999'999) == state::Instant::max()));
}

BOOST_AUTO_TEST_SUITE_END()
