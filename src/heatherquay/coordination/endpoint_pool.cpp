#include "heatherquay/coordination/endpoint_pool.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace asio = boost::asio;
using transport::ExchangeProgress;
using transport::ExchangeResult;
using transport::HttpRequest;

namespace detail
{

constexpr std::chrono::milliseconds idleTimeMax{4'000};

std::chrono::milliseconds remainingTime(std::chrono::steady_clock::time_point deadline)
{
    return std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
}

ExchangeResult nothingSentResult(std::string failure, bool localRefusal)
{
    ExchangeResult result;
    result.localRefusal = localRefusal;
    result.failure = std::move(failure);
    return result;
}

} // namespace detail

struct EndpointPool::PooledConnection
{
    PooledConnection(const asio::any_io_executor &executor, transport::HttpClientLimits limits,
                     std::atomic<std::uint32_t> &openConnections)
        : strand(asio::make_strand(executor))
        , connection(strand, limits)
        , openCount(openConnections)
    {
    }
    ~PooledConnection()
    {
        --openCount;
    }
    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;

    asio::any_io_executor strand;
    transport::HttpConnection connection;
    std::atomic<std::uint32_t> &openCount;
    std::chrono::steady_clock::time_point idleSince;
};

/// Closes the connection of an exchange if it stalls while the endpoint responds on a new connection. Runs on the
/// connection's strand.
class EndpointPool::StallDetector : public std::enable_shared_from_this<StallDetector>
{
public:
    StallDetector(std::shared_ptr<EndpointPool> pool, PooledConnection &pooled, ExchangeTimes times)
        : m_pool(std::move(pool))
        , m_pooled(pooled)
        , m_times(std::move(times))
        , m_timer(pooled.strand)
    {
    }

    void start()
    {
        m_timer.expires_after(m_times.probeAfter);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->m_stopped) {
                self->checkConnection();
            }
        });
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    /// Starts a probe if sent bytes are still unacknowledged. Once the endpoint has acknowledged all bytes, the request
    /// is merely slow, and TCP keepalive detects a connection that is lost later.
    void checkConnection()
    {
        if (!m_pooled.connection.hasUnacknowledgedBytes()) {
            start();
            return;
        }
        asio::co_spawn(m_pooled.strand, probe(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> probe(std::shared_ptr<StallDetector> self)
    {
        const auto result = co_await self->m_pool->probe(self->m_times.probePath, self->m_times.probeTimeout);
        if (self->m_stopped) {
            co_return;
        }
        const bool endpointResponds = result.progress == ExchangeProgress::Answered;
        if (endpointResponds && self->m_pooled.connection.hasUnacknowledgedBytes()) {
            self->m_pooled.connection.close();
            co_return;
        }
        self->start();
    }

    std::shared_ptr<EndpointPool> m_pool;
    PooledConnection &m_pooled;
    ExchangeTimes m_times;
    asio::steady_timer m_timer;
    bool m_stopped{};
};

EndpointPool::EndpointPool(asio::any_io_executor executor, asio::ip::tcp::endpoint peer, std::uint32_t connections,
                           transport::HttpClientLimits limits)
    : m_executor(std::move(executor))
    , m_peer(std::move(peer))
    , m_limits(limits)
    , m_connectionsMax(connections)
    , m_idle(connections)
{
}

EndpointPool::~EndpointPool()
{
    closeIdle();
}

std::uint32_t EndpointPool::openConnections() const
{
    return m_open.load();
}

std::uint32_t EndpointPool::connectionsMax() const
{
    return m_connectionsMax;
}

bool EndpointPool::hasCapacity() const
{
    return m_open.load() < m_connectionsMax || std::any_of(m_idle.begin(), m_idle.end(), [](const auto &cell) {
               return cell.load(std::memory_order_relaxed) != nullptr;
           });
}

void EndpointPool::closeIdle()
{
    while (takeIdle()) { }
}

/// Rejects connections that were idle for too long: the endpoint may be closing such a connection at this moment, and
/// a request that is lost in this race may have run.
bool EndpointPool::isReusable(const PooledConnection &connection)
{
    const auto idle = std::chrono::steady_clock::now() - connection.idleSince;
    return idle < detail::idleTimeMax && connection.connection.reusable();
}

bool EndpointPool::reserveConnection(std::uint32_t limit)
{
    std::uint32_t count = m_open.load();
    while (count < limit) {
        if (m_open.compare_exchange_weak(count, count + 1)) {
            return true;
        }
    }
    return false;
}

std::unique_ptr<EndpointPool::PooledConnection> EndpointPool::takeIdle()
{
    for (auto &cell : m_idle) {
        if (cell.load(std::memory_order_relaxed) == nullptr) {
            continue;
        }
        if (PooledConnection *found = cell.exchange(nullptr)) {
            return std::unique_ptr<PooledConnection>(found);
        }
    }
    return nullptr;
}

void EndpointPool::returnToPool(std::unique_ptr<PooledConnection> connection)
{
    connection->idleSince = std::chrono::steady_clock::now();
    for (auto &cell : m_idle) {
        PooledConnection *empty = nullptr;
        if (cell.compare_exchange_strong(empty, connection.get())) {
            static_cast<void>(connection.release());
            return;
        }
    }
}

asio::awaitable<ExchangeResult> EndpointPool::exchange(const HttpRequest &request, ExchangeTimes times,
                                                       std::function<bool()> mayWrite)
{
    const auto self = shared_from_this();
    std::unique_ptr<PooledConnection> pooled = takeIdle();
    while (pooled && !isReusable(*pooled)) {
        pooled = nullptr;
        pooled = takeIdle();
    }
    if (!pooled) {
        if (!reserveConnection(m_connectionsMax)) {
            co_return detail::nothingSentResult("all connections to the endpoint are in use", true);
        }
        pooled = std::make_unique<PooledConnection>(m_executor, m_limits, m_open);
    }
    const auto strand = pooled->strand;
    auto run = [&]() -> asio::awaitable<ExchangeResult> {
        try {
            if (!pooled->connection.reusable()) {
                co_await pooled->connection.connect(m_peer);
            }
        } catch (const Error &error) {
            co_return detail::nothingSentResult(error.what(), false);
        }
        const auto remaining = detail::remainingTime(times.deadline);
        if (remaining.count() <= 0 || !mayWrite()) {
            co_return detail::nothingSentResult("the deadline passed, or the entry has no authority to send requests",
                                                true);
        }
        const auto stallDetector = std::make_shared<StallDetector>(self, *pooled, times);
        stallDetector->start();
        ExchangeResult result = co_await pooled->connection.exchange(request, remaining);
        stallDetector->stop();
        co_return result;
    };
    ExchangeResult result = co_await asio::co_spawn(strand, run(), asio::use_awaitable);
    const std::string_view sentId = request.fields.get(requestIdField);
    const std::string_view responseId = result.response.fields.get(requestIdField);
    if (result.progress == ExchangeProgress::Answered && !responseId.empty() && responseId != sentId) {
        result.progress = ExchangeProgress::MaybeSent;
        result.failure = "the response belongs to another request";
        co_return result;
    }
    if (result.progress == ExchangeProgress::Answered && pooled->connection.reusable()) {
        returnToPool(std::move(pooled));
    }
    if (result.progress == ExchangeProgress::MaybeSent) {
        // The fault that broke this connection may also affect the idle connections to the endpoint.
        closeIdle();
    }
    co_return result;
}

asio::awaitable<ExchangeResult> EndpointPool::probe(std::string path, std::chrono::milliseconds timeout)
{
    const auto self = shared_from_this();
    if (!reserveConnection(m_connectionsMax)) {
        co_return detail::nothingSentResult("all connections to the endpoint are in use", true);
    }
    const auto pooled = std::make_unique<PooledConnection>(m_executor, m_limits, m_open);
    // A named variable, because g++ 12 destroys a braced temporary inside a co_await expression twice.
    const HttpRequest request{.method = "GET", .target = std::move(path)};
    auto run = [&]() -> asio::awaitable<ExchangeResult> {
        try {
            co_await pooled->connection.connect(m_peer);
        } catch (const Error &error) {
            co_return detail::nothingSentResult(error.what(), false);
        }
        co_return co_await pooled->connection.exchange(request, timeout);
    };
    co_return co_await asio::co_spawn(pooled->strand, run(), asio::use_awaitable);
}

} // namespace heatherquay::coordination
