#pragma once

#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/coordination/batch/table_mirror.hpp"
#include "heatherquay/coordination/batch/term.hpp"
#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace heatherquay::coordination::batch
{

/// Intervals and timeouts of the election.
struct ElectionTimes
{
    /// Short enough for several attempts within heartbeatTimeout on a slow store.
    std::chrono::milliseconds heartbeatInterval{400};
    /// Time without a heartbeat before a candidate campaigns. A slow store delays a heartbeat by a second.
    std::chrono::milliseconds heartbeatTimeout{1'500};
    /// Replaces heartbeatTimeout when the leader's process does not answer this one; a live leader sends two heartbeats
    /// in this time.
    std::chrono::milliseconds silentLeaderTimeout{900};
    /// Replaces heartbeatTimeout when the leader's process has ended or says that it no longer leads.
    std::chrono::milliseconds endedLeaderTimeout{300};
    std::chrono::milliseconds checkInterval{50}; ///< Interval at which run() checks whether to act.
    std::chrono::milliseconds callTimeout{1'000}; ///< Of one call to the store.
    /// Extra delay at priority 0, so that the VM with the highest priority campaigns first.
    std::chrono::milliseconds rankDelayMax{400};
};

/// What another process found out about the leader by asking its process.
enum class LeaderHealth
{
    Unknown, ///< It was not asked, or leads.
    Silent, ///< It does not answer.
    Ended ///< Nothing listens at its address, or it does not lead this term.
};

/// Leader election through the store: the leader is the one process that runs the decider. Conditional writes ensure
/// that no two processes hold the same fencing token. A missing heartbeat only triggers a campaign; correctness does
/// not depend on it.
template<protocol::batch::RowStore Store>
class Election
{
public:
    using Clock = std::chrono::steady_clock;
    /// Callbacks of the election.
    struct Ports
    {
        /// Called with the fencing token of the new term when this process becomes the leader.
        std::function<void(protocol::batch::FencingToken)> elected;
        /// Called when the leadership ends.
        std::function<void(const std::string &reason)> deposed;
        /// Returns the mirror of the board table.
        std::function<const TableMirror<Store> &()> board;
    };

    /// @param self term record of this process, without a token
    /// @param priority 0 to 1; a candidate with a higher priority waits less before it campaigns
    Election(Store &store, TermRecord self, double priority, Ports ports, ElectionTimes times = {})
        : m_store(store)
        , m_self(std::move(self))
        , m_priority(priority)
        , m_ports(std::move(ports))
        , m_times(times)
        , m_leaderSeenAt(Clock::now())
    {
    }

    /// Processes a changed row of the board table; rows outside the decider part are ignored.
    void applyRow(const protocol::batch::StoredRow &row);
    /// Campaigns, or sends heartbeats while leading, until resign().
    boost::asio::awaitable<void> run();
    /// Ends the leadership and marks the term vacant, so that another process can take over at once.
    boost::asio::awaitable<void> resign();
    /// Ends the leadership without a write, after another process has taken over.
    void depose(const std::string &reason);
    /// Handles a takeover request from the leader of term @p token, which cannot reach the store.
    /// @return whether this process will campaign at once
    bool handleTakeoverRequest(protocol::batch::FencingToken token)
    {
        const bool current = token == m_term.token && !m_leading && !m_resigned;
        m_takeoverRequested = current && m_ports.board().fresh();
        return m_takeoverRequested;
    }
    /// Reports the health of the leader of term @p token. A new term resets it.
    void noteLeaderHealth(protocol::batch::FencingToken token, LeaderHealth health)
    {
        m_healthToken = token;
        m_leaderHealth = health;
    }
    /// Records that a write under the term's condition succeeded.
    /// @param sentAt when the write was sent
    void confirm(Clock::time_point sentAt)
    {
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
    }

    bool leading() const
    {
        return m_leading;
    }
    /// @return when the leadership was last confirmed: the send time of the last successful write, or the election
    Clock::time_point confirmedAt() const
    {
        return m_confirmedAt;
    }
    /// @return the condition of every write by the decider: the term row is unchanged
    protocol::batch::RowCondition condition() const
    {
        return {{boardTable, deciderPart, termKey}, m_termVersion};
    }
    const TermRecord &term() const
    {
        return m_term;
    }

private:
    bool canCampaign() const;
    /// @return the time without a heartbeat after which the leader counts as lost
    std::chrono::milliseconds leaderTimeout() const;
    boost::asio::awaitable<void> campaign();
    boost::asio::awaitable<void> sendHeartbeat();
    /// @param campaignSentAt when the campaign was sent: the store confirmed the term no earlier than that
    void becomeLeader(std::uint64_t version, Clock::time_point campaignSentAt);

    Store &m_store;
    TermRecord m_self;
    double m_priority;
    Ports m_ports;
    ElectionTimes m_times;
    TermRecord m_term;
    std::uint64_t m_termVersion{};
    std::uint64_t m_heartbeatVersion{}; ///< Of the latest heartbeat that this process has seen.
    Clock::time_point m_leaderSeenAt;
    Clock::time_point m_confirmedAt;
    Clock::time_point m_heartbeatSentAt;
    protocol::batch::FencingToken m_campaignToken; ///< Of the latest campaign.
    Clock::time_point m_campaignSentAt; ///< Of the first campaign with that token; any of them may have succeeded.
    bool m_leading{};
    bool m_resigned{};
    bool m_takeoverRequested{};
    protocol::batch::FencingToken m_healthToken; ///< Term that m_leaderHealth is about.
    LeaderHealth m_leaderHealth{LeaderHealth::Unknown};
    std::uint64_t m_heartbeats{};
};

template<protocol::batch::RowStore Store>
void Election<Store>::applyRow(const protocol::batch::StoredRow &row)
{
    if (row.key.part != deciderPart || row.removed) {
        return;
    }
    m_leaderSeenAt = Clock::now();
    if (row.key.key == heartbeatKey) {
        m_heartbeatVersion = std::max(m_heartbeatVersion, row.version);
    }
    if (row.key.key != termKey || row.version <= m_termVersion) {
        return;
    }
    const auto term = decodeTerm(row.value);
    if (!term) {
        transport::log(transport::LogLevel::Error, "term-unreadable", {{"value", row.value}});
        return;
    }
    const bool own = term->owner == m_self.owner && term->incarnationId == m_self.incarnationId;
    m_term = *term;
    if (own && !m_leading && !m_resigned) {
        // An earlier campaign succeeded, but its answer was lost.
        becomeLeader(row.version, m_campaignToken == term->token ? m_campaignSentAt : Clock::time_point{});
        return;
    }
    m_termVersion = row.version;
    if (!own && m_leading) {
        depose("another process holds fencing token " + std::to_string(m_term.token.value));
    }
}

template<protocol::batch::RowStore Store>
void Election<Store>::becomeLeader(std::uint64_t version, Clock::time_point campaignSentAt)
{
    m_termVersion = version;
    m_leading = true;
    m_confirmedAt = campaignSentAt;
    m_heartbeatSentAt = {}; // The first heartbeat is due at once.
    transport::log(transport::LogLevel::Info, "decider-elected",
                   {{"token", std::to_string(m_term.token.value)}, {"owner", m_self.owner}});
    m_ports.elected(m_term.token);
}

template<protocol::batch::RowStore Store>
void Election<Store>::depose(const std::string &reason)
{
    if (!m_leading) {
        return;
    }
    m_leading = false;
    m_leaderSeenAt = Clock::now();
    transport::log(transport::LogLevel::Warn, "decider-deposed",
                   {{"token", std::to_string(m_term.token.value)}, {"reason", reason}});
    m_ports.deposed(reason);
}

template<protocol::batch::RowStore Store>
bool Election<Store>::canCampaign() const
{
    const auto &board = m_ports.board();
    if (m_leading || m_resigned || !board.loaded() || !board.fresh()) {
        return false;
    }
    if (m_takeoverRequested) {
        return true;
    }
    const bool ownEarlierIncarnation = m_term.owner == m_self.owner && m_term.incarnationId != m_self.incarnationId;
    if (m_term.owner.empty() || ownEarlierIncarnation) {
        const auto rankDelay
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.rankDelayMax * (1 - m_priority));
        return ownEarlierIncarnation || Clock::now() - m_leaderSeenAt >= rankDelay;
    }
    // The timeout starts over after an outage of the mirror, during which heartbeats were not visible.
    const auto leaderMissingSince = std::max(m_leaderSeenAt, board.healthySince());
    const auto rankDelay
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.rankDelayMax * (1 - m_priority));
    return Clock::now() - leaderMissingSince >= leaderTimeout() + rankDelay;
}

template<protocol::batch::RowStore Store>
std::chrono::milliseconds Election<Store>::leaderTimeout() const
{
    const LeaderHealth health = m_healthToken == m_term.token ? m_leaderHealth : LeaderHealth::Unknown;
    switch (health) {
    case LeaderHealth::Silent:
        return m_times.silentLeaderTimeout;
    case LeaderHealth::Ended:
        return m_times.endedLeaderTimeout;
    case LeaderHealth::Unknown:
        break;
    }
    return m_times.heartbeatTimeout;
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::campaign()
{
    const bool requested = std::exchange(m_takeoverRequested, false);
    TermRecord next = m_self;
    next.token.value = m_term.token.value + 1;
    protocol::batch::RowTransaction transaction;
    transaction.conditions.push_back(condition());
    if (!requested) {
        // Rejects the campaign of a process whose mirror has fallen behind, while the leader sends heartbeats.
        transaction.conditions.push_back({{boardTable, deciderPart, heartbeatKey}, m_heartbeatVersion});
    }
    transaction.puts.push_back({{boardTable, deciderPart, termKey}, encodeTerm(next)});
    const auto sentAt = Clock::now();
    if (m_campaignToken != next.token) {
        m_campaignToken = next.token;
        m_campaignSentAt = sentAt;
    }
    const auto commit = co_await m_store.transact(transaction, m_times.callTimeout);
    if (commit.status == protocol::CommitStatus::Committed) {
        if (!m_leading && !m_resigned && commit.version > m_termVersion) {
            m_term = next;
            becomeLeader(commit.version, sentAt);
        }
    } else if (commit.status == protocol::CommitStatus::Conflict) {
        m_leaderSeenAt = Clock::now();
        for (const auto &row : commit.current) {
            applyRow(row);
        }
    } else {
        transport::log(transport::LogLevel::Warn, "campaign-unanswered", {{"error", commit.failure}});
    }
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::sendHeartbeat()
{
    const auto sentAt = Clock::now();
    m_heartbeatSentAt = sentAt;
    protocol::batch::RowTransaction transaction;
    transaction.conditions.push_back(condition());
    transaction.puts.push_back({{boardTable, deciderPart, heartbeatKey}, std::to_string(++m_heartbeats)});
    const auto commit = co_await m_store.transact(transaction, m_times.callTimeout);
    if (commit.status == protocol::CommitStatus::Committed) {
        confirm(sentAt);
    } else if (commit.status == protocol::CommitStatus::Conflict) {
        for (const auto &row : commit.current) {
            applyRow(row);
        }
        depose("the store rejected a heartbeat: the term has changed");
    }
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::run()
{
    while (!m_resigned) {
        if (m_leading && Clock::now() - m_heartbeatSentAt >= m_times.heartbeatInterval) {
            co_await sendHeartbeat();
        } else if (canCampaign()) {
            co_await campaign();
        }
        co_await protocol::waitFor(m_times.checkInterval);
    }
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::resign()
{
    m_resigned = true;
    if (!m_leading) {
        co_return;
    }
    const auto held = condition();
    TermRecord vacant;
    vacant.token = m_term.token;
    depose("this process is shutting down");
    protocol::batch::RowTransaction transaction;
    transaction.conditions.push_back(held);
    transaction.puts.push_back({held.key, encodeTerm(vacant)});
    const auto commit = co_await m_store.transact(transaction, m_times.callTimeout);
    transport::log(transport::LogLevel::Info, "decider-resigned",
                   {{"recorded", commit.status == protocol::CommitStatus::Committed ? "true" : "false"}});
}

} // namespace heatherquay::coordination::batch
