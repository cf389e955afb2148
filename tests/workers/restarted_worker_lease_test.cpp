// Leases of a worker that restarts under its id: its clock starts anew.

#include "batch/decider_fixture.hpp"

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;
using test::longestLease;

namespace
{

constexpr std::chrono::milliseconds earlierLife{1'100}; // Longer than the longest lease.
constexpr std::chrono::milliseconds latePoll{90}; // Within the decider's timeout.
constexpr std::chrono::milliseconds responseTime{20};
constexpr std::chrono::milliseconds callTime{200}; // Of an order without a response, and of the poll after it.

/// Responses that are lost between the restart and the cut of the worker.
enum class Lost
{
    Starts,
    Polls,
    All
};

std::ostream &operator<<(std::ostream &out, Lost lost)
{
    return out << (lost == Lost::Starts ? "starts" : lost == Lost::Polls ? "polls" : "all");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(workers_restarted_worker_lease, DeciderFixture)

// Guards against two concurrent runs: a restarted worker counts the lease in a call to its earlier incarnation on its
// new clock, and no answer shows the restart before the worker is cut off.
BOOST_DATA_TEST_CASE(no_run_starts_elsewhere_within_a_lease_whose_answer_was_lost,
                     boost::unit_test::data::make({Lost::Starts, Lost::Polls, Lost::All})
                         * boost::unit_test::data::make({false, true}) * boost::unit_test::data::make({false, true}),
                     lost, keepsConnections, pollsAreLate)
{
    for (auto &[id, worker] : workers) {
        worker->taskDuration = 10s;
        worker->leaseMax = longestLease;
        worker->closesConnections = !keepsConnections;
    }
    start();
    runFor(earlierLife);
    process->confirmedAt = std::chrono::steady_clock::now();
    for (auto &[id, worker] : workers) {
        worker->restart();
        worker->dropsStartResponses = lost != Lost::Polls;
        worker->dropsPollResponses = lost != Lost::Starts;
        worker->pollDelay = pollsAreLate ? latePoll : worker->pollDelay;
    }
    submit("a", 1);
    for (int i = 0; i < 40 && starts().empty(); ++i) {
        runFor(2ms);
    }
    runFor(lost == Lost::Starts ? responseTime : callTime); // A poll with a response stops the run.
    const auto partitioned = partitionBusyWorker();
    runUntilSecondStart();
    BOOST_TEST(starts().begin()->second == 2);
    BOOST_TEST(partitioned->clock().count() > partitioned->leaseUntil().count());
}

BOOST_AUTO_TEST_SUITE_END()
