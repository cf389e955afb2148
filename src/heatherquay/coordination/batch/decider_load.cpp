#include "heatherquay/coordination/batch/decider_load.hpp"

#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <string>

namespace heatherquay::coordination::batch
{

namespace detail
{

std::string milliseconds(std::chrono::microseconds time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace detail

void DeciderLoad::addPass(std::chrono::microseconds decision, std::uint64_t examined, std::size_t starts,
                          std::size_t stops)
{
    ++m_sums.passes;
    m_sums.deciding += decision;
    m_sums.longestDecision = std::max(m_sums.longestDecision, decision);
    m_sums.examined += examined;
    m_sums.starts += starts;
    m_sums.stops += stops;
}

void DeciderLoad::addRows(std::size_t rows)
{
    m_sums.rows += rows;
}

void DeciderLoad::addStoreTime(std::chrono::microseconds time)
{
    m_sums.storing += time;
}

void DeciderLoad::addReport(std::chrono::microseconds time)
{
    ++m_sums.reports;
    m_sums.reporting += time;
}

void DeciderLoad::addPollWait(std::chrono::microseconds wait)
{
    m_sums.longestPollWait = std::max(m_sums.longestPollWait, wait);
}

void DeciderLoad::addLag(std::chrono::microseconds lag)
{
    m_sums.longestLag = std::max(m_sums.longestLag, lag);
}

void DeciderLoad::log(Clock::time_point now, const DeciderBacklog &backlog, const state::batch::PoolUsage &usage)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - m_begunAt);
    transport::log(transport::LogLevel::Info, "decider-load",
                   {{"elapsed_ms", detail::milliseconds(elapsed)},
                    {"lag_max_ms", detail::milliseconds(m_sums.longestLag)},
                    {"passes", std::to_string(m_sums.passes)},
                    {"decide_ms", detail::milliseconds(m_sums.deciding)},
                    {"decide_max_ms", detail::milliseconds(m_sums.longestDecision)},
                    {"examined", std::to_string(m_sums.examined)},
                    {"store_ms", detail::milliseconds(m_sums.storing)},
                    {"rows", std::to_string(m_sums.rows)},
                    {"reports", std::to_string(m_sums.reports)},
                    {"report_ms", detail::milliseconds(m_sums.reporting)},
                    {"poll_wait_max_ms", detail::milliseconds(m_sums.longestPollWait)},
                    {"waiting_polls", std::to_string(backlog.polls)},
                    {"starts", std::to_string(m_sums.starts)},
                    {"stops", std::to_string(m_sums.stops)},
                    {"queued_orders", std::to_string(backlog.orders)},
                    {"live_jobs", std::to_string(backlog.jobs)},
                    {"accelerators", std::to_string(usage.capacity)},
                    {"reserved", std::to_string(usage.reserved)},
                    {"starting", std::to_string(usage.starting)},
                    {"running", std::to_string(usage.running)},
                    {"stopping", std::to_string(usage.stopping)},
                    {"kept", std::to_string(usage.kept)},
                    {"kept_idle", std::to_string(usage.keptIdle)},
                    {"waiting_gangs", std::to_string(usage.waitingGangs)}});
    m_sums = {};
    m_begunAt = now;
}

} // namespace heatherquay::coordination::batch
