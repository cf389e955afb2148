#include "heatherquay/transport/http_server.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/connection_table.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/message_reader.hpp"
#include "heatherquay/transport/server_exchange.hpp"
#include "heatherquay/transport/server_messages.hpp"

#include <array>
#include <atomic>
#include <limits>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/ioctl.h>

namespace heatherquay::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace detail
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds acceptRetryDelay{50};
constexpr std::chrono::milliseconds closeWaitInterval{5};
constexpr std::uint32_t acceptedPerTurnMax = 32;
// Of the connections, how many are accepted in a turn. The others have time for their first request.
constexpr std::uint32_t acceptedDivisor = 8;
constexpr std::size_t connectionsBudgetDivisor = 4;
constexpr std::uint32_t connectionsMin = 4;
constexpr std::uint32_t refusedDivisor = 8; // Of the connections, how many may wait until a refusal is read.
constexpr std::uint32_t refusedMin = 4;
constexpr std::uint32_t refusedMax = 64;
constexpr std::chrono::milliseconds lingerTimeout{500};
// A refusal fits into the socket's send buffer, unless the client has not read earlier responses.
constexpr std::chrono::milliseconds refusalSendTimeout{1'000};
// A client reads "Retry-After" in whole seconds; a crowd that stops short leaves within the receive timeout.
constexpr const char *refusalRetryAfter = "1";
constexpr std::chrono::milliseconds firstRequestTimeout{
    500}; // Of a connection that is accepted shortly before a drain.
constexpr unsigned tooManyRequests = 429;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned gatewayTimeout = 504;

/// How a connection goes on after a request.
enum class Next
{
    ReadRequest,
    Linger, ///< A response was sent that announces the close.
    Close ///< Nothing was received since the last response, or the connection has failed.
};

} // namespace detail

using detail::Next;

struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared>
{
    struct Connection : TrackedConnection
    {
        /// @param bufferBytes largest size of the input buffer
        Connection(tcp::socket socket, std::string peerAddress, std::size_t bufferBytes)
            : TrackedConnection(std::move(peerAddress))
            , stream(std::move(socket))
            , descriptor(stream.socket().native_handle())
            , buffer(bufferBytes)
        {
        }

        /// Releases what a request has held beside the connection, except for input of the next one.
        void releaseRequest()
        {
            if (buffer.size() == 0 && buffer.capacity() > inputBufferBytes) {
                buffer.shrink_to_fit();
            }
            if (account) {
                account->setRequest(buffer.capacity() > inputBufferBytes ? buffer.capacity() : 0);
            }
        }

        bool hasUnreadInput() const
        {
            int size = 0;
            return ::ioctl(descriptor, FIONREAD, &size) == 0 && size > 0;
        }

        beast::tcp_stream stream;
        const int descriptor;
        beast::flat_buffer buffer;
        std::unique_ptr<MemoryBudget::Account> account; ///< Null without a budget.
        bool evicted{}; ///< Has made room for another connection.
        bool overLimit{}; ///< Counted in refusedConnections, because it is not in the table.
        bool ended{}; ///< The socket is closed, and the coroutine of the connection returns.
        std::shared_ptr<detail::PendingResponse> pending; ///< While the handler of a request runs.
    };

    /// How a response is sent.
    struct ResponseForm
    {
        unsigned version{11}; ///< Of HTTP, 11 for HTTP/1.1.
        bool keepAlive{};
        bool headOnly{};
        std::chrono::milliseconds timeout;
    };

    Shared(asio::any_io_executor ex, HttpHandler h, HttpErrorResponder r, HttpServerLimits l)
        : executor(std::move(ex))
        , handler(std::move(h))
        , errorResponder(std::move(r))
        , limits(l)
        , acceptor(asio::make_strand(executor))
        , connections(l.connections, l.connectionsPerAddress)
    {
    }

    asio::awaitable<void> acceptLoop();
    /// Connections in the table, and those that are refused or about to close.
    std::uint32_t openSocketsMax() const
    {
        return limits.connections + 2 * limits.refusedConnections;
    }
    void acceptEstablished(std::uint32_t countMax);
    void startConnection(tcp::socket socket);
    asio::awaitable<void> serveConnection(std::shared_ptr<Connection> connection);
    asio::awaitable<Next> serveRequest(Connection &connection);
    asio::awaitable<bool> waitForRequest(Connection &connection);
    asio::awaitable<HttpResponse> awaitResponse(Connection &connection, HttpRequest request);
    asio::awaitable<void> runHandler(std::shared_ptr<detail::PendingResponse> pending, HttpRequest request);
    asio::awaitable<void> lingeringClose(Connection &connection);
    void countRefusal(const Connection &connection, RefusalReason reason);
    asio::awaitable<Next> sendConnectionRefusal(Connection &connection, RefusalReason reason);
    /// Refuses a request of which nothing has run.
    asio::awaitable<Next> refuse(Connection &connection, RefusalReason reason, unsigned status,
                                 const std::string &text);
    /// Refuses a request that was not received, or closes the connection when the client has left.
    asio::awaitable<Next> refuseUnreceived(Connection &connection, const beast::error_code &error, bool expired);
    /// Answers a request of an evicted connection, of which nothing has run.
    asio::awaitable<Next> refuseEvicted(Connection &connection);
    asio::awaitable<Next> sendRefusal(Connection &connection, HttpResponse response);
    asio::awaitable<Next> sendResponse(Connection &connection, HttpResponse response, ResponseForm form);
    /// @return why the connection is refused, if it is
    std::optional<RefusalReason> admit(const std::shared_ptr<Connection> &connection);
    /// Ends a connection that was evicted. A request that has begun to arrive is refused. One that has arrived
    /// completely is answered before.
    void closeEvicted(const std::shared_ptr<TrackedConnection> &evicted);
    /// Counts a connection that is not in the table.
    /// @return whether there are too many of them, so that it must be closed at once
    bool noteOverLimit(Connection &connection);
    /// @return the last rank that makes room. Busy connections stay open for their response, so that only a few may
    EvictionRank lastEvictionRank() const
    {
        return refusedConnections < limits.refusedConnections ? EvictionRank::Busy : EvictionRank::Request;
    }
    void forEach(const std::function<void(Connection &)> &action);

    asio::any_io_executor executor;
    HttpHandler handler;
    HttpErrorResponder errorResponder;
    HttpServerLimits limits;
    tcp::acceptor acceptor;
    std::atomic<bool> closing{false};
    std::atomic<bool> draining{false};
    std::atomic<bool> accepting{false};
    std::atomic<bool> refusing{false}; ///< No handler starts any more.
    std::atomic<std::uint32_t> openConnections{0};
    std::atomic<std::uint32_t> refusedConnections{0}; ///< Open connections that are not in the table.
    std::array<std::atomic<std::uint64_t>, refusalReasonNames.size()> refusals{};
    ConnectionTable connections;
};

std::optional<RefusalReason> HttpServer::Shared::admit(const std::shared_ptr<Connection> &connection)
{
    const ConnectionTable::Admission admission = connections.admit(connection, lastEvictionRank());
    if (!admission.admitted) {
        return RefusalReason::Connections;
    }
    if (admission.evicted) {
        closeEvicted(admission.evicted);
    }
    if (limits.memory) {
        connection->account = std::make_unique<MemoryBudget::Account>(limits.memory, connection->address());
        if (!connection->account->openConnection(connectionBytes + limits.receiveBufferBytes)) {
            connections.release(*connection);
            return RefusalReason::Memory;
        }
    }
    return std::nullopt;
}

void HttpServer::Shared::closeEvicted(const std::shared_ptr<TrackedConnection> &evicted)
{
    const auto connection = std::static_pointer_cast<Connection>(evicted);
    asio::post(connection->stream.get_executor(), [self = shared_from_this(), connection] {
        if (connection->ended) {
            return;
        }
        const bool crowded = self->noteOverLimit(*connection);
        const ConnectionState state = connection->state();
        connection->evicted = true;
        self->countRefusal(*connection, RefusalReason::Evicted);
        if (evictionRank(*connection, TrackedConnection::Clock::now()) >= EvictionRank::Busy) {
            return; // The response is sent first.
        }
        const bool mayHaveRequest = state == ConnectionState::Receiving || connection->hasUnreadInput();
        if (crowded || state == ConnectionState::Sending || state == ConnectionState::Closing || !mayHaveRequest) {
            connection->stream.close();
        } else {
            connection->stream.cancel(); // The request is refused.
        }
    });
}

bool HttpServer::Shared::noteOverLimit(Connection &connection)
{
    if (connection.overLimit) {
        return false;
    }
    connection.overLimit = true;
    return refusedConnections++ >= limits.refusedConnections;
}

void HttpServer::Shared::forEach(const std::function<void(Connection &)> &action)
{
    connections.forEach([&action](const std::shared_ptr<TrackedConnection> &tracked) {
        const auto connection = std::static_pointer_cast<Connection>(tracked);
        asio::post(connection->stream.get_executor(), [connection, action] {
            action(*connection);
        });
    });
}

asio::awaitable<void> HttpServer::Shared::acceptLoop()
{
    while (acceptor.is_open()) {
        if (openConnections >= openSocketsMax()) {
            asio::steady_timer timer(acceptor.get_executor(), detail::closeWaitInterval);
            co_await timer.async_wait(detail::awaitTuple);
            continue;
        }
        auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor), detail::awaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error) {
            // The usual cause is the limit of open files; connections may close during the delay.
            asio::steady_timer timer(acceptor.get_executor(), detail::acceptRetryDelay);
            co_await timer.async_wait(detail::awaitTuple);
            continue;
        }
        startConnection(std::move(socket));
        // Each turn of the event loop completes one asynchronous accept. While many requests keep it busy, new
        // connections would wait for as many turns as there are before them.
        const std::uint32_t room = openSocketsMax() - std::min(openSocketsMax(), openConnections.load());
        acceptEstablished(std::min({detail::acceptedPerTurnMax, limits.connections / detail::acceptedDivisor, room}));
    }
    accepting = false;
}

/// Accepts connections that the kernel has established.
void HttpServer::Shared::acceptEstablished(std::uint32_t countMax)
{
    beast::error_code error;
    for (std::uint32_t count = 0; count < countMax && !error; ++count) {
        tcp::socket socket(asio::make_strand(executor));
        acceptor.accept(socket, error);
        if (!error) {
            startConnection(std::move(socket));
        }
    }
}

void HttpServer::Shared::startConnection(tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto remote = socket.remote_endpoint(ignored);
    auto connection = std::make_shared<Connection>(std::move(socket), remote.address().to_string(),
                                                   limits.headerBytes + inputBufferBytes);
    ++openConnections;
    asio::co_spawn(connection->stream.get_executor(), serveConnection(connection), asio::detached);
}

asio::awaitable<void> HttpServer::Shared::serveConnection(std::shared_ptr<Connection> connection)
{
    const auto self = shared_from_this();
    const std::optional<RefusalReason> refusal = admit(connection);
    Next next = Next::ReadRequest;
    const bool crowded = refusal && noteOverLimit(*connection);
    try {
        if (refusal) {
            countRefusal(*connection, *refusal);
            next = crowded ? Next::Close : co_await sendConnectionRefusal(*connection, *refusal);
        }
        while (next == Next::ReadRequest) {
            next = co_await serveRequest(*connection);
        }
    } catch (const std::exception &error) {
        log(LogLevel::Error, "connection-failed", {{"remote", connection->address()}, {"error", error.what()}});
    }
    connection->enter(ConnectionState::Closing);
    if (next == Next::Linger) {
        co_await lingeringClose(*connection);
    }
    connection->stream.close();
    connection->ended = true;
    connections.release(*connection);
    if (connection->overLimit) {
        --refusedConnections;
    }
    --openConnections;
}

/// Shuts down the sending side, then reads and discards input until the peer closes or lingerTimeout passes. Closing a
/// socket with unread bytes resets the connection, and the peer may then lose the last response.
asio::awaitable<void> HttpServer::Shared::lingeringClose(Connection &connection)
{
    beast::error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(detail::lingerTimeout);
    connection.buffer.clear();
    beast::error_code ended;
    while (!ended) {
        auto space = connection.buffer.prepare(inputBufferBytes);
        const auto [error, size] = co_await connection.stream.async_read_some(space, detail::awaitTuple);
        ended = error;
    }
}

void HttpServer::Shared::countRefusal(const Connection &connection, RefusalReason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    ++refusals[index];
    log(LogLevel::Info, "client-refused",
        {{"remote", connection.address()}, {"reason", std::string(refusalReasonNames[index])}});
}

asio::awaitable<Next> HttpServer::Shared::sendConnectionRefusal(Connection &connection, RefusalReason reason)
{
    const bool memory = reason == RefusalReason::Memory;
    HttpResponse response
        = errorResponder(memory ? detail::serviceUnavailable : detail::tooManyRequests,
                         memory ? "no memory is free for the connection" : "too many open connections");
    response.fields.set("Retry-After", detail::refusalRetryAfter);
    co_return co_await sendRefusal(connection, std::move(response));
}

asio::awaitable<Next> HttpServer::Shared::refuse(Connection &connection, RefusalReason reason, unsigned status,
                                                 const std::string &text)
{
    countRefusal(connection, reason);
    connection.releaseRequest();
    HttpResponse response = errorResponder(status, text);
    if (reason == RefusalReason::Memory) {
        response.fields.set("Retry-After", detail::refusalRetryAfter);
    }
    co_return co_await sendRefusal(connection, std::move(response));
}

asio::awaitable<Next> HttpServer::Shared::sendRefusal(Connection &connection, HttpResponse response)
{
    const ResponseForm form{.timeout = std::min(limits.sendTimeout, detail::refusalSendTimeout)};
    co_return co_await sendResponse(connection, std::move(response), form);
}

asio::awaitable<Next> HttpServer::Shared::refuseEvicted(Connection &connection)
{
    connection.releaseRequest();
    HttpResponse response = errorResponder(detail::serviceUnavailable,
                                           "the connection has made room for others; the request has not run");
    response.fields.set("Retry-After", detail::refusalRetryAfter);
    co_return co_await sendRefusal(connection, std::move(response));
}

asio::awaitable<Next> HttpServer::Shared::refuseUnreceived(Connection &connection, const beast::error_code &error,
                                                           bool expired)
{
    if (connection.evicted) {
        co_return co_await refuseEvicted(connection);
    }
    if (expired) {
        co_return co_await refuse(connection, RefusalReason::Slow, 408,
                                  "the request was not received completely within the time limit");
    }
    if (error == http::error::header_limit) {
        co_return co_await refuse(connection, RefusalReason::HeaderSize, 431, "the header is larger than the limit");
    }
    if (error == http::error::buffer_overflow) {
        co_return co_await refuse(connection, RefusalReason::HeaderSize, 431,
                                  "a chunk header or the trailers are larger than the limit of the header");
    }
    if (error == http::error::body_limit) {
        co_return co_await refuse(connection, RefusalReason::BodySize, 413, "the body is larger than the limit");
    }
    if (error == asio::error::no_memory) {
        co_return co_await refuse(connection, RefusalReason::Memory, detail::serviceUnavailable,
                                  "no memory is free for the request");
    }
    if (error == asio::error::eof || error.category() == asio::error::get_system_category()) {
        co_return Next::Close;
    }
    co_return co_await refuse(connection, RefusalReason::Malformed, 400, "malformed HTTP: " + error.message());
}

asio::awaitable<Next> HttpServer::Shared::sendResponse(Connection &connection, HttpResponse response, ResponseForm form)
{
    const std::string length(response.fields.get("Content-Length"));
    auto message = toMessage(std::move(response), form.version, form.keepAlive);
    if (form.headOnly && !length.empty()) {
        message.set(http::field::content_length, length);
    }
    if (connection.account) {
        connection.account->setResponse(message.body().size());
    }
    connection.enter(ConnectionState::Sending);
    connection.stream.expires_after(form.timeout);
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(form.headOnly);
    beast::error_code error;
    if (form.headOnly) {
        std::tie(error, std::ignore)
            = co_await http::async_write_header(connection.stream, serializer, detail::awaitTuple);
    } else {
        std::tie(error, std::ignore) = co_await http::async_write(connection.stream, serializer, detail::awaitTuple);
    }
    if (connection.account) {
        connection.account->setResponse(0);
    }
    co_return !error && form.keepAlive && !connection.evicted ? Next::ReadRequest : Next::Linger;
}

/// Waits until input arrives on an idle connection. During a drain, only for input that has arrived already, or for the
/// first request of a new connection.
/// @return whether there is input in the buffer; false when the connection is to be closed
asio::awaitable<bool> HttpServer::Shared::waitForRequest(Connection &connection)
{
    while (connection.buffer.size() == 0) {
        if (draining && connection.servedRequest() && !connection.hasUnreadInput()) {
            co_return false;
        }
        connection.stream.expires_after(draining ? detail::firstRequestTimeout : limits.idleTimeout);
        auto space = connection.buffer.prepare(4096);
        const auto [error, size] = co_await connection.stream.async_read_some(space, detail::awaitTuple);
        if (error && (error != asio::error::operation_aborted || !draining || connection.evicted)) {
            co_return false;
        }
        connection.buffer.commit(size);
    }
    co_return true;
}

/// Runs the handler beside the connection, which answerPending() can release.
asio::awaitable<HttpResponse> HttpServer::Shared::awaitResponse(Connection &connection, HttpRequest request)
{
    if (refusing) {
        co_return errorResponder(detail::serviceUnavailable, "the server stops");
    }
    const auto pending = std::make_shared<detail::PendingResponse>(connection.stream.get_executor());
    connection.pending = pending;
    asio::co_spawn(connection.stream.get_executor(), runHandler(pending, std::move(request)), asio::detached);
    while (!pending->finished) {
        co_await pending->finishedTimer.async_wait(detail::awaitTuple);
    }
    connection.pending.reset();
    co_return std::move(pending->response);
}

asio::awaitable<void> HttpServer::Shared::runHandler(std::shared_ptr<detail::PendingResponse> pending,
                                                     HttpRequest request)
{
    const auto self = shared_from_this();
    std::string failure;
    try {
        pending->finish(co_await handler(std::move(request)));
    } catch (const std::exception &exception) {
        failure = exception.what();
    }
    if (!failure.empty()) {
        log(LogLevel::Error, "handler-failed", {{"error", failure}});
        pending->finish(errorResponder(500, failure));
    }
}

asio::awaitable<Next> HttpServer::Shared::serveRequest(Connection &connection)
{
    if (!co_await waitForRequest(connection)) {
        if (connection.evicted && connection.hasUnreadInput()) {
            co_return co_await refuseEvicted(connection);
        }
        co_return Next::Close;
    }
    RequestReader reader(connection.stream, connection.buffer, connection.account.get(), limits.headerBytes,
                         limits.bodyBytes);
    RequestReader::Parser &parser = reader.parser();
    connection.enter(ConnectionState::Receiving);
    // The timeout of the stream would close the socket, and the client would not receive status 408.
    connection.stream.expires_never();
    const auto receiveTimer = std::make_shared<detail::ReceiveTimer>(connection.stream, limits.receiveTimeout);
    receiveTimer->start();
    beast::error_code error = co_await reader.readHeader();
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continueResponse{http::status::continue_, 11};
        co_await http::async_write(connection.stream, continueResponse, detail::awaitTuple);
    }
    if (!error) {
        error = co_await reader.readBody();
    }
    receiveTimer->stop();
    if (error || connection.evicted) {
        co_return co_await refuseUnreceived(connection, error, receiveTimer->expired());
    }
    const unsigned version = parser.get().version();
    const bool clientKeepsAlive = parser.get().keep_alive();
    const bool headOnly = parser.get().method() == http::verb::head;
    HttpRequest request = toRequest(parser.release(), connection.address());
    connection.stream.expires_never();
    connection.enter(ConnectionState::Handling);
    HttpResponse response = co_await awaitResponse(connection, std::move(request));
    // A request that arrived behind this one is answered before the close is announced.
    const bool announceClose = closing && connection.buffer.size() == 0 && !connection.hasUnreadInput();
    const bool keepAlive = clientKeepsAlive && response.keepAlive && !announceClose && !connection.evicted;
    const Next next
        = co_await sendResponse(connection, std::move(response), {version, keepAlive, headOnly, limits.sendTimeout});
    connection.releaseRequest();
    connection.noteServedRequest();
    connection.enter(ConnectionState::Idle);
    co_return next;
}

void limitConnections(HttpServerLimits &limits, std::uint32_t connections)
{
    if (limits.memory) {
        const std::size_t charge = connectionBytes + limits.receiveBufferBytes;
        const std::size_t room = limits.memory->limit() / detail::connectionsBudgetDivisor / charge;
        // Two eighths more are refused or about to close.
        const std::size_t admitted = room * detail::refusedDivisor / (detail::refusedDivisor + 2);
        connections = static_cast<std::uint32_t>(std::min<std::size_t>(connections, admitted));
    }
    limits.connections = std::max(connections, detail::connectionsMin);
    limits.refusedConnections
        = std::clamp(limits.connections / detail::refusedDivisor, detail::refusedMin, detail::refusedMax);
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpHandler handler, HttpErrorResponder errorResponder,
                       HttpServerLimits limits)
    : m_shared(std::make_shared<Shared>(std::move(executor), std::move(handler), std::move(errorResponder), limits))
{
}

HttpServer::~HttpServer()
{
    drain();
    closeAll();
}

void HttpServer::listen(const std::string &address)
{
    const tcp::endpoint endpoint = parseAddress(address);
    beast::error_code error;
    m_shared->acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_shared->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error && m_shared->limits.receiveBufferBytes > 0) {
        // Accepted connections inherit it.
        m_shared->acceptor.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(m_shared->limits.receiveBufferBytes)), error);
    }
    if (!error) {
        m_shared->acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_shared->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        m_shared->acceptor.non_blocking(true, error);
    }
    if (error) {
        throw Error(ErrorKind::BadInput, "cannot listen on " + address + ": " + error.message(),
                    "use an IP address of this VM and a free port");
    }
    m_shared->accepting = true;
    asio::co_spawn(
        m_shared->acceptor.get_executor(),
        [shared = m_shared] {
            return shared->acceptLoop();
        },
        asio::detached);
}

tcp::endpoint HttpServer::localEndpoint() const
{
    return m_shared->acceptor.local_endpoint();
}

void HttpServer::announceClose()
{
    m_shared->closing.store(true);
}

void HttpServer::drain()
{
    announceClose();
    m_shared->draining = true;
    asio::post(m_shared->acceptor.get_executor(), [shared = m_shared] {
        // Closing the listener would reset them.
        shared->acceptEstablished(std::numeric_limits<std::uint32_t>::max());
        beast::error_code ignored;
        shared->acceptor.close(ignored);
    });
    m_shared->forEach([](Shared::Connection &connection) {
        if (connection.state() == ConnectionState::Idle) {
            connection.stream.cancel(); // waitForRequest() looks for input once more.
        }
    });
}

bool HttpServer::drained() const
{
    return !m_shared->accepting && m_shared->openConnections == 0;
}

void HttpServer::answerPending()
{
    m_shared->refusing = true;
    m_shared->forEach([shared = m_shared](Shared::Connection &connection) {
        if (connection.pending) {
            connection.pending->finish(
                shared->errorResponder(detail::gatewayTimeout, "the server stops before the outcome is known"));
        }
    });
}

HttpServerActivity HttpServer::activity() const
{
    HttpServerActivity activity;
    m_shared->connections.forEach([&activity](const std::shared_ptr<TrackedConnection> &tracked) {
        const auto connection = std::static_pointer_cast<Shared::Connection>(tracked);
        const ConnectionState state = connection->state();
        activity.receiving += state == ConnectionState::Receiving ? 1 : 0;
        activity.handling += state == ConnectionState::Handling || state == ConnectionState::Sending ? 1 : 0;
        activity.unread += state == ConnectionState::Idle && connection->hasUnreadInput() ? 1 : 0;
    });
    return activity;
}

std::uint64_t HttpServer::refusals(RefusalReason reason) const
{
    return m_shared->refusals[static_cast<std::size_t>(reason)];
}

void HttpServer::closeAll()
{
    m_shared->forEach([](Shared::Connection &connection) {
        connection.stream.close();
    });
}

tcp::endpoint parseAddress(const std::string &text)
{
    const auto invalidAddress = [&text]() -> Error {
        return {ErrorKind::BadInput, "\"" + text + "\" is not an address",
                "use an IP address and a port from 0 to 65535, such as 10.0.0.1:8080 or [::1]:8080"};
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6) {
        throw invalidAddress();
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    unsigned port = 0;
    for (const char digit : text.substr(colon + 1)) {
        if (digit < '0' || digit > '9') {
            throw invalidAddress();
        }
        port = port * 10 + static_cast<unsigned>(digit - '0');
    }
    beast::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error || port > 65'535) {
        throw invalidAddress();
    }
    return {address, static_cast<std::uint16_t>(port)};
}

} // namespace heatherquay::transport
