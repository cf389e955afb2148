#include "heatherquay/transport/http_server.hpp"

#include "heatherquay/error.hpp"

#include <random>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <sys/time.h>

using namespace heatherquay::transport;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

boost::asio::awaitable<HttpResponse> respondWithBodyLength(HttpRequest request)
{
    HttpResponse response;
    response.body = std::to_string(request.body.size());
    co_return response;
}

HttpResponse errorResponse(unsigned status, const std::string &detail)
{
    HttpResponse response;
    response.status = status;
    response.body = detail;
    return response;
}

struct InputFixture
{
    boost::asio::io_context io;
    HttpServer server{
        io.get_executor(), respondWithBodyLength, errorResponse, {.bodyBytes = 4096, .receiveTimeout = 300ms}};
    std::thread thread;

    InputFixture()
    {
        server.listen("127.0.0.1:0");
        thread = std::thread([this] {
            io.run();
        });
    }
    ~InputFixture()
    {
        server.drain();
        server.closeAll();
        std::this_thread::sleep_for(20ms);
        io.stop();
        thread.join();
    }

    /// Sends raw bytes, shuts down the sending side and reads until the server closes the connection or sends nothing
    /// for 5 s.
    /// @return the received bytes
    std::string exchange(const std::string &bytes)
    {
        boost::asio::io_context clientContext;
        tcp::socket socket(clientContext);
        socket.connect(server.localEndpoint());
        const timeval socketTimeout{5, 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &socketTimeout, sizeof socketTimeout);
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string received;
        char buffer[4096];
        for (auto size = ::recv(socket.native_handle(), buffer, sizeof buffer, 0); size > 0;
             size = ::recv(socket.native_handle(), buffer, sizeof buffer, 0)) {
            received.append(buffer, static_cast<std::size_t>(size));
        }
        return received;
    }
};

const std::string pipelinedRequests
    = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-One: two\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against corrupted input that crashes the server or leads to a response that is not HTTP.
BOOST_FIXTURE_TEST_CASE(http_server_survives_corrupted_requests, InputFixture)
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 400; ++round) {
        std::string bytes = pipelinedRequests;
        for (int mutation = 0; mutation < 3; ++mutation) {
            const std::size_t position = random() % bytes.size();
            if (random() % 2 == 0) {
                bytes[position] = static_cast<char>(random() % 256);
            } else {
                bytes.insert(position, bytes.substr(random() % bytes.size(), random() % 20));
            }
        }
        const std::string response = exchange(bytes);
        BOOST_TEST((response.empty() || response.starts_with("HTTP/1.1 ")), response);
    }
    const std::string response = exchange(pipelinedRequests);
    BOOST_TEST(response.find("\r\n\r\n5HTTP/1.1 200") != std::string::npos, response);
}

// Guards against a response that announces the close while a further request has been read and is dropped.
BOOST_FIXTURE_TEST_CASE(http_requests_read_together_are_all_answered_before_the_close, InputFixture)
{
    server.announceClose();
    const std::string response = exchange(pipelinedRequests);
    BOOST_TEST(response.find("\r\n\r\n5HTTP/1.1 200") != std::string::npos, response);
    BOOST_TEST(response.find("Connection: close") > response.rfind("HTTP/1.1 200"), response);
    BOOST_TEST(response.find("Connection: close") != std::string::npos, response);
}

// Guards against request smuggling: if one request could be parsed as two, a caller would receive the response to
// another caller's request.
BOOST_FIXTURE_TEST_CASE(http_request_with_ambiguous_framing_is_rejected, InputFixture)
{
    const std::string bothFramings
        = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
          "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST(exchange(bothFramings).starts_with("HTTP/1.1 400"));
    const std::string twoLengths
        = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!";
    BOOST_TEST(exchange(twoLengths).starts_with("HTTP/1.1 400"));
}

// Guards against malformed listen or peer addresses being accepted.
BOOST_AUTO_TEST_CASE(http_address_is_parsed_or_rejected)
{
    BOOST_TEST(parseAddress("[::1]:8080").port() == 8080);
    for (const char *text : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:99999", "host:80", "[::1]", "1.2.3.4:8a"}) {
        BOOST_CHECK_THROW(parseAddress(text), heatherquay::Error);
    }
}
