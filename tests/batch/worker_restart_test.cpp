#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;

namespace
{

constexpr Incarnation first{1};
constexpr Incarnation second{2};

/// One task, which either of two workers can run.
struct RestartFixture
{
    RestartFixture()
    {
        scheduler.setQueues({{"batch", {"service", 1, 3, 3.0, state::Duration(1'000)}}});
        for (const char *id : {"w0", "w1"}) {
            registerWorker({id}, first);
            answer({id}, first, {}, {});
        }
        JobSpec job;
        job.id.value = "a";
        job.queue = "batch";
        StepSpec &step = job.steps.emplace_back();
        step.taskCount = 1;
        step.need = {11'000, 16'000, 1};
        step.estimate = 1s;
        scheduler.submit(job, now);
        const auto starts = decide().starts;
        BOOST_REQUIRE(starts.size() == 1U);
        start = starts.front();
        BOOST_REQUIRE(scheduler.beginStart(start.task, start.run));
    }

    void registerWorker(const state::WorkerId &id, Incarnation incarnation)
    {
        WorkerSpec worker;
        worker.id = id;
        worker.incarnation = incarnation;
        worker.service = "service";
        worker.capacity = {128'000, 256'000, 8};
        scheduler.registerWorker(worker, now, now + 5s);
    }

    void answer(const state::WorkerId &id, Incarnation incarnation, std::vector<RunningReport> running,
                std::vector<EndReport> ended)
    {
        scheduler.workerAnswered(id, {incarnation, now, std::move(running), std::move(ended)}, now);
    }

    Decision decide()
    {
        now += 10ms;
        return scheduler.decide(now, now);
    }

    bool completes()
    {
        const Decision decision = decide();
        return std::any_of(decision.statuses.begin(), decision.statuses.end(), [](const JobStatus &status) {
            return status.state == JobState::Completed;
        });
    }

    state::Instant now{state::Duration(1'000'000)};
    Scheduler scheduler;
    StartOrder start;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_worker_restart, RestartFixture)

// Guards against two concurrent runs: the answer to a start does not say which incarnation has accepted it.
BOOST_AUTO_TEST_CASE(a_run_that_the_new_incarnation_accepted_continues)
{
    scheduler.startAnswered(start.task, start.run, StartOutcome::Started, now);
    now += 10ms;
    registerWorker(start.worker, second);
    BOOST_TEST(decide().starts.empty());
    answer(start.worker, second, {{start.task, start.run, "", 10}}, {});
    BOOST_TEST(decide().starts.empty());
    now += 1s;
    answer(start.worker, second, {}, {{1, start.task, start.run, EndKind::Done, ""}});
    BOOST_TEST(completes());
}

// The same as above, but the poll of the new incarnation arrives before its registration.
BOOST_AUTO_TEST_CASE(a_run_in_the_first_answer_of_the_new_incarnation_continues)
{
    scheduler.startAnswered(start.task, start.run, StartOutcome::Started, now);
    now += 10ms;
    answer(start.worker, second, {{start.task, start.run, "", 10}}, {});
    const Decision decision = decide();
    BOOST_TEST(decision.starts.empty());
    BOOST_TEST(decision.stops.empty());
}

// Guards against a run that is waited for although the old incarnation had accepted it.
BOOST_AUTO_TEST_CASE(a_run_that_the_new_incarnation_does_not_list_starts_elsewhere)
{
    scheduler.startAnswered(start.task, start.run, StartOutcome::Started, now);
    now += 10ms;
    answer(start.worker, second, {}, {});
    const auto starts = decide().starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts.front().run == start.run + 1);
}

// A run that the old incarnation has listed ended with it.
BOOST_AUTO_TEST_CASE(a_run_that_the_old_incarnation_listed_starts_elsewhere_at_once)
{
    scheduler.startAnswered(start.task, start.run, StartOutcome::Started, now);
    now += 10ms;
    answer(start.worker, first, {{start.task, start.run, "", 10}}, {});
    registerWorker(start.worker, second);
    BOOST_TEST(decide().starts.size() == 1U);
}

// Guards against two concurrent runs: of two start orders, the old incarnation executed one, and the new one executes
// the other late.
BOOST_AUTO_TEST_CASE(an_unanswered_order_is_stopped_on_the_new_incarnation)
{
    scheduler.startAnswered(start.task, start.run, StartOutcome::Unknown, now);
    now += 50ms;
    BOOST_REQUIRE(decide().starts.size() == 1U);
    BOOST_REQUIRE(scheduler.beginStart(start.task, start.run));
    scheduler.startAnswered(start.task, start.run, StartOutcome::Started, now);
    now += 10ms;
    answer(start.worker, first, {{start.task, start.run, "", 10}}, {});
    registerWorker(start.worker, second);
    answer(start.worker, second, {}, {});
    const Decision decision = decide();
    BOOST_TEST(decision.starts.empty());
    BOOST_REQUIRE(decision.stops.size() == 1U);
    BOOST_TEST((decision.stops.front().worker == start.worker));
}

// Guards against a crash: the last run ends on a worker that the platform no longer lists, which removes the worker.
BOOST_AUTO_TEST_CASE(the_last_end_of_a_worker_that_is_gone_is_handled)
{
    scheduler.startAnswered(start.task, start.run, StartOutcome::Started, now);
    now += 10ms;
    scheduler.unregisterWorker(start.worker);
    answer(start.worker, first, {}, {{1, start.task, start.run, EndKind::Done, ""}});
    BOOST_TEST(completes());
}

BOOST_AUTO_TEST_SUITE_END()
