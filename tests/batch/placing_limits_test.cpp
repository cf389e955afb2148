// Limits of workers that a placement has to keep.

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
constexpr Resources eighth{8'000, 32'000, 1};

} // namespace

BOOST_AUTO_TEST_SUITE(batch_placing_limits)

// Guards against more tasks of a step on a worker than its caller allows: some tasks of an urgent step had just been
// placed on free resources when places for the others were searched with evictions.
BOOST_AUTO_TEST_CASE(a_partly_placed_urgent_step_keeps_to_its_limit_per_worker)
{
    PoolSimulation pool;
    pool.setQueue("urgent", {"service", 0, 4, 1.5, 250ms});
    pool.addWorkers(2, 1, machine);
    auto busy = makeJob("busy", 1, machine, 20'000ms);
    busy.steps.front().requiredLabel = "r1";
    pool.submit(busy);
    pool.advance(100ms);
    auto urgent = makeJob("a", 2, eighth, 5'000ms);
    urgent.queue = "urgent";
    urgent.steps.front().tasksPerWorkerMax = 1;
    pool.submit(urgent);
    pool.advance(1s);
    BOOST_TEST(pool.running() >= 1U);
    BOOST_TEST(pool.violations.empty());
}

// Guards against a worker that gets more than its capacity: it still runs what belongs to no job of this decider, such
// as a run of a job that was cancelled under a predecessor.
BOOST_AUTO_TEST_CASE(no_run_starts_beside_a_run_that_is_not_known)
{
    state::Instant now{state::Duration(1'000'000)};
    Scheduler scheduler;
    scheduler.setQueues({{"batch", {"service", 1, 3, 3.0, state::Duration(1'000)}}});
    WorkerSpec worker;
    worker.id.value = "w0";
    worker.incarnation.value = 1;
    worker.service = "service";
    worker.capacity = machine;
    scheduler.registerWorker(worker, now, now);
    const RunningReport stray{{{"gone"}, 0, 0, 0}, 1, "", 10};
    scheduler.workerAnswered(worker.id, {worker.incarnation, now, {stray}, {}}, now);
    scheduler.submit(makeJob("a", 1, machine, 1s), now);
    now += 10ms;
    const Decision first = scheduler.decide(now, now);
    BOOST_TEST(first.starts.empty());
    BOOST_TEST(first.stops.size() == 1U);
    BOOST_TEST(scheduler.needsPoll(worker.id));
    now += 300ms;
    scheduler.workerAnswered(worker.id, {worker.incarnation, now, {}, {{1, stray.task, 1, EndKind::Stopped, ""}}}, now);
    BOOST_TEST(scheduler.decide(now, now).starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
