// Work that must not wait while the pool has room for it.

#include "batch/pool_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;
using test::makeJob;
using test::PoolSimulation;

namespace
{

constexpr Resources machine{64'000, 256'000, 8};

QueuePolicy advisedPolicy()
{
    QueuePolicy policy{"service", 1, 2, 3.0, 1'000ms};
    policy.advice = AdviceTiming{10ms, 1ms, 1s};
    return policy;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_stand_still)

// Guards against asking about the same preferred workers again and again while others could run the step.
BOOST_AUTO_TEST_CASE(a_step_starts_although_none_of_the_preferred_workers_is_approved)
{
    PoolSimulation pool;
    pool.setQueue("advised", advisedPolicy());
    const auto workers = pool.addWorkers(48, 8, machine);
    pool.advised = {workers[45], workers[46], workers[47]};
    auto job = makeJob("a", 1, {5'600, 29'000, 1}, 500ms);
    job.queue = "advised";
    pool.submit(job);
    pool.advance(3s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
    BOOST_TEST(pool.violations.empty());
}

// Guards against a step that is skipped because a like one with further conditions found no place.
BOOST_AUTO_TEST_CASE(a_step_starts_although_a_like_step_with_a_latency_bound_finds_no_place)
{
    PoolSimulation pool;
    pool.addWorkers(2, 8, machine);
    auto fill = makeJob("fill", 2, {5'600, 29'000, 1}, 500ms);
    fill.steps.front().perpetual = true;
    fill.steps.front().bestEffort = true;
    fill.steps.front().tasksPerWorkerMax = 1;
    pool.submit(fill, 600'000ms);
    pool.advance(500ms);
    auto serving = makeJob("serving", 1, {5'600, 29'000, 1}, 5'000ms);
    serving.steps.front().perpetual = true;
    serving.steps.front().tailLatencyTarget = 100ms;
    pool.submit(serving, 600'000ms);
    pool.submit(makeJob("a", 1, {5'600, 29'000, 1}, 6'000ms), 500ms);
    pool.advance(3s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
}

// Guards against a reservation that never ends: the worker has come back smaller.
BOOST_AUTO_TEST_CASE(a_reservation_on_a_worker_that_came_back_smaller_is_given_up)
{
    PoolSimulation pool;
    pool.setQueue("urgent", {"service", 0, 2, 3.0, 250ms});
    const auto workers = pool.addWorkers(1, 8, machine);
    pool.submit(makeJob("long", 1, {64'000, 200'000, 8}, 60'000ms));
    pool.advance(50ms);
    auto urgent = makeJob("a", 1, {60'000, 200'000, 8}, 500ms);
    urgent.queue = "urgent";
    pool.submit(urgent);
    for (int i = 0; i < 500 && pool.latest.evictions.empty(); ++i) {
        pool.advance(10ms);
    }
    BOOST_REQUIRE(!pool.latest.evictions.empty());
    auto smaller = pool.worker(workers[0]).spec;
    ++smaller.incarnation.value;
    smaller.capacity = {32'000, 128'000, 4};
    pool.worker(workers[0]).spec = smaller;
    pool.cancel({"long"});
    pool.scheduler().registerWorker(smaller, pool.now(), pool.now());
    pool.addWorkers(1, 8, machine);
    pool.advance(3s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
