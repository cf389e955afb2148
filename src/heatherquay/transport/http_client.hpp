#pragma once

#include "heatherquay/transport/connection_id.hpp"
#include "heatherquay/transport/http_message.hpp"
#include "heatherquay/transport/memory_budget.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace heatherquay::transport
{

/// Progress of an exchange, from which callers derive whether the peer may have executed the request.
enum class ExchangeProgress
{
    NothingSent, ///< No byte of the request was written to the connection.
    MaybeSent, ///< Part or all of the request may have reached the peer, but no complete response was received.
    Answered ///< A complete response was received.
};

struct ExchangeResult
{
    ExchangeProgress progress{ExchangeProgress::NothingSent};
    HttpResponse response; ///< Valid only if progress is Answered.
    std::string failure; ///< Description of the failure; empty if progress is Answered.
    bool timedOut{};
    bool refused{}; ///< Nothing listens at the peer's address.
    bool localRefusal{}; ///< Not sent for a local reason, which says nothing about the health of the peer.
    /// Over which the exchange went; empty if progress is NothingSent. Set by HttpClient only.
    std::optional<ConnectionId> connection;
    bool connectionKept{}; ///< The connection is open for another exchange. Set by HttpClient only.
};

struct HttpClientLimits
{
    std::uint32_t headerBytes{64 * 1024}; ///< Largest response header.
    std::uint64_t bodyBytes{16 * 1024 * 1024}; ///< Largest response body.
    std::chrono::milliseconds connectTimeout{1'000};
    std::chrono::milliseconds unacknowledgedTimeout{3'000}; ///< TCP_USER_TIMEOUT of the socket.
    /// Charged with responses while they arrive; null for no limit. A response that finds no room ends its exchange.
    std::shared_ptr<MemoryBudget> memory;
};

/// One HTTP/1.1 connection to a peer. Not thread-safe: use it from one strand, and run one exchange at a time.
class HttpConnection
{
public:
    HttpConnection(boost::asio::any_io_executor executor, HttpClientLimits limits = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Opens the connection and enables TCP keepalive and TCP_USER_TIMEOUT.
    /// @throws Error(Unavailable) when the peer cannot be reached within the connect timeout
    boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint peer);
    /// Sends one request and receives the complete response. Failures of the peer or the network are reported in the
    /// result, not thrown.
    /// @param timeout limit for sending and receiving together
    boost::asio::awaitable<ExchangeResult> exchange(const HttpRequest &request, std::chrono::milliseconds timeout);
    /// @return whether another exchange can use the connection: the last one was complete without surplus bytes, and
    /// the peer has kept the connection open
    bool reusable() const;
    /// @return whether connect() failed because nothing listens at the peer's address
    bool wasRefused() const;
    /// @return whether the kernel has sent bytes that the peer has not acknowledged yet
    bool hasUnacknowledgedBytes() const;
    /// Closes the connection immediately; an exchange in progress fails.
    void close();

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

/// Sends requests to one peer over a bounded pool of persistent connections. Thread-safe.
class HttpClient
{
public:
    /// @param connections maximum number of open connections; further requests wait until one is free
    HttpClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint peer, std::uint32_t connections,
               HttpClientLimits limits = {});
    ~HttpClient();

    /// Sends one request and receives the complete response. Failures of the peer or the network are reported in the
    /// result, not thrown.
    /// @param timeout limit for waiting for a connection, connecting and the exchange together; connecting can exceed
    /// it by at most HttpClientLimits::connectTimeout
    /// @param connection if given, the request is sent over this connection or, when it is closed or in use, not at all
    boost::asio::awaitable<ExchangeResult> send(HttpRequest request, std::chrono::milliseconds timeout,
                                                std::optional<ConnectionId> connection = std::nullopt);

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace heatherquay::transport
