#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// A row of the table service.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version{};
};

/// Requires that the row has exactly this version; 0 requires that the row does not exist.
struct Condition
{
    std::string key;
    std::uint64_t version{};
};

/// A row to be written.
struct Put
{
    std::string key;
    std::string value;
};

/// Writes and deletes rows atomically if all conditions hold.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

enum class CommitStatus
{
    Committed,
    Conflict, ///< A condition does not hold; nothing is written.
    NotCommitted, ///< Nothing is written, for example because no byte of the request was sent.
    Unknown ///< The response was lost; read the rows to find out.
};

struct CommitResult
{
    CommitStatus status{CommitStatus::NotCommitted};
    std::uint64_t version{}; ///< New version of all written rows, if committed.
    std::vector<Condition> conflicts; ///< Current versions of the conflicting rows.
    std::string failure; ///< Reason if not committed.
};

struct ReadResult
{
    bool ok{};
    std::vector<Row> rows; ///< Has no element for an absent row.
    std::string failure; ///< Reason if not ok.
};

/// Transactional table service as the coordination layer uses it. Operations report an outage in their result and do
/// not throw.
template<typename T>
concept Table = requires(T table, Transaction transaction, std::vector<std::string> keys, std::string key)
{
    {
        table.transact(transaction)
        } -> std::same_as<boost::asio::awaitable<CommitResult>>;
    {
        table.read(keys)
        } -> std::same_as<boost::asio::awaitable<ReadResult>>;
    {
        table.scan(key, key, std::uint32_t{})
        } -> std::same_as<boost::asio::awaitable<ReadResult>>;
};

} // namespace heatherquay::protocol
