#include "heatherquay/protocol/peer_client.hpp"
#include "heatherquay/protocol/peer_server.hpp"
#include "heatherquay/protocol/wait.hpp"

#include <atomic>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace heatherquay::testing
{

using namespace heatherquay::protocol;

/// Responds to each call with a value that depends on the received arguments.
class EchoHandler : public PeerHandler
{
public:
    std::atomic<bool> unresponsive{};

    asio::awaitable<Gossip> gossip(Gossip gossip) override
    {
        while (unresponsive) {
            co_await waitFor(10ms);
        }
        co_return gossip;
    }
    asio::awaitable<std::uint64_t> append(std::vector<JournalRecord> records) override
    {
        co_return records.empty() ? 0 : records.back().number + records.back().text.size();
    }
    asio::awaitable<FetchReply> fetch(std::uint64_t from) override
    {
        FetchReply reply;
        reply.snapshotNumber = from;
        reply.snapshot = std::string(from, '\0');
        reply.records.push_back({.number = from + 1, .text = "{}", .version = 9});
        co_return reply;
    }
    asio::awaitable<std::optional<Loan>> borrow(BorrowRequest request) override
    {
        if (request.term == 0ms) {
            co_return std::nullopt;
        }
        co_return Loan{.id = 7, .slot = {.service = request.service, .endpoint = "127.0.0.1:1", .slot = 3}};
    }
    asio::awaitable<void> giveBack(state::EntryId, std::uint64_t loan) override
    {
        if (loan == 0) {
            throw std::runtime_error("unknown loan");
        }
        co_return;
    }
    asio::awaitable<std::string> burn(std::string query) override
    {
        co_return query + query;
    }
    asio::awaitable<bool> renewFor(RelayedRenewal renewal) override
    {
        co_return renewal.sequence == 2;
    }
};

struct PeerFixture
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
    std::thread thread{[this] {
        io.run();
    }};
    std::shared_ptr<EchoHandler> handler = std::make_shared<EchoHandler>();
    std::shared_ptr<PeerRuntime> serverRuntime = std::make_shared<PeerRuntime>();
    std::shared_ptr<PeerRuntime> runtime = std::make_shared<PeerRuntime>();
    std::unique_ptr<PeerServer> server = std::make_unique<PeerServer>(
        serverRuntime, io.get_executor(), handler,
        PeerServerSettings{.address = "127.0.0.1:0", .secret = "s3cret", .messageBytesMax = 64 * 1024});
    std::uint16_t port = server->start();
    std::string address = "127.0.0.1:" + std::to_string(port);
    PeerClient client{runtime, {.secret = "s3cret", .callTimeout = 200ms, .backoffMax = 50ms}};

    ~PeerFixture()
    {
        handler->unresponsive = false;
        server.reset();
        runtime.reset();
        work.reset();
        io.stop();
        thread.join();
    }

    template<typename R>
    R wait(asio::awaitable<R> work)
    {
        return asio::co_spawn(io, std::move(work), asio::use_future).get();
    }
    bool isReachable()
    {
        return wait(client.gossip(address, {})).has_value();
    }
    /// @return whether the peer responds within 50 attempts, 20 ms apart
    bool becomesReachable()
    {
        for (int i = 0; i < 50; ++i) {
            if (isReachable()) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }
};

} // namespace heatherquay::testing

using namespace heatherquay;
using namespace heatherquay::testing;

// Guards against message fields that are lost or swapped between two entries.
BOOST_FIXTURE_TEST_CASE(peer_calls_carry_every_field, PeerFixture)
{
    const Gossip sent{.from = {"e1"},
                      .incarnation = 5,
                      .memberVersion = 6,
                      .tableAge = 70ms,
                      .journalNumber = 8,
                      .loads = {{.service = {"s"}, .idleSlots = 1, .queued = 2, .sharesFingerprint = 77}},
                      .heldForeign = {{.service = {"s"}, .endpoint = "ip:1", .slot = 4}},
                      .leaving = true,
                      .removing = {{.entry = {"e2"}, .incarnation = 3, .origin = {"e1"}}},
                      .members = "list"};
    const auto received = wait(client.gossip(address, sent));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->from == sent.from && received->incarnation == 5u && received->memberVersion == 6u));
    BOOST_TEST((received->tableAge == 70ms && received->journalNumber == 8u && received->leaving
                && received->members == "list"));
    BOOST_TEST((received->loads.size() == 1u && received->loads[0].sharesFingerprint == 77u));
    BOOST_TEST((received->loads.size() == 1u && received->loads[0].idleSlots == 1u && received->loads[0].queued == 2u));
    BOOST_TEST((received->heldForeign == sent.heldForeign && received->removing == sent.removing));
    BOOST_TEST(wait(client.append(address, {{.number = 10, .text = "abc"}})).value() == 13u);
    const auto fetched = wait(client.fetch(address, 1'000'000));
    BOOST_REQUIRE(fetched.has_value());
    BOOST_TEST(fetched->snapshot.size() == 1'000'000u);
    BOOST_TEST(fetched->records.at(0).version == 9u);
    const auto loan = wait(client.borrow(address, {.from = {"e1"}, .service = {"s"}, .term = 1ms}, 200ms));
    BOOST_TEST((loan && loan->id == 7u && loan->slot.service.value == "s" && loan->slot.slot == 3u));
    BOOST_TEST(!wait(client.borrow(address, {.from = {"e1"}, .service = {"s"}}, 200ms)).has_value());
    BOOST_TEST(wait(client.burn(address, std::string("a\0b", 3))).value().size() == 6u);
    BOOST_TEST(wait(client.renewFor(address, {.entry = {"e1"}, .incarnation = 1, .sequence = 2})));
    BOOST_TEST(wait(client.giveBack(address, {"e1"}, 1)));
}

// Guards against an exception of the handler that ends the connection or the process.
BOOST_FIXTURE_TEST_CASE(peer_handler_exception_fails_only_that_call, PeerFixture)
{
    BOOST_TEST(!wait(client.giveBack(address, {"e1"}, 0)));
    BOOST_TEST(wait(client.giveBack(address, {"e1"}, 1)));
}

// Guards against accepted calls from processes that are not entries of this cluster.
BOOST_FIXTURE_TEST_CASE(peer_with_a_wrong_secret_is_rejected, PeerFixture)
{
    PeerClient unauthenticatedClient(runtime, {.secret = "guess!", .callTimeout = 200ms});
    BOOST_TEST(!wait(unauthenticatedClient.gossip(address, {})).has_value());
    BOOST_TEST(!wait(unauthenticatedClient.renewFor(address, {.entry = {"e1"}, .sequence = 2})));
    BOOST_TEST(isReachable());
}

// Guards against a message that makes the receiver allocate memory without bound. Only its connection is closed.
BOOST_FIXTURE_TEST_CASE(peer_message_above_the_limit_is_rejected, PeerFixture)
{
    BOOST_TEST(isReachable());
    BOOST_TEST(!wait(client.burn(address, std::string(256 * 1024, 'x'))).has_value());
    BOOST_TEST(becomesReachable());
}

// Guards against callers that wait longer than the call timeout for a peer that does not respond.
BOOST_FIXTURE_TEST_CASE(unresponsive_peer_blocks_no_caller, PeerFixture)
{
    handler->unresponsive = true;
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(!isReachable());
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 400ms));
    handler->unresponsive = false;
    BOOST_TEST(becomesReachable());
}

// Guards against a client that keeps using the closed connection after its peer restarts.
BOOST_FIXTURE_TEST_CASE(peer_client_reconnects_after_a_peer_restart, PeerFixture)
{
    BOOST_TEST(isReachable());
    server.reset();
    BOOST_TEST(!isReachable());
    server = std::make_unique<PeerServer>(serverRuntime, io.get_executor(), handler,
                                          PeerServerSettings{.address = address, .secret = "s3cret"});
    server->start();
    BOOST_TEST(becomesReachable());
}

// Guards against calls that never end if the client's event loop ends before them.
BOOST_FIXTURE_TEST_CASE(pending_peer_calls_end_with_the_runtime, PeerFixture)
{
    handler->unresponsive = true;
    auto call = asio::co_spawn(io, client.gossip(address, {}), asio::use_future);
    std::this_thread::sleep_for(50ms);
    BOOST_TEST((call.wait_for(2s) == std::future_status::ready));
}

// Guards against a crash of the server on bytes that are not a valid message. Each case has a fixed seed.
BOOST_DATA_TEST_CASE_F(PeerFixture, peer_server_closes_only_the_connection_that_sends_random_bytes,
                       boost::unit_test::data::xrange(20), seed)
{
    std::mt19937_64 random(seed);
    std::string bytes(1 + random() % 400, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random() % (seed % 2 == 0 ? 256 : 4));
    }
    asio::io_context local;
    asio::ip::tcp::socket socket(local);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(bytes));
    BOOST_TEST(isReachable());
}
