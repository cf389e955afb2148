// Exceptions in the decider's calls.

#include "batch/decider_fixture.hpp"

using namespace heatherquay;
using namespace std::chrono_literals;
using test::DeciderFixture;

BOOST_FIXTURE_TEST_SUITE(batch_decider_exceptions, DeciderFixture)

// Guards against a worker that is never polled again, so that its runs never end for the decider.
BOOST_AUTO_TEST_CASE(a_worker_is_polled_again_after_an_exception)
{
    start();
    submit("a", 4);
    for (auto &[id, worker] : workers) {
        worker->throwingPolls = 1;
    }
    runFor(800ms);
    BOOST_TEST(completed("a"));
}

// Guards against orders that count as in flight for ever: a worker takes two of them at a time.
BOOST_AUTO_TEST_CASE(orders_go_on_after_exceptions)
{
    start();
    for (auto &[id, worker] : workers) {
        worker->throwingOrders = 4;
    }
    submit("a", 8);
    runFor(800ms);
    process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
    submit("b", 8);
    runFor(800ms);
    BOOST_TEST(completed("a"));
    BOOST_TEST(completed("b"));
}

BOOST_AUTO_TEST_SUITE_END()
