#include "crowds/small_process.hpp"
#include "emulator/platform_emulator.hpp"
#include "transport/raw_peer.hpp"

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

struct EndlessResponse
{
    std::string name;
    std::string prefix;
    std::string piece;
};

std::ostream &operator<<(std::ostream &stream, const EndlessResponse &sample)
{
    return stream << sample.name;
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::vector<EndlessResponse> endlessResponses{
    {"trailers", chunkedHead + "1\r\n{\r\n0\r\n", "X-Trailer: " + std::string(1'011, 't') + "\r\n"},
    {"chunk extension", chunkedHead + "1;x=", std::string(1'024, 'e')},
    {"body", chunkedHead, "400\r\n" + std::string(1'024, 'b') + "\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\nX: " + std::string(996, 'i') + "\r\n\r\n"}};

/// A peer that starts each response with a prefix and goes on with 64 MiB of pieces.
struct EndlessPeer : test::RawPeer
{
    explicit EndlessPeer(const EndlessResponse &response)
        : RawPeer([response](Socket &socket, int, int) {
            send(socket, response.prefix);
            boost::system::error_code error;
            for (std::size_t sent = 0; sent < 4 * endlessPieces && !error; ++sent) {
                boost::asio::write(socket, boost::asio::buffer(response.piece), error);
            }
            return false;
        })
    {
    }
};

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
