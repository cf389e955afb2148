#pragma once

#include "heatherquay/protocol/object_store.hpp"
#include "heatherquay/protocol/table.hpp"
#include "heatherquay/protocol/wait.hpp"

#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <string>

namespace heatherquay::testing
{

/// A fault that FakeTable injects into one operation.
enum class Fault
{
    None,
    Refused, ///< The operation is not sent.
    RequestLost, ///< The request is lost: the outcome is unknown, and the operation does not take effect.
    ResponseLost, ///< The response is lost: the outcome is unknown, and the operation takes effect.
    DelayedEffect, ///< The outcome is unknown, and the operation takes effect after a delay.
    Slow ///< The response is delayed.
};

inline const char *name(Fault fault)
{
    static const char *const names[] = {"none", "refused", "lost-before", "lost-after", "late", "slow"};
    return names[static_cast<int>(fault)];
}

inline const Fault allFaults[]
    = {Fault::None, Fault::Refused, Fault::RequestLost, Fault::ResponseLost, Fault::DelayedEffect, Fault::Slow};

inline std::ostream &operator<<(std::ostream &out, Fault fault)
{
    return out << name(fault);
}

/// Rows and objects in memory, shared by the tables and object stores of all entries.
struct TableRows
{
    std::map<std::string, protocol::Row> rows;
    std::uint64_t version{}; ///< Version of the last committed transaction.
    std::uint64_t reads{}; ///< Number of rows read; at least 1 per operation.
    std::uint64_t writes{}; ///< Number of rows put or deleted.
    bool objectsDown{}; ///< Puts to and gets from the object store fail.
    std::map<std::string, std::string> objects;

    protocol::CommitResult apply(const protocol::Transaction &transaction);
};

inline protocol::CommitResult TableRows::apply(const protocol::Transaction &transaction)
{
    protocol::CommitResult result;
    for (const protocol::Condition &condition : transaction.conditions) {
        const auto row = rows.find(condition.key);
        const std::uint64_t actual = row == rows.end() ? 0 : row->second.version;
        if (actual != condition.version) {
            result.conflicts.push_back({condition.key, actual});
        }
    }
    if (!result.conflicts.empty()) {
        result.status = protocol::CommitStatus::Conflict;
        return result;
    }
    result.version = ++version;
    for (const protocol::Put &put : transaction.puts) {
        rows[put.key] = {put.key, put.value, version};
    }
    for (const std::string &key : transaction.deletes) {
        rows.erase(key);
    }
    writes += transaction.puts.size() + transaction.deletes.size();
    result.status = protocol::CommitStatus::Committed;
    return result;
}

/// Faults of one entry's access to the table.
struct TableFaults
{
    bool down{}; ///< All operations fail without being sent.
    bool dropsRequests{}; ///< All requests are lost; no operation takes effect.
    std::deque<Fault> writes; ///< Faults of the next writes, in order; later writes have none.
    std::deque<Fault> reads; ///< Faults of the next reads.
    std::chrono::milliseconds lateDelay{30}; ///< Delay of Fault::DelayedEffect.
    /// Write faults apply only to transactions that put a key with this prefix.
    std::string keyPrefix;
    int faultsInjected{}; ///< Number of faults taken from writes.
};

/// One entry's access to a table in memory, with injected faults. Not thread-safe.
class FakeTable
{
public:
    FakeTable(std::shared_ptr<TableRows> rows, std::shared_ptr<TableFaults> faults)
        : m_rows(std::move(rows))
        , m_faults(std::move(faults))
    {
    }

    boost::asio::awaitable<protocol::CommitResult> transact(protocol::Transaction transaction);
    boost::asio::awaitable<protocol::ReadResult> read(std::vector<std::string> keys);
    boost::asio::awaitable<protocol::ReadResult> scan(std::string from, std::string to, std::uint32_t limit);

private:
    Fault nextWriteFault(const protocol::Transaction &transaction);
    Fault nextReadFault();
    /// Applies the next read fault. @return whether the read fails
    boost::asio::awaitable<bool> applyReadFault();

    std::shared_ptr<TableRows> m_rows;
    std::shared_ptr<TableFaults> m_faults;
};

static_assert(protocol::Table<FakeTable>);

/// Object store in memory. Not thread-safe.
class FakeObjects
{
public:
    explicit FakeObjects(std::shared_ptr<TableRows> rows)
        : m_rows(std::move(rows))
    {
    }

    boost::asio::awaitable<bool> put(std::string key, std::string body);
    boost::asio::awaitable<protocol::ObjectResult> get(std::string key);
    boost::asio::awaitable<bool> remove(std::string key);

private:
    std::shared_ptr<TableRows> m_rows;
};

static_assert(protocol::ObjectStore<FakeObjects>);

} // namespace heatherquay::testing
