#include "heatherquay/protocol/table_client.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/backoff.hpp"
#include "heatherquay/protocol/table_messages.hpp"
#include "heatherquay/protocol/token_bucket.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>

namespace heatherquay::protocol
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using transport::ExchangeProgress;
using transport::ExchangeResult;

namespace detail
{

constexpr std::uint32_t tableConnections = 16;
constexpr std::size_t valueBytesMax = 64 * 1024;
/// The backoff stays below the membership lease, so that after an outage one attempt fits into the rest of a lease.
constexpr std::chrono::milliseconds tableBackoffInitial{50};
constexpr std::chrono::milliseconds tableBackoffMax{1'000};
/// Share of the write budget; the rest covers plans, records and leases of a busy entry.
constexpr double callerWriteShare = 0.6;

std::string describeFailure(const ExchangeResult &result)
{
    if (result.progress != ExchangeProgress::Answered) {
        return result.failure;
    }
    return "status " + std::to_string(result.response.status);
}

bool isClientError(unsigned status)
{
    return status >= 400 && status < 500;
}

} // namespace detail

struct TableClient::Shared
{
    Shared(asio::any_io_executor executor, const state::TableSettings &settings)
        : client(executor, transport::parseAddress(settings.address), detail::tableConnections)
        , timeout(settings.timeout)
        , writesPerSecond(settings.writesPerSecond)
        , readsPerSecond(settings.readsPerSecond)
        , writes(settings.writesPerSecond)
        , callerWrites(settings.writesPerSecond * detail::callerWriteShare)
        , reads(settings.readsPerSecond)
        , backoff(detail::tableBackoffInitial, detail::tableBackoffMax, std::random_device{}())
    {
    }

    /// Waits for the end of a backoff and then for tokens. An urgent operation does not wait for tokens.
    /// @return false if the deadline would pass first
    asio::awaitable<bool> waitForBudget(TokenBucket &bucket, double cost, bool urgent, Clock::time_point deadline);
    asio::awaitable<ExchangeResult> post(const std::string &target, std::string body, Clock::time_point deadline);
    void recordResponse();
    void recordFailure();
    void applyRates();
    std::chrono::steady_clock::duration remainingBackoff();

    transport::HttpClient client;
    std::chrono::milliseconds timeout;
    std::mutex mutex;
    std::uint32_t writesPerSecond;
    std::uint32_t readsPerSecond;
    std::uint32_t members{1};
    TokenBucket writes;
    TokenBucket callerWrites;
    TokenBucket reads;
    Backoff backoff;
    Clock::time_point retryAt{};
    std::atomic<Clock::rep> lastResponse{0};
};

void TableClient::Shared::applyRates()
{
    const double rate = static_cast<double>(writesPerSecond) / members;
    writes.setRate(rate);
    callerWrites.setRate(rate * detail::callerWriteShare);
    reads.setRate(static_cast<double>(readsPerSecond) / members);
}

void TableClient::Shared::recordResponse()
{
    lastResponse.store(Clock::now().time_since_epoch().count(), std::memory_order_relaxed);
    const std::lock_guard lock(mutex);
    backoff.reset();
    retryAt = {};
}

void TableClient::Shared::recordFailure()
{
    const std::lock_guard lock(mutex);
    // Concurrent calls that fail together count as one failure.
    if (Clock::now() >= retryAt) {
        retryAt = Clock::now() + backoff.next();
    }
}

std::chrono::steady_clock::duration TableClient::Shared::remainingBackoff()
{
    const std::lock_guard lock(mutex);
    return retryAt - Clock::now();
}

asio::awaitable<bool> TableClient::Shared::waitForBudget(TokenBucket &bucket, double cost, bool urgent,
                                                         Clock::time_point deadline)
{
    for (auto remaining = remainingBackoff(); remaining.count() > 0; remaining = remainingBackoff()) {
        if (Clock::now() + remaining > deadline) {
            co_return false;
        }
        co_await waitFor(remaining);
    }
    if (urgent) {
        bucket.charge(cost);
        co_return true;
    }
    while (true) {
        const std::chrono::microseconds delay = bucket.tryTake(cost);
        if (delay.count() == 0) {
            co_return true;
        }
        if (Clock::now() + delay > deadline) {
            co_return false;
        }
        co_await waitFor(delay);
    }
}

asio::awaitable<ExchangeResult> TableClient::Shared::post(const std::string &target, std::string body,
                                                          Clock::time_point deadline)
{
    transport::HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(body);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
    ExchangeResult result = co_await client.send(std::move(request), std::max(remaining, std::chrono::milliseconds(1)));
    // A server error counts as a failure, because it does not show that rows can be read or written.
    if (result.progress == ExchangeProgress::Answered && result.response.status < 500) {
        recordResponse();
    } else {
        recordFailure();
    }
    co_return result;
}

TableClient::TableClient(asio::any_io_executor executor, const state::TableSettings &settings)
    : m_shared(std::make_shared<Shared>(std::move(executor), settings))
{
}

TableClient::TableClient(std::shared_ptr<Shared> shared, Priority priority)
    : m_shared(std::move(shared))
    , m_priority(priority)
{
}

TableClient TableClient::urgent() const
{
    return {m_shared, Priority::Urgent};
}

TableClient TableClient::forCallers() const
{
    return {m_shared, Priority::Callers};
}

asio::awaitable<CommitResult> TableClient::transact(Transaction transaction)
{
    const auto shared = m_shared;
    const auto deadline = Clock::now() + shared->timeout;
    CommitResult result;
    for (const Put &put : transaction.puts) {
        if (put.value.size() > detail::valueBytesMax) {
            result.failure = "the value of row " + put.key + " exceeds 64 KiB";
            co_return result;
        }
    }
    const double cost = static_cast<double>(transaction.puts.size() + transaction.deletes.size());
    bool admitted = true;
    if (m_priority == Priority::Callers) {
        admitted = co_await shared->waitForBudget(shared->callerWrites, cost, false, deadline);
    }
    if (!admitted || !co_await shared->waitForBudget(shared->writes, cost, m_priority == Priority::Urgent, deadline)) {
        result.failure = "the write budget or a backoff does not allow the transaction before its deadline";
        co_return result;
    }
    const ExchangeResult exchange = co_await shared->post("/v1/transact", encodeTransaction(transaction), deadline);
    if (exchange.progress == ExchangeProgress::NothingSent) {
        result.failure = exchange.failure;
        co_return result;
    }
    result.status = CommitStatus::Unknown;
    result.failure = detail::describeFailure(exchange);
    if (exchange.progress != ExchangeProgress::Answered) {
        co_return result;
    }
    try {
        if (exchange.response.status == 200) {
            result.version = parseCommitVersion(exchange.response.body);
            result.status = CommitStatus::Committed;
            result.failure.clear();
        } else if (exchange.response.status == 409) {
            // The status alone means that nothing was written; the body only names the conflicts.
            result.status = CommitStatus::Conflict;
            result.conflicts = parseConflicts(exchange.response.body);
        } else if (detail::isClientError(exchange.response.status)) {
            result.status = CommitStatus::NotCommitted;
        }
    } catch (const Error &error) {
        result.failure = error.what();
    }
    co_return result;
}

asio::awaitable<ReadResult> TableClient::read(std::vector<std::string> keys)
{
    const auto shared = m_shared;
    const auto deadline = Clock::now() + shared->timeout;
    ReadResult result;
    const double cost = std::max<double>(1, static_cast<double>(keys.size()));
    if (!co_await shared->waitForBudget(shared->reads, cost, m_priority == Priority::Urgent, deadline)) {
        result.failure = "the read budget or a backoff does not allow the read before its deadline";
        co_return result;
    }
    const ExchangeResult exchange = co_await shared->post("/v1/read", encodeRead(keys), deadline);
    if (exchange.progress != ExchangeProgress::Answered || exchange.response.status != 200) {
        result.failure = detail::describeFailure(exchange);
        co_return result;
    }
    try {
        result.rows = parseRows(exchange.response.body);
        result.ok = true;
    } catch (const Error &error) {
        result.failure = error.what();
    }
    co_return result;
}

asio::awaitable<ReadResult> TableClient::scan(std::string from, std::string to, std::uint32_t limit)
{
    const auto shared = m_shared;
    const auto deadline = Clock::now() + shared->timeout;
    ReadResult result;
    if (!co_await shared->waitForBudget(shared->reads, 1, m_priority == Priority::Urgent, deadline)) {
        result.failure = "the read budget or a backoff does not allow the read before its deadline";
        co_return result;
    }
    const ExchangeResult exchange = co_await shared->post("/v1/scan", encodeScan(from, to, limit), deadline);
    if (exchange.progress != ExchangeProgress::Answered || exchange.response.status != 200) {
        result.failure = detail::describeFailure(exchange);
        co_return result;
    }
    try {
        result.rows = parseRows(exchange.response.body);
        result.ok = true;
        if (result.rows.size() > 1) {
            shared->reads.charge(static_cast<double>(result.rows.size() - 1));
        }
    } catch (const Error &error) {
        result.failure = error.what();
    }
    co_return result;
}

void TableClient::setMembers(std::uint32_t members)
{
    const std::lock_guard lock(m_shared->mutex);
    m_shared->members = std::max<std::uint32_t>(1, members);
    m_shared->applyRates();
}

void TableClient::setBudget(std::uint32_t writesPerSecond, std::uint32_t readsPerSecond)
{
    const std::lock_guard lock(m_shared->mutex);
    m_shared->writesPerSecond = writesPerSecond;
    m_shared->readsPerSecond = readsPerSecond;
    m_shared->applyRates();
}

std::chrono::milliseconds TableClient::timeSinceLastResponse() const
{
    const Clock::rep last = m_shared->lastResponse.load(std::memory_order_relaxed);
    if (last == 0) {
        return std::chrono::milliseconds::max();
    }
    const auto age = Clock::now() - Clock::time_point(Clock::duration(last));
    return std::chrono::duration_cast<std::chrono::milliseconds>(age);
}

} // namespace heatherquay::protocol
