#include "heatherquay/transport/http_client.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/message_reader.hpp"

#include <deque>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace heatherquay::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace detail
{

constexpr auto clientAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr int keepaliveIdleSeconds = 2;
constexpr int keepaliveIntervalSeconds = 1;
constexpr int keepaliveProbes = 3;
constexpr int interimResponsesMax = 16;

void setTcpOption(int descriptor, int option, int value)
{
    ::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof value);
}

void setSocketOptions(tcp::socket &socket, std::chrono::milliseconds unacknowledgedTimeout)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int descriptor = socket.native_handle();
    setTcpOption(descriptor, TCP_KEEPIDLE, keepaliveIdleSeconds);
    setTcpOption(descriptor, TCP_KEEPINTVL, keepaliveIntervalSeconds);
    setTcpOption(descriptor, TCP_KEEPCNT, keepaliveProbes);
    setTcpOption(descriptor, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedTimeout.count()));
}

http::request<http::string_body> toMessage(const HttpRequest &request, const std::string &host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const HttpField &field : request.fields.all()) {
        message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, host);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<GrowingBody> &&message, bool headOnly)
{
    HttpResponse response;
    response.status = message.result_int();
    // The framing fields are dropped, except the Content-Length of a response to HEAD, which has no body.
    for (const auto &field : message) {
        const std::string name(field.name_string());
        const bool isContentLength = beast::iequals(name, "Content-Length");
        if ((headOnly && isContentLength) || (!isContentLength && !beast::iequals(name, "Transfer-Encoding"))) {
            response.fields.add(name, std::string(field.value()));
        }
    }
    response.keepAlive = message.keep_alive();
    response.body = std::move(message.body());
    return response;
}

bool isDelimitedByClose(const http::response_parser<GrowingBody> &parser)
{
    const auto status = parser.get().result();
    const bool bodiless = status == http::status::no_content || status == http::status::not_modified;
    return !bodiless && !parser.chunked() && !parser.get().has_content_length();
}

} // namespace detail

struct HttpConnection::Data
{
    Data(asio::any_io_executor executor, HttpClientLimits clientLimits)
        : stream(std::move(executor))
        , buffer(clientLimits.headerBytes + inputBufferBytes)
        , limits(std::move(clientLimits))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    HttpClientLimits limits;
    std::string host;
    bool reusable{};
    bool refused{};
};

HttpConnection::HttpConnection(asio::any_io_executor executor, HttpClientLimits limits)
    : m_data(std::make_unique<Data>(std::move(executor), std::move(limits)))
{
}

HttpConnection::~HttpConnection() = default;

asio::awaitable<void> HttpConnection::connect(tcp::endpoint peer)
{
    m_data->stream.expires_after(m_data->limits.connectTimeout);
    const auto [error] = co_await m_data->stream.async_connect(peer, detail::clientAwaitTuple);
    if (error) {
        m_data->refused = error == asio::error::connection_refused;
        throw Error(ErrorKind::Unavailable,
                    "cannot connect to " + peer.address().to_string() + ":" + std::to_string(peer.port()) + ": "
                        + error.message(),
                    "check that the peer is running and reachable from this VM");
    }
    detail::setSocketOptions(m_data->stream.socket(), m_data->limits.unacknowledgedTimeout);
    m_data->host = peer.address().to_string() + ":" + std::to_string(peer.port());
    m_data->reusable = true;
}

asio::awaitable<ExchangeResult> HttpConnection::exchange(const HttpRequest &request, std::chrono::milliseconds timeout)
{
    ExchangeResult result;
    Data &data = *m_data;
    data.reusable = false;
    const auto message = detail::toMessage(request, data.host);
    data.stream.expires_after(timeout);
    const auto [writeError, written] = co_await http::async_write(data.stream, message, detail::clientAwaitTuple);
    if (writeError) {
        result.progress = written == 0 ? ExchangeProgress::NothingSent : ExchangeProgress::MaybeSent;
        result.timedOut = writeError == beast::error::timeout;
        result.failure = "cannot send the request: " + writeError.message();
        close();
        co_return result;
    }
    result.progress = ExchangeProgress::MaybeSent;
    std::optional<MemoryBudget::Account> account;
    if (data.limits.memory) {
        account.emplace(data.limits.memory, std::string());
    }
    // The number of interim (1xx) responses is bounded, so that an endpoint cannot occupy the connection with them.
    for (int interim = 0; interim < detail::interimResponsesMax; ++interim) {
        ResponseReader reader(data.stream, data.buffer, account ? &*account : nullptr, data.limits.headerBytes,
                              data.limits.bodyBytes);
        ResponseReader::Parser &parser = reader.parser();
        parser.skip(request.method == "HEAD");
        beast::error_code readError = co_await reader.readHeader();
        if (!readError) {
            readError = co_await reader.readBody();
        }
        if (readError) {
            result.timedOut = readError == beast::error::timeout;
            result.failure = "cannot receive the response: " + readError.message();
            close();
            co_return result;
        }
        if (parser.get().result_int() < 200) {
            continue;
        }
        const bool headOnly = request.method == "HEAD";
        if (!headOnly && detail::isDelimitedByClose(parser)) {
            // Only the close of the connection ends such a response, so a truncated one looks complete.
            result.failure = "the response has neither a Content-Length nor a chunked body";
            close();
            co_return result;
        }
        data.reusable = parser.keep_alive() && data.buffer.size() == 0;
        data.stream.expires_never();
        result.progress = ExchangeProgress::Answered;
        result.response = detail::toResponse(parser.release(), headOnly);
        co_return result;
    }
    result.failure = "the peer sent too many interim (1xx) responses";
    close();
    co_return result;
}

bool HttpConnection::reusable() const
{
    if (!m_data->reusable || !m_data->stream.socket().is_open()) {
        return false;
    }
    // Bytes between exchanges could be taken for the next response, and an end of stream means that the peer has
    // closed.
    char byte = 0;
    const auto peeked = ::recv(m_data->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HttpConnection::wasRefused() const
{
    return m_data->refused;
}

bool HttpConnection::hasUnacknowledgedBytes() const
{
    // SIOCOUTQ is unsuitable: it also counts bytes that wait for the receive window of a slow but live peer.
    tcp_info info{};
    socklen_t size = sizeof info;
    const int descriptor = m_data->stream.socket().native_handle();
    return ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_unacked > 0;
}

void HttpConnection::close()
{
    m_data->reusable = false;
    m_data->stream.close();
}

struct HttpClient::Shared : std::enable_shared_from_this<HttpClient::Shared>
{
    Shared(const asio::any_io_executor &executor, tcp::endpoint peerEndpoint, std::uint32_t connections,
           HttpClientLimits clientLimits)
        : strand(asio::make_strand(executor))
        , peer(std::move(peerEndpoint))
        , connectionsMax(connections)
        , limits(std::move(clientLimits))
    {
    }

    struct PooledConnection
    {
        ConnectionId id;
        std::unique_ptr<HttpConnection> connection;
    };

    asio::awaitable<ExchangeResult> send(HttpRequest request, std::chrono::milliseconds timeout,
                                         std::optional<ConnectionId> required);
    /// Removes an idle connection from the pool, and discards those before it that the peer has closed.
    /// @param required the only connection to take, if given
    /// @return the connection, empty when there is none
    PooledConnection takeIdle(std::optional<ConnectionId> required);
    asio::awaitable<bool> acquireSlot(std::chrono::steady_clock::time_point deadline);
    void releaseSlot();

    asio::strand<asio::any_io_executor> strand;
    tcp::endpoint peer;
    std::uint32_t connectionsMax;
    HttpClientLimits limits;
    std::uint32_t slotsInUse{};
    std::deque<PooledConnection> idle;
    ConnectionId lastConnection;
    std::deque<std::shared_ptr<asio::steady_timer>> slotWaiters;
};

asio::awaitable<bool> HttpClient::Shared::acquireSlot(std::chrono::steady_clock::time_point deadline)
{
    while (slotsInUse >= connectionsMax) {
        auto timer = std::make_shared<asio::steady_timer>(strand, deadline);
        slotWaiters.push_back(timer);
        co_await timer->async_wait(detail::clientAwaitTuple);
        std::erase(slotWaiters, timer);
        if (slotsInUse >= connectionsMax && std::chrono::steady_clock::now() >= deadline) {
            co_return false;
        }
    }
    ++slotsInUse;
    co_return true;
}

void HttpClient::Shared::releaseSlot()
{
    --slotsInUse;
    if (!slotWaiters.empty()) {
        slotWaiters.front()->cancel();
        slotWaiters.pop_front();
    }
}

HttpClient::Shared::PooledConnection HttpClient::Shared::takeIdle(std::optional<ConnectionId> required)
{
    for (auto position = idle.begin(); position != idle.end();) {
        if (required && position->id != *required) {
            ++position;
            continue;
        }
        PooledConnection taken = std::move(*position);
        position = idle.erase(position);
        if (taken.connection->reusable()) {
            return taken;
        }
    }
    return {};
}

asio::awaitable<ExchangeResult> HttpClient::Shared::send(HttpRequest request, std::chrono::milliseconds timeout,
                                                         std::optional<ConnectionId> required)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    ExchangeResult result;
    if (!co_await acquireSlot(deadline)) {
        result.timedOut = true;
        result.failure = "no connection became free before the deadline";
        co_return result;
    }
    PooledConnection pooled = takeIdle(required);
    std::unique_ptr<HttpConnection> &connection = pooled.connection;
    if (!connection && required) {
        result.failure = "the connection is closed";
        releaseSlot();
        co_return result;
    }
    try {
        if (!connection) {
            connection = std::make_unique<HttpConnection>(strand, limits);
            pooled.id = {++lastConnection.value};
            co_await connection->connect(peer);
        }
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        if (remaining.count() > 0) {
            result = co_await connection->exchange(request, remaining);
        } else {
            result.timedOut = true;
            result.failure = "the deadline passed before the request was sent";
        }
    } catch (const Error &error) {
        result.failure = error.what();
        result.refused = connection && connection->wasRefused();
    }
    if (result.timedOut) {
        // The idle connections may be affected by the same failure, and each of them would show it only by a timeout.
        idle.clear();
    }
    if (result.progress != ExchangeProgress::NothingSent) {
        result.connection = pooled.id;
    }
    if (connection && connection->reusable()) {
        result.connectionKept = true;
        idle.push_back(std::move(pooled));
    }
    releaseSlot();
    co_return result;
}

HttpClient::HttpClient(asio::any_io_executor executor, tcp::endpoint peer, std::uint32_t connections,
                       HttpClientLimits limits)
    : m_shared(std::make_shared<Shared>(executor, std::move(peer), connections, std::move(limits)))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<ExchangeResult> HttpClient::send(HttpRequest request, std::chrono::milliseconds timeout,
                                                 std::optional<ConnectionId> connection)
{
    const auto shared = m_shared;
    co_return co_await asio::co_spawn(shared->strand, shared->send(std::move(request), timeout, connection),
                                      asio::use_awaitable);
}

} // namespace heatherquay::transport
