#pragma once

#include "heatherquay/transport/http_client.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace heatherquay::coordination
{

/// HTTP field with the identifier of a request, which entries and endpoints log. If an endpoint echoes it, a response
/// that belongs to another request is detected.
inline constexpr std::string_view requestIdField = "Heatherquay-Request-Id";

/// Timeouts of one exchange with an endpoint.
struct ExchangeTimes
{
    std::chrono::steady_clock::time_point deadline;
    std::chrono::milliseconds probeAfter{1'000}; ///< Time without a response after which the connection is checked.
    std::chrono::milliseconds probeTimeout{1'000};
    std::string probePath{"/healthz"};
};

/// Connection pool of this entry for one endpoint. Thread-safe and lock-free: idle connections are stored in atomic
/// pointers.
class EndpointPool : public std::enable_shared_from_this<EndpointPool>
{
public:
    /// @param connections maximum number of open connections, including those of probes
    EndpointPool(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint peer, std::uint32_t connections,
                 transport::HttpClientLimits limits);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /// Sends one request and receives the complete response. A stalled connection is closed; a slow one stays open.
    /// @param mayWrite called right before the first byte is written; if it returns false, the exchange ends with
    /// NothingSent
    boost::asio::awaitable<transport::ExchangeResult> exchange(const transport::HttpRequest &request,
                                                               ExchangeTimes times, std::function<bool()> mayWrite);

    /// Sends a health probe to the endpoint on a new connection.
    /// @return the response, or the failure of the probe
    boost::asio::awaitable<transport::ExchangeResult> probe(std::string path, std::chrono::milliseconds timeout);

    /// @return the number of open connections
    std::uint32_t openConnections() const;
    std::uint32_t connectionsMax() const;
    /// @return whether another exchange can reuse an idle connection or open a new one
    bool hasCapacity() const;
    /// Closes all idle connections.
    void closeIdle();

private:
    struct PooledConnection;
    class StallDetector;

    static bool isReusable(const PooledConnection &connection);
    bool reserveConnection(std::uint32_t limit);
    std::unique_ptr<PooledConnection> takeIdle();
    void returnToPool(std::unique_ptr<PooledConnection> connection);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_peer;
    transport::HttpClientLimits m_limits;
    std::uint32_t m_connectionsMax;
    std::atomic<std::uint32_t> m_open{0};
    std::vector<std::atomic<PooledConnection *>> m_idle;
};

} // namespace heatherquay::coordination
