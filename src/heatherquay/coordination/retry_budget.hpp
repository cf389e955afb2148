#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace heatherquay::coordination
{

/// Token bucket that limits retries to a share of the successful requests plus a constant rate, so that retries cannot
/// multiply the load on a failing service. Lock-free.
class RetryBudget
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param share retries added per successful request
    /// @param perSecond retries added per second, in addition to the share
    RetryBudget(double share, double perSecond, Clock::time_point now = Clock::now());

    /// Adds the share of one successful request.
    void onSuccess();
    /// Withdraws one retry from the budget.
    /// @return whether the budget allowed the retry
    bool tryWithdraw(Clock::time_point now = Clock::now());

private:
    void add(std::int64_t amount);
    void refill(Clock::time_point now);

    const std::int64_t m_perSuccess; ///< In thousandths of a retry, like all amounts.
    const std::int64_t m_perSecond;
    const std::int64_t m_capacity;
    std::atomic<std::int64_t> m_available;
    std::atomic<std::int64_t> m_refilledAt; ///< Steady-clock time in milliseconds.
};

} // namespace heatherquay::coordination
