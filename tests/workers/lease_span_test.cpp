// Leases in relation to the confirmation of the term under which they are granted.

#include "batch/decider_fixture.hpp"

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;
using test::DeciderProcess;
using test::testAuthorityTimeout;

namespace
{

constexpr std::chrono::milliseconds lease{300};
constexpr std::chrono::milliseconds span{350}; // Less than lease and authority together.
constexpr std::chrono::milliseconds startTime{60}; // Of a run, after its worker was given up.
constexpr std::chrono::milliseconds recoveryTime{60};
constexpr std::chrono::milliseconds longTask{10'000};

/// A decider whose leases end soon after its term was last confirmed.
struct LeaseSpanFixture : DeciderFixture
{
    LeaseSpanFixture()
    {
        for (auto &[id, worker] : workers) {
            worker->taskDuration = longTask;
        }
        process = makeProcess(1);
        submit("a", 1);
        for (int i = 0; i < 50 && starts().empty(); ++i) {
            runFor(5ms);
        }
        process->confirmedAt = std::chrono::steady_clock::now();
    }

    std::unique_ptr<DeciderProcess> makeProcess(std::uint64_t token)
    {
        return std::make_unique<DeciderProcess>(context, store, workers, token, DeciderTimes().clockRateMin,
                                                DeciderTimes().endedJobRetention, lease, span);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(workers_lease_span, LeaseSpanFixture)

// Guards against leases that last longer than a successor waits for them.
BOOST_AUTO_TEST_CASE(no_lease_ends_later_than_the_span_after_the_confirmation)
{
    std::chrono::milliseconds latest{};
    for (auto time = 0ms; time < testAuthorityTimeout + lease; time += 10ms) {
        runFor(10ms);
        for (const auto &[id, worker] : workers) {
            if (worker->running() > 0) {
                const auto left = worker->leaseUntil() - worker->clock();
                const auto endsAt = std::chrono::steady_clock::now() + left;
                latest = std::max(latest,
                                  std::chrono::duration_cast<std::chrono::milliseconds>(endsAt - process->confirmedAt));
            }
        }
    }
    BOOST_TEST(latest.count() <= span.count() + 1);
    BOOST_TEST(latest.count() > lease.count());
}

// Guards against a lasting task that stands still for too long after its worker and its decider are lost together.
BOOST_AUTO_TEST_CASE(a_successor_starts_the_run_of_a_lost_worker_elsewhere_after_the_span)
{
    runFor(testAuthorityTimeout - 10ms); // The latest lease is granted just before the authority ends.
    const auto lost = partitionBusyWorker();
    process->kill();
    const auto lostAt = std::chrono::steady_clock::now();
    successor = makeProcess(2);
    for (int i = 0; i < 100 && starts().begin()->second == 1; ++i) {
        successor->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
        runFor(5ms);
    }
    const auto waited
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - lostAt);
    BOOST_TEST(starts().begin()->second == 2);
    BOOST_TEST(lost->clock().count() > lost->leaseUntil().count());
    BOOST_TEST(waited.count() <= (span + recoveryTime + startTime).count());
}

BOOST_AUTO_TEST_SUITE_END()
