// Pace orders of the decider to workers.

#include "batch/decider_fixture.hpp"

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;

namespace
{

constexpr std::chrono::milliseconds target{100};
constexpr std::chrono::milliseconds longTask{60'000};

state::batch::JobSpec lastingJob(const std::string &id)
{
    auto job = test::makeJob(id, 1, {1'000, 1'000, 0}, longTask);
    job.steps.front().perpetual = true;
    return job;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(workers_pace, DeciderFixture)

// Guards against a best-effort run that goes on at full speed because the answer to a pace order was lost.
BOOST_AUTO_TEST_CASE(a_best_effort_run_pauses_although_the_first_answer_is_lost)
{
    store.remove({"workers", "", "w1"});
    test::FakeWorker &worker = *workers.at("w0");
    worker.taskDuration = longTask;
    worker.usageOf = [](const state::batch::TaskId &) {
        return 2 * target.count();
    };
    start();
    auto filling = lastingJob("fill");
    filling.steps.front().bestEffort = true;
    auto serving = lastingJob("serve");
    serving.steps.front().tailLatencyTarget = target;
    submit(filling);
    submit(serving);
    worker.lostPaceResponses = 1;
    const state::batch::TaskId task{{"fill"}, 0, 0, 0};
    for (int i = 0; i < 150 && worker.paceOrders < 2; ++i) {
        process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
        runFor(20ms);
    }
    BOOST_TEST(worker.running() == 2U);
    BOOST_TEST(worker.paceOrders == 2U);
    BOOST_REQUIRE(worker.paces.contains(task));
    BOOST_TEST(worker.paces.at(task) == 0U);
    runFor(200ms);
    BOOST_TEST(worker.paceOrders == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
