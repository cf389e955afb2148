#include "batch/pool_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ctime>
#include <limits>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;
using test::makeJob;

namespace
{

/// @return the least processor time, of three trials, of the pass that records the first start of a job of many tasks
double recordingTime(std::uint32_t steps)
{
    constexpr std::uint32_t tasksPerStep = 10'000;
    const state::Instant now(700'000s);
    double least = std::numeric_limits<double>::max();
    for (int trial = 0; trial < 3; ++trial) {
        Scheduler scheduler;
        scheduler.setQueues({{"batch", {"service", 1, 3, 3.0, state::Duration(1'000)}}});
        WorkerSpec worker;
        worker.id.value = "w";
        worker.service = "service";
        worker.capacity = {1'000, 1'000, 0};
        scheduler.registerWorker(worker, now, now);
        scheduler.workerAnswered(worker.id, {}, now);
        JobSpec job = makeJob("a", tasksPerStep, {1'000, 1'000, 0}, 100ms);
        for (std::uint32_t step = 1; step < steps; ++step) {
            job.steps.push_back(job.steps.front());
            job.steps.back().dependsOn = {0};
        }
        scheduler.submit(job, now);
        const std::clock_t begin = std::clock();
        const Decision decision = scheduler.decide(now, now);
        least = std::min(least, static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
        BOOST_REQUIRE(decision.starts.size() == 1U);
        BOOST_REQUIRE(decision.records.size() == 1U);
    }
    return least;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_large_job)

// Guards against a decider that one job occupies: the records of a pass took time with the square of the job's tasks.
BOOST_AUTO_TEST_CASE(the_time_to_record_a_start_does_not_grow_with_the_square_of_the_tasks)
{
    constexpr double growthMax = 16; // For eight times the tasks.
    const double small = recordingTime(1);
    const double large = recordingTime(8);
    BOOST_TEST_MESSAGE("10,000 tasks " << small * 1'000 << " ms, 80,000 tasks " << large * 1'000 << " ms");
    BOOST_TEST(large < small * growthMax);
}

BOOST_AUTO_TEST_SUITE_END()
