#include "heatherquay/coordination/batch/send_queue.hpp"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;

namespace
{

using Queue = SendQueue<int>;

state::WorkerId worker(int number)
{
    return {"w" + std::to_string(number)};
}

/// A link that transmits one byte after the other, as that of a small VM does.
struct Link
{
    double bytesPerMillisecond{};
    double busyUntil{}; ///< In milliseconds.

    /// @return how long the last byte waits before it has left
    double send(double now, double bytes)
    {
        busyUntil = std::max(busyUntil, now) + bytes / bytesPerMillisecond;
        return busyUntil - now;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(batch_send_queue)

// Guards against a storm: orders that wait on the link until their timeout are sent again and cancelled by stops. The
// load is a burst of 600 starts of 1,200 bytes on a link of 2 Mbit/s with a timeout of 300 ms.
BOOST_AUTO_TEST_CASE(a_burst_leaves_within_the_timeout_of_its_orders)
{
    SendLimits limits;
    limits.bytesPerMillisecond = 0.7 * 250;
    Queue queue(limits);
    Link link{250};
    for (int i = 0; i < 600; ++i) {
        queue.push(SendClass::Ordinary, worker(i % 120), 1'200, i);
    }
    int sent = 0;
    double longest = 0;
    for (state::Instant now(1s); now < state::Instant(8s); now += 1ms) {
        while (const auto order = queue.pop(now)) {
            ++sent;
            longest = std::max(longest, link.send(static_cast<double>(now.time_since_epoch().count()), 1'200));
            queue.answered(order->ticket);
        }
    }
    BOOST_TEST(sent == 600);
    BOOST_TEST(longest < 300);
}

// Guards against urgent jobs that start late behind a wide job.
BOOST_AUTO_TEST_CASE(urgent_orders_overtake_ordinary_ones)
{
    SendLimits limits;
    limits.bytesPerMillisecond = 10;
    limits.burst = 10ms;
    Queue queue(limits);
    state::Instant now(1s);
    for (int i = 0; i < 50; ++i) {
        queue.push(SendClass::Ordinary, worker(i), 1'000, i);
    }
    BOOST_TEST(queue.pop(now).has_value());
    queue.push(SendClass::Urgent, worker(7), 1'000, 1'000);
    now += 200ms;
    const auto next = queue.pop(now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->order == 1'000);
}

// Guards against a worker whose silence holds back the orders to all others.
BOOST_AUTO_TEST_CASE(silent_workers_do_not_stop_the_others)
{
    SendLimits limits;
    limits.inFlightMax = 4;
    Queue queue(limits);
    state::Instant now(1s);
    for (int i = 0; i < 8; ++i) {
        queue.push(SendClass::Ordinary, worker(i), 100, i);
    }
    int sent = 0;
    while (queue.pop(now)) {
        ++sent;
    }
    BOOST_TEST(sent == 4);
    const auto wait = queue.nextSendIn(now);
    BOOST_REQUIRE(wait.has_value());
    now += *wait;
    while (queue.pop(now)) {
        ++sent;
    }
    BOOST_TEST(sent == 8);
    BOOST_TEST(!queue.nextSendIn(now).has_value());
}

// Guards against orders that wait in the pool of connections of one worker until they are late.
BOOST_AUTO_TEST_CASE(a_worker_gets_as_many_orders_as_it_has_connections)
{
    Queue queue;
    const state::Instant now(1s);
    for (int i = 0; i < 5; ++i) {
        queue.push(SendClass::Ordinary, worker(0), 100, i);
    }
    std::vector<Queue::Ticket> tickets;
    while (const auto sent = queue.pop(now)) {
        tickets.push_back(sent->ticket);
    }
    BOOST_TEST(tickets.size() == 2U);
    BOOST_TEST(queue.size() == 3U);
    queue.answered(tickets.front());
    queue.answered(tickets.front()); // A second report changes nothing.
    const auto next = queue.pop(now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->order == 2);
    BOOST_TEST(!queue.pop(now).has_value());
}

// Guards against planning more starts than can be sent, and against planning none at all on a slow link.
BOOST_AUTO_TEST_CASE(the_backlog_is_bounded_and_never_zero)
{
    SendLimits limits;
    limits.bytesPerMillisecond = 1;
    limits.typicalBytes = 900;
    Queue queue(limits);
    BOOST_TEST(queue.freeBacklog() == 1U);
    queue.push(SendClass::Ordinary, worker(0), 900, 0);
    BOOST_TEST(queue.freeBacklog() == 0U);
}

// Guards against a timer that never fires after an order larger than the burst.
BOOST_AUTO_TEST_CASE(an_order_above_the_burst_delays_the_next_one)
{
    SendLimits limits;
    limits.bytesPerMillisecond = 10;
    limits.burst = 10ms;
    Queue queue(limits);
    state::Instant now(1s);
    queue.push(SendClass::Ordinary, worker(0), 5'000, 0);
    queue.push(SendClass::Ordinary, worker(1), 100, 1);
    BOOST_TEST(queue.pop(now).has_value());
    BOOST_TEST(!queue.pop(now).has_value());
    const auto wait = queue.nextSendIn(now);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->count() >= 490);
    BOOST_TEST(queue.pop(now + *wait).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
