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

/// Names a row. Rows of one part are written one transaction after another; parts are independent.
struct RowKey
{
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const RowKey &, const RowKey &) = default; // NOLINT(modernize-use-nullptr)
};

struct StoredRow
{
    RowKey key;
    std::string value;
    std::uint64_t version{};
    bool removed{}; ///< Only in changes.
};

/// Holds when the row has exactly this version; 0 means that it is absent.
struct RowCondition
{
    RowKey key;
    std::uint64_t version{};
};

struct RowPut
{
    RowKey key;
    std::string value;
};

/// Takes effect whole or not at all. All rows belong to one part.
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowKey> removals;
};

/// Rows of one part in ascending order of keys.
struct RowRange
{
    std::string table;
    std::string part;
    std::string from; ///< First key; empty for the first row.
    std::uint32_t limit{500};
};

struct RowCommit
{
    CommitStatus status{CommitStatus::NotCommitted};
    std::uint64_t version{}; ///< Of all rows written, when committed.
    std::vector<StoredRow> current; ///< On a conflict, the rows of the conditions that exist.
    std::string failure;
};

struct RowRead
{
    bool ok{};
    std::vector<StoredRow> rows; ///< In ascending order of keys.
    bool more{}; ///< Rows after the last one were left out.
    std::uint64_t version{}; ///< Newest version in the store at the moment of the read.
    std::string failure;
};

enum class FeedStatus
{
    Ok,
    HistoryGone, ///< Changes are missing; read everything again.
    Failed
};

struct RowFeed
{
    FeedStatus status{FeedStatus::Failed};
    std::vector<StoredRow> rows;
    std::uint64_t version{}; ///< To go on from.
    std::string failure;
};

/// What the coordination layer needs of a transactional store with a feed of changes. No operation throws for an
/// outage.
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
