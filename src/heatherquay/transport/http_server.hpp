#pragma once

#include "heatherquay/transport/http_message.hpp"
#include "heatherquay/transport/memory_budget.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace heatherquay::transport
{

struct HttpServerLimits
{
    std::uint32_t headerBytes{16 * 1024}; ///< Largest request header.
    std::uint64_t bodyBytes{8 * 1024 * 1024}; ///< Largest request body.
    std::chrono::milliseconds receiveTimeout{10'000}; ///< From the first to the last byte of a request.
    std::chrono::milliseconds idleTimeout{60'000}; ///< For a connection without a request.
    std::chrono::milliseconds sendTimeout{30'000}; ///< For sending one response.
    std::uint32_t connections{4096}; ///< Open connections of all clients. Beyond it, silent and slow ones make room.
    std::uint32_t connectionsPerAddress{1024}; ///< Open connections of one client IP address.
    /// Connections beyond the limit that wait until their client has read why; further ones are closed at once.
    std::uint32_t refusedConnections{64};
    /// Largest input of a connection that the kernel holds (SO_RCVBUF); 0 for the system's default. Charged to the
    /// budget with the connection.
    std::uint32_t receiveBufferBytes{};
    /// Charged with what clients make the server hold; null for no limit.
    std::shared_ptr<MemoryBudget> memory;
};

/// Limits the connections so that they, with those that are refused or about to close, take at most a quarter of the
/// budget: requests leave that quarter to them. Sets the number of refused connections accordingly.
/// @param limits without a budget, @p connections alone decides
/// @param connections most open connections of all clients
void limitConnections(HttpServerLimits &limits, std::uint32_t connections);

/// Why a server refused a connection or a request. No handler has run for it.
enum class RefusalReason
{
    Connections, ///< Too many open connections.
    Memory, ///< The memory budget has no room.
    HeaderSize, ///< The header, a chunk header or the trailers exceed the limit.
    BodySize,
    Slow, ///< The request was not received in time.
    Malformed,
    Evicted ///< An open connection has made room for a new one.
};

/// Names for logs and metrics, indexed by RefusalReason.
inline constexpr std::array<std::string_view, 7> refusalReasonNames{
    "connections", "memory", "header-size", "body-size", "slow", "malformed", "evicted"};

/// What the connections of a server are doing.
struct HttpServerActivity
{
    std::uint32_t receiving{}; ///< Connections on which a request has begun to arrive and has no handler yet.
    std::uint32_t handling{}; ///< Requests whose response is not fully sent.
    std::uint32_t unread{}; ///< Connections without a request whose socket has input; approximate while they change.
};

/// Handles one request. If it throws, the server responds with status 500.
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Builds an error response: for a request that does not reach the handler because it is malformed, too large or too
/// slow, for a connection above the limits, and when the handler throws.
/// @param status HTTP status of the response
/// @param detail description of the error
using HttpErrorResponder = std::function<HttpResponse(unsigned status, const std::string &detail)>;

/// An HTTP/1.1 server. Each connection runs on its own strand.
class HttpServer
{
public:
    HttpServer(boost::asio::any_io_executor executor, HttpHandler handler, HttpErrorResponder errorResponder,
               HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds the socket and starts accepting connections.
    /// @param address as for parseAddress(); port 0 selects a free port
    /// @throws Error(BadInput) when the address is malformed or cannot be bound
    void listen(const std::string &address);
    /// @return the address and port to which the server is bound
    boost::asio::ip::tcp::endpoint localEndpoint() const;
    /// From now on responses carry "Connection: close", so that callers reconnect to another entry. Idle connections
    /// stay open.
    void announceClose();
    /// Stops accepting connections, after those that the kernel has already established, and closes each connection as
    /// soon as it carries no request. A request that has arrived, in part or whole, is read and answered with
    /// "Connection: close".
    void drain();
    /// @return whether the listener and all connections are closed
    bool drained() const;
    /// Answers each request whose handler has not finished with status 504. The handlers go on, and their responses are
    /// dropped. Requests that become complete later are answered with status 503 and have no handler.
    void answerPending();
    HttpServerActivity activity() const;
    /// @return how many connections and requests were refused for @p reason since the start
    std::uint64_t refusals(RefusalReason reason) const;
    /// Closes all connections immediately, also those with a request in progress.
    void closeAll();

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

/// Parses "IP:port" or "[IPv6]:port".
/// @throws Error(BadInput) when the text has another form
boost::asio::ip::tcp::endpoint parseAddress(const std::string &text);

} // namespace heatherquay::transport
