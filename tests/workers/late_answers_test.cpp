// Answers that arrive after the worker has restarted, at the same address or elsewhere.

#include "batch/decider_fixture.hpp"

#include <map>

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;
using test::FakeWorker;
using test::longestLease;
using test::RunChange;

namespace
{

constexpr std::chrono::milliseconds longTask{10'000};
constexpr std::chrono::milliseconds callDelay{80}; // Within the decider's timeout for polls, above that for orders.
constexpr std::chrono::milliseconds orderDelay{50}; // Within the decider's timeout for orders.
constexpr std::chrono::milliseconds earlierLife{1'100}; // Longer than the longest lease.
constexpr std::chrono::milliseconds settlingTime{30};

/// One worker whose runs are watched.
struct LateAnswersFixture : DeciderFixture
{
    LateAnswersFixture()
    {
        store.remove({"workers", "", "w1"});
        watch(*workers.at("w0"));
        watch(*workers.at("w1"));
        for (auto &[id, worker] : workers) {
            worker->taskDuration = longTask;
        }
        start();
    }

    ~LateAnswersFixture()
    {
        // The base class lets the deciders' coroutines finish, in which workers may still report changes.
        for (const auto &worker : watched) {
            worker->observer = nullptr;
        }
    }

    void watch(FakeWorker &worker)
    {
        watched.push_back(workers.at(worker.spec.id.value));
        worker.observer = [this](const RunChange &change) {
            int &active = activeRuns[toString(change.task)];
            active += change.kind == RunChange::Kind::Started ? 1 : change.kind == RunChange::Kind::Ended ? -1 : 0;
            mostActive = std::max(mostActive, active);
        };
    }

    /// Ends w0 at its address and starts its next incarnation at another one.
    /// @return the earlier incarnation
    std::shared_ptr<FakeWorker> moveWorker()
    {
        auto before = workers.at("w0");
        state::batch::WorkerSpec spec = before->spec;
        before->restart(); // Ends its runs.
        before->replaced = true;
        ++spec.incarnation.value;
        spec.address = "elsewhere";
        workers["w0"] = std::make_shared<FakeWorker>(spec);
        workers.at("w0")->taskDuration = longTask;
        watch(*workers.at("w0"));
        registerWorker("w0");
        return before;
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        for (int i = 0; i < 200 && !condition(); ++i) {
            process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
            runFor(5ms);
        }
        return condition();
    }

    std::vector<std::shared_ptr<FakeWorker>> watched;
    std::map<std::string, int> activeRuns;
    int mostActive{}; ///< Largest number of concurrent runs of one task.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(workers_late_answers, LateAnswersFixture)

// Guards against two concurrent runs: another worker at the earlier address of a restarted one rejects a call, which
// ended the runs at the new address.
BOOST_DATA_TEST_CASE(a_rejection_from_an_earlier_address_ends_no_run_at_the_new_one,
                     boost::unit_test::data::make({"poll", "stop"}), call)
{
    const bool stops = std::string(call) == "stop";
    submit("a", 1);
    submit("b", 1);
    BOOST_REQUIRE(runUntil([this] {
        return workers.at("w0")->running() == 2;
    }));
    workers.at("w0")->pollDelay = stops ? 1ms : callDelay;
    workers.at("w0")->stopDelay = stops ? orderDelay : 1ms;
    runFor(60ms); // A poll is under way.
    if (stops) {
        store.put(intakeRow({"b"}), encodeIntake({"batch", true}));
        runFor(10ms); // A stop order is under way.
    }
    moveWorker();
    BOOST_REQUIRE(runUntil([&] {
        return workers.at("w0")->running() == (stops ? 1 : 2);
    }));
    registerWorker("w1"); // Where the runs could start beside those on w0.
    runFor(2 * callDelay);
    BOOST_TEST(workers.at("w0")->running() == (stops ? 1 : 2));
    BOOST_TEST(mostActive == 1);
}

// Guards against a lease that outlasts what the decider assumes: the clock in a late answer of the earlier incarnation
// was taken for that of the restarted worker.
BOOST_AUTO_TEST_CASE(a_late_answer_does_not_set_the_clock_of_the_next_incarnation)
{
    FakeWorker &worker = *workers.at("w0");
    worker.leaseMax = longestLease;
    runFor(earlierLife);
    process->confirmedAt = std::chrono::steady_clock::now();
    worker.startResponseDelay = orderDelay;
    submit("a", 1);
    BOOST_REQUIRE(runUntil([&] {
        return worker.running() == 1;
    }));
    worker.restart();
    registerWorker("w0");
    runFor(orderDelay);
    worker.startResponseDelay = 0ms;
    BOOST_REQUIRE(runUntil([&] {
        return worker.running() == 1;
    }));
    runFor(settlingTime);
    BOOST_TEST((worker.leaseUntil() - worker.clock()).count() <= 300);
}

BOOST_AUTO_TEST_SUITE_END()
