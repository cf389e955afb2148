#include "batch/pool_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(batch_finished_gang)

// Guards against a place that is held for ever: the gang was done while the start of a member was not answered.
BOOST_AUTO_TEST_CASE(a_member_whose_start_is_unanswered_when_its_gang_is_done_frees_its_place)
{
    state::Instant now{state::Duration(1'000'000)};
    Scheduler scheduler;
    scheduler.setQueues({{"batch", {"service", 1, 2, 3.0, state::Duration(1'000)}}});
    WorkerSpec worker;
    worker.id = {"w0"};
    worker.incarnation = {1};
    worker.service = "service";
    worker.capacity = {64'000, 256'000, 8};
    scheduler.registerWorker(worker, now, now + 5s);
    scheduler.workerAnswered(worker.id, {worker.incarnation, now, {}, {}}, now);
    auto job = test::makeJob("a", 2, {5'600, 29'000, 1}, 500ms);
    job.steps.front().gang = true;
    scheduler.submit(job, now);
    const auto starts = scheduler.decide(now += 10ms, now).starts;
    BOOST_REQUIRE(starts.size() == 2U);
    for (const StartOrder &start : starts) {
        BOOST_REQUIRE(scheduler.beginStart(start.task, start.run));
    }
    scheduler.startAnswered(starts[0].task, starts[0].run, StartOutcome::Started, now);
    now += 10ms;
    scheduler.workerAnswered(
        worker.id, {worker.incarnation, now, {}, {{1, starts[0].task, starts[0].run, EndKind::Done, ""}}}, now);
    scheduler.startAnswered(starts[1].task, starts[1].run, StartOutcome::Unknown, now);
    for (int i = 0; i < 100; ++i) {
        now += 10ms;
        const Decision decision = scheduler.decide(now, now);
        for (const StartOrder &start : decision.starts) {
            BOOST_TEST(!scheduler.beginStart(start.task, start.run));
        }
        for (const StopOrder &stop : decision.stops) {
            scheduler.stopAnswered(stop.task, stop.run, now);
        }
        now += 10ms;
        scheduler.workerAnswered(worker.id, {worker.incarnation, now, {}, {}}, now);
    }
    BOOST_TEST(scheduler.workers().find(worker.id)->used.accelerators == 0);
    BOOST_TEST(scheduler.liveJobs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
