#pragma once

#include <chrono>
#include <mutex>

namespace heatherquay::protocol
{

/// Limits the rate of an operation. Thread-safe. The token count may become negative, for example if the cost of an
/// operation is known only afterwards. Later operations then wait until the bucket is refilled, which keeps the mean
/// rate.
class TokenBucket
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param perSecond mean rate in tokens per second, above 0
    explicit TokenBucket(double perSecond, Clock::time_point now = Clock::now());

    /// Changes the rate. The bucket keeps its tokens, up to the new burst size.
    void setRate(double perSecond, Clock::time_point now = Clock::now());

    /// Takes @p cost tokens if the bucket holds that many, or if it is full.
    /// @return zero if the tokens were taken, otherwise the time to wait before the next attempt
    std::chrono::microseconds tryTake(double cost, Clock::time_point now = Clock::now());

    /// Takes @p cost tokens even if the token count becomes negative.
    void charge(double cost, Clock::time_point now = Clock::now());

private:
    void refill(Clock::time_point now);

    std::mutex m_mutex;
    double m_perSecond;
    double m_tokens;
    Clock::time_point m_refilledAt;
};

} // namespace heatherquay::protocol
