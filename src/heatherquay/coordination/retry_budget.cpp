#include "heatherquay/coordination/retry_budget.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

namespace detail
{

constexpr std::int64_t unitsPerRetry = 1'000;
/// Time over which unused retries accumulate for a burst.
constexpr std::int64_t burstSeconds = 10;

std::int64_t toMilliseconds(RetryBudget::Clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace detail

RetryBudget::RetryBudget(double share, double perSecond, Clock::time_point now)
    : m_perSuccess(static_cast<std::int64_t>(share * detail::unitsPerRetry))
    , m_perSecond(static_cast<std::int64_t>(perSecond * detail::unitsPerRetry))
    , m_capacity(std::max(detail::unitsPerRetry, m_perSecond * detail::burstSeconds))
    , m_available(m_perSecond)
    , m_refilledAt(detail::toMilliseconds(now))
{
}

void RetryBudget::add(std::int64_t amount)
{
    std::int64_t available = m_available.load();
    while (!m_available.compare_exchange_weak(available, std::min(m_capacity, available + amount))) { }
}

void RetryBudget::refill(Clock::time_point now)
{
    const std::int64_t time = detail::toMilliseconds(now);
    std::int64_t lastRefill = m_refilledAt.load();
    if (time > lastRefill && m_refilledAt.compare_exchange_strong(lastRefill, time)) {
        add(std::min(m_capacity, (time - lastRefill) * m_perSecond / 1'000));
    }
}

void RetryBudget::onSuccess()
{
    add(m_perSuccess);
}

bool RetryBudget::tryWithdraw(Clock::time_point now)
{
    refill(now);
    std::int64_t available = m_available.load();
    while (available >= detail::unitsPerRetry) {
        if (m_available.compare_exchange_weak(available, available - detail::unitsPerRetry)) {
            return true;
        }
    }
    return false;
}

} // namespace heatherquay::coordination
