#include "heatherquay/transport/connection_table.hpp"

#include "heatherquay/transport/http_server.hpp"
#include "transport/kept_connection.hpp"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay::transport;
using heatherquay::test::KeptConnection;
using namespace std::chrono_literals;

namespace
{

std::shared_ptr<TrackedConnection> connectionIn(ConnectionState state, const std::string &address = "a")
{
    auto connection = std::make_shared<TrackedConnection>(address);
    connection->enter(state);
    return connection;
}

/// The first state makes room before the second.
struct RankedPair
{
    ConnectionState first;
    ConnectionState second;
};

std::ostream &operator<<(std::ostream &stream, const RankedPair &pair)
{
    return stream << static_cast<int>(pair.first) << " before " << static_cast<int>(pair.second);
}

const std::vector<RankedPair> rankedPairs{{ConnectionState::Idle, ConnectionState::Closing},
                                          {ConnectionState::Closing, ConnectionState::Receiving},
                                          {ConnectionState::Receiving, ConnectionState::Handling},
                                          {ConnectionState::Receiving, ConnectionState::Sending}};
constexpr EvictionRank last = EvictionRank::Busy;

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server of four connections. Its handler waits on "/wait".
struct SmallServer
{
    SmallServer()
    {
        server.listen("127.0.0.1:0");
        thread = std::jthread([this] {
            io.run();
        });
    }
    ~SmallServer()
    {
        io.stop();
    }

    KeptConnection connect() const
    {
        KeptConnection connection(server.localEndpoint());
        std::this_thread::sleep_for(20ms); // The server accepts connections in the order of this test.
        return connection;
    }
    KeptConnection connectAndSend(const std::string &bytes) const
    {
        KeptConnection connection = connect();
        connection.send(bytes);
        std::this_thread::sleep_for(20ms);
        return connection;
    }

    boost::asio::io_context io;
    HttpServer server{io.get_executor(),
                      [](HttpRequest received) -> boost::asio::awaitable<HttpResponse> {
                          if (received.target == "/wait") {
                              boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 500ms);
                              co_await timer.async_wait(boost::asio::use_awaitable);
                          }
                          co_return HttpResponse{};
                      },
                      [](unsigned status, const std::string &) {
                          HttpResponse response;
                          response.status = status;
                          return response;
                      },
                      {.connections = 4}};
    std::jthread thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(transport_connection_table)

BOOST_DATA_TEST_CASE(connections_make_room_in_the_order_of_their_state, rankedPairs)
{
    ConnectionTable table(2, 2);
    const auto second = connectionIn(sample.second);
    const auto first = connectionIn(sample.first);
    BOOST_TEST(table.admit(second, last).admitted);
    BOOST_TEST(table.admit(first, last).admitted);
    BOOST_TEST((table.admit(connectionIn(ConnectionState::Idle, "b"), last).evicted == first));
}

// Guards against a crowd that uses its connections once and keeps those of others out.
BOOST_AUTO_TEST_CASE(the_address_with_the_most_connections_makes_room_first)
{
    ConnectionTable table(3, 3);
    const auto only = connectionIn(ConnectionState::Idle, "ordinary");
    const auto older = connectionIn(ConnectionState::Idle, "crowd");
    const auto newer = connectionIn(ConnectionState::Idle, "crowd");
    for (const auto &connection : {only, older, newer}) {
        table.admit(connection, last);
    }
    BOOST_TEST((table.admit(connectionIn(ConnectionState::Idle, "new"), last).evicted == older));
}

BOOST_AUTO_TEST_CASE(an_address_at_its_limit_replaces_only_its_own_connections)
{
    ConnectionTable table(4, 1);
    const auto other = connectionIn(ConnectionState::Idle, "a");
    const auto own = connectionIn(ConnectionState::Receiving, "b");
    table.admit(other, last);
    table.admit(own, last);
    BOOST_TEST((table.admit(connectionIn(ConnectionState::Idle, "b"), last).evicted == own));
}

BOOST_AUTO_TEST_CASE(connections_whose_handlers_run_make_no_room)
{
    ConnectionTable table(1, 1);
    const auto handling = connectionIn(ConnectionState::Handling);
    table.admit(handling, last);
    BOOST_TEST(!table.admit(connectionIn(ConnectionState::Idle), last).admitted);
    table.release(*handling);
    BOOST_TEST(table.admit(connectionIn(ConnectionState::Idle), last).admitted);
}

// Guards against a crowd that sends one request behind the other and so always has one that is handled.
BOOST_AUTO_TEST_CASE(connections_with_an_earlier_request_make_room_last_while_one_is_handled)
{
    ConnectionTable table(1, 1);
    const auto busy = connectionIn(ConnectionState::Handling);
    busy->noteServedRequest();
    table.admit(busy, last);
    const auto newcomer = connectionIn(ConnectionState::Idle);
    BOOST_TEST(!table.admit(newcomer, EvictionRank::Request).admitted);
    BOOST_TEST((table.admit(newcomer, last).evicted == busy));
}

BOOST_AUTO_TEST_CASE(a_new_connection_is_served_in_place_of_silent_ones)
{
    const SmallServer small;
    std::vector<KeptConnection> silent;
    for (int i = 0; i < 6; ++i) {
        silent.push_back(small.connect());
    }
    BOOST_TEST(small.connectAndSend(request).receive(5s).status == 200U);
    BOOST_TEST(small.server.refusals(RefusalReason::Evicted) == 3U);
}

// Guards against a request that is cut off without a word when its connection makes room.
BOOST_AUTO_TEST_CASE(a_request_that_makes_room_is_refused_as_not_run)
{
    const SmallServer small;
    const auto partial = small.connectAndSend("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
    std::vector<KeptConnection> waiting;
    for (int i = 0; i < 3; ++i) {
        waiting.push_back(small.connectAndSend("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    BOOST_TEST(small.connectAndSend(request).receive(5s).status == 200U);
    const auto refusal = partial.receive(5s);
    BOOST_TEST(refusal.status == 503U);
    BOOST_TEST(refusal.closes);
    for (const KeptConnection &connection : waiting) {
        BOOST_TEST(connection.receive(5s).status == 200U);
    }
}

// Guards against a handler whose response is dropped for a newcomer, although the request has run.
BOOST_AUTO_TEST_CASE(newcomers_are_refused_while_all_handlers_run)
{
    const SmallServer small;
    std::vector<KeptConnection> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.push_back(small.connectAndSend("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    BOOST_TEST(small.connect().receive(5s).status == 429U);
    for (const KeptConnection &connection : waiting) {
        BOOST_TEST(connection.receive(5s).status == 200U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
