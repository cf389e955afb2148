#pragma once

#include "heatherquay/protocol/table.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol::batch
{

/// Key of a row. The store serializes transactions on one part; parts are independent.
struct RowKey
{
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const RowKey &, const RowKey &) = default; // NOLINT(modernize-use-nullptr)
};

/// A row as read from the store or the change feed.
struct StoredRow
{
    RowKey key;
    std::string value;
    std::uint64_t version{};
    bool removed{}; ///< Set only in the change feed.
};

/// Satisfied when the row has exactly this version; version 0 requires that the row does not exist.
struct RowCondition
{
    RowKey key;
    std::uint64_t version{};
};

/// A row to write.
struct RowPut
{
    RowKey key;
    std::string value;
};

/// Atomic transaction. All rows belong to one part.
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowKey> removals;
};

/// Range of rows of one part, in ascending key order.
struct RowRange
{
    std::string table;
    std::string part;
    std::string from; ///< First key of the range; empty starts at the first row.
    std::uint32_t limit{500};
};

/// Result of a transaction.
struct RowCommit
{
    CommitStatus status{CommitStatus::NotCommitted};
    std::uint64_t version{}; ///< Version of all written rows, when committed.
    std::vector<StoredRow> current; ///< On a conflict: the existing rows among those named in the conditions.
    std::string failure;
};

/// One page of rows.
struct RowRead
{
    bool ok{};
    std::vector<StoredRow> rows; ///< In ascending key order.
    bool more{}; ///< The range has more rows after the last one.
    std::uint64_t version{}; ///< Newest version in the store at the time of the read.
    std::string failure;
};

/// Result of reading the change feed.
enum class FeedStatus
{
    Ok,
    HistoryCompacted, ///< The store has discarded changes since the given version; reload the table.
    Failed
};

/// Changes of a table since a version.
struct RowFeed
{
    FeedStatus status{FeedStatus::Failed};
    std::vector<StoredRow> rows;
    std::uint64_t version{}; ///< Version from which to continue.
    std::string failure;
};

/// Requirements of the coordination layer on a transactional store with a change feed. Operations report outages in
/// their result and do not throw.
template<typename S>
concept RowStore = requires(S store, const RowTransaction &transaction, const RowRange &range, std::uint64_t version,
                            std::chrono::milliseconds time)
{
    {
        store.transact(transaction, time)
        } -> std::same_as<boost::asio::awaitable<RowCommit>>;
    {
        store.read(range, time)
        } -> std::same_as<boost::asio::awaitable<RowRead>>;
    {
        store.follow(range.table, version, time)
        } -> std::same_as<boost::asio::awaitable<RowFeed>>;
};

} // namespace heatherquay::protocol::batch
