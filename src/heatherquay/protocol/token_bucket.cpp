#include "heatherquay/protocol/token_bucket.hpp"

#include <algorithm>

namespace heatherquay::protocol
{

namespace detail
{

/// The burst is short, so that all entries together stay near their budget within any second.
constexpr double burstSeconds = 0.01;
constexpr double refillShareMin = 0.9; // Of the rate, for rates so low that the smallest burst is a large part.
constexpr double burstMin = 1.9; // Just below two calls, so that a late taker loses nothing.
constexpr double rateMin = 0.1;

double burstOf(double perSecond)
{
    return std::max(burstMin, perSecond * burstSeconds);
}

/// The refill at which a whole burst and a second of refill together stay below one call more than the rate.
double refillOf(double perSecond)
{
    constexpr double partOfCall = 0.9;
    return std::max(perSecond * refillShareMin, perSecond - burstOf(perSecond) + partOfCall);
}

} // namespace detail

TokenBucket::TokenBucket(double perSecond, Clock::time_point now)
    : m_perSecond(std::max(detail::rateMin, perSecond))
    , m_tokens(detail::burstOf(perSecond))
    , m_filledAt(now)
{
}

void TokenBucket::setRate(double perSecond, Clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    m_perSecond = std::max(detail::rateMin, perSecond);
    m_tokens = std::min(m_tokens, detail::burstOf(m_perSecond));
}

std::chrono::microseconds TokenBucket::take(double cost, Clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    // A cost above the burst only waits for a full bucket; it could never be taken otherwise.
    const double needed = std::min(cost, detail::burstOf(m_perSecond));
    if (m_tokens >= needed) {
        m_tokens -= cost;
        return std::chrono::microseconds(0);
    }
    const std::chrono::duration<double> wait((needed - m_tokens) / detail::refillOf(m_perSecond));
    return std::chrono::duration_cast<std::chrono::microseconds>(wait) + std::chrono::microseconds(1);
}

void TokenBucket::charge(double cost, Clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    m_tokens -= cost;
}

void TokenBucket::refill(Clock::time_point now)
{
    if (now <= m_filledAt) {
        return;
    }
    const std::chrono::duration<double> passed = now - m_filledAt;
    m_tokens = std::min(detail::burstOf(m_perSecond), m_tokens + passed.count() * detail::refillOf(m_perSecond));
    m_filledAt = now;
}

} // namespace heatherquay::protocol
