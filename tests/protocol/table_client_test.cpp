#include "heatherquay/protocol/object_store_client.hpp"
#include "heatherquay/protocol/table_client.hpp"
#include "heatherquay/protocol/token_bucket.hpp"
#include "heatherquay/protocol/vm_list_client.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace heatherquay::testing
{

using namespace heatherquay::protocol;

/// A service on the loopback interface that sends the same response to every request.
struct ServiceFixture
{
    boost::asio::io_context io;
    std::mutex mutex;
    transport::HttpResponse response;
    std::atomic<bool> unresponsive{};
    std::atomic<int> requests{};
    std::string lastTarget;
    transport::HttpServer server{io.get_executor(),
                                 [this](transport::HttpRequest request) {
                                     return serve(std::move(request));
                                 },
                                 [](unsigned, const std::string &) {
                                     return transport::HttpResponse{};
                                 }};
    std::thread thread;
    std::string address;

    ServiceFixture()
    {
        server.listen("127.0.0.1:0");
        address = "127.0.0.1:" + std::to_string(server.localEndpoint().port());
        thread = std::thread([this] {
            io.run();
        });
    }
    ~ServiceFixture()
    {
        unresponsive = false;
        server.drain();
        server.closeAll();
        std::this_thread::sleep_for(30ms);
        io.stop();
        thread.join();
    }

    boost::asio::awaitable<transport::HttpResponse> serve(transport::HttpRequest request)
    {
        ++requests;
        while (unresponsive) {
            co_await waitFor(5ms);
        }
        const std::lock_guard lock(mutex);
        lastTarget = request.target;
        co_return response;
    }
    void setResponse(unsigned status, const std::string &body)
    {
        const std::lock_guard lock(mutex);
        response.status = status;
        response.body = body;
    }
    TableClient table()
    {
        return {io.get_executor(), {.address = address, .timeout = 200ms}};
    }
    template<typename R>
    R wait(boost::asio::awaitable<R> work)
    {
        return boost::asio::co_spawn(io, std::move(work), boost::asio::use_future).get();
    }
};

struct TransactCase
{
    unsigned status;
    const char *body;
    CommitStatus expected;
};

std::ostream &operator<<(std::ostream &out, const TransactCase &sample)
{
    return out << sample.status << " " << sample.body;
}

const TransactCase transactCases[] = {
    {200, R"({"version":7})", CommitStatus::Committed},
    {200, R"({"version":-7})", CommitStatus::Unknown},
    {200, "{", CommitStatus::Unknown},
    {200, "", CommitStatus::Unknown},
    {409, R"({"conflicts":[{"key":"a","version":3}]})", CommitStatus::Conflict},
    {409, R"({"conflicts":7})", CommitStatus::Conflict},
    {400, "", CommitStatus::NotCommitted},
    {500, "", CommitStatus::Unknown},
    {503, R"({"version":7})", CommitStatus::Unknown},
};

} // namespace heatherquay::testing

using namespace heatherquay;
using namespace heatherquay::testing;

// Guards against an outcome that is reported as certain although it is not.
BOOST_DATA_TEST_CASE_F(ServiceFixture, table_client_reports_the_outcome_of_a_transaction, data::make(transactCases),
                       sample)
{
    setResponse(sample.status, sample.body);
    const CommitResult result = wait(table().transact({.puts = {{"a", "b"}}}));
    BOOST_TEST((result.status == sample.expected));
}

// Guards against a timeout that is reported as a transaction that was not committed.
BOOST_FIXTURE_TEST_CASE(table_client_timeout_leaves_the_outcome_unknown, ServiceFixture)
{
    unresponsive = true;
    TableClient client = table();
    BOOST_TEST((wait(client.transact({.puts = {{"a", "b"}}})).status == CommitStatus::Unknown));
    BOOST_TEST(!wait(client.read({"a"})).ok);
}

// Guards against an outcome that is reported as unknown although no byte of the request was sent.
BOOST_FIXTURE_TEST_CASE(table_client_reports_not_committed_if_the_service_is_unreachable, ServiceFixture)
{
    TableClient client(io.get_executor(), {.address = "127.0.0.1:1", .timeout = 200ms});
    BOOST_TEST((wait(client.transact({.puts = {{"a", "b"}}})).status == CommitStatus::NotCommitted));
    BOOST_TEST((client.timeSinceLastResponse() == std::chrono::milliseconds::max()));
}

// Guards against a malformed response that is read as an empty table or that throws.
BOOST_DATA_TEST_CASE_F(ServiceFixture, table_client_reports_malformed_rows_as_a_failure,
                       data::make({"", "[]", "{}", R"({"rows":[{"key":1}]})", R"({"rows":[{"key":"a","value":"b"}]})"}),
                       body)
{
    setResponse(200, body);
    BOOST_TEST(!wait(table().read({"a"})).ok);
    BOOST_TEST(!wait(table().scan("a", "b", 5)).ok);
}

// Guards against a burst of calls during an outage: after a failure the client waits before its next attempt.
BOOST_FIXTURE_TEST_CASE(table_client_backs_off_after_failures, ServiceFixture)
{
    setResponse(503, "");
    TableClient client = table();
    for (int i = 0; i < 100; ++i) {
        wait(client.read({"a"}));
    }
    BOOST_TEST(requests < 80);
    setResponse(200, R"({"rows":[]})");
    // The longest backoff is one second; calls during a backoff that outlasts their deadline fail without being sent.
    bool reached = false;
    for (int i = 0; i < 100 && !reached; ++i) {
        std::this_thread::sleep_for(20ms);
        reached = wait(client.read({"a"})).ok;
    }
    BOOST_TEST(reached);
    BOOST_TEST((client.timeSinceLastResponse() < 1s));
}

// Guards against an entry that exceeds its rate or loses a part of it, and against debt that is not repaid.
BOOST_AUTO_TEST_CASE(token_bucket_keeps_its_mean_rate)
{
    const auto begin = TokenBucket::Clock::now();
    TokenBucket bucket(50, begin);
    int taken = 0;
    for (auto at = 0ms; at < 10s; at += 1ms) {
        taken += bucket.tryTake(1, begin + at).count() == 0 ? 1 : 0;
    }
    BOOST_TEST(taken >= 490);
    BOOST_TEST(taken <= 506);
    bucket.charge(100, begin + 10s);
    BOOST_TEST((bucket.tryTake(1, begin + 11s).count() > 0));
    BOOST_TEST((bucket.tryTake(1, begin + 13s).count() == 0));
}

// Guards against a cluster that exceeds its budget at the table: each member may use an equal part of the budget.
// Urgent writes do not wait for it.
BOOST_FIXTURE_TEST_CASE(table_client_stays_within_the_write_budget, ServiceFixture)
{
    setResponse(200, R"({"version":7})");
    TableClient client(io.get_executor(), {.address = address, .timeout = 2s, .writesPerSecond = 200});
    client.setMembers(4);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 30; ++i) {
        wait(client.transact({.puts = {{"a", "b"}}}));
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begin > 400ms));
    const auto urgentBegin = std::chrono::steady_clock::now();
    wait(client.urgent().transact({.puts = {{"a", "b"}}}));
    BOOST_TEST((std::chrono::steady_clock::now() - urgentBegin < 400ms));
}

// Guards against callers' writes that use the whole budget, so that the confirmation of an operator's command cannot be
// written before its deadline.
BOOST_FIXTURE_TEST_CASE(table_client_reserves_write_budget_for_control_during_a_caller_burst, ServiceFixture)
{
    setResponse(200, R"({"version":7})");
    TableClient client(io.get_executor(), {.address = address, .timeout = 1s, .writesPerSecond = 40});
    std::atomic<int> completed{0};
    const Transaction request{.puts = {{"a", "b"}, {"c", "d"}}};
    for (int i = 0; i < 200; ++i) {
        boost::asio::co_spawn(
            io,
            [&]() -> boost::asio::awaitable<void> {
                co_await client.forCallers().transact(request);
                ++completed;
            },
            boost::asio::detached);
    }
    for (int i = 0; i < 3; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        BOOST_TEST((wait(client.transact({.puts = {{"a", "b"}}})).status == CommitStatus::Committed));
        BOOST_TEST((std::chrono::steady_clock::now() - begin < 500ms));
    }
    while (completed < 200) {
        std::this_thread::sleep_for(10ms);
    }
}

// Guards against bursts that let more operations start within one second than the rate allows.
BOOST_AUTO_TEST_CASE(token_bucket_keeps_its_rate_within_any_second)
{
    const auto begin = TokenBucket::Clock::now();
    TokenBucket bucket(400, begin);
    std::vector<std::chrono::milliseconds> taken;
    for (std::chrono::milliseconds at{2'000}; at < 6s; at += 1ms) {
        while (bucket.tryTake(1, begin + at).count() == 0) {
            taken.push_back(at);
        }
    }
    std::size_t highest = 0;
    std::size_t windowStart = 0;
    for (std::size_t windowEnd = 0; windowEnd < taken.size(); ++windowEnd) {
        while (taken[windowEnd] - taken[windowStart] >= 1s) {
            ++windowStart;
        }
        highest = std::max(highest, windowEnd - windowStart + 1);
    }
    BOOST_TEST(highest <= 400U);
    BOOST_TEST(highest >= 350U);
}

// Guards against a failed read that is taken for an absent object.
BOOST_FIXTURE_TEST_CASE(object_store_client_distinguishes_absent_objects_from_failures, ServiceFixture)
{
    ObjectStoreClient client(io.get_executor(), {.address = address, .timeout = 200ms});
    setResponse(200, "body");
    const ObjectResult found = wait(client.get("snapshot/7 a"));
    BOOST_TEST((found.ok && found.body == "body"));
    BOOST_TEST(lastTarget == "/objects/snapshot/7%20a");
    BOOST_TEST(wait(client.put("k", "v")));
    setResponse(404, "");
    const ObjectResult absent = wait(client.get("k"));
    BOOST_TEST((absent.ok && !absent.body));
    BOOST_TEST(wait(client.remove("k")));
    setResponse(500, "");
    BOOST_TEST(!wait(client.get("k")).ok);
    BOOST_TEST(!wait(client.put("k", "v")));
}

// Guards against endpoints that disappear while the list cannot be read.
BOOST_FIXTURE_TEST_CASE(vm_list_client_keeps_the_last_list_during_an_outage, ServiceFixture)
{
    VmListClient client(io.get_executor(), {.address = address, .timeout = 200ms});
    int changes = 0;
    client.addListener([&changes](const auto &) {
        ++changes;
    });
    setResponse(200, R"({"vms":[{"id":"v","address":"ip:1","role":"endpoint","service":"s","state":"leaving"}]})");
    BOOST_TEST(wait(client.poll()));
    BOOST_TEST(wait(client.poll()));
    for (const char *body :
         {"", "{}", R"({"vms":[{"id":"v"}]})", R"({"vms":[{"id":"v","address":"a","role":"king","state":"live"}]})"}) {
        setResponse(200, body);
        BOOST_TEST(!wait(client.poll()));
    }
    setResponse(503, "");
    BOOST_TEST(!wait(client.poll()));
    BOOST_TEST(changes == 1);
    BOOST_REQUIRE(client.current());
    BOOST_TEST((client.current()->at(0).state == VmState::Leaving && client.current()->at(0).service.value == "s"));
}
