#include "request_fixture.hpp"
#include "transport/raw_peer.hpp"

#include <boost/asio/detached.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination;
using namespace heatherquay::test;
using protocol::Outcome;
using transport::HttpRequest;
using transport::HttpResponse;

namespace
{

std::string outcome(const HttpResponse &response)
{
    return std::string(response.fields.get("Heatherquay-Outcome"));
}

std::vector<HttpResponse> sendAll(Runtime &runtime, Entry &entry, int count, const std::string &method = "GET")
{
    std::vector<std::future<HttpResponse>> futures;
    for (int i = 0; i < count; ++i) {
        futures.push_back(boost::asio::co_spawn(
            boost::asio::make_strand(runtime.io),
            entry.api->handle(callerRequest(method, "/services/desk/", std::to_string(i))), boost::asio::use_future));
    }
    std::vector<HttpResponse> responses;
    for (auto &future : futures) {
        responses.push_back(future.get());
    }
    return responses;
}

std::shared_ptr<state::EntrySettings> settingsWith(const std::function<void(state::EntrySettings &)> &change)
{
    auto settings = requestSettings();
    change(*settings);
    return settings;
}

/// A fault of an endpoint and the outcomes that the caller must see.
struct FaultCase
{
    const char *name;
    RawPeer::RequestHandler answer;
    const char *getOutcome;
    const char *postOutcome;
    int postRequestsMax; ///< Maximum number of times that the endpoint may receive one POST.
};

std::ostream &operator<<(std::ostream &out, const FaultCase &fault)
{
    return out << fault.name;
}

bool closeConnection(RawPeer::Socket &, int, int)
{
    return false;
}

bool sendTruncatedResponse(RawPeer::Socket &socket, int, int)
{
    RawPeer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
    return false;
}

bool sendForeignResponse(RawPeer::Socket &socket, int, int)
{
    RawPeer::send(socket, RawPeer::okResponse("ok", "Heatherquay-Request-Id: other\r\n"));
    return true;
}

bool respondSlowly(RawPeer::Socket &socket, int, int)
{
    std::this_thread::sleep_for(700ms);
    RawPeer::send(socket, RawPeer::okResponse("ok"));
    return true;
}

const FaultCase faultCases[] = {
    {"closes before any response byte", closeConnection, "ran", "unknown", 1},
    {"closes within the response", sendTruncatedResponse, "ran", "unknown", 1},
    {"sends the response to another request", sendForeignResponse, "ran", "unknown", 1},
    {"responds slowly", respondSlowly, "ran", "ran", 1},
};

} // namespace

// Guards against a non-idempotent request that is sent twice, a truncated or foreign response that reaches the caller,
// and an idempotent request that fails although another endpoint works.
BOOST_DATA_TEST_CASE(endpoint_fault_is_retried_or_reported_with_the_correct_outcome,
                     boost::unit_test::data::make(faultCases), fault)
{
    Runtime runtime;
    RawPeer bad(fault.answer);
    FakeEndpoint good(runtime);
    Entry entry(runtime, requestSettings(), {bad.address(), good.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    for (int i = 0; i < 4; ++i) {
        const HttpResponse response = runtime.run(entry.api->handle(callerRequest("GET", "/services/desk/")));
        BOOST_TEST(outcome(response) == fault.getOutcome);
        BOOST_TEST(response.status == 200u);
    }
    entry.setEndpoints({bad.address()});
    const int before = bad.requests();
    const HttpResponse response = runtime.run(entry.api->handle(callerRequest("POST", "/services/desk/", "")));
    BOOST_TEST(outcome(response) == fault.postOutcome);
    BOOST_TEST(bad.requests() - before <= fault.postRequestsMax);
}

// Guards against an endpoint that gets more concurrent requests than it has slots, and a queue that loses requests.
BOOST_AUTO_TEST_CASE(endpoint_never_runs_more_requests_than_its_slots)
{
    Runtime runtime;
    FakeEndpoint endpoint(runtime);
    endpoint.delay = 5ms;
    Entry entry(runtime, settingsWith([](state::EntrySettings &settings) {
                    settings.services[0].slotsPerEndpoint = 3;
                }),
                {endpoint.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    for (const HttpResponse &response : sendAll(runtime, entry, 100)) {
        BOOST_TEST(response.status == 200u);
    }
    BOOST_TEST(endpoint.runningMax.load() <= 3);
    BOOST_TEST(entry.forwarder->statistics().queued > 0u);
}

// Guards against refusals that arrive only at the deadline, an unbounded queue, and the outcome "not-run" for a request
// that ran.
BOOST_AUTO_TEST_CASE(requests_beyond_capacity_are_refused_immediately_as_not_run)
{
    Runtime runtime;
    FakeEndpoint endpoint(runtime);
    endpoint.delay = 300ms;
    Entry entry(runtime, settingsWith([](state::EntrySettings &settings) {
                    settings.services[0].slotsPerEndpoint = 1;
                    settings.services[0].queueLimit = 10;
                }),
                {endpoint.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    sendAll(runtime, entry, 1);
    const auto startedAt = std::chrono::steady_clock::now();
    int refused = 0;
    int ran = 0;
    for (const HttpResponse &response : sendAll(runtime, entry, 40, "POST")) {
        ran += outcome(response) == "ran" ? 1 : 0;
        refused
            += response.status == 503 && outcome(response) == "not-run" && response.fields.has("Retry-After") ? 1 : 0;
    }
    BOOST_TEST(ran + refused == 40);
    BOOST_TEST(endpoint.runs.load() == ran + 1);
    BOOST_TEST(refused >= 30);
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 2'200ms));
}

// Guards against new requests for a leaving endpoint, for each of the three ways to announce that it leaves.
BOOST_DATA_TEST_CASE(leaving_endpoint_gets_no_new_requests, boost::unit_test::data::make({"list", "signal", "drain"}),
                     announcement)
{
    Runtime runtime;
    FakeEndpoint leavingEndpoint(runtime);
    FakeEndpoint stableEndpoint(runtime);
    Entry entry(runtime, requestSettings(), {leavingEndpoint.address(), stableEndpoint.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    const std::string announcedBy = announcement;
    if (announcedBy == "list") {
        entry.directory->update(
            {{{"desk"}, leavingEndpoint.address(), true}, {{"desk"}, stableEndpoint.address(), false}});
        entry.ledger->refresh();
    } else if (announcedBy == "drain") {
        entry.directory->drain(leavingEndpoint.address(), true);
    } else {
        leavingEndpoint.behaviour = [](const HttpRequest &) {
            HttpResponse response;
            response.fields.add("Heatherquay-Leaving", "1");
            response.keepAlive = false;
            return response;
        };
        while (leavingEndpoint.runs == 0) {
            sendAll(runtime, entry, 4);
        }
    }
    const int before = leavingEndpoint.runs;
    for (const HttpResponse &response : sendAll(runtime, entry, 30)) {
        BOOST_TEST(response.status == 200u);
    }
    BOOST_TEST(leavingEndpoint.runs.load() == before);
}

// Guards against an endpoint that keeps getting requests although all of them fail, and one that is never readmitted.
BOOST_AUTO_TEST_CASE(failing_endpoint_is_ejected_and_readmitted)
{
    Runtime runtime;
    std::atomic<bool> works{false};
    RawPeer flaky([&works](RawPeer::Socket &socket, int, int) {
        RawPeer::send(socket, works ? RawPeer::okResponse("ok") : "");
        return works.load();
    });
    FakeEndpoint good(runtime);
    Entry entry(runtime, requestSettings(), {flaky.address(), good.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    const auto endpoints = entry.directory->read({"desk"});
    const auto &endpoint = **endpoints->find(flaky.address());
    for (int i = 0; i < 40 && !endpoint.ejected; ++i) {
        BOOST_TEST(sendAll(runtime, entry, 1)[0].status == 200u);
        entry.ledger->tick(SlotLedger::Clock::now() + 1h);
    }
    BOOST_TEST(endpoint.ejected.load());
    const int before = flaky.requests();
    sendAll(runtime, entry, 10);
    BOOST_TEST(flaky.requests() - before <= 1);
    works = true;
    for (int i = 0; i < 300 && endpoint.ejected; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(!endpoint.ejected.load());
}

// Guards against retries that multiply the load on a failing service.
BOOST_AUTO_TEST_CASE(retries_do_not_exceed_the_budget)
{
    Runtime runtime;
    RawPeer bad(closeConnection);
    Entry entry(runtime, settingsWith([](state::EntrySettings &settings) {
                    settings.services[0].retryBudgetPerSecond = 5;
                    settings.services[0].abandonGrace = 0ms;
                    settings.services[0].ejectedShareMax = 0;
                }),
                {bad.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    std::atomic<bool> stop{false};
    std::thread ticker([&] {
        while (!stop) {
            entry.ledger->tick();
            std::this_thread::sleep_for(2ms);
        }
    });
    const auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < 60; ++i) {
        sendAll(runtime, entry, 1);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
    stop = true;
    ticker.join();
    BOOST_TEST(static_cast<double>(entry.forwarder->statistics().retries) <= 5 + 5 * elapsed.count() + 1);
    BOOST_TEST(bad.requests() >= 60);
}

// Guards against requests sent by an entry that has lost its authority, for example because it was suspended or
// disconnected.
BOOST_AUTO_TEST_CASE(entry_without_authority_sends_no_requests)
{
    Runtime runtime;
    FakeEndpoint endpoint(runtime);
    Entry entry(runtime, requestSettings(), {endpoint.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    entry.mayAct = false;
    HttpRequest request = callerRequest("POST", "/services/desk/", "x");
    request.fields.add("Heatherquay-Deadline-Ms", "200");
    const HttpResponse response = runtime.run(entry.api->handle(std::move(request)));
    BOOST_TEST(outcome(response) == "not-run");
    BOOST_TEST(response.status == 503u);
    BOOST_TEST(endpoint.runs.load() == 0);
}

// Guards against a stalled connection that delays a request until its deadline although new connections work. The fault
// case "responds slowly" guards against closing a connection that is merely slow.
BOOST_AUTO_TEST_CASE(request_on_a_stalled_connection_is_retried_on_a_new_one)
{
    Runtime runtime;
    RawPeer peer([](RawPeer::Socket &socket, int connection, int) {
        RawPeer::send(socket, RawPeer::okResponse("ok"));
        if (connection == 0) {
            RawPeer::dropIncoming(socket);
        }
        return true;
    });
    Entry entry(runtime, requestSettings(), {peer.address()});
    entry.ledger->adopt(memberList(1, {"e1"}));
    sendAll(runtime, entry, 1);
    std::this_thread::sleep_for(20ms);
    const auto startedAt = std::chrono::steady_clock::now();
    const HttpResponse response = sendAll(runtime, entry, 1)[0];
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    BOOST_TEST(response.status == 200u);
    BOOST_TEST((elapsed > 100ms));
    BOOST_TEST((elapsed < 1'000ms));
}

namespace
{

/// Borrows slots directly from the ledger of another entry in the same process.
struct DirectLoans
{
    std::shared_ptr<SlotLedger> lender;
    std::atomic<int> granted{0};
    std::atomic<int> returned{0};

    boost::asio::awaitable<std::optional<protocol::Loan>> borrow(state::EntryId, protocol::BorrowRequest request)
    {
        request.from.value = "e1";
        const auto loans = lender->onBorrow(request);
        granted += static_cast<int>(loans.size());
        co_return loans.empty() ? std::nullopt : std::optional(loans.front());
    }
    void giveBack(state::EntryId, std::uint64_t loan)
    {
        ++returned;
        lender->onGiveBack(loan);
    }
};

} // namespace

// Guards against an entry that queues requests although another entry has idle slots, lent slots that are used by two
// requests at once, and loans that are not given back.
BOOST_AUTO_TEST_CASE(entry_with_queued_requests_borrows_idle_slots)
{
    Runtime runtime;
    FakeEndpoint endpoint(runtime);
    endpoint.delay = 10ms;
    const auto settings = settingsWith([](state::EntrySettings &entrySettings) {
        entrySettings.services[0].slotsPerEndpoint = 4;
    });
    auto otherSettings = std::make_shared<state::EntrySettings>(*settings);
    otherSettings->id.value = "e2";
    Entry other(runtime, otherSettings, {endpoint.address()});
    auto loans = std::make_shared<DirectLoans>();
    loans->lender = other.ledger;
    Entry entry(runtime, settings, {endpoint.address()}, AnyLoanClient(loans));
    for (Entry *one : {&entry, &other}) {
        one->ledger->adopt(memberList(1, {"e1", "e2"}));
    }
    for (int round = 0; round < 2; ++round) {
        protocol::Gossip first{{"e1"}, 1};
        protocol::Gossip second{{"e2"}, 1};
        entry.ledger->fillGossip(first);
        other.ledger->fillGossip(second);
        entry.ledger->onGossip(second);
        other.ledger->onGossip(first);
    }
    for (const HttpResponse &response : sendAll(runtime, entry, 60)) {
        BOOST_TEST(response.status == 200u);
    }
    BOOST_TEST(entry.forwarder->statistics().loans > 0u);
    BOOST_TEST(endpoint.runningMax.load() <= 4);
    BOOST_TEST(endpoint.runningMax.load() > 2);
    for (int i = 0; i < 100 && loans->returned < loans->granted; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST(loans->returned.load() == loans->granted.load());
}
