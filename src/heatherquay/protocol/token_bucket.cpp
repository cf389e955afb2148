#include "heatherquay/protocol/token_bucket.hpp"

#include <algorithm>

namespace heatherquay::protocol
{

namespace detail
{

/// The burst is short, so that all entries together stay close to their budget within any second.
constexpr double burstSeconds = 0.01;
constexpr double refillRatioMin
    = 0.9; // Smallest ratio of refill to rate, for rates so low that burstMin is a large part.
constexpr double burstMin = 1.9; // Just below two calls, so that a call that comes late loses no tokens.
constexpr double rateMin = 0.1;

double burstSize(double perSecond)
{
    return std::max(burstMin, perSecond * burstSeconds);
}

/// @return the tokens per second at which a full burst plus one second of refill stay below the rate plus one call
double refillRate(double perSecond)
{
    constexpr double partOfCall = 0.9;
    return std::max(perSecond * refillRatioMin, perSecond - burstSize(perSecond) + partOfCall);
}

} // namespace detail

TokenBucket::TokenBucket(double perSecond, Clock::time_point now)
    : m_perSecond(std::max(detail::rateMin, perSecond))
    , m_tokens(detail::burstSize(perSecond))
    , m_refilledAt(now)
{
}

void TokenBucket::setRate(double perSecond, Clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    m_perSecond = std::max(detail::rateMin, perSecond);
    m_tokens = std::min(m_tokens, detail::burstSize(m_perSecond));
}

std::chrono::microseconds TokenBucket::tryTake(double cost, Clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    // A cost above the burst size waits only for a full bucket, because the bucket never holds enough tokens for it.
    const double needed = std::min(cost, detail::burstSize(m_perSecond));
    if (m_tokens >= needed) {
        m_tokens -= cost;
        return std::chrono::microseconds(0);
    }
    const std::chrono::duration<double> wait((needed - m_tokens) / detail::refillRate(m_perSecond));
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
    if (now <= m_refilledAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(detail::burstSize(m_perSecond), m_tokens + elapsed.count() * detail::refillRate(m_perSecond));
    m_refilledAt = now;
}

} // namespace heatherquay::protocol
