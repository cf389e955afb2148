#include "emulator/platform_emulator.hpp"
#include "platform/wire_json.hpp"
#include "platform/worker_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace std::chrono_literals;

namespace
{

constexpr protocol::batch::FencingToken token{1};

/// A worker client in the test's thread that talks to a worker in the emulator's thread.
struct WorkerClientFixture
{
    WorkerClientFixture()
        : emulator(1, 0ms)
        , client(context.get_executor(), workerOf(emulator), 1)
    {
    }

    static state::batch::WorkerSpec workerOf(test::PlatformEmulator &emulator)
    {
        const std::string entry = emulator.runOnEmulatorThread([](test::PlatformEmulator &self) {
            return self.store().value({"servers", "", "i-0"});
        });
        state::batch::WorkerSpec worker;
        worker.id.value = "i-0";
        worker.address = platform::stringOr(platform::parseJson(entry), "address");
        return worker;
    }

    template<typename Answer>
    Answer wait(boost::asio::awaitable<Answer> call)
    {
        auto answer = boost::asio::co_spawn(context, std::move(call), boost::asio::use_future);
        context.run();
        context.restart();
        return answer.get();
    }

    protocol::batch::PollAnswer poll(std::uint64_t confirmedEnd)
    {
        return wait(client.poll({token, std::nullopt, confirmedEnd, std::nullopt, 0ms}, 2s));
    }

    boost::asio::io_context context;
    test::PlatformEmulator emulator;
    platform::WorkerClient client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_worker_client, WorkerClientFixture)

// Guards against runs that are taken for lost, because a worker reports no more than 500 ends at a time.
BOOST_AUTO_TEST_CASE(a_full_list_of_ends_is_reported_as_incomplete)
{
    constexpr std::uint32_t tasks = 501;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        const state::batch::StartOrder order{{{"5c0e7a21d94b36f8"}, 0, 0, index}, 1, {"i-0"}, {}, "payload"};
        const auto answer = wait(client.start(order, token, 1h, 2s));
        BOOST_REQUIRE((answer.status == protocol::batch::CallStatus::Answered));
    }
    const auto first = poll(0);
    BOOST_TEST(first.report.ended.size() == 500U);
    BOOST_TEST(!first.report.endsComplete);
    const auto second = poll(500);
    BOOST_TEST(second.report.ended.size() == 1U);
    BOOST_TEST(second.report.endsComplete);
}

// Guards against a pace order that the worker cannot read, and a response time that is not reported.
BOOST_AUTO_TEST_CASE(a_run_is_paced_and_its_usage_is_reported)
{
    const state::batch::TaskId task{{"5c0e7a21d94b36f8"}, 0, 0, 0};
    emulator.runOnEmulatorThread([](test::PlatformEmulator &self) {
        self.workers().front()->taskDuration = 1h;
        self.workers().front()->usageOf = [](const state::batch::TaskId &) {
            return 250;
        };
        return true;
    });
    BOOST_REQUIRE((wait(client.start({task, 1, {"i-0"}, {}, "payload"}, token, 1h, 2s)).status
                   == protocol::batch::CallStatus::Answered));
    BOOST_TEST((wait(client.pace({task, 1, {"i-0"}, 30}, token, 2s)).status == protocol::batch::CallStatus::Answered));
    BOOST_TEST((wait(client.pace({task, 2, {"i-0"}, 30}, token, 2s)).status == protocol::batch::CallStatus::Refused));
    const std::uint32_t pace = emulator.runOnEmulatorThread([&task](test::PlatformEmulator &self) {
        return self.workers().front()->paces.at(task);
    });
    BOOST_TEST(pace == 30U);
    const auto answer = poll(0);
    BOOST_REQUIRE(answer.report.running.size() == 1U);
    BOOST_TEST(answer.report.running.front().usage == 250);
}

// Guards against ends that a restarted worker forgets unseen: it numbers them anew at the same address.
BOOST_AUTO_TEST_CASE(a_poll_for_a_connection_does_not_reach_the_restarted_worker)
{
    const auto start = [this](std::uint32_t index) {
        const state::batch::StartOrder order{{{"5c0e7a21d94b36f8"}, 0, 0, index}, 1, {"i-0"}, {}, "payload"};
        return wait(client.start(order, token, 1h, 2s)).status;
    };
    BOOST_REQUIRE((start(0) == protocol::batch::CallStatus::Answered));
    const auto first = poll(0);
    BOOST_REQUIRE(first.report.ended.size() == 1U);
    BOOST_REQUIRE(first.connection);
    emulator.restartWorker(0);
    BOOST_REQUIRE((start(1) != protocol::batch::CallStatus::Unknown));
    const auto late = wait(client.poll({token, first.connection, 1, std::nullopt, 0ms}, 2s));
    BOOST_TEST((late.status == protocol::batch::CallStatus::NotSent));
    BOOST_TEST(poll(0).report.ended.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
