#include "system/platform_fixture.hpp"
#include "transport/kept_connection.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::system_test;
using heatherquay::test::KeptConnection;
using namespace std::chrono_literals;

namespace
{

constexpr int connectionCount = 24;
constexpr auto beforeListenerCloses = 2'200ms; // After SIGTERM; the listener closes at 2,300 ms.
constexpr auto afterListenerCloses = 300ms;

struct StopFixture : PlatformFixture
{
    /// Opens kept connections to process @p i, each of which has carried one request.
    std::vector<KeptConnection> openConnections(int i) const
    {
        std::vector<KeptConnection> connections;
        for (int count = 0; count < connectionCount; ++count) {
            connections.emplace_back(transport::parseAddress(address(i, 0)));
            BOOST_REQUIRE(connections.back().send(queueRequest()));
            BOOST_REQUIRE(connections.back().receive(2s).status == 200U);
        }
        return connections;
    }

    /// Gives requests more time than a stop has.
    void configureTimeout(std::chrono::milliseconds timeout)
    {
        platform.configure(R"({"version":2,"routes":[{"name":"batch","host":"jobs.example","prefix":"/batch/",)"
                           R"("service":"service","priority":1,"maxAttempts":3,"stretch":3,"latencyTargetMs":1000,)"
                           R"("timeoutMs":)"
                           + std::to_string(timeout.count()) + R"(}],"tenants":[{"name":"t","apiKeys":["secret"]}]})");
        std::this_thread::sleep_for(1s);
    }

    /// @return the fields of the line that a process logs at its end
    std::string stoppedLine() const
    {
        for (const app::LogLine &line : logs()) {
            if (line.event == "stopped") {
                return "unanswered=" + line.field("unanswered") + " receiving=" + line.field("receiving")
                    + " unread=" + line.field("unread");
            }
        }
        return "no line";
    }

    static std::string submissionRequest(std::size_t number)
    {
        const std::string id = std::to_string(number);
        const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":10,"gpu":1,"estimateMs":300}]})";
        return "POST /batch/" + std::string(16 - id.size(), '0') + id + " HTTP/1.1\r\nHost: " + host
            + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    static std::string queueRequest()
    {
        return std::string("GET /batch/ HTTP/1.1\r\nHost: ") + host + "\r\nAuthorization: Bearer " + key + "\r\n\r\n";
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(graceful_stop)

// Guards against a stopping process that ends with requests that it has received and not handled yet.
BOOST_FIXTURE_TEST_CASE(requests_received_before_the_end_of_a_stop_are_answered, StopFixture)
{
    auto connections = openConnections(0);
    processes[0]->signal(SIGTERM);
    std::this_thread::sleep_for(beforeListenerCloses);
    // While the process is paused its timer expires, so that it finds the timer and the requests at the same time.
    processes[0]->signal(SIGSTOP);
    for (KeptConnection &connection : connections) {
        BOOST_REQUIRE(connection.send(queueRequest()));
    }
    std::this_thread::sleep_for(afterListenerCloses);
    processes[0]->signal(SIGCONT);
    for (KeptConnection &connection : connections) {
        const KeptConnection::Response response = connection.receive(3s);
        BOOST_TEST(response.status == 200U, response.failure);
        BOOST_TEST(response.closes);
    }
    BOOST_TEST(processes[0]->wait(7s).value_or(-1) == 0);
    BOOST_TEST(stoppedLine() == "unanswered=0 receiving=0 unread=0");
}

// Guards against a stop that leaves requests unanswered, or outlasts the grace period, while the store does not
// respond.
BOOST_FIXTURE_TEST_CASE(a_stop_with_a_silent_store_answers_all_requests_in_time, StopFixture)
{
    const int stopped = decider();
    configureTimeout(20s);
    auto connections = openConnections(stopped);
    const std::jthread silence([this] {
        platform.runOnEmulatorThread([](test::PlatformEmulator &) {
            std::this_thread::sleep_for(8s);
            return 0;
        });
    });
    processes[stopped]->signal(SIGTERM);
    const auto stoppedAt = std::chrono::steady_clock::now();
    processes[stopped]->signal(SIGHUP);
    std::this_thread::sleep_for(beforeListenerCloses);
    processes[stopped]->signal(SIGTERM);
    for (std::size_t i = 0; i < connections.size(); ++i) {
        BOOST_REQUIRE(connections[i].send(submissionRequest(i)));
    }
    for (const KeptConnection &connection : connections) {
        const KeptConnection::Response response = connection.receive(6s);
        BOOST_TEST((response.status == 503U || response.status == 504U), response.status << response.failure);
        BOOST_TEST(response.closes);
    }
    BOOST_TEST(processes[stopped]->wait(7s).value_or(-1) == 0);
    BOOST_TEST((std::chrono::steady_clock::now() - stoppedAt).count() / 1'000'000 < 6'000);
    BOOST_TEST(stoppedLine() == "unanswered=0 receiving=0 unread=0");
}

BOOST_AUTO_TEST_SUITE_END()
