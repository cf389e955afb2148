#include "standins/endpoints.hpp"
#include "standins/objects.hpp"
#include "standins/table.hpp"
#include "standins/vms.hpp"
#include "standins/workers.hpp"
#include "system/caller.hpp"
#include "system/entry_process.hpp"

#include <fstream>
#include <future>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

using namespace heatherquay;
using namespace heatherquay::system_test;
using namespace std::chrono_literals;

namespace
{

// SHA-256 of "caller-token" and "operator-token".
constexpr const char *callerTokenHash = "42759dabeaa13003b4a08844d414105fbbe66726b223dccb182613678f2c0d1a";
constexpr const char *operatorTokenHash = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

/// Runs the stand-ins in this process and entries as child processes.
struct SystemFixture
{
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard{io.get_executor()};
    std::filesystem::path directory;
    std::string stopWithin{"30s"};
    standins::StandinTable table{io.get_executor()};
    standins::StandinObjects objects{io.get_executor()};
    standins::StandinVms vms{io.get_executor()};
    standins::StandinEndpoints endpoints{io.get_executor(), {.count = 4, .enforceLimits = false, .serviceTime = 10ms}};
    std::vector<std::uint16_t> ports = freePorts(18);
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::vector<std::jthread> threads;

    SystemFixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "heatherquay-system-XXXXXX").string();
        directory = ::mkdtemp(pattern.data());
        for (const std::string &address : endpoints.addresses()) {
            vms.put({address, address, "endpoint", endpoints.service(), "live"});
        }
        for (int thread = 0; thread < 2; ++thread) {
            threads.emplace_back([this] {
                io.run();
            });
        }
    }
    ~SystemFixture()
    {
        entries.clear();
        io.stop();
        threads.clear();
        std::filesystem::remove_all(directory);
    }

    /// @param listener 0 for callers, 1 for operators, 2 for peers; each entry has three ports
    /// @return the quoted value of a setting, with a newline
    std::string listenAddress(std::size_t entry, std::size_t listener) const
    {
        return "\"127.0.0.1:" + std::to_string(ports.at(3 * entry + listener)) + "\"\n";
    }
    std::uint16_t callerPort(std::size_t entry) const
    {
        return ports.at(3 * entry);
    }
    std::string settings(std::size_t entry) const
    {
        std::string text = "[entry]\nid = \"e" + std::to_string(entry) + "\"\nregion = \"viti\"\n"
            + "failure_domain = \"suva\"\npeer_secret = \"s\"\n[listen]\ncallers = " + listenAddress(entry, 0)
            + "operators = " + listenAddress(entry, 1) + "peers = " + listenAddress(entry, 2) + "[table]\naddress = \""
            + table.address() + "\"\n[object_store]\naddress = \"" + objects.address() + "\"\n[vm_list]\naddress = \""
            + vms.address() + "\"\nevery = \"200ms\"\n[stop]\ndrain_for = \"500ms\"\nstop_within = \"" + stopWithin
            + "\"\n[[team]]\nid = \"guitars\"\n" + "token_sha256 = [\"" + callerTokenHash
            + "\"]\n[[operator]]\nname = \"o\"\ntoken_sha256 = [\"" + operatorTokenHash
            + "\"]\n[[service]]\nid = \"hire-desk\"\nrequest_timeout = \"4s\"\n";
        return text;
    }
    void start(std::size_t entry)
    {
        entries.push_back(std::make_unique<EntryProcess>("e" + std::to_string(entry), settings(entry), directory));
    }
    void waitReady(std::size_t entry) const
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (std::chrono::steady_clock::now() < deadline) {
            if (sendOnce(callerPort(entry), "GET", "/readyz", "", "", "", 1s).status == 200) {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        BOOST_FAIL("entry " << entry << " is not ready after 20 s");
    }
    void startEntries(std::size_t count)
    {
        for (std::size_t entry = 0; entry < count; ++entry) {
            start(entry);
        }
        for (std::size_t entry = 0; entry < count; ++entry) {
            waitReady(entry);
        }
    }
    /// Checks the guarantees that hold under all faults against the records of the endpoints: limits are respected,
    /// requests with outcome "not-run" did not run, and a POST without idempotency key runs at most once.
    void checkInvariants(const CallerLoad &load) const
    {
        const boost::json::object record = endpoints.record();
        const boost::json::object history = endpoints.history();
        BOOST_TEST(load.matching > 0u);
        BOOST_TEST(load.mismatched == 0u);
        BOOST_TEST(record.at("over_slots").to_number<int>() == 0);
        BOOST_TEST(record.at("over_connections").to_number<int>() == 0);
        const boost::json::object &ids = history.at("ids").as_object();
        for (const std::string &id : load.rejectedIds()) {
            BOOST_TEST(!ids.contains(id), "request " << id << " got the outcome not-run, but ran");
        }
        for (const auto &[id, runs] : ids) {
            const std::string text(id);
            // CallerLoad ends each id with the number of the request and sends requests with odd numbers as POST.
            const bool post = (text.back() - '0') % 2 == 1;
            BOOST_TEST((!post || runs.to_number<int>() <= 1),
                       "POST without idempotency key " << text << " ran " << runs << " times");
        }
    }
};

} // namespace

// Guards against responses that are lost, swapped or truncated on the remaining entries after an entry is killed.
BOOST_FIXTURE_TEST_CASE(system_requests_complete_after_an_entry_is_killed, SystemFixture)
{
    startEntries(3);
    CallerLoad load({callerPort(1), callerPort(2)}, 8);
    std::this_thread::sleep_for(1s);
    entries.front()->signal(SIGKILL);
    std::this_thread::sleep_for(1s);
    const std::uint64_t matchingBefore = load.matching;
    std::this_thread::sleep_for(2s);
    load.stop();
    BOOST_TEST(load.matching > matchingBefore);
    BOOST_TEST(load.incomplete == 0u);
    checkInvariants(load);
}

// Guards against requests that wait forever on pooled connections that stay open but never respond.
BOOST_FIXTURE_TEST_CASE(system_unresponsive_connections_are_replaced, SystemFixture)
{
    startEntries(1);
    CallerLoad load({callerPort(0)}, 8);
    std::this_thread::sleep_for(1s);
    for (const std::string &address : endpoints.addresses()) {
        endpoints.server(address).stopAnsweringOpenConnections();
    }
    std::this_thread::sleep_for(6s);
    const std::uint64_t matchingBefore = load.matching;
    std::this_thread::sleep_for(2s);
    load.stop();
    BOOST_TEST(load.matching > matchingBefore);
    checkInvariants(load);
}

// Guards against a table outage that stops requests without idempotency key, which need no table, and against a keyed
// request that runs although its claim could not be written.
BOOST_FIXTURE_TEST_CASE(system_table_outage_stops_keyed_requests_only, SystemFixture)
{
    startEntries(1);
    const CallerResponse first = sendOnce(callerPort(0), "POST", "/services/hire-desk/a", "i1", "k1", "b");
    BOOST_TEST(first.status == 200u, first.body);
    table.server().setFaults({.down = true});
    std::this_thread::sleep_for(500ms);
    const CallerResponse keyed = sendOnce(callerPort(0), "POST", "/services/hire-desk/a", "i2", "k2", "b");
    BOOST_TEST(keyed.outcome == "not-run");
    BOOST_TEST(endpoints.runsOfKey("k2") == 0u);
    const CallerResponse plain = sendOnce(callerPort(0), "GET", "/services/hire-desk/a", "i3", "", "");
    BOOST_TEST(plain.status == 200u, plain.body);
}

// Guards against a second run of a keyed request when the write of its claim took effect but the response of the table
// was lost.
BOOST_FIXTURE_TEST_CASE(system_lost_table_responses_do_not_rerun_a_keyed_request, SystemFixture)
{
    startEntries(2);
    for (int round = 0; round < 10; ++round) {
        table.server().setFaults({.loseResponses = 1});
        const std::string key = "k" + std::to_string(round);
        for (int attempt = 0; attempt < 2; ++attempt) {
            sendOnce(callerPort(static_cast<std::size_t>(attempt)), "POST", "/services/hire-desk/a", "i", key, "b");
        }
        BOOST_TEST(endpoints.runsOfKey(key) <= 1u);
    }
    table.server().setFaults({});
    BOOST_TEST(endpoints.record().at("keys").to_number<int>() > 0);
}

// Guards against a planned stop that aborts requests, and against a replacement entry that uses slots which are still
// in use.
BOOST_FIXTURE_TEST_CASE(system_all_entries_are_replaced_without_a_failed_request, SystemFixture)
{
    startEntries(2);
    for (std::size_t entry = 0; entry < 2; ++entry) {
        start(entry + 2);
        waitReady(entry + 2);
    }
    // A load balancer sends no requests to leaving entries, so the callers use the new ones.
    CallerLoad load({callerPort(2), callerPort(3)}, 8);
    std::this_thread::sleep_for(500ms);
    for (std::size_t entry = 0; entry < 2; ++entry) {
        entries[entry]->signal(SIGTERM);
        BOOST_TEST(entries[entry]->wait(32s).value_or(-1) == 0);
    }
    std::this_thread::sleep_for(1s);
    load.stop();
    BOOST_TEST(load.incomplete == 0u);
    checkInvariants(load);
}

// Guards against requests that end without a response because they outlast the time for a stop.
BOOST_FIXTURE_TEST_CASE(system_requests_that_outlast_a_stop_are_answered, SystemFixture)
{
    stopWithin = "1500ms";
    startEntries(1);
    std::vector<std::future<CallerResponse>> responses;
    for (int i = 0; i < 8; ++i) {
        responses.push_back(std::async(std::launch::async, [this] {
            return sendOnce(callerPort(0), "POST", "/services/hire-desk/?ms=3500", "", "", "");
        }));
    }
    std::this_thread::sleep_for(300ms);
    entries.front()->signal(SIGTERM);
    for (std::future<CallerResponse> &future : responses) {
        const CallerResponse response = future.get();
        BOOST_TEST(response.status == 504U);
        BOOST_TEST(response.outcome == "unknown");
    }
    BOOST_TEST(entries.front()->wait(6s).value_or(-1) == 3);
    std::ifstream log(directory / "e0.log");
    const std::string lines{std::istreambuf_iterator<char>(log), {}};
    BOOST_TEST(lines.find("stopped in_time=false") != std::string::npos, lines.substr(lines.size() / 2));
}

// Guards against an entry that exceeds the limits of endpoints because it acts on outdated state after it was
// suspended.
BOOST_FIXTURE_TEST_CASE(system_resumed_entry_does_not_exceed_the_limits, SystemFixture)
{
    startEntries(2);
    CallerLoad load({callerPort(0), callerPort(1)}, 24);
    std::this_thread::sleep_for(1s);
    entries.front()->signal(SIGSTOP);
    std::this_thread::sleep_for(10s);
    entries.front()->signal(SIGCONT);
    std::this_thread::sleep_for(2s);
    load.stop();
    checkInvariants(load);
}
