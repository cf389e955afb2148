#pragma once

#include "heatherquay/protocol/table.hpp"
#include "heatherquay/state/entry_settings.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// The transactional table service over HTTP/1.1 with JSON. Thread-safe; copies share connections, budget and backoff.
class TableClient
{
public:
    /// @throws Error(BadInput) for a malformed address
    TableClient(boost::asio::any_io_executor executor, const state::TableSettings &settings);

    /// Writes all or nothing. A lost answer gives Unknown, a request that was never sent NotCommitted.
    boost::asio::awaitable<CommitResult> transact(Transaction transaction);
    boost::asio::awaitable<ReadResult> read(std::vector<std::string> keys);
    /// @param from first key; @param to first key after the range; @param limit most rows
    boost::asio::awaitable<ReadResult> scan(std::string from, std::string to, std::uint32_t limit);

    /// A copy whose operations do not wait behind others for the budget, but are charged to it. For lease renewals,
    /// which would lapse behind a queue of other writes.
    TableClient urgent() const;

    /// A copy whose writes use only a part of the budget, so that decisions, plans and leases never wait behind a rush
    /// of callers' requests.
    TableClient forCallers() const;

    /// Sets this entry's part of the budget. @param members number of entries that share it, at least 1
    void setMembers(std::uint32_t members);
    /// Sets the budget of all entries together, in rows a second.
    void setBudget(std::uint32_t writesPerSecond, std::uint32_t readsPerSecond);

    /// @return the time since the last answer of the service; the longest representable time before the first one
    std::chrono::milliseconds contactAge() const;

private:
    struct Shared;
    enum class Precedence
    {
        Urgent, ///< Never waits; charged all the same.
        Control, ///< May use the whole budget.
        Callers ///< Leaves a part of the budget to the others.
    };

    TableClient(std::shared_ptr<Shared> shared, Precedence precedence);

    std::shared_ptr<Shared> m_shared;
    Precedence m_precedence{Precedence::Control};
};

static_assert(Table<TableClient>);

} // namespace heatherquay::protocol
