#include "batch/pool_simulation.hpp"
#include "heatherquay/state/batch/placement.hpp"
#include "heatherquay/state/batch/urgent_reserve.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;

namespace
{

/// Racks of four workers with eight accelerators each; every other worker is slow.
struct UnevenPool
{
    explicit UnevenPool(int racks)
    {
        for (int i = 0; i < racks * 4; ++i) {
            WorkerSpec spec;
            spec.id = {"w" + std::to_string(i / 10) + std::to_string(i % 10)};
            spec.service = "service";
            spec.rack = "r" + std::to_string(i / 4);
            spec.capacity = {64'000, 256'000, 8};
            pool.registerWorker(spec, now);
            Worker &worker = *pool.find(spec.id);
            pool.noteAnswer(worker, now);
            worker.slowness = i % 2 == 0 ? 1.0 : 1.3;
        }
    }

    std::vector<const Worker *> kept() const
    {
        std::vector<const Worker *> workers;
        for (const auto &[id, worker] : pool.all()) {
            if (worker.keptForUrgent) {
                workers.push_back(&worker);
            }
        }
        return workers;
    }

    state::Instant now{state::Duration(1'000'000)};
    WorkerPool pool;
};

} // namespace

BOOST_AUTO_TEST_SUITE(batch_urgent_reserve)

// Guards against room on slow workers, on which urgent jobs are late, while fast ones are given away.
BOOST_AUTO_TEST_CASE(fast_workers_are_kept_for_the_largest_recent_demand)
{
    UnevenPool uneven(6);
    UrgentReserve reserve;
    reserve.noteDemand("service", 30, uneven.now);
    reserve.noteDemand("service", 10, uneven.now + 600ms);
    reserve.choose(uneven.pool, 0, uneven.now + 600ms);
    BOOST_TEST(uneven.kept().size() == 5U); // 36 accelerators with the headroom.
    for (const Worker *worker : uneven.kept()) {
        BOOST_TEST(worker->slowness == 1.0);
    }
}

// Guards against room that is kept for ever after one burst.
BOOST_AUTO_TEST_CASE(the_room_is_given_back_when_the_demand_has_been_low_for_the_window)
{
    UnevenPool uneven(6);
    UrgentReserve reserve;
    reserve.noteDemand("service", 30, uneven.now);
    reserve.choose(uneven.pool, 0, uneven.now);
    BOOST_TEST(!uneven.kept().empty());
    const state::Instant later = uneven.now + UrgentReserveSettings().demandWindow + 1s;
    reserve.noteDemand("service", 0, later);
    reserve.choose(uneven.pool, 0, later);
    BOOST_TEST(uneven.kept().empty());
}

// Guards against a gang that waits for good, because a rack is reserved for it that is kept for urgent jobs.
BOOST_AUTO_TEST_CASE(a_rack_that_a_gang_may_not_use_is_not_reserved_for_it)
{
    UnevenPool uneven(2);
    std::map<state::WorkerId, double> remainingWork;
    for (auto &[id, worker] : uneven.pool.all()) {
        worker.keptForUrgent = worker.spec.rack == "r0";
        remainingWork[id] = worker.keptForUrgent ? 0 : 1'000;
    }
    StepSpec step;
    step.taskCount = 4;
    step.need = {26'000, 140'000, 8};
    step.gang = true;
    step.sameRack = true;
    PlacementRequest request;
    request.step = &step;
    request.service = "service";
    request.tasks = step.taskCount;
    request.tasksMin = step.taskCount;
    const Placement placement(uneven.pool, uneven.now);
    BOOST_TEST(placement.rackToReserve(request, remainingWork) == "r1");
    request.usesKept = true;
    BOOST_TEST(placement.rackToReserve(request, remainingWork) == "r0");
    uneven.pool.find({"w07"})->keptForUrgent = true; // One worker of the other rack.
    request.usesKept = false;
    BOOST_TEST(placement.rackToReserve(request, remainingWork).empty());
}

// Guards against gangs that wait beside idle workers that an earlier burst of urgent jobs has needed.
BOOST_AUTO_TEST_CASE(gangs_use_room_that_recent_urgent_jobs_do_not_need)
{
    UnevenPool uneven(2);
    UrgentReserve reserve;
    StepSpec step;
    step.taskCount = 6;
    step.need = {26'000, 140'000, 8};
    step.gang = true;
    PlacementRequest request;
    request.step = &step;
    request.service = "service";
    request.tasks = step.taskCount;
    request.tasksMin = step.taskCount;
    const auto fits = [&] {
        return Placement(uneven.pool, uneven.now).find(request).has_value();
    };
    reserve.noteDemand("service", 24, uneven.now);
    reserve.choose(uneven.pool, 0, uneven.now);
    BOOST_TEST(uneven.kept().size() == 4U);
    BOOST_TEST(!fits());
    const state::Instant later = uneven.now + 6s;
    reserve.noteDemand("service", 10, later);
    reserve.choose(uneven.pool, 0, later);
    BOOST_TEST(uneven.kept().size() == 4U);
    BOOST_TEST(fits());
    step.taskCount = request.tasks = request.tasksMin = 7; // Two workers are still needed.
    BOOST_TEST(!fits());
    step.gang = false;
    step.taskCount = request.tasks = request.tasksMin = 5; // Single tasks would fill the room at once.
    BOOST_TEST(!fits());
}

// Guards against urgent work that leaves ordinary work without any worker.
BOOST_AUTO_TEST_CASE(at_most_half_of_a_service_is_kept)
{
    UnevenPool uneven(6);
    UrgentReserve reserve;
    reserve.noteDemand("service", 1'000, uneven.now);
    reserve.choose(uneven.pool, 0, uneven.now);
    BOOST_TEST(uneven.kept().size() == 12U);
    UnevenPool single(0);
    WorkerSpec spec;
    spec.id = {"only"};
    spec.service = "service";
    spec.capacity = {64'000, 256'000, 8};
    single.pool.registerWorker(spec, single.now);
    single.pool.noteAnswer(*single.pool.find(spec.id), single.now);
    UrgentReserve second;
    second.noteDemand("service", 8, single.now);
    second.choose(single.pool, 8, single.now);
    BOOST_TEST(single.kept().empty());
}

// Guards against a start without any room, when nothing is known of the demand but the guarantees.
BOOST_AUTO_TEST_CASE(guarantees_stand_for_the_demand_until_it_is_known)
{
    UnevenPool uneven(6);
    UrgentReserve reserve;
    reserve.noteDemand("service", 0, uneven.now);
    reserve.choose(uneven.pool, 24, uneven.now);
    BOOST_TEST(uneven.kept().size() == 3U);
    const state::Instant later = uneven.now + UrgentReserveSettings().demandWindow + 1s;
    reserve.noteDemand("service", 0, later);
    reserve.choose(uneven.pool, 24, later);
    BOOST_TEST(uneven.kept().empty());
}

// Guards against a choice that wanders over the racks, so that no rack is ever free for a gang.
BOOST_AUTO_TEST_CASE(workers_stay_chosen_while_the_demand_lasts)
{
    UnevenPool uneven(6);
    UrgentReserve reserve;
    reserve.noteDemand("service", 30, uneven.now);
    reserve.choose(uneven.pool, 0, uneven.now);
    const auto before = uneven.kept();
    uneven.pool.find({"w00"})->slowness = 0.9;
    reserve.noteDemand("service", 30, uneven.now + 2s);
    reserve.choose(uneven.pool, 0, uneven.now + 2s);
    BOOST_TEST((uneven.kept() == before));
}

// Guards against evictions for work that comes again and again: ordinary work had taken the room each time.
BOOST_DATA_TEST_CASE(repeated_urgent_jobs_evict_nothing_once_their_demand_is_known,
                     boost::unit_test::data::make({false, true}), enabled)
{
    SchedulerSettings settings;
    settings.urgentReserve.enabled = enabled;
    test::PoolSimulation pool(settings, 5);
    pool.setQueue("urgent", {"service", 0, 3, 1.5, 300ms});
    pool.setQueue("batch", {"service", 2, 3, 3.0, 3s});
    pool.addWorkers(12, 4, {64'000, 256'000, 8});
    auto backlog = test::makeJob("backlog", 600, {4'000, 16'000, 1}, 4s);
    backlog.queue = "batch";
    pool.submit(backlog);
    double wastedBefore = 0;
    for (int i = 0; i < 12; ++i) {
        auto job = test::makeJob("urgent" + std::to_string(i), 2, {16'000, 64'000, 8}, 1s);
        job.queue = "urgent";
        job.steps.front().gang = true;
        pool.submit(job);
        pool.advance(2s);
        // The runs that the first jobs have found on the kept workers have ended by now.
        wastedBefore = i == 3 ? pool.wasted() : wastedBefore;
    }
    BOOST_TEST((pool.wasted() == wastedBefore) == enabled);
    BOOST_TEST(pool.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
