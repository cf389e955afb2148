#include "crowds/endless_peer.hpp"
#include "crowds/small_process.hpp"
#include "emulator/platform_emulator.hpp"

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::crowds;

BOOST_AUTO_TEST_SUITE(platform_crowds)

// Guards against callers that exhaust the memory or the descriptors of a process with requests that never end.
BOOST_DATA_TEST_CASE(a_crowd_of_callers_stays_within_the_limits, crowdSamples)
{
    test::PlatformEmulator platform(workers, 100ms);
    platform.configure(platformConfiguration);
    const SmallProcess small(platform.storeAddress());
    BOOST_REQUIRE(small.answers(200));
    {
        Crowd crowd(serverAddress, small.ports[0]);
        for (const auto &[script, clients] : sample.clients) {
            crowd.add(script(platformTarget), clients);
        }
        crowd.run(small.process->pid());
        small.checkBounds(crowd.descriptorsMax());
    }
    BOOST_TEST(small.answers(200));
}

// Guards against a store whose endless response exhausts the memory of the process that reads it.
BOOST_DATA_TEST_CASE(a_store_that_answers_without_end_does_not_end_the_process, endlessResponses)
{
    const EndlessPeer store(sample);
    const SmallProcess small(store.address());
    std::this_thread::sleep_for(4s);
    small.checkBounds(openDescriptors(small.process->pid()));
    BOOST_TEST(small.answers(503)); // The process has no configuration.
}

// Guards against workers whose endless responses exhaust the memory of the process that polls them.
BOOST_DATA_TEST_CASE(workers_that_answer_without_end_do_not_end_the_process, endlessResponses)
{
    const EndlessPeer worker(sample);
    test::PlatformEmulator platform(workers, 100ms);
    platform.configure(platformConfiguration);
    platform.runOnEmulatorThread([&worker](test::PlatformEmulator &emulator) {
        for (std::size_t index = 0; index < workers; ++index) {
            const protocol::batch::RowKey key{"servers", "", "i-" + std::to_string(index)};
            boost::json::value entry = boost::json::parse(emulator.store().value(key));
            entry.as_object()["address"] = worker.address();
            emulator.store().put(key, boost::json::serialize(entry));
        }
        return true;
    });
    const SmallProcess small(platform.storeAddress());
    BOOST_REQUIRE(small.answers(200));
    std::this_thread::sleep_for(4s);
    BOOST_TEST(worker.requests() > 0);
    small.checkBounds(openDescriptors(small.process->pid()));
    BOOST_TEST(small.answers(200));
}

BOOST_AUTO_TEST_SUITE_END()
