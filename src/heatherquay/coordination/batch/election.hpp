#pragma once

#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/coordination/batch/table_mirror.hpp"
#include "heatherquay/coordination/batch/term.hpp"
#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <functional>

namespace heatherquay::coordination::batch
{

struct ElectionTimes
{
    std::chrono::milliseconds pulseEvery{400}; ///< Several chances within takeoverAfter on a slow store.
    std::chrono::milliseconds takeoverAfter{1'500}; ///< Without a pulse; a slow store delays one by a second.
    std::chrono::milliseconds check{50};
    std::chrono::milliseconds call{1'000};
    std::chrono::milliseconds rankSpread{400}; ///< Added for the least able VM, so that the ablest goes first.
};

/// Chooses the one process that decides. The store's conditions keep two processes from holding one token; the pulse
/// only says when to try.
template<protocol::batch::RowStore Store>
class Election
{
public:
    using Clock = std::chrono::steady_clock;
    struct Ports
    {
        std::function<void(protocol::batch::FencingToken)> elected;
        std::function<void(const std::string &reason)> deposed;
        std::function<const TableMirror<Store> &()> board;
    };

    /// @param self this process
    /// @param ability 0 to 1, the larger the sooner it takes over
    Election(Store &store, TermRecord self, double ability, Ports ports, ElectionTimes times = {})
        : m_store(store)
        , m_self(std::move(self))
        , m_ability(ability)
        , m_ports(std::move(ports))
        , m_times(times)
        , m_signOfLife(Clock::now())
    {
    }

    /// Takes in a row of the board.
    void take(const protocol::batch::StoredRow &row);
    /// Campaigns and renews until resign().
    boost::asio::awaitable<void> run();
    /// Stops deciding and lets another process take over at once.
    boost::asio::awaitable<void> resign();
    /// Stops deciding; for a decider that was told that another one has taken over.
    void depose(const std::string &reason);
    /// The decider of term @p token cannot reach the store and asks this process to take over.
    /// @return whether it will try at once
    bool invite(protocol::batch::FencingToken token)
    {
        const bool current = token == m_term.token && !m_leading && !m_resigned;
        m_invited = current && m_ports.board().fresh();
        return m_invited;
    }
    /// Notes that a write under the term's condition succeeded. @param sentAt when it was sent
    void confirm(Clock::time_point sentAt)
    {
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
    }

    bool leading() const
    {
        return m_leading;
    }
    /// @return when the store last confirmed that this process decides
    Clock::time_point confirmedAt() const
    {
        return m_confirmedAt;
    }
    /// @return what every write of the decider is conditional on
    protocol::batch::RowCondition condition() const
    {
        return {{boardTable, deciderPart, termKey}, m_termVersion};
    }
    const TermRecord &term() const
    {
        return m_term;
    }

private:
    bool mayCampaign() const;
    boost::asio::awaitable<void> campaign();
    boost::asio::awaitable<void> pulse();
    void lead(std::uint64_t version);

    Store &m_store;
    TermRecord m_self;
    double m_ability;
    Ports m_ports;
    ElectionTimes m_times;
    TermRecord m_term;
    std::uint64_t m_termVersion{};
    Clock::time_point m_signOfLife;
    Clock::time_point m_confirmedAt;
    Clock::time_point m_pulsedAt;
    bool m_leading{};
    bool m_resigned{};
    bool m_invited{};
    std::uint64_t m_pulses{};
};

template<protocol::batch::RowStore Store>
void Election<Store>::take(const protocol::batch::StoredRow &row)
{
    if (row.key.part != deciderPart || row.removed) {
        return;
    }
    m_signOfLife = Clock::now();
    if (row.key.key != termKey || row.version <= m_termVersion) {
        return;
    }
    const auto term = decodeTerm(row.value);
    if (!term) {
        transport::log(transport::LogLevel::Error, "term-unreadable", {{"value", row.value}});
        return;
    }
    const bool own = term->owner == m_self.owner && term->life == m_self.life;
    m_term = *term;
    if (own && !m_leading && !m_resigned) {
        // A campaign whose answer was lost has succeeded.
        lead(row.version);
        return;
    }
    m_termVersion = row.version;
    if (!own && m_leading) {
        depose("another process holds token " + std::to_string(m_term.token.value));
    }
}

template<protocol::batch::RowStore Store>
void Election<Store>::lead(std::uint64_t version)
{
    m_termVersion = version;
    m_leading = true;
    m_confirmedAt = Clock::now();
    m_pulsedAt = m_confirmedAt;
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
    m_signOfLife = Clock::now();
    transport::log(transport::LogLevel::Warn, "decider-deposed",
                   {{"token", std::to_string(m_term.token.value)}, {"reason", reason}});
    m_ports.deposed(reason);
}

template<protocol::batch::RowStore Store>
bool Election<Store>::mayCampaign() const
{
    const auto &board = m_ports.board();
    if (m_leading || m_resigned || !board.loaded() || !board.fresh()) {
        return false;
    }
    if (m_invited) {
        return true;
    }
    const bool ownEarlierLife = m_term.owner == m_self.owner && m_term.life != m_self.life;
    if (m_term.owner.empty() || ownEarlierLife) {
        const auto rank = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.rankSpread * (1 - m_ability));
        return ownEarlierLife || Clock::now() - m_signOfLife >= rank;
    }
    // While this process could not read the board, the decider's pulses went unseen.
    const auto unseenSince = std::max(m_signOfLife, board.healthySince());
    const auto rank = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.rankSpread * (1 - m_ability));
    return Clock::now() - unseenSince >= m_times.takeoverAfter + rank;
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::campaign()
{
    m_invited = false;
    TermRecord next = m_self;
    next.token.value = m_term.token.value + 1;
    protocol::batch::RowTransaction transaction;
    transaction.conditions.push_back(condition());
    transaction.puts.push_back({{boardTable, deciderPart, termKey}, encodeTerm(next)});
    const auto commit = co_await m_store.transact(transaction, m_times.call);
    if (commit.status == protocol::CommitStatus::Committed) {
        if (!m_leading && !m_resigned && commit.version > m_termVersion) {
            m_term = next;
            lead(commit.version);
        }
    } else if (commit.status == protocol::CommitStatus::Conflict) {
        m_signOfLife = Clock::now();
        for (const auto &row : commit.current) {
            take(row);
        }
    } else {
        transport::log(transport::LogLevel::Warn, "campaign-unanswered", {{"error", commit.failure}});
    }
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::pulse()
{
    const auto sentAt = Clock::now();
    m_pulsedAt = sentAt;
    protocol::batch::RowTransaction transaction;
    transaction.conditions.push_back(condition());
    transaction.puts.push_back({{boardTable, deciderPart, pulseKey}, std::to_string(++m_pulses)});
    const auto commit = co_await m_store.transact(transaction, m_times.call);
    if (commit.status == protocol::CommitStatus::Committed) {
        confirm(sentAt);
    } else if (commit.status == protocol::CommitStatus::Conflict) {
        for (const auto &row : commit.current) {
            take(row);
        }
        depose("the store refused the term");
    }
}

template<protocol::batch::RowStore Store>
boost::asio::awaitable<void> Election<Store>::run()
{
    while (!m_resigned) {
        if (m_leading && Clock::now() - m_pulsedAt >= m_times.pulseEvery) {
            co_await pulse();
        } else if (mayCampaign()) {
            co_await campaign();
        }
        co_await protocol::waitFor(m_times.check);
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
    depose("this process stops");
    protocol::batch::RowTransaction transaction;
    transaction.conditions.push_back(held);
    transaction.puts.push_back({held.key, encodeTerm(vacant)});
    const auto commit = co_await m_store.transact(transaction, m_times.call);
    transport::log(transport::LogLevel::Info, "decider-resigned",
                   {{"recorded", commit.status == protocol::CommitStatus::Committed ? "true" : "false"}});
}

} // namespace heatherquay::coordination::batch
