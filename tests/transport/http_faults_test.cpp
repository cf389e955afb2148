#include "raw_peer.hpp"

#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay::transport;
using namespace std::chrono_literals;
using heatherquay::test::RawPeer;

namespace
{

struct ResponseCase
{
    const char *name;
    const char *bytes;
    ExchangeProgress progress;
    bool reusable;
};

std::ostream &operator<<(std::ostream &out, const ResponseCase &responseCase)
{
    return out << responseCase.name;
}

constexpr auto complete = ExchangeProgress::Answered;
constexpr auto incomplete = ExchangeProgress::MaybeSent;

const ResponseCase responseCases[] = {
    {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", complete, true},
    {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", complete, true},
    {"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
     complete, true},
    {"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", complete, false},
    {"bytes after the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", complete, false},
    {"second response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
     complete, false},
    {"short body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", incomplete, false},
    {"short chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", incomplete, false},
    {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", incomplete, false},
    {"no length", "HTTP/1.1 200 OK\r\n\r\nok", incomplete, false},
    {"half a header", "HTTP/1.1 200 OK\r\nConte", incomplete, false},
    {"nothing", "", incomplete, false},
    {"not HTTP", "hello there\r\n\r\n", incomplete, false},
    {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", incomplete, false},
    {"length and chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", incomplete,
     false},
    {"body above the limit", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", incomplete, false},
};

std::string sendRaw(const HttpServer &server, const std::string &bytes)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect(server.localEndpoint());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    return received;
}

} // namespace

// Guards against a truncated response being treated as complete, and against reuse of a connection that still has
// unread bytes.
BOOST_DATA_TEST_CASE(response_is_accepted_only_when_complete, boost::unit_test::data::make(responseCases), responseCase)
{
    RawPeer peer([&responseCase](RawPeer::Socket &socket, int, int) {
        RawPeer::send(socket, responseCase.bytes);
        return responseCase.reusable;
    });
    boost::asio::io_context io;
    HttpConnection connection(io.get_executor(), {.bodyBytes = 1'000});
    const HttpRequest request{.method = "GET", .target = "/"};
    const auto run = [&]() -> boost::asio::awaitable<ExchangeResult> {
        co_await connection.connect(peer.endpoint());
        co_return co_await connection.exchange(request, 2s);
    };
    auto future = boost::asio::co_spawn(io, run(), boost::asio::use_future);
    io.run();
    const ExchangeResult result = future.get();
    BOOST_TEST((result.progress == responseCase.progress));
    BOOST_TEST(connection.reusable() == responseCase.reusable);
    BOOST_TEST((result.progress != complete || result.response.body == "ok"));
}

// Guards against a response being taken for that of the next request. The peer sends a second, unsolicited response
// after the first exchange is complete.
BOOST_AUTO_TEST_CASE(late_unsolicited_response_prevents_connection_reuse)
{
    RawPeer peer([](RawPeer::Socket &socket, int, int) {
        RawPeer::send(socket, RawPeer::okResponse("one"));
        std::this_thread::sleep_for(30ms);
        RawPeer::send(socket, RawPeer::okResponse("late"));
        return true;
    });
    boost::asio::io_context io;
    HttpClient client(io.get_executor(), peer.endpoint(), 1);
    for (int i = 0; i < 3; ++i) {
        auto future
            = boost::asio::co_spawn(io, client.send({.method = "GET", .target = "/"}, 2s), boost::asio::use_future);
        io.restart();
        io.run();
        BOOST_TEST(future.get().response.body == "one");
        std::this_thread::sleep_for(60ms);
    }
    BOOST_TEST(peer.connections() == 3);
}

// Guards against a request for one process that reaches its successor at the same address.
BOOST_AUTO_TEST_CASE(a_request_for_a_closed_connection_is_not_sent_over_another)
{
    RawPeer peer([](RawPeer::Socket &socket, int, int request) {
        RawPeer::send(socket, RawPeer::okResponse("ok"));
        return request == 0; // Closes the connection after the second response.
    });
    boost::asio::io_context io;
    HttpClient client(io.get_executor(), peer.endpoint(), 1);
    const auto send = [&](std::optional<ConnectionId> connection) {
        auto future = boost::asio::co_spawn(io, client.send({.method = "GET", .target = "/"}, 2s, connection),
                                            boost::asio::use_future);
        io.restart();
        io.run();
        return future.get();
    };
    const ExchangeResult first = send(std::nullopt);
    BOOST_REQUIRE(first.connection);
    BOOST_TEST((send(first.connection).progress == ExchangeProgress::Answered));
    std::this_thread::sleep_for(60ms);
    BOOST_TEST((send(first.connection).progress == ExchangeProgress::NothingSent));
    BOOST_TEST(peer.connections() == 1);
    const ExchangeResult next = send(std::nullopt);
    BOOST_REQUIRE(next.connection);
    BOOST_TEST((*next.connection != *first.connection));
}

// Guards against clients that occupy connections by slow or malformed requests, and against closing such a connection
// without an error status.
BOOST_AUTO_TEST_CASE(server_sends_an_error_status_for_invalid_requests)
{
    boost::asio::io_context io;
    const auto errorResponse = [](unsigned status, const std::string &detail) {
        return HttpResponse{status, {}, detail, false};
    };
    const auto handler = [](HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
        HttpResponse response;
        response.body = request.target;
        co_return response;
    };
    HttpServer server(io.get_executor(), handler, errorResponse,
                      {.headerBytes = 1'000, .bodyBytes = 100, .receiveTimeout = 100ms});
    server.listen("127.0.0.1:0");
    std::thread thread([&io] {
        io.run();
    });
    const auto status = [&server](const std::string &bytes) {
        return sendRaw(server, bytes).substr(0, 12);
    };
    BOOST_TEST(status("GET / HTTP/1.1\r\nHo") == "HTTP/1.1 408");
    BOOST_TEST(status("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx") == "HTTP/1.1 408");
    BOOST_TEST(status("POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n") == "HTTP/1.1 413");
    BOOST_TEST(status("GET / HTTP/1.1\r\nA: " + std::string(2'000, 'a') + "\r\n\r\n") == "HTTP/1.1 431");
    BOOST_TEST(status("nonsense\r\n\r\n") == "HTTP/1.1 400");
    const std::string pipelined
        = sendRaw(server, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(pipelined.find("/1") < pipelined.find("/2"));
    BOOST_TEST(pipelined.find("/2") != std::string::npos);
    io.stop();
    thread.join();
}
