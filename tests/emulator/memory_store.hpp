#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/protocol/wait.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::test
{

/// A row store in memory, with the faults that a real one shows. Runs on one strand.
class MemoryStore
{
public:
    using RowKey = protocol::batch::RowKey;

    boost::asio::awaitable<protocol::batch::RowCommit> transact(protocol::batch::RowTransaction transaction,
                                                                std::chrono::milliseconds timeout);
    boost::asio::awaitable<protocol::batch::RowRead> read(protocol::batch::RowRange range,
                                                          std::chrono::milliseconds timeout);
    boost::asio::awaitable<protocol::batch::RowFeed> follow(std::string table, std::uint64_t after,
                                                            std::chrono::milliseconds wait);

    /// Applies a transaction at once. @return the answer that the store would give
    protocol::batch::RowCommit apply(const protocol::batch::RowTransaction &transaction);
    void put(const RowKey &key, const std::string &value);
    void remove(const RowKey &key);
    /// @return the value; empty when the row does not exist
    std::string value(const RowKey &key) const;

    static constexpr std::size_t rowBytesMax = 65'536; ///< Longer values are refused, with all of their transaction.
    bool down{}; ///< Every call is refused.
    std::uint32_t loseAnswers{}; ///< So many of the next transactions are applied without an answer.
    std::uint32_t applyLate{}; ///< So many of the next transactions are not answered, and kept for applyKept().
    std::uint64_t forgottenUpTo{}; ///< Changes up to this version are no longer in the feed.
    std::uint32_t transactions{}; ///< Calls so far.

    /// Applies what applyLate has kept.
    void applyKept();

private:
    struct Change
    {
        protocol::batch::StoredRow row;
    };
    std::map<RowKey, protocol::batch::StoredRow> m_rows;
    std::vector<Change> m_changes;
    std::vector<protocol::batch::RowTransaction> m_kept;
    std::uint64_t m_version{};
};

static_assert(protocol::batch::RowStore<MemoryStore>);

} // namespace heatherquay::test
