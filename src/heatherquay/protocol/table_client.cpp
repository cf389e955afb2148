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
/// The bound stays below the member lease, so that one try fits into the rest of a lease after an outage.
constexpr std::chrono::milliseconds tableBackoffFirst{50};
constexpr std::chrono::milliseconds tableBackoffMost{1'000};
constexpr double callersShare = 0.6; // Of the writes; the rest covers plans, records and leases of a busy entry.

std::string describe(const ExchangeResult &result)
{
    if (result.progress != ExchangeProgress::Answered) {
        return result.failure;
    }
    return "status " + std::to_string(result.response.status);
}

bool refusedWithoutEffect(unsigned status)
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
        , callerWrites(settings.writesPerSecond * detail::callersShare)
        , reads(settings.readsPerSecond)
        , backoff(detail::tableBackoffFirst, detail::tableBackoffMost, std::random_device{}())
    {
    }

    /// Waits for the budget and the end of a backoff. @return false when the deadline passes first
    asio::awaitable<bool> admit(TokenBucket &bucket, double cost, bool urgent, Clock::time_point deadline);
    asio::awaitable<ExchangeResult> post(const std::string &target, std::string body, Clock::time_point deadline);
    void noteAnswer();
    void noteFailure();
    void applyRates();
    std::chrono::steady_clock::duration backoffLeft();

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
    Clock::time_point notBefore{};
    std::atomic<Clock::rep> lastAnswer{0};
};

void TableClient::Shared::applyRates()
{
    const double rate = static_cast<double>(writesPerSecond) / members;
    writes.setRate(rate);
    callerWrites.setRate(rate * detail::callersShare);
    reads.setRate(static_cast<double>(readsPerSecond) / members);
}

void TableClient::Shared::noteAnswer()
{
    lastAnswer.store(Clock::now().time_since_epoch().count(), std::memory_order_relaxed);
    const std::lock_guard lock(mutex);
    backoff.reset();
    notBefore = {};
}

void TableClient::Shared::noteFailure()
{
    const std::lock_guard lock(mutex);
    // Failures of calls that were under way together count once.
    if (Clock::now() >= notBefore) {
        notBefore = Clock::now() + backoff.next();
    }
}

std::chrono::steady_clock::duration TableClient::Shared::backoffLeft()
{
    const std::lock_guard lock(mutex);
    return notBefore - Clock::now();
}

asio::awaitable<bool> TableClient::Shared::admit(TokenBucket &bucket, double cost, bool urgent,
                                                 Clock::time_point deadline)
{
    for (auto left = backoffLeft(); left.count() > 0; left = backoffLeft()) {
        if (Clock::now() + left > deadline) {
            co_return false;
        }
        co_await waitFor(left);
    }
    if (urgent) {
        bucket.charge(cost);
        co_return true;
    }
    while (true) {
        const std::chrono::microseconds delay = bucket.take(cost);
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
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
    ExchangeResult result = co_await client.send(std::move(request), std::max(left, std::chrono::milliseconds(1)));
    // A server error is no proof that rows can be read or written, so it counts as a failure.
    if (result.progress == ExchangeProgress::Answered && result.response.status < 500) {
        noteAnswer();
    } else {
        noteFailure();
    }
    co_return result;
}

TableClient::TableClient(asio::any_io_executor executor, const state::TableSettings &settings)
    : m_shared(std::make_shared<Shared>(std::move(executor), settings))
{
}

TableClient::TableClient(std::shared_ptr<Shared> shared, Precedence precedence)
    : m_shared(std::move(shared))
    , m_precedence(precedence)
{
}

TableClient TableClient::urgent() const
{
    return {m_shared, Precedence::Urgent};
}

TableClient TableClient::forCallers() const
{
    return {m_shared, Precedence::Callers};
}

asio::awaitable<CommitResult> TableClient::transact(Transaction transaction)
{
    const auto shared = m_shared;
    const auto deadline = Clock::now() + shared->timeout;
    CommitResult result;
    for (const Put &put : transaction.puts) {
        if (put.value.size() > detail::valueBytesMax) {
            result.failure = "the value of row " + put.key + " is larger than 64 KB";
            co_return result;
        }
    }
    const double cost = static_cast<double>(transaction.puts.size() + transaction.deletes.size());
    bool admitted = true;
    if (m_precedence == Precedence::Callers) {
        admitted = co_await shared->admit(shared->callerWrites, cost, false, deadline);
    }
    if (!admitted || !co_await shared->admit(shared->writes, cost, m_precedence == Precedence::Urgent, deadline)) {
        result.failure = "no write within the budget or backoff before the deadline";
        co_return result;
    }
    const ExchangeResult exchange = co_await shared->post("/v1/transact", encodeTransaction(transaction), deadline);
    if (exchange.progress == ExchangeProgress::NothingSent) {
        result.failure = exchange.failure;
        co_return result;
    }
    result.status = CommitStatus::Unknown;
    result.failure = detail::describe(exchange);
    if (exchange.progress != ExchangeProgress::Answered) {
        co_return result;
    }
    try {
        if (exchange.response.status == 200) {
            result.version = parseCommitted(exchange.response.body);
            result.status = CommitStatus::Committed;
            result.failure.clear();
        } else if (exchange.response.status == 409) {
            // The status alone says that nothing was written; the body is only informative.
            result.status = CommitStatus::Conflict;
            result.conflicts = parseConflicts(exchange.response.body);
        } else if (detail::refusedWithoutEffect(exchange.response.status)) {
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
    if (!co_await shared->admit(shared->reads, cost, m_precedence == Precedence::Urgent, deadline)) {
        result.failure = "no read within the budget or backoff before the deadline";
        co_return result;
    }
    const ExchangeResult exchange = co_await shared->post("/v1/read", encodeRead(keys), deadline);
    if (exchange.progress != ExchangeProgress::Answered || exchange.response.status != 200) {
        result.failure = detail::describe(exchange);
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
    if (!co_await shared->admit(shared->reads, 1, m_precedence == Precedence::Urgent, deadline)) {
        result.failure = "no read within the budget or backoff before the deadline";
        co_return result;
    }
    const ExchangeResult exchange = co_await shared->post("/v1/scan", encodeScan(from, to, limit), deadline);
    if (exchange.progress != ExchangeProgress::Answered || exchange.response.status != 200) {
        result.failure = detail::describe(exchange);
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

std::chrono::milliseconds TableClient::contactAge() const
{
    const Clock::rep last = m_shared->lastAnswer.load(std::memory_order_relaxed);
    if (last == 0) {
        return std::chrono::milliseconds::max();
    }
    const auto age = Clock::now() - Clock::time_point(Clock::duration(last));
    return std::chrono::duration_cast<std::chrono::milliseconds>(age);
}

} // namespace heatherquay::protocol
