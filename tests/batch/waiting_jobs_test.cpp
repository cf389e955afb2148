#include "emulator/make_job.hpp"
#include "heatherquay/state/batch/scheduler.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;

namespace heatherquay::state::batch
{

std::ostream &operator<<(std::ostream &stream, StartOutcome outcome)
{
    return stream << static_cast<int>(outcome);
}

} // namespace heatherquay::state::batch

namespace
{

/// A scheduler with one worker and one job, of which a start is ordered.
struct OneStart
{
    OneStart()
    {
        worker.id = {"w0"};
        worker.incarnation = {1};
        worker.service = "service";
        worker.capacity = {8'000, 256'000, 0};
        addTo(scheduler);
        order = pass(scheduler).starts.at(0);
        scheduler.beginStart(order.task, order.run);
    }

    void addTo(Scheduler &other, bool begun = false)
    {
        other.setQueues({{"batch", {"service", 1, 3, 3.0, 1'000ms}}});
        other.registerWorker(worker, now, now + 5s);
        other.submit(job, now, begun);
        answer(other, {});
    }

    /// Answers a poll with the runs and the ends that the worker lists.
    void answer(Scheduler &other, std::vector<RunningReport> running, std::vector<EndReport> ended = {})
    {
        now += 10ms;
        other.workerAnswered(worker.id, {worker.incarnation, now, std::move(running), std::move(ended)}, now);
    }

    /// Runs a pass and notes the records and the state that it stores.
    Decision pass(Scheduler &other)
    {
        now += 10ms;
        Decision decision = other.decide(now, now);
        records.insert(records.end(), decision.records.begin(), decision.records.end());
        for (const JobStatus &status : decision.statuses) {
            shown = status.state;
        }
        return decision;
    }

    state::Instant now{1'000'000ms};
    WorkerSpec worker;
    JobSpec job{test::makeJob("a", 1, {8'000, 29'000, 0}, 30s)};
    Scheduler scheduler;
    StartOrder order;
    std::vector<OccurrenceRecord> records;
    JobState shown{JobState::Queued};
};

constexpr StartOutcome notStarted[]{StartOutcome::Refused, StartOutcome::NoCapacity, StartOutcome::NoTicket,
                                    StartOutcome::NotSent, StartOutcome::Unknown};

} // namespace

BOOST_AUTO_TEST_SUITE(batch_waiting_jobs)

// Guards against a job that is shown as running, and not counted as waiting, although no worker has begun a task of it.
BOOST_DATA_TEST_CASE_F(OneStart, a_job_whose_start_has_not_happened_is_still_queued,
                       boost::unit_test::data::make(notStarted), outcome)
{
    pass(scheduler);
    BOOST_TEST((shown == JobState::Queued));
    scheduler.startAnswered(order.task, order.run, outcome, now);
    for (int i = 0; i < 10; ++i) {
        pass(scheduler);
        BOOST_TEST((shown == JobState::Queued));
    }
    BOOST_TEST(scheduler.queues().at("batch").waitingJobs == 1U);
}

// Guards against a job that stays queued although a worker has begun it, in each of the ways of learning so.
BOOST_DATA_TEST_CASE_F(OneStart, a_job_that_has_begun_is_running, boost::unit_test::data::xrange(4), way)
{
    if (way == 0) {
        scheduler.startAnswered(order.task, order.run, StartOutcome::Started, now);
    } else {
        scheduler.startAnswered(order.task, order.run, StartOutcome::Unknown, now);
        const std::vector<RunningReport> listed{{order.task, order.run, {}, 0}};
        const EndReport end{1, order.task, order.run, way == 2 ? EndKind::Stopped : EndKind::Failed, {}};
        answer(scheduler, way == 1 ? listed : std::vector<RunningReport>(),
               way == 1 ? std::vector<EndReport>() : std::vector<EndReport>{end});
    }
    pass(scheduler);
    BOOST_TEST((shown == JobState::Running));
    BOOST_TEST(scheduler.queues().at("batch").waitingJobs == 0U);
}

// Guards against a successor that takes a recorded start for one that has happened, or forgets that the job has begun.
BOOST_DATA_TEST_CASE_F(OneStart, a_successor_shows_a_job_as_its_predecessor_did,
                       boost::unit_test::data::make({false, true}), begun)
{
    Scheduler successor;
    addTo(successor, begun);
    for (const OccurrenceRecord &record : records) {
        successor.restore(record, now, now + 5s);
    }
    pass(successor);
    BOOST_TEST(successor.queues().at("batch").waitingJobs == (begun ? 0U : 1U));
    answer(successor, {{order.task, order.run, {}, 0}});
    pass(successor);
    BOOST_TEST((begun || shown == JobState::Running));
    BOOST_TEST(successor.queues().at("batch").runningJobs == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
