#include "heatherquay/coordination/batch/worker_clock.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using heatherquay::coordination::batch::WorkerClock;
using namespace std::chrono_literals;

namespace
{

constexpr double rateMin = 0.98;
const WorkerClock::Clock::time_point start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(batch_worker_clock)

// Guards against a lease that is longer than granted: the bound must hold for each rate and age of the reading.
BOOST_DATA_TEST_CASE(the_bound_is_never_ahead_of_the_clock,
                     boost::unit_test::data::make({0.98, 0.99, 1.0})
                         * boost::unit_test::data::make({0, 1, 50, 1'500, 60'000, 3'600'000}),
                     rate, age)
{
    WorkerClock clock(rateMin);
    clock.update(5s, start);
    const std::chrono::milliseconds passed(age);
    const auto actual = 5'000.0 + rate * age;
    const auto earliest = clock.earliest(start + passed);
    BOOST_TEST(static_cast<double>(earliest.count()) <= actual);
    BOOST_TEST(actual - static_cast<double>(earliest.count())
               <= static_cast<double>(clock.uncertainty(start + passed).count()) + 1);
}

BOOST_AUTO_TEST_CASE(a_delayed_reading_does_not_lower_the_bound)
{
    WorkerClock clock(rateMin);
    clock.update(5s, start);
    clock.update(5'100ms, start + 1s);
    BOOST_TEST(clock.earliest(start + 1s).count() == 5'980);
    clock.update(6s, start + 1s);
    BOOST_TEST(clock.earliest(start + 1s).count() == 6'000);
}

BOOST_AUTO_TEST_CASE(an_unknown_clock_is_not_usable)
{
    WorkerClock clock(rateMin);
    BOOST_TEST(!clock.known());
    BOOST_TEST(clock.uncertainty(start).count() == std::chrono::milliseconds::max().count());
    clock.update(5s, start);
    clock.reset();
    BOOST_TEST(!clock.known());
}

BOOST_AUTO_TEST_SUITE_END()
