#include "server.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <atomic>
#include <mutex>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

namespace heatherquay::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using transport::HttpRequest;
using transport::HttpResponse;

namespace detail
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds disconnectPollInterval{100};
constexpr std::uint64_t bodyBytesMax = 32 * 1024 * 1024;

struct Connection
{
    Connection(tcp::socket s, std::uint64_t n)
        : socket(std::move(s))
        , number(n)
    {
    }

    /// Peeks at the socket, so that a pipelined request stays readable.
    bool peerClosed()
    {
        char byte = 0;
        const auto peeked = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    std::uint64_t number;
    bool unresponsive{};
};

HttpRequest parseRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.fields.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace detail

struct Server::Shared : std::enable_shared_from_this<Server::Shared>
{
    Shared(asio::any_io_executor ex, Handler h, ConnectionObserver o)
        : executor(std::move(ex))
        , handler(std::move(h))
        , observer(std::move(o))
        , strand(asio::make_strand(executor))
        , acceptor(strand)
    {
    }

    void startListening();
    void stopListening();
    void closeConnections();
    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serve(std::shared_ptr<detail::Connection> connection);
    /// @return whether the connection stays open for another request
    asio::awaitable<bool> serveOne(detail::Connection &connection);
    asio::awaitable<bool> respond(detail::Connection &connection, HttpResponse response, bool keepAlive, bool headOnly);
    asio::awaitable<bool> waitForDisconnect(detail::Connection &connection);
    asio::awaitable<HttpResponse> handle(HttpRequest request, const ClientDisconnected &clientDisconnected);
    bool isUnresponsive(detail::Connection &connection);
    /// @return whether the counter was positive; decrements it in this case
    bool consumeFault(std::uint32_t Faults::*counter);

    asio::any_io_executor executor;
    Handler handler;
    ConnectionObserver observer;
    asio::strand<asio::any_io_executor> strand;
    tcp::acceptor acceptor;
    tcp::endpoint boundEndpoint;
    std::mutex mutex;
    Faults faults;
    std::uint64_t lastConnection{};
    std::uint64_t unresponsiveUpTo{}; ///< Connections with numbers up to this one get no responses.
    std::set<std::shared_ptr<detail::Connection>> connections;
};

void Server::Shared::startListening()
{
    acceptor.open(boundEndpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(boundEndpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
    boundEndpoint = acceptor.local_endpoint();
    asio::co_spawn(
        acceptor.get_executor(),
        [self = shared_from_this()] {
            return self->acceptLoop();
        },
        asio::detached);
}

void Server::Shared::stopListening()
{
    beast::error_code ignored;
    acceptor.close(ignored);
    closeConnections();
}

void Server::Shared::closeConnections()
{
    const std::lock_guard lock(mutex);
    for (const auto &connection : connections) {
        asio::post(connection->socket.get_executor(), [connection] {
            beast::error_code ignored;
            connection->socket.close(ignored);
        });
    }
}

asio::awaitable<void> Server::Shared::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asio::make_strand(executor), detail::awaitTuple);
        if (error) {
            co_return;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const std::lock_guard lock(mutex);
        auto connection = std::make_shared<detail::Connection>(std::move(socket), ++lastConnection);
        connections.insert(connection);
        asio::co_spawn(
            connection->socket.get_executor(),
            [self, connection] {
                return self->serve(connection);
            },
            asio::detached);
    }
}

asio::awaitable<void> Server::Shared::serve(std::shared_ptr<detail::Connection> connection)
{
    const bool admitted = !observer.onOpened || observer.onOpened();
    if (admitted) {
        while (co_await serveOne(*connection)) { }
    }
    beast::error_code ignored;
    connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
    connection->socket.close(ignored);
    if (admitted && observer.onClosed) {
        observer.onClosed();
    }
    const std::lock_guard lock(mutex);
    connections.erase(connection);
}

bool Server::Shared::isUnresponsive(detail::Connection &connection)
{
    const std::lock_guard lock(mutex);
    connection.unresponsive = connection.unresponsive || faults.unresponsive || connection.number <= unresponsiveUpTo;
    return connection.unresponsive;
}

bool Server::Shared::consumeFault(std::uint32_t Faults::*counter)
{
    const std::lock_guard lock(mutex);
    if (faults.*counter == 0) {
        return false;
    }
    --(faults.*counter);
    return true;
}

asio::awaitable<bool> Server::Shared::waitForDisconnect(detail::Connection &connection)
{
    asio::steady_timer timer(connection.socket.get_executor());
    while (connection.socket.is_open() && !connection.peerClosed()) {
        timer.expires_after(detail::disconnectPollInterval);
        co_await timer.async_wait(detail::awaitTuple);
    }
    co_return false;
}

asio::awaitable<HttpResponse> Server::Shared::handle(HttpRequest request, const ClientDisconnected &clientDisconnected)
{
    HttpResponse failed;
    try {
        co_return co_await handler(std::move(request), clientDisconnected);
    } catch (const Error &error) {
        failed = jsonResponse(error.kind() == ErrorKind::BadInput ? 400 : 500, {{"error", error.what()}});
    } catch (const std::exception &error) {
        failed = jsonResponse(400, {{"error", error.what()}});
    }
    co_return failed;
}

asio::awaitable<bool> Server::Shared::serveOne(detail::Connection &connection)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(detail::bodyBytesMax);
    const auto [error, size]
        = co_await http::async_read(connection.socket, connection.buffer, parser, detail::awaitTuple);
    if (error) {
        co_return false;
    }
    if (isUnresponsive(connection)) {
        co_return co_await waitForDisconnect(connection);
    }
    const std::chrono::milliseconds delay = [this] {
        const std::lock_guard lock(mutex);
        return faults.delay;
    }();
    if (delay.count() > 0) {
        asio::steady_timer timer(connection.socket.get_executor(), delay);
        co_await timer.async_wait(detail::awaitTuple);
    }
    if (consumeFault(&Faults::dropRequests)) {
        co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    const bool headOnly = parser.get().method() == http::verb::head;
    const ClientDisconnected clientDisconnected = [&connection] {
        return !connection.socket.is_open() || connection.peerClosed();
    };
    HttpResponse response = co_await handle(detail::parseRequest(parser.release()), clientDisconnected);
    if (isUnresponsive(connection)) {
        co_return co_await waitForDisconnect(connection);
    }
    if (consumeFault(&Faults::loseResponses)) {
        co_return false;
    }
    const bool keepOpen = keepAlive && response.keepAlive;
    co_return co_await respond(connection, std::move(response), keepOpen, headOnly);
}

asio::awaitable<bool> Server::Shared::respond(detail::Connection &connection, HttpResponse response, bool keepAlive,
                                              bool headOnly)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto &field : response.fields.all()) {
        message.insert(field.name, field.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    http::response_serializer<http::string_body> serializer(message);
    if (headOnly) {
        serializer.split(true);
        const auto [error, size] = co_await http::async_write_header(connection.socket, serializer, detail::awaitTuple);
        co_return !error && keepAlive;
    }
    const auto [error, size] = co_await http::async_write(connection.socket, serializer, detail::awaitTuple);
    co_return !error && keepAlive;
}

Server::Server(asio::any_io_executor executor, Handler handler, ConnectionObserver observer)
    : m_shared(std::make_shared<Shared>(std::move(executor), std::move(handler), std::move(observer)))
{
}

Server::Server(Server &&) noexcept = default;

Server::~Server()
{
    if (m_shared) {
        asio::post(m_shared->strand, [shared = m_shared] {
            shared->stopListening();
        });
    }
}

void Server::listen(const std::string &address)
{
    m_shared->boundEndpoint = transport::parseAddress(address);
    try {
        m_shared->startListening();
    } catch (const boost::system::system_error &error) {
        throw Error(ErrorKind::BadInput, "cannot listen on " + address + ": " + error.code().message(),
                    "choose a free port, or port 0 to have one selected");
    }
}

std::string Server::address() const
{
    return m_shared->boundEndpoint.address().to_string() + ":" + std::to_string(m_shared->boundEndpoint.port());
}

void Server::setFaults(const Faults &faults)
{
    const std::lock_guard lock(m_shared->mutex);
    const bool wasDown = m_shared->faults.down;
    m_shared->faults = faults;
    if (wasDown == faults.down) {
        return;
    }
    asio::post(m_shared->strand, [shared = m_shared, down = faults.down] {
        down ? shared->stopListening() : shared->startListening();
    });
}

Faults Server::faults() const
{
    const std::lock_guard lock(m_shared->mutex);
    return m_shared->faults;
}

void Server::stopAnsweringOpenConnections()
{
    const std::lock_guard lock(m_shared->mutex);
    m_shared->unresponsiveUpTo = m_shared->lastConnection;
}

void Server::control(const json::object &settings)
{
    Faults faults = this->faults();
    if (const auto *value = settings.if_contains("down")) {
        faults.down = value->as_bool();
    }
    if (const auto *value = settings.if_contains("silent")) {
        faults.unresponsive = value->as_bool();
    }
    if (const auto *value = settings.if_contains("slow_ms")) {
        faults.delay = std::chrono::milliseconds(value->to_number<std::int64_t>());
    }
    if (const auto *value = settings.if_contains("lose_answers")) {
        faults.loseResponses = value->to_number<std::uint32_t>();
    }
    if (const auto *value = settings.if_contains("lose_requests")) {
        faults.dropRequests = value->to_number<std::uint32_t>();
    }
    setFaults(faults);
    if (settings.contains("silence_open_connections")) {
        stopAnsweringOpenConnections();
    }
}

HttpResponse jsonResponse(unsigned status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

json::object parseObject(const std::string &body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        throw Error(ErrorKind::BadInput, "the body is not a JSON object", "send a JSON object");
    }
    return std::move(value.as_object());
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string parameter = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (parameter.compare(0, name.size() + 1, name + "=") == 0) {
            return parameter.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

std::int64_t monotonicMilliseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace heatherquay::standins
