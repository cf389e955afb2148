#pragma once

#include "heatherquay/state/batch/scheduler.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace heatherquay::coordination::batch
{

/// What waits in the decider.
struct DeciderBacklog
{
    std::size_t orders{}; ///< Orders that are not sent yet.
    std::size_t polls{}; ///< Polls that are not sent yet, of those that are answered at once.
    std::size_t jobs{}; ///< Jobs that have not ended.
};

/// Sums up what the decider did since the last log line. Tells apart a decider without processor time, a slow store and
/// a queue of orders, which all delay starts.
class DeciderLoad
{
public:
    using Clock = std::chrono::steady_clock;

    void addPass(std::chrono::microseconds decision, std::uint64_t examined, std::size_t starts, std::size_t stops);
    void addRows(std::size_t rows);
    void addStoreTime(std::chrono::microseconds time);
    /// @param time how long the scheduler took for the report of one worker
    void addReport(std::chrono::microseconds time);
    /// @param wait how long a poll waited to be sent
    void addPollWait(std::chrono::microseconds wait);
    /// @param lag how late a timer fired
    void addLag(std::chrono::microseconds lag);

    /// @return since when the sums run
    Clock::time_point begunAt() const
    {
        return m_begunAt;
    }
    /// Logs the sums, which start again at zero.
    void log(Clock::time_point now, const DeciderBacklog &backlog, const state::batch::PoolUsage &usage);

private:
    struct Sums
    {
        std::uint32_t passes{};
        std::uint32_t reports{};
        std::size_t starts{};
        std::size_t stops{};
        std::size_t rows{};
        std::uint64_t examined{};
        std::chrono::microseconds deciding{};
        std::chrono::microseconds longestDecision{};
        std::chrono::microseconds storing{};
        std::chrono::microseconds reporting{};
        std::chrono::microseconds longestPollWait{};
        std::chrono::microseconds longestLag{};
    };
    Sums m_sums;
    Clock::time_point m_begunAt{Clock::now()};
};

} // namespace heatherquay::coordination::batch
