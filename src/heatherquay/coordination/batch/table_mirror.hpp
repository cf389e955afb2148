#pragma once

#include "heatherquay/protocol/batch/row_store.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heatherquay::coordination::batch
{

struct MirrorTimes
{
    std::chrono::milliseconds readTimeout{1'500}; ///< A slow store takes half a second for a page.
    std::chrono::milliseconds feedWait{1'000}; ///< Bounds how long a silent store goes unnoticed.
    std::chrono::milliseconds feedGrace{800}; ///< For the answer itself, on a slow store.
    std::chrono::milliseconds retryFirst{50};
    std::chrono::milliseconds retryMost{300}; ///< So that a returning store is noticed within a third of a second.
    std::chrono::milliseconds pause{20}; ///< Between two answers, so that changes in quick succession share one.
};

/// Follows a table: reads it whole, then takes in its changes, and reads again when changes are missing. Runs on one
/// strand.
template<protocol::batch::RowStore Store>
class TableMirror
{
public:
    using OnRow = std::function<void(const protocol::batch::StoredRow &)>;
    using Clock = std::chrono::steady_clock;

    /// @param parts the parts to read; changes of all parts are reported
    /// @param onRow called for each new, changed or removed row
    TableMirror(Store &store, std::string table, std::vector<std::string> parts, OnRow onRow, MirrorTimes times = {})
        : m_store(store)
        , m_table(std::move(table))
        , m_parts(std::move(parts))
        , m_onRow(std::move(onRow))
        , m_times(times)
    {
    }

    /// Follows until stop(). The mirror must outlive the coroutine.
    boost::asio::awaitable<void> run();
    void stop()
    {
        m_stopped = true;
    }
    bool stopped() const
    {
        return m_stopped;
    }
    /// @return whether the table was read whole at least once
    bool loaded() const
    {
        return m_loadedOnce;
    }
    /// @return whether the latest call succeeded and is at most a feed wait old
    bool fresh() const
    {
        return m_healthy && Clock::now() - m_confirmedAt <= m_times.feedWait + m_times.feedGrace;
    }
    /// @return since when calls have succeeded without a failure between
    Clock::time_point healthySince() const
    {
        return m_healthySince;
    }
    /// @return whether the latest call succeeded
    bool healthy() const
    {
        return m_healthy;
    }

private:
    boost::asio::awaitable<bool> load();
    void take(const protocol::batch::StoredRow &row);
    void confirm();
    void fail(const std::string &failure);

    Store &m_store;
    std::string m_table;
    std::vector<std::string> m_parts;
    OnRow m_onRow;
    MirrorTimes m_times;
    std::map<protocol::batch::RowKey, std::uint64_t> m_versions;
    std::uint64_t m_version{};
    bool m_current{};
    bool m_loadedOnce{};
    bool m_healthy{};
    bool m_stopped{};
    Clock::time_point m_confirmedAt;
    Clock::time_point m_healthySince;
};

template<protocol::batch::RowStore Store>
void TableMirror<Store>::confirm()
{
    m_confirmedAt = Clock::now();
    if (!m_healthy) {
        m_healthy = true;
        m_healthySince = m_confirmedAt;
        transport::log(transport::LogLevel::Info, "table-followed", {{"table", m_table}});
    }
}

template<protocol::batch::RowStore Store>
void TableMirror<Store>::fail(const std::string &failure)
{
    if (m_healthy) {
        transport::log(transport::LogLevel::Warn, "table-lost", {{"table", m_table}, {"error", failure}});
    }
    m_healthy = false;
}

template<protocol::batch::RowStore Store>
void TableMirror<Store>::take(const protocol::batch::StoredRow &row)
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
    m_onRow(row);
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
                fail(page.failure);
                co_return false;
            }
            // Changes after the first page are seen again in the feed.
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
        take(row);
    }
    std::vector<protocol::batch::RowKey> vanished;
    for (const auto &[key, known] : m_versions) {
        if (!present.contains(key) && known <= version) {
            vanished.push_back(key);
        }
    }
    for (const auto &key : vanished) {
        take({key, {}, version + 1, true});
    }
    m_version = version;
    co_return true;
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> TableMirror<Store>::run()
{
    auto retry = m_times.retryFirst;
    while (!m_stopped) {
        bool ok = false;
        if (!m_current) {
            ok = co_await load();
            m_current = ok;
            m_loadedOnce = m_loadedOnce || ok;
        } else {
            const auto feed = co_await m_store.follow(m_table, m_version, m_times.feedWait);
            ok = feed.status != protocol::batch::FeedStatus::Failed;
            if (feed.status == protocol::batch::FeedStatus::HistoryGone) {
                transport::log(transport::LogLevel::Info, "table-read-again", {{"table", m_table}});
                m_current = false;
                continue;
            }
            if (!ok) {
                fail(feed.failure);
            } else {
                for (const auto &row : feed.rows) {
                    take(row);
                }
                m_version = std::max(m_version, feed.version);
            }
        }
        if (m_stopped) {
            co_return;
        }
        if (ok) {
            confirm();
            retry = m_times.retryFirst;
            co_await protocol::waitFor(m_times.pause);
        } else {
            co_await protocol::waitFor(retry);
            retry = std::min(retry * 2, m_times.retryMost);
        }
    }
}

} // namespace heatherquay::coordination::batch
