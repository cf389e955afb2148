#pragma once

#include "heatherquay/coordination/caller_api.hpp"
#include "heatherquay/coordination/idempotency_row.hpp"
#include "heatherquay/protocol/table.hpp"

#include <atomic>
#include <chrono>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

/// Requirements on the object store for large responses. put() returns whether the object is certainly stored, get()
/// returns nothing if the object cannot be read. Neither throws if the store is unavailable.
template<typename T>
concept ObjectStore = requires(T store, std::string key, std::string bytes)
{
    {
        store.put(key, bytes)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        store.get(key)
        } -> std::same_as<boost::asio::awaitable<std::optional<std::string>>>;
};

struct IdempotencyOptions
{
    state::EntryId self; ///< Recorded in claims as their holder, together with the incarnation.
    std::uint64_t incarnation{};
    std::chrono::milliseconds retention{std::chrono::hours{24}}; ///< Age at which rows may be deleted.
    std::chrono::milliseconds backoffInitial{50}; ///< Delay before the first retry, which doubles up to backoffMax.
    std::chrono::milliseconds backoffMax{5'000};
    std::uint32_t claimAttemptsMax{4}; ///< For writing the claim of one request.
    std::uint32_t backgroundAttemptsMax{40}; ///< About 3 minutes with the default backoff.
    std::uint32_t pendingWritesMax{256}; ///< Bounds memory, as each pending write may hold a response.
};

/// Runs a request with an idempotency key at most once across all entries and stores its response for duplicates. An
/// entry runs the request only after it has written a claim for the key to the table.
/// @tparam TableType client of the table service
/// @tparam StoreType store for responses that are too large for a row
template<protocol::Table TableType, ObjectStore StoreType>
class Idempotency : public std::enable_shared_from_this<Idempotency<TableType, StoreType>>
{
public:
    /// @param isMember whether a process is currently a member. A claim whose holder is not a member counts as ended
    /// with an unknown outcome.
    Idempotency(boost::asio::any_io_executor executor, std::shared_ptr<TableType> table,
                std::shared_ptr<StoreType> store, IdempotencyOptions options,
                std::function<bool(const state::EntryId &, std::uint64_t incarnation)> isMember);

    /// Claims the key, runs the request by calling @p forward and stores the response. If the key is claimed already,
    /// waits for the earlier request and returns its stored response or a problem.
    boost::asio::awaitable<ForwardResult> run(KeyedRequest request, ForwardOperation forward);
    /// Deletes rows older than the retention. Each call continues where the previous one ended.
    /// @param limit maximum number of rows to check
    /// @return whether rows remain to be checked in this pass
    boost::asio::awaitable<bool> sweep(std::uint32_t limit);
    /// @return number of rows that are waiting to be written in the background
    std::uint32_t pendingWrites() const;

private:
    struct Claim
    {
        std::string key;
        IdempotencyRow row;
        std::uint64_t version{}; ///< Version of the row; 0 unless the claim is known to be in the table.
        bool maybeWritten{}; ///< The outcome of a write is unknown, and the write may still take effect.
    };
    struct ClaimResult
    {
        bool claimed{};
        std::optional<protocol::Row> existing; ///< Claim of another request with the same key.
    };

    boost::asio::awaitable<void> waitBeforeRetry(std::uint32_t attempt);
    boost::asio::awaitable<protocol::ReadResult> readRow(std::string key);
    boost::asio::awaitable<ClaimResult> claim(Claim &claim, std::chrono::steady_clock::time_point deadline);
    boost::asio::awaitable<ForwardResult> respondToDuplicate(protocol::Row found, const KeyedRequest &request);
    boost::asio::awaitable<ForwardResult> readStoredResponse(IdempotencyRow row);
    boost::asio::awaitable<bool> storeOutcome(Claim &claim);
    boost::asio::awaitable<bool> writeRow(const Claim &claim);
    boost::asio::awaitable<bool> release(Claim &claim);
    boost::asio::awaitable<void> retryInBackground(std::function<boost::asio::awaitable<bool>()> operation,
                                                   std::string key);
    void startBackgroundRetry(std::function<boost::asio::awaitable<bool>()> operation, std::string key);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<TableType> m_table;
    std::shared_ptr<StoreType> m_store;
    IdempotencyOptions m_options;
    std::function<bool(const state::EntryId &, std::uint64_t)> m_isMember;
    std::atomic<std::uint32_t> m_pendingWrites{0};
    std::string m_sweepFrom; ///< Row key at which the next sweep() starts.
};

} // namespace heatherquay::coordination
