#include "heatherquay/transport/http_server.hpp"
#include "transport/kept_connection.hpp"

#include <future>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay::transport;
using heatherquay::test::KeptConnection;
using namespace std::chrono_literals;

namespace
{

const std::string request = "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string endlessRequest = "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n";

boost::asio::awaitable<HttpResponse> answerUnlessEndless(HttpRequest received)
{
    if (received.target == "/endless") {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 1h);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    HttpResponse response;
    response.body = received.target + received.body;
    co_return response;
}

HttpResponse statusResponse(unsigned status, const std::string &detail)
{
    HttpResponse response;
    response.status = status;
    response.body = detail;
    return response;
}

/// A server whose event loop runs only between resume() and pause(), so that input waits in the kernel.
struct PausableServer
{
    PausableServer()
    {
        server.listen("127.0.0.1:0");
        address = server.localEndpoint();
        resume();
    }
    ~PausableServer()
    {
        pause();
    }

    void resume()
    {
        io.restart();
        thread = std::jthread([this] {
            io.run();
        });
    }
    void pause()
    {
        io.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }
    KeptConnection connect() const
    {
        return KeptConnection(address);
    }
    bool drains(std::chrono::milliseconds timeout) const
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!server.drained() && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(5ms);
        }
        return server.drained();
    }

    boost::asio::io_context io;
    HttpServer server{io.get_executor(), answerUnlessEndless, statusResponse};
    boost::asio::ip::tcp::endpoint address;
    std::jthread thread;
};

/// Connects, and sends one request so that the connection is known to the server.
KeptConnection connectAndUse(const PausableServer &pausable)
{
    KeptConnection connection = pausable.connect();
    BOOST_REQUIRE(connection.send(request));
    BOOST_REQUIRE(connection.receive(2s).status == 200U);
    return connection;
}

void checkAnsweredWithClose(const KeptConnection &connection)
{
    const auto response = connection.receive(2s);
    BOOST_TEST(response.status == 200U, response.failure);
    BOOST_TEST(response.closes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_drain)

// Guards against a drain that closes a connection whose request waits in the socket.
BOOST_FIXTURE_TEST_CASE(a_request_that_waits_in_the_socket_is_answered, PausableServer)
{
    const KeptConnection connection = connectAndUse(*this);
    pause();
    BOOST_REQUIRE(connection.send(request));
    server.drain();
    resume();
    checkAnsweredWithClose(connection);
    BOOST_TEST(drains(2s));
}

// Guards against a drain that resets connections which the kernel has accepted.
BOOST_FIXTURE_TEST_CASE(a_request_on_a_connection_in_the_accept_queue_is_answered, PausableServer)
{
    pause();
    const KeptConnection connection = connect();
    BOOST_REQUIRE(connection.send(request));
    server.drain();
    resume();
    checkAnsweredWithClose(connection);
    BOOST_TEST(drains(2s));
}

// Guards against a drain that ends while a request is arriving.
BOOST_FIXTURE_TEST_CASE(a_request_that_has_arrived_in_part_is_answered, PausableServer)
{
    const KeptConnection connection = connectAndUse(*this);
    BOOST_REQUIRE(connection.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"));
    std::this_thread::sleep_for(50ms);
    server.drain();
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(!server.drained());
    BOOST_REQUIRE(connection.send("cd"));
    checkAnsweredWithClose(connection);
    BOOST_TEST(drains(2s));
}

// Guards against idle connections that keep a drain from ending.
BOOST_FIXTURE_TEST_CASE(idle_connections_are_closed_and_new_ones_refused, PausableServer)
{
    const KeptConnection connection = connectAndUse(*this);
    const KeptConnection unused = connect();
    server.drain();
    BOOST_TEST(drains(2s));
    BOOST_TEST(connection.receive(1s).failure == "the connection was closed");
    BOOST_CHECK_THROW(connect(), std::system_error);
}

// Guards against a request without any response when its handler outlives the time of a stop.
BOOST_FIXTURE_TEST_CASE(a_request_whose_handler_does_not_end_is_answered_as_unknown, PausableServer)
{
    const KeptConnection connection = connect();
    BOOST_REQUIRE(connection.send(endlessRequest));
    std::this_thread::sleep_for(50ms);
    server.drain();
    BOOST_TEST(!drains(100ms));
    BOOST_TEST(server.activity().handling == 1U);
    server.answerPending();
    const auto response = connection.receive(2s);
    BOOST_TEST(response.status == 504U, response.failure);
    BOOST_TEST(response.closes);
    BOOST_TEST(drains(2s));
}

// Guards against a request that becomes complete after the pending ones were answered and ends with its handler.
BOOST_FIXTURE_TEST_CASE(a_request_that_arrives_after_the_pending_ones_were_answered_is_answered, PausableServer)
{
    const KeptConnection connection = connectAndUse(*this);
    BOOST_REQUIRE(connection.send("POST /endless HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"));
    std::this_thread::sleep_for(50ms);
    server.drain();
    server.answerPending();
    std::this_thread::sleep_for(50ms);
    BOOST_REQUIRE(connection.send("cd"));
    const auto response = connection.receive(1s);
    BOOST_TEST(response.status == 503U, response.failure);
    BOOST_TEST(response.closes);
    BOOST_TEST(drains(2s));
}

BOOST_AUTO_TEST_SUITE_END()
