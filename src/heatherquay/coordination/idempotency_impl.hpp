#pragma once

#include "heatherquay/coordination/idempotency.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/random.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace detail
{

inline constexpr std::size_t claimIdBytes = 12;
/// Keeps rows well below the table's limit of 64 KB for a value.
inline constexpr std::size_t rowBytesMax = 48 * 1024;
inline constexpr std::string_view idempotencyPrefix = "idem/";
inline constexpr std::string_view idempotencyEnd = "idem0";

inline ForwardResult keyProblem(unsigned status, protocol::Outcome outcome, std::string type, std::string title,
                                std::string text)
{
    ForwardResult result;
    result.outcome = outcome;
    result.problem.status = status;
    result.problem.outcome = outcome;
    result.problem.type = std::move(type);
    result.problem.title = std::move(title);
    result.problem.detail = std::move(text);
    return result;
}

inline ForwardResult unknownResult(std::string text)
{
    return keyProblem(409, protocol::Outcome::Unknown, "outcome-unknown", "The outcome is unknown",
                      std::move(text) + "; the request will not run again, so check its effect or use a new key");
}

inline ForwardResult tableUnavailable()
{
    ForwardResult result
        = keyProblem(503, protocol::Outcome::NotRun, "table-unavailable", "The table service is not available",
                     "the key could not be claimed, so the request did not run; send it again later");
    result.problem.retryAfter = std::chrono::seconds(2);
    return result;
}

inline std::chrono::sys_time<std::chrono::milliseconds> wallClockNow()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace detail

template<protocol::Table TableType, ObjectStore StoreType>
Idempotency<TableType, StoreType>::Idempotency(
    boost::asio::any_io_executor executor, std::shared_ptr<TableType> table, std::shared_ptr<StoreType> store,
    IdempotencyOptions options, std::function<bool(const state::EntryId &, std::uint64_t incarnation)> isMember)
    : m_executor(std::move(executor))
    , m_table(std::move(table))
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_isMember(std::move(isMember))
    , m_sweepFrom(detail::idempotencyPrefix)
{
}

template<protocol::Table TableType, ObjectStore StoreType>
std::uint32_t Idempotency<TableType, StoreType>::pendingWrites() const
{
    return m_pendingWrites.load();
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<void> Idempotency<TableType, StoreType>::waitBeforeRetry(std::uint32_t attempt)
{
    const auto delayMax = std::min(m_options.backoffMax, m_options.backoffInitial * (1U << std::min(attempt, 10U)));
    const auto jitter = transport::randomNumber() % static_cast<std::uint64_t>(delayMax.count() / 2 + 1);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    delayMax / 2 + std::chrono::milliseconds(jitter));
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<protocol::ReadResult> Idempotency<TableType, StoreType>::readRow(std::string key)
{
    std::vector<std::string> keys;
    keys.push_back(std::move(key));
    co_return co_await m_table->read(std::move(keys));
}

/// Writes the claim on the condition that the row is absent or released. If the outcome of the write is unknown, reads
/// the row back: its claim id tells whether the write took effect. A delayed write may also take effect after the read,
/// so an absent row only means that the write must be retried.
template<protocol::Table TableType, ObjectStore StoreType>
auto Idempotency<TableType, StoreType>::claim(Claim &claim, std::chrono::steady_clock::time_point deadline)
    -> boost::asio::awaitable<ClaimResult>
{
    ClaimResult result;
    protocol::Transaction transaction;
    transaction.conditions.push_back({claim.key, 0});
    transaction.puts.push_back({claim.key, encodeRow(claim.row)});
    for (std::uint32_t attempt = 0; attempt < m_options.claimAttemptsMax; ++attempt) {
        if (attempt > 0) {
            co_await waitBeforeRetry(attempt - 1);
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        const protocol::CommitResult written = co_await m_table->transact(transaction);
        if (written.status == protocol::CommitStatus::Committed) {
            claim.version = written.version;
            result.claimed = true;
            co_return result;
        }
        claim.maybeWritten = claim.maybeWritten || written.status == protocol::CommitStatus::Unknown;
        if (written.status == protocol::CommitStatus::NotCommitted) {
            continue;
        }
        const protocol::ReadResult read = co_await readRow(claim.key);
        if (!read.ok || read.rows.empty()) {
            continue;
        }
        const IdempotencyRow found = decodeRow(read.rows.front().value);
        if (found.state == ClaimState::Released) {
            transaction.conditions.front().version = read.rows.front().version;
            continue;
        }
        if (found.claimId == claim.row.claimId) {
            claim.version = read.rows.front().version;
            result.claimed = true;
        } else {
            result.existing = read.rows.front();
        }
        co_return result;
    }
    co_return result;
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<ForwardResult> Idempotency<TableType, StoreType>::run(KeyedRequest request,
                                                                             ForwardOperation forward)
{
    const auto self = this->shared_from_this();
    auto claimed = std::make_shared<Claim>();
    claimed->key = idempotencyRowKey(request.team, request.key);
    claimed->row.claimId = transport::randomHex(detail::claimIdBytes);
    claimed->row.fingerprint = request.fingerprint;
    claimed->row.entry = m_options.self;
    claimed->row.incarnation = m_options.incarnation;
    claimed->row.createdAt = detail::wallClockNow();
    const ClaimResult claimResult = co_await claim(*claimed, request.deadline);
    const auto releaseClaim = [self, claimed]() {
        return self->release(*claimed);
    };
    if (claimResult.existing) {
        co_return co_await respondToDuplicate(*claimResult.existing, request);
    }
    if (!claimResult.claimed) {
        if (claimed->maybeWritten) {
            startBackgroundRetry(releaseClaim, claimed->key);
        }
        co_return detail::tableUnavailable();
    }
    ForwardResult result;
    try {
        result = co_await forward();
    } catch (const std::exception &error) {
        result = detail::unknownResult(std::string("the request failed: ") + error.what());
    }
    if (result.outcome == protocol::Outcome::NotRun) {
        if (!co_await release(*claimed)) {
            startBackgroundRetry(releaseClaim, claimed->key);
        }
        co_return result;
    }
    claimed->row.state = result.answer ? ClaimState::Completed : ClaimState::Unknown;
    if (result.answer) {
        claimed->row.storedResponse = *result.answer;
    }
    if (!co_await storeOutcome(*claimed)) {
        startBackgroundRetry(
            [self, claimed]() {
                return self->storeOutcome(*claimed);
            },
            claimed->key);
    }
    co_return result;
}

/// Returns the result of the first request with the same key. Waits while that request may still be running. Rejects a
/// different request that uses the same key.
template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<ForwardResult> Idempotency<TableType, StoreType>::respondToDuplicate(protocol::Row found,
                                                                                            const KeyedRequest &request)
{
    for (std::uint32_t attempt = 0;; ++attempt) {
        IdempotencyRow row = decodeRow(found.value);
        if (row.fingerprint != request.fingerprint) {
            co_return detail::keyProblem(422, protocol::Outcome::NotRun, "key-reused",
                                         "The key belongs to another request",
                                         "the key was used with another service, method, path or body; use a new key");
        }
        if (row.state == ClaimState::Completed) {
            co_return co_await readStoredResponse(std::move(row));
        }
        if (row.state == ClaimState::Unknown || !m_isMember(row.entry, row.incarnation)) {
            co_return detail::unknownResult("the first request with this key ended without a response");
        }
        if (std::chrono::steady_clock::now() + m_options.backoffInitial >= request.deadline) {
            co_return detail::unknownResult("the first request with this key is still in progress");
        }
        co_await waitBeforeRetry(std::min(attempt, 4U));
        const protocol::ReadResult read = co_await readRow(found.key);
        if (read.ok && read.rows.empty()) {
            ForwardResult firstNotRun
                = detail::keyProblem(503, protocol::Outcome::NotRun, "first-not-run", "The first request was not run",
                                     "the first request with this key did not run; send it again");
            firstNotRun.problem.retryAfter = std::chrono::seconds(1);
            co_return firstNotRun;
        }
        if (read.ok) {
            found = read.rows.front();
        }
    }
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<ForwardResult> Idempotency<TableType, StoreType>::readStoredResponse(IdempotencyRow row)
{
    ForwardResult result;
    result.outcome = protocol::Outcome::Ran;
    result.answer = std::move(row.storedResponse);
    if (!row.objectKey.empty()) {
        const auto bytes = co_await m_store->get(row.objectKey);
        if (!bytes) {
            co_return detail::unknownResult(
                "the request ran, but its stored response cannot be read now; send it again to get it");
        }
        result.answer = decodeResponse(*bytes);
    }
    co_return result;
}

/// Writes the response or the unknown outcome into the claimed row.
/// @return whether no retry is needed
template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<bool> Idempotency<TableType, StoreType>::storeOutcome(Claim &claim)
{
    const bool large = claim.row.objectKey.empty() && claim.row.state == ClaimState::Completed
        && encodeRow(claim.row).size() > detail::rowBytesMax;
    if (large) {
        const std::string object
            = "idem-" + claim.key.substr(detail::idempotencyPrefix.size()) + "-" + claim.row.claimId;
        if (!co_await m_store->put(object, encodeResponse(claim.row.storedResponse))) {
            co_return false;
        }
        claim.row.objectKey = object;
    }
    co_return co_await writeRow(claim);
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<bool> Idempotency<TableType, StoreType>::writeRow(const Claim &claim)
{
    protocol::Transaction transaction;
    transaction.conditions.push_back({claim.key, claim.version});
    transaction.puts.push_back({claim.key, encodeRow(claim.row)});
    const protocol::CommitResult written = co_await m_table->transact(transaction);
    if (written.status == protocol::CommitStatus::Committed) {
        co_return true;
    }
    // Only the holder changes a claim, so a conflict means that an earlier attempt with an unknown outcome took effect.
    co_return written.status == protocol::CommitStatus::Conflict;
}

/// Releases the key of a request that certainly did not run. If the outcome of a write of the claim is unknown, the row
/// is marked as released instead of deleted, because the write could still take effect while the row is absent.
/// @return whether no retry is needed
template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<bool> Idempotency<TableType, StoreType>::release(Claim &claim)
{
    if (claim.version == 0) {
        const protocol::ReadResult read = co_await readRow(claim.key);
        if (!read.ok) {
            co_return false;
        }
        if (!read.rows.empty() && decodeRow(read.rows.front().value).claimId != claim.row.claimId) {
            co_return true;
        }
        claim.version = read.rows.empty() ? 0 : read.rows.front().version;
    }
    protocol::Transaction transaction;
    transaction.conditions.push_back({claim.key, claim.version});
    if (claim.maybeWritten) {
        claim.row.state = ClaimState::Released;
        transaction.puts.push_back({claim.key, encodeRow(claim.row)});
    } else {
        transaction.deletes.push_back(claim.key);
    }
    const protocol::CommitResult written = co_await m_table->transact(transaction);
    if (written.status == protocol::CommitStatus::Conflict && claim.version == 0) {
        // A delayed write of the claim took effect after the read.
        co_return false;
    }
    co_return written.status == protocol::CommitStatus::Committed || written.status == protocol::CommitStatus::Conflict;
}

template<protocol::Table TableType, ObjectStore StoreType>
void Idempotency<TableType, StoreType>::startBackgroundRetry(std::function<boost::asio::awaitable<bool>()> operation,
                                                             std::string key)
{
    if (m_pendingWrites.fetch_add(1) >= m_options.pendingWritesMax) {
        --m_pendingWrites;
        transport::log(transport::LogLevel::Warn, "kept-answer-dropped",
                       {{"row", key}, {"reason", "too many writes are waiting for the table"}});
        return;
    }
    boost::asio::co_spawn(m_executor, retryInBackground(std::move(operation), std::move(key)), boost::asio::detached);
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<void>
Idempotency<TableType, StoreType>::retryInBackground(std::function<boost::asio::awaitable<bool>()> operation,
                                                     std::string key)
{
    const auto self = this->shared_from_this();
    bool done = false;
    for (std::uint32_t attempt = 0; attempt < m_options.backgroundAttemptsMax && !done; ++attempt) {
        co_await waitBeforeRetry(attempt);
        try {
            done = co_await operation();
        } catch (const std::exception &error) {
            transport::log(transport::LogLevel::Error, "kept-answer-failed", {{"row", key}, {"error", error.what()}});
        }
    }
    --m_pendingWrites;
    if (!done) {
        transport::log(transport::LogLevel::Warn, "kept-answer-dropped",
                       {{"row", key}, {"reason", "all retries failed"}});
    }
}

template<protocol::Table TableType, ObjectStore StoreType>
boost::asio::awaitable<bool> Idempotency<TableType, StoreType>::sweep(std::uint32_t limit)
{
    const auto self = this->shared_from_this();
    const protocol::ReadResult read = co_await m_table->scan(m_sweepFrom, std::string(detail::idempotencyEnd), limit);
    if (!read.ok) {
        co_return false;
    }
    const auto oldest = detail::wallClockNow() - m_options.retention;
    for (const protocol::Row &row : read.rows) {
        bool expired = false;
        try {
            expired = decodeRow(row.value).createdAt < oldest;
        } catch (const Error &error) {
            transport::log(transport::LogLevel::Error, "kept-answer-malformed", {{"row", row.key}});
        }
        if (expired) {
            protocol::Transaction transaction;
            transaction.conditions.push_back({row.key, row.version});
            transaction.deletes.push_back(row.key);
            co_await m_table->transact(transaction);
        }
    }
    const bool more = read.rows.size() >= limit && limit > 0;
    m_sweepFrom = more ? read.rows.back().key + '\0' : std::string(detail::idempotencyPrefix);
    co_return more;
}

} // namespace heatherquay::coordination
