#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Timeouts and pauses of a table mirror.
struct MirrorTimes
{
    std::chrono::milliseconds readTimeout{1'500}; ///< Per page; a slow store takes half a second.
    /// How long the store holds a call for changes open; bounds how long an outage goes unnoticed.
    std::chrono::milliseconds feedWait{1'000};
    std::chrono::milliseconds feedResponseMargin{800}; ///< Added to feedWait in fresh(): a slow store answers late.
    std::chrono::milliseconds backoffInitial{50}; ///< Pause after the first failure; it doubles with each further one.
    std::chrono::milliseconds backoffMax{300}; ///< Detects the end of an outage within a third of a second.
    /// Pause between two calls, so that one answer carries several quick changes.
    std::chrono::milliseconds followPause{20};
};

/// Local mirror of a table: loads the whole table, then applies the change feed, and reloads when the feed has lost
/// changes. Not thread-safe: runs on one strand.
template<protocol::batch::RowStore Store>
class TableMirror
{
public:
    using OnRow = std::function<void(const protocol::batch::StoredRow &)>;
    using Clock = std::chrono::steady_clock;

    /// @param parts the parts to load; the change feed reports changes of all parts
    /// @param onRow called for each new, changed or removed row; a row for which it throws is logged and skipped
    TableMirror(Store &store, std::string table, std::vector<std::string> parts, OnRow onRow, MirrorTimes times = {})
        : m_store(store)
        , m_table(std::move(table))
        , m_parts(std::move(parts))
        , m_onRow(std::move(onRow))
        , m_times(times)
    {
    }

    /// Loads and follows the table until stop(). The mirror must outlive the coroutine.
    boost::asio::awaitable<void> run();
    void stop()
    {
        m_stopped = true;
    }
    /// Sets the pause between two calls; a longer one delays changes and saves calls.
    void setFollowPause(std::chrono::milliseconds pause)
    {
        m_times.followPause = pause;
    }
    bool stopped() const
    {
        return m_stopped;
    }
    /// @return whether the whole table was loaded at least once
    bool loaded() const
    {
        return m_loaded;
    }
    /// @return whether the latest call succeeded, at most feedWait + feedResponseMargin ago
    bool fresh() const
    {
        return m_healthy && Clock::now() - m_succeededAt <= m_times.feedWait + m_times.feedResponseMargin;
    }
    /// @return the time at which the latest successful call was sent; the mirror has all changes that the store
    /// confirmed before. An answer can wait in a paused process for any time, so the time of its arrival says nothing.
    Clock::time_point asOf() const
    {
        return m_asOf;
    }
    /// @return the time of the first success after the last failed call
    Clock::time_point healthySince() const
    {
        return m_healthySince;
    }
    /// @return whether the latest call succeeded
    bool healthy() const
    {
        return m_healthy;
    }
    /// @return the number of rows that the callback rejected with an exception
    std::uint64_t rowsSkipped() const
    {
        return m_rowsSkipped;
    }

private:
    boost::asio::awaitable<bool> load();
    void applyRow(const protocol::batch::StoredRow &row);
    /// Records a successful call.
    void noteSuccess(Clock::time_point sentAt);
    /// Records a failed call; logs only the first one of an outage.
    void noteFailure(const std::string &failure);

    Store &m_store;
    std::string m_table;
    std::vector<std::string> m_parts;
    OnRow m_onRow;
    MirrorTimes m_times;
    std::map<protocol::batch::RowKey, std::uint64_t> m_versions;
    std::uint64_t m_version{}; ///< Position in the change feed.
    bool m_synced{}; ///< Loaded; the change feed can be followed from m_version.
    bool m_loaded{};
    bool m_healthy{};
    bool m_stopped{};
    std::uint64_t m_rowsSkipped{};
    Clock::time_point m_succeededAt;
    Clock::time_point m_asOf;
    Clock::time_point m_healthySince;
};

template<protocol::batch::RowStore Store>
void TableMirror<Store>::noteSuccess(Clock::time_point sentAt)
{
    m_succeededAt = Clock::now();
    m_asOf = sentAt;
    if (!m_healthy) {
        m_healthy = true;
        m_healthySince = m_succeededAt;
        transport::log(transport::LogLevel::Info, "table-followed", {{"table", m_table}});
    }
}

template<protocol::batch::RowStore Store>
void TableMirror<Store>::noteFailure(const std::string &failure)
{
    if (m_healthy) {
        transport::log(transport::LogLevel::Warn, "table-lost", {{"table", m_table}, {"error", failure}});
    }
    m_healthy = false;
}

template<protocol::batch::RowStore Store>
void TableMirror<Store>::applyRow(const protocol::batch::StoredRow &row)
{
    const auto known = m_versions.find(row.key);
    if (known != m_versions.end() && known->second >= row.version) {
        return;
    }
    if (row.removed) {
        if (known == m_versions.end()) {
            return;
        }
        m_versions.erase(known);
    } else {
        m_versions[row.key] = row.version;
    }
    // Other writers can store any value. A row that cannot be applied must not stop the rows after it.
    try {
        m_onRow(row);
    } catch (const std::exception &error) {
        ++m_rowsSkipped;
        transport::log(transport::LogLevel::Error, "row-skipped",
                       {{"table", m_table},
                        {"part", row.key.part},
                        {"key", row.key.key},
                        {"row_version", std::to_string(row.version)},
                        {"error", error.what()}});
    }
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<bool> TableMirror<Store>::load()
{
    std::uint64_t version = 0;
    bool first = true;
    std::set<protocol::batch::RowKey> present;
    std::vector<protocol::batch::StoredRow> rows;
    for (const std::string &part : m_parts) {
        protocol::batch::RowRange range{m_table, part, {}, 500};
        bool more = true;
        while (more) {
            const auto page = co_await m_store.read(range, m_times.readTimeout);
            if (!page.ok) {
                noteFailure(page.failure);
                co_return false;
            }
            // The feed starts at the version of the first page, so that no change made during the load is missed.
            version = first ? page.version : version;
            first = false;
            more = page.more && !page.rows.empty();
            for (const auto &row : page.rows) {
                present.insert(row.key);
                rows.push_back(row);
            }
            if (more) {
                range.from = page.rows.back().key.key + '\0';
            }
        }
    }
    for (const auto &row : rows) {
        applyRow(row);
    }
    std::vector<protocol::batch::RowKey> removedKeys;
    for (const auto &[key, known] : m_versions) {
        if (!present.contains(key) && known <= version) {
            removedKeys.push_back(key);
        }
    }
    for (const auto &key : removedKeys) {
        applyRow({key, {}, version + 1, true});
    }
    m_version = version;
    co_return true;
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> TableMirror<Store>::run()
{
    auto backoff = m_times.backoffInitial;
    while (!m_stopped) {
        bool ok = false;
        const Clock::time_point sentAt = Clock::now();
        if (!m_synced) {
            ok = co_await load();
            m_synced = ok;
            m_loaded = m_loaded || ok;
        } else {
            const auto feed = co_await m_store.follow(m_table, m_version, m_times.feedWait);
            ok = feed.status != protocol::batch::FeedStatus::Failed;
            if (feed.status == protocol::batch::FeedStatus::HistoryCompacted) {
                transport::log(transport::LogLevel::Info, "table-read-again", {{"table", m_table}});
                m_synced = false;
                continue;
            }
            if (!ok) {
                noteFailure(feed.failure);
            } else {
                for (const auto &row : feed.rows) {
                    applyRow(row);
                }
                m_version = std::max(m_version, feed.version);
            }
        }
        if (m_stopped) {
            co_return;
        }
        if (ok) {
            noteSuccess(sentAt);
            backoff = m_times.backoffInitial;
            co_await protocol::waitFor(m_times.followPause);
        } else {
            co_await protocol::waitFor(backoff);
            backoff = std::min(backoff * 2, m_times.backoffMax);
        }
    }
}

} // namespace heatherquay::coordination::batch
