// The scheduler's view of many workers that fall silent at once.

#include "batch/pool_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(batch_silent_workers)

// Guards against lost runs that keep their tasks from starting elsewhere: one worker was released in each pass.
BOOST_AUTO_TEST_CASE(all_expired_runs_of_silent_workers_are_released_in_one_pass)
{
    constexpr std::uint32_t silentWorkers = 50;
    test::PoolSimulation pool;
    const auto silent = pool.addWorkers(silentWorkers, 20, {128'000, 256'000, 8});
    pool.submit(test::makeJob("a", silentWorkers, {11'000, 16'000, 8}, 60s));
    pool.advance(1s);
    BOOST_REQUIRE(pool.running() == silentWorkers);
    const state::Instant leasesEnd = pool.now() + 5s + 20ms;
    for (const state::WorkerId &id : silent) {
        pool.worker(id).unreachable = true;
    }
    pool.advance(leasesEnd - pool.now());
    pool.scheduler().decide(pool.now() + 1s, pool.now() + 1s);
    BOOST_TEST(pool.scheduler().usage().running == 0);
}

BOOST_AUTO_TEST_SUITE_END()
