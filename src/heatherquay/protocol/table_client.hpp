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

/// Client of the transactional table service, over HTTP/1.1 with JSON. Thread-safe; copies share the connections, the
/// budget and the backoff.
class TableClient
{
public:
    /// @throws Error(BadInput) for a malformed address
    TableClient(boost::asio::any_io_executor executor, const state::TableSettings &settings);

    /// Commits a transaction atomically.
    /// @return Unknown if the response is lost, malformed or a server error; NotCommitted if the request is not sent or
    /// is rejected
    boost::asio::awaitable<CommitResult> transact(Transaction transaction);
    /// Reads the rows with these keys.
    boost::asio::awaitable<ReadResult> read(std::vector<std::string> keys);
    /// Reads a range of rows.
    /// @param from first key
    /// @param to first key after the range
    /// @param limit largest number of rows
    boost::asio::awaitable<ReadResult> scan(std::string from, std::string to, std::uint32_t limit);

    /// @return a copy whose operations do not wait for the budget but are charged to it. It is for lease renewals: a
    /// lease can expire while its renewal waits behind other writes.
    TableClient urgent() const;

    /// @return a copy whose writes may use only a part of the budget, so that decisions, plans and leases never wait
    /// behind a burst of callers' requests
    TableClient forCallers() const;

    /// Sets the number of entries that share the budget equally.
    /// @param members number of entries; 0 counts as 1
    void setMembers(std::uint32_t members);
    /// Sets the total budget of all entries, in rows per second.
    void setBudget(std::uint32_t writesPerSecond, std::uint32_t readsPerSecond);

    /// @return the time since the last response of the service other than a server error; milliseconds::max() before
    /// the first one
    std::chrono::milliseconds timeSinceLastResponse() const;

private:
    struct Shared;
    enum class Priority
    {
        Urgent, ///< Does not wait for the budget but is charged to it.
        Control, ///< May use the whole budget.
        Callers ///< May use only a part of the write budget.
    };

    TableClient(std::shared_ptr<Shared> shared, Priority priority);

    std::shared_ptr<Shared> m_shared;
    Priority m_priority{Priority::Control};
};

static_assert(Table<TableClient>);

} // namespace heatherquay::protocol
