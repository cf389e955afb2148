#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <future>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay::transport;
using namespace std::chrono_literals;

namespace
{

HttpResponse errorResponse(unsigned status, const std::string &detail)
{
    HttpResponse response;
    response.status = status;
    response.body = detail;
    return response;
}

boost::asio::awaitable<HttpResponse> echo(HttpRequest request)
{
    HttpResponse response;
    response.fields.add("X-Method", request.method);
    response.body = request.target + " " + request.body;
    co_return response;
}

/// Runs a server on a free loopback port in its own thread.
struct ServerFixture
{
    boost::asio::io_context io;
    HttpServer server{io.get_executor(), echo, errorResponse, {.bodyBytes = 1024}};
    std::thread thread;

    ServerFixture()
    {
        server.listen("127.0.0.1:0");
        thread = std::thread([this] {
            io.run();
        });
    }
    ~ServerFixture()
    {
        server.drain();
        server.closeAll();
        std::this_thread::sleep_for(20ms);
        io.stop();
        thread.join();
    }
    ExchangeResult send(HttpRequest request)
    {
        HttpClient client(io.get_executor(), server.localEndpoint(), 2);
        return boost::asio::co_spawn(io, client.send(std::move(request), 2s), boost::asio::use_future).get();
    }
};

} // namespace

// Guards against a method, target, header field or body being lost or altered on the way to the server and back.
BOOST_FIXTURE_TEST_CASE(http_request_and_response_arrive_complete, ServerFixture)
{
    const ExchangeResult result = send({.method = "POST", .target = "/a?b=c", .body = "hello"});
    BOOST_TEST(result.failure == "");
    BOOST_TEST((result.progress == ExchangeProgress::Answered));
    BOOST_TEST(result.response.status == 200u);
    BOOST_TEST(result.response.body == "/a?b=c hello");
    BOOST_TEST(result.response.fields.get("x-method") == "POST");
}

// Guards against a request body above the limit being read into memory.
BOOST_FIXTURE_TEST_CASE(http_body_above_the_limit_is_rejected, ServerFixture)
{
    const ExchangeResult result = send({.method = "POST", .target = "/", .body = std::string(2000, 'x')});
    BOOST_TEST(result.response.status == 413u);
}

// Guards against a refused connection being reported as a request that the peer may have executed.
BOOST_AUTO_TEST_CASE(http_connection_refused_means_nothing_was_sent)
{
    boost::asio::io_context io;
    HttpClient client(io.get_executor(), parseAddress("127.0.0.1:1"), 1);
    auto future = boost::asio::co_spawn(io, client.send({.method = "GET", .target = "/"}, 1s), boost::asio::use_future);
    io.run();
    const ExchangeResult result = future.get();
    BOOST_TEST((result.progress == ExchangeProgress::NothingSent));
    BOOST_TEST(result.failure.find("cannot connect") != std::string::npos);
}
