// Work that must not wait while the pool has room for it.

#include "batch/pool_simulation.hpp"

#include <algorithm>
#include <string>
#include <tuple>

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

// Guards against a step that waits for its data's rack, none of whose workers is approved.
BOOST_AUTO_TEST_CASE(a_step_starts_elsewhere_when_no_worker_near_its_data_is_approved)
{
    PoolSimulation pool;
    pool.setQueue("advised", advisedPolicy());
    const auto workers = pool.addWorkers(16, 8, machine);
    pool.advised = {workers[0], workers[1]};
    auto job = makeJob("a", 1, {5'600, 29'000, 1}, 500ms);
    job.queue = "advised";
    job.steps.front().dataRack = "r1";
    pool.submit(job);
    pool.advance(2'500ms);
    BOOST_TEST(pool.startsOf({{"a"}, 0, 0, 0}) == 1U);
    pool.advance(1'500ms); // A task works at a third of the speed there.
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
}

// Guards against a gang that waits for a rack of its own, when no rack has enough approved workers.
BOOST_AUTO_TEST_CASE(a_gang_starts_on_several_racks_when_no_rack_has_enough_approved_workers)
{
    PoolSimulation pool;
    pool.setQueue("advised", advisedPolicy());
    const auto workers = pool.addWorkers(16, 8, machine);
    pool.advised = {workers[0], workers[1], workers[8], workers[9]};
    auto job = makeJob("a", 4, {26'000, 140'000, 8}, 500ms);
    job.queue = "advised";
    job.steps.front().gang = true;
    job.steps.front().sameRack = true;
    pool.submit(job);
    pool.advance(3s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
}

// Guards against a step that waits for its data's rack for ever: the tasks there last.
BOOST_AUTO_TEST_CASE(a_step_does_not_wait_for_ever_for_a_rack_that_lasting_tasks_fill)
{
    PoolSimulation pool;
    pool.addWorkers(48, 8, machine);
    auto lasting = makeJob("lasting", 64, {5'600, 29'000, 1}, 500ms);
    lasting.steps.front().perpetual = true;
    lasting.steps.front().requiredLabel = "r0";
    pool.submit(lasting, 600'000ms);
    pool.advance(1s);
    BOOST_REQUIRE(pool.running() == 64U);
    auto job = makeJob("a", 4, {5'600, 29'000, 1}, 500ms);
    job.steps.front().dataRack = "r0";
    pool.submit(job);
    auto gang = makeJob("gang", 4, {5'600, 29'000, 8}, 500ms);
    gang.steps.front().dataRack = "r0";
    gang.steps.front().gang = true;
    pool.submit(gang);
    pool.advance(5s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
    BOOST_TEST((pool.stateOf({"gang"}) == JobState::Completed));
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

// Guards against a pool that stands still after tasks that fail everywhere have put its workers in quarantine.
BOOST_AUTO_TEST_CASE(failing_jobs_do_not_keep_others_from_an_idle_pool)
{
    PoolSimulation pool;
    const auto workers = pool.addWorkers(8, 8, machine);
    for (const auto &id : workers) {
        pool.worker(id).failsRuns = true;
    }
    for (int i = 0; i < 4; ++i) {
        pool.submit(makeJob("failing" + std::to_string(i), 32, {5'600, 29'000, 1}, 500ms));
    }
    pool.advance(1s);
    for (const auto &id : workers) {
        pool.worker(id).failsRuns = false;
    }
    pool.advance(500ms);
    pool.submit(makeJob("a", 1, {5'600, 29'000, 1}, 500ms));
    pool.advance(3s);
    BOOST_TEST((pool.stateOf({"a"}) == JobState::Completed));
}

// Guards against a job of tasks that need one rack and stands still while all workers there are in quarantine.
BOOST_AUTO_TEST_CASE(a_job_that_needs_one_rack_does_not_wait_for_the_end_of_a_quarantine)
{
    PoolSimulation pool;
    pool.setQueue("twice", {"service", 2, 2, 3.0, 3'000ms});
    const auto workers = pool.addWorkers(48, 8, machine);
    for (std::size_t i = 0; i < 8; ++i) {
        pool.worker(workers[i]).failsRuns = true;
    }
    auto failing = makeJob("failing", 24, {5'600, 29'000, 1}, 1'000ms);
    failing.queue = "twice";
    failing.steps.front().requiredLabel = "r0";
    pool.submit(failing);
    pool.advance(1s);
    for (std::size_t i = 0; i < 8; ++i) {
        pool.worker(workers[i]).failsRuns = false;
    }
    auto job = makeJob("a", 4, {5'600, 29'000, 1}, 500ms);
    job.queue = "twice";
    job.steps.front().requiredLabel = "r0";
    pool.submit(job);
    pool.advance(1'500ms);
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

// Guards against a lasting task that waits for its data's rack for ever: other lasting tasks fill the rack, and more
// than half of the service is in use.
BOOST_AUTO_TEST_CASE(a_lasting_task_does_not_wait_for_ever_for_a_rack_in_a_service_in_use)
{
    PoolSimulation pool;
    pool.addWorkers(8, 4, machine);
    const auto lasting = [](const std::string &id, std::uint32_t tasks, const std::string &rack) {
        auto job = makeJob(id, tasks, machine, 500ms);
        job.steps.front().perpetual = true;
        job.steps.front().requiredLabel = rack;
        return job;
    };
    pool.submit(lasting("near", 4, "r0"), 600'000ms);
    pool.submit(lasting("far", 2, "r1"), 600'000ms);
    pool.advance(1s);
    BOOST_REQUIRE(pool.running() == 6U);
    auto watched = makeJob("a", 1, machine, 500ms);
    watched.steps.front().perpetual = true;
    watched.steps.front().dataRack = "r0";
    pool.submit(watched, 600'000ms);
    pool.advance(3s);
    BOOST_TEST(pool.running() == 7U);
}

// Guards against a lasting task that is kept out for ever by racks reserved for gangs that cannot have them: other
// lasting tasks run there, and more than half of the service is in use.
BOOST_AUTO_TEST_CASE(reserved_racks_do_not_keep_a_lasting_task_out_for_ever)
{
    PoolSimulation pool;
    pool.addWorkers(8, 4, machine);
    for (const auto &[id, tasks, rack] : {std::tuple("x", 3U, "r0"), std::tuple("y", 2U, "r1")}) {
        auto job = makeJob(id, tasks, machine, 500ms);
        job.steps.front().perpetual = true;
        job.steps.front().requiredLabel = rack;
        pool.submit(job, 600'000ms);
    }
    pool.advance(1s);
    auto watched = makeJob("a", 1, {8'000, 32'000, 1}, 500ms);
    watched.steps.front().perpetual = true;
    pool.submit(watched, 600'000ms);
    pool.advance(1s);
    BOOST_REQUIRE(pool.running() == 6U);
    for (const char *id : {"gang0", "gang1"}) {
        auto gang = makeJob(id, 4, machine, 20'000ms);
        gang.steps.front().gang = true;
        gang.steps.front().sameRack = true;
        pool.submit(gang, 20'000ms);
    }
    pool.advance(15s);
    BOOST_REQUIRE(pool.running() == 6U);
    pool.failRun({{"a"}, 0, 0, 0});
    pool.advance(3s);
    BOOST_TEST(pool.running() == 6U);
}

// Guards against waits that add up: a lasting task that lost its worker and its decider at the same time waited for the
// predecessor's leases, and then for its data's rack.
BOOST_AUTO_TEST_CASE(a_lasting_task_does_not_wait_for_its_rack_after_it_waited_for_a_lease)
{
    PoolSimulation pool;
    pool.addWorkers(8, 4, machine);
    auto filling = makeJob("fill", 3, machine, 500ms);
    filling.steps.front().perpetual = true;
    filling.steps.front().requiredLabel = "r0";
    pool.submit(filling, 600'000ms);
    pool.advance(1s);
    auto watched = makeJob("a", 1, {8'000, 32'000, 1}, 500ms);
    watched.steps.front().perpetual = true;
    watched.steps.front().dataRack = "r0";
    pool.submit(watched, 600'000ms);
    pool.advance(2s);
    BOOST_REQUIRE(pool.running() == 4U);
    const test::TaskId task{{"a"}, 0, 0, 0};
    const auto run = std::find_if(pool.runs().begin(), pool.runs().end(), [&task](const test::SimulatedRun &other) {
        return other.task == task;
    });
    const state::WorkerId lost = run->worker;
    pool.remove(lost);
    pool.replaceScheduler();
    pool.advance(9s);
    BOOST_TEST(pool.runs(task));
}

BOOST_AUTO_TEST_SUITE_END()
