#include "heatherquay/coordination/gang_dispatcher_impl.hpp"
#include "heatherquay/coordination/lease_renewer_impl.hpp"

#include "coordination/fake_workers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination;
using namespace std::chrono_literals;
using tests::FakeWorkers;
using tests::StartFault;
using tests::StopFault;

namespace
{

constexpr DispatchTimes shortTimes{
    .lease = 40ms, .leaseExpiryTimeout = 80ms, .stopRetryDelay = 5ms, .startTimeout = 20ms};

struct DispatchFixture
{
    boost::asio::io_context io;
    FakeWorkers workers;
    std::vector<state::Event> reported;
    std::size_t runningAtReport{};
    Gang gang{{{"g1"}, {7}}, {{{"w1"}, "a1", {0, 1}}, {{"w2"}, "a2", {0, 1}}, {{"w3"}, "a3", {3}}}, "run"};
    GangDispatcher<FakeWorkers> dispatcher{io.get_executor(), workers,
                                           [this](state::Event event) -> boost::asio::awaitable<void> {
                                               runningAtReport = workers.runningMembers(gang.ref);
                                               reported.push_back(std::move(event));
                                               co_return;
                                           },
                                           shortTimes};

    void run(boost::asio::awaitable<void> operation)
    {
        boost::asio::co_spawn(io, std::move(operation), boost::asio::detached);
        io.run();
        io.restart();
    }
    template<typename Event>
    bool onlyEventIs() const
    {
        return reported.size() == 1 && std::holds_alternative<Event>(reported.front());
    }
};

const auto startFaults = boost::unit_test::data::make({0, 1, 2, 3});
const auto stopFaults = boost::unit_test::data::make({0, 1, 2, 3});
const auto positions = boost::unit_test::data::make({0, 1, 2});

} // namespace

// Guards against a gang that runs on only some of its accelerators. Combines each fault in the start of each member
// with each fault in the stop of each member.
BOOST_DATA_TEST_CASE(gang_starts_on_all_members_or_none, startFaults *stopFaults *positions *positions, startFault,
                     stopFault, startPosition, stopPosition)
{
    DispatchFixture fixture;
    fixture.workers.startFaults["a" + std::to_string(startPosition + 1)] = static_cast<StartFault>(startFault);
    fixture.workers.stopFaults["a" + std::to_string(stopPosition + 1)] = static_cast<StopFault>(stopFault);
    fixture.run(fixture.dispatcher.start(fixture.gang));
    if (startFault == 0) {
        BOOST_TEST(fixture.onlyEventIs<state::GangStarted>());
        BOOST_TEST(fixture.runningAtReport == 3u);
    } else {
        BOOST_TEST(fixture.onlyEventIs<state::GangStartFailed>());
        BOOST_TEST(fixture.runningAtReport == 0u);
    }
}

// Guards against accelerators that are reused while an unreachable worker still runs the task.
BOOST_DATA_TEST_CASE(stop_is_reported_only_when_no_member_can_run, stopFaults *positions, stopFault, position)
{
    DispatchFixture fixture;
    fixture.run(fixture.dispatcher.start(fixture.gang));
    fixture.reported.clear();
    fixture.workers.stopFaults["a" + std::to_string(position + 1)] = static_cast<StopFault>(stopFault);
    fixture.run(fixture.dispatcher.stop(fixture.gang, true, 20ms));
    BOOST_TEST(fixture.onlyEventIs<state::TasksStopped>());
    BOOST_TEST(fixture.runningAtReport == 0u);
    const auto *stopped = std::get_if<state::TasksStopped>(&fixture.reported.front());
    const bool unreachable = static_cast<StopFault>(stopFault) == StopFault::Unreachable;
    BOOST_TEST((stopped != nullptr && stopped->checkpointed) == !unreachable);
}

// Guards against a start that arrives after the stop with the same fence, for example from another entry.
BOOST_FIXTURE_TEST_CASE(start_after_a_stop_with_the_same_fence_runs_no_member, DispatchFixture)
{
    run(dispatcher.start(gang));
    run(dispatcher.stop(gang, false, 0ms));
    reported.clear();
    run(dispatcher.start(gang));
    BOOST_TEST(workers.runningMembers(gang.ref) == 0u);
    BOOST_TEST(onlyEventIs<state::GangStartFailed>());
}

// Guards against a job reported as finished while a member is still running.
BOOST_FIXTURE_TEST_CASE(job_is_finished_only_when_every_member_has_finished, DispatchFixture)
{
    run(dispatcher.start(gang));
    reported.clear();
    workers.reportedStates = {{"a1", protocol::TaskState::Finished}, {"a2", protocol::TaskState::Finished}};
    run(dispatcher.checkFinished(gang));
    BOOST_TEST(reported.empty());
    workers.reportedStates["a3"] = protocol::TaskState::Finished;
    run(dispatcher.checkFinished(gang));
    BOOST_TEST(onlyEventIs<state::JobFinished>());
}

namespace
{

struct RenewalFixture : DispatchFixture
{
    bool mayAct{true};
    std::vector<std::string> lost;
    std::vector<std::string> returned;
    std::vector<RenewalTarget> targets{{{"w1"}, "a1", false, {gang.ref}}, {{"w2"}, "a2", false, {gang.ref}}};
    LeaseRenewer<FakeWorkers> renewer{io.get_executor(),
                                      workers,
                                      {[this] {
                                           return targets;
                                       },
                                       [this] {
                                           return mayAct;
                                       },
                                       [](const state::WorkerId &, const protocol::TaskReport &) {},
                                       [this](const state::WorkerId &worker) {
                                           lost.push_back(worker.value);
                                       },
                                       [this](const state::WorkerId &worker) {
                                           returned.push_back(worker.value);
                                       }},
                                      {.renewInterval = 10ms, .lease = 40ms, .lostAfter = 60ms}};
};

} // namespace

// Guards against an entry that renews leases after it lost its authority, when other entries may have reassigned its
// work.
BOOST_FIXTURE_TEST_CASE(entry_without_authority_renews_no_leases, RenewalFixture)
{
    run(dispatcher.start(gang));
    mayAct = false;
    const auto end = FakeWorkers::Clock::now() + 60ms;
    while (FakeWorkers::Clock::now() < end) {
        run(renewer.renewOnce());
    }
    BOOST_TEST(workers.runningMembers(gang.ref) == 0u);
}

// Guards against a worker that is reported as lost before its tasks have certainly stopped.
BOOST_FIXTURE_TEST_CASE(unreachable_worker_is_lost_only_after_its_leases_expired, RenewalFixture)
{
    run(dispatcher.start(gang));
    workers.stopFaults["a2"] = StopFault::Unreachable;
    const auto begin = FakeWorkers::Clock::now();
    while (lost.empty()) {
        run(renewer.renewOnce());
    }
    BOOST_TEST((FakeWorkers::Clock::now() - begin >= 60ms));
    BOOST_TEST(lost.front() == "w2");
    targets[1].lost = true;
    workers.stopFaults["a2"] = StopFault::None;
    run(renewer.renewOnce());
    BOOST_TEST(returned == std::vector<std::string>{"w2"});
}
