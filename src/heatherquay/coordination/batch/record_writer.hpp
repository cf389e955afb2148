#pragma once

#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Result of writing rows.
enum class WriteOutcome
{
    Stored,
    Failed, ///< Not all rows are stored; the caller writes them again.
    Deposed ///< Another process holds the term.
};

/// Writes the decider's rows. Each write is conditional on the term and on the row's version, so that a delayed
/// transaction cannot overwrite newer rows.
template<protocol::batch::RowStore Store>
class RecordWriter
{
public:
    // The store allows 100 entries per call; a row takes two, the term one.
    static constexpr std::size_t rowsPerTransactionMax = 45;
    // Stays within the store's limit of 1 MB after encoding.
    static constexpr std::size_t bytesPerTransactionMax = 600'000;
    static constexpr std::chrono::milliseconds callTimeout{1'000}; // A slow store takes half a second.

    RecordWriter(Store &store, std::function<protocol::batch::RowCondition()> term,
                 std::function<void(std::chrono::steady_clock::time_point)> confirm)
        : m_store(store)
        , m_term(std::move(term))
        , m_confirm(std::move(confirm))
    {
    }

    /// Sets the version on which the next write of the row is conditional.
    void setKnownVersion(const protocol::batch::RowKey &key, std::uint64_t version)
    {
        m_versions[key] = version;
    }

    /// @return whether the store has the row, as far as this process knows
    bool isKnown(const protocol::batch::RowKey &key) const
    {
        return m_versions.contains(key);
    }

    /// Stores all rows, in as many transactions as the store's limits require.
    boost::asio::awaitable<WriteOutcome> write(std::vector<protocol::batch::RowPut> rows)
    {
        std::size_t next = 0;
        while (next < rows.size()) {
            std::vector<protocol::batch::RowPut> batch;
            std::size_t bytes = 0;
            while (next < rows.size() && batch.size() < rowsPerTransactionMax
                   && (batch.empty() || bytes + rows[next].value.size() <= bytesPerTransactionMax)) {
                bytes += rows[next].value.size();
                batch.push_back(std::move(rows[next++]));
            }
            const WriteOutcome outcome = co_await writeBatch(batch);
            if (outcome != WriteOutcome::Stored) {
                co_return outcome;
            }
        }
        co_return WriteOutcome::Stored;
    }

    /// Removes rows in one transaction, without retries.
    /// @param requireTerm whether the removal is conditional on the term
    /// @return whether the store confirmed the removal
    boost::asio::awaitable<bool> remove(const std::vector<protocol::batch::RowKey> &keys, bool requireTerm)
    {
        protocol::batch::RowTransaction transaction;
        if (requireTerm) {
            transaction.conditions.push_back(m_term());
        }
        transaction.removals = keys;
        const auto commit = co_await m_store.transact(transaction, callTimeout);
        if (commit.status == protocol::CommitStatus::Committed) {
            for (const auto &key : keys) {
                m_versions.erase(key);
            }
        }
        co_return commit.status == protocol::CommitStatus::Committed;
    }

private:
    boost::asio::awaitable<WriteOutcome> writeBatch(const std::vector<protocol::batch::RowPut> &batch)
    {
        const auto term = m_term();
        protocol::batch::RowTransaction transaction;
        transaction.conditions.push_back(term);
        for (const auto &row : batch) {
            const auto known = m_versions.find(row.key);
            transaction.conditions.push_back({row.key, known == m_versions.end() ? 0 : known->second});
        }
        transaction.puts = batch;
        const auto sentAt = std::chrono::steady_clock::now();
        const auto commit = co_await m_store.transact(transaction, callTimeout);
        if (commit.status == protocol::CommitStatus::Committed) {
            m_confirm(sentAt);
            for (const auto &row : batch) {
                m_versions[row.key] = commit.version;
            }
            co_return WriteOutcome::Stored;
        }
        if (commit.status != protocol::CommitStatus::Conflict) {
            transport::log(transport::LogLevel::Warn, "records-not-stored", {{"error", commit.failure}});
            co_return WriteOutcome::Failed;
        }
        co_return resolveConflict(term, batch, commit.current);
    }

    /// Determines whether an earlier, unanswered write of the same rows has taken effect, and updates the known
    /// versions.
    WriteOutcome resolveConflict(const protocol::batch::RowCondition &term,
                                 const std::vector<protocol::batch::RowPut> &batch,
                                 const std::vector<protocol::batch::StoredRow> &current)
    {
        std::map<protocol::batch::RowKey, const protocol::batch::StoredRow *> present;
        for (const auto &row : current) {
            present[row.key] = &row;
        }
        const auto held = present.find(term.key);
        if (held == present.end() || held->second->version != term.version) {
            return WriteOutcome::Deposed;
        }
        bool allEqual = true;
        for (const auto &row : batch) {
            const auto found = present.find(row.key);
            if (found == present.end()) {
                m_versions.erase(row.key);
                allEqual = false;
                continue;
            }
            m_versions[row.key] = found->second->version;
            allEqual = allEqual && found->second->value == row.value;
        }
        return allEqual ? WriteOutcome::Stored : WriteOutcome::Failed;
    }

    Store &m_store;
    std::function<protocol::batch::RowCondition()> m_term;
    std::function<void(std::chrono::steady_clock::time_point)> m_confirm;
    std::map<protocol::batch::RowKey, std::uint64_t> m_versions;
};

} // namespace heatherquay::coordination::batch
