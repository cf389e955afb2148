// Best-effort tasks beside tasks with a latency target.

#include "batch/pool_simulation.hpp"

#include <algorithm>
#include <string>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;
using test::makeJob;
using test::PoolSimulation;

namespace
{

constexpr Resources machine{64'000, 256'000, 8};
constexpr std::chrono::milliseconds withoutEnd{600'000};

JobSpec servingJob(const std::string &id, std::uint32_t tasks)
{
    auto job = makeJob(id, tasks, {8'000, 16'000, 0}, 500ms);
    job.steps.front().perpetual = true;
    job.steps.front().tailLatencyTarget = 100ms;
    return job;
}

JobSpec fillingJob(const std::string &id, std::uint32_t tasks)
{
    auto job = makeJob(id, tasks, {8'000, 16'000, 0}, 500ms);
    job.steps.front().perpetual = true;
    job.steps.front().bestEffort = true;
    job.steps.front().tasksPerWorkerMax = 1;
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_sharing)

// Guards against accepted work that never runs: tasks that fill hold all workers that the serving task could use, or
// the reverse.
BOOST_DATA_TEST_CASE(each_kind_starts_although_the_other_holds_all_workers, boost::unit_test::data::make({false, true}),
                     fillingFirst)
{
    PoolSimulation pool;
    pool.addWorkers(4, 4, machine);
    auto filling = fillingJob("fill", 4);
    auto serving = servingJob("serve", 4);
    serving.steps.front().tasksPerWorkerMax = 1;
    pool.submit(fillingFirst ? filling : serving, withoutEnd);
    pool.advance(1s);
    BOOST_REQUIRE(pool.running() == 4U);
    pool.submit(fillingFirst ? serving : filling, withoutEnd);
    pool.advance(3s);
    BOOST_TEST(pool.running() == 8U);
    pool.advance(30s);
    BOOST_TEST(pool.violations.empty());
}

// Guards against response times over the target for as long as the users' rule allows, and against best-effort tasks
// that stay paused although the target leaves room for them.
BOOST_DATA_TEST_CASE(best_effort_tasks_work_as_fast_as_the_target_allows, boost::unit_test::data::make({0.1, 0.4, 0.8}),
                     pressure)
{
    PoolSimulation pool;
    pool.ownPressure = 0.2;
    pool.pressurePerBestEffortRun = pressure;
    pool.addWorkers(1, 1, machine);
    pool.submit(fillingJob("fill", 1), withoutEnd);
    pool.advance(500ms);
    pool.submit(servingJob("serve", 1), withoutEnd);
    pool.advance(60s);
    BOOST_TEST(pool.running() == 2U);
    BOOST_TEST(pool.violations.empty());
    BOOST_TEST(pool.paceOf({{"fill"}, 0, 0, 0}) >= 50U);
}

// Guards against response times that stay over the target when the load of the serving task rises.
BOOST_AUTO_TEST_CASE(best_effort_tasks_make_room_when_the_load_of_serving_ones_rises)
{
    PoolSimulation pool;
    pool.ownPressure = 0.1;
    pool.pressurePerBestEffortRun = 0.4;
    pool.addWorkers(1, 1, machine);
    pool.submit(fillingJob("fill", 1), withoutEnd);
    pool.advance(500ms);
    pool.submit(servingJob("serve", 1), withoutEnd);
    pool.advance(30s);
    BOOST_REQUIRE(pool.paceOf({{"fill"}, 0, 0, 0}) == 100U);
    pool.ownPressure = 0.95;
    pool.advance(20s);
    BOOST_TEST(pool.violations.empty());
}

// Guards against best-effort tasks that a successor leaves paused after the task with the target has gone.
BOOST_AUTO_TEST_CASE(a_successor_lets_best_effort_tasks_work_again)
{
    PoolSimulation pool;
    pool.ownPressure = 0.9;
    pool.addWorkers(1, 1, machine);
    pool.submit(fillingJob("fill", 1), withoutEnd);
    pool.advance(500ms);
    pool.submit(servingJob("serve", 1), withoutEnd);
    pool.advance(4s);
    BOOST_REQUIRE(pool.paceOf({{"fill"}, 0, 0, 0}) == 0U);
    pool.cancel({"serve"});
    pool.replaceScheduler();
    pool.advance(3s);
    BOOST_TEST(pool.running() == 1U);
    BOOST_TEST(pool.paceOf({{"fill"}, 0, 0, 0}) == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
