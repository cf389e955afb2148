#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace heatherquay::protocol
{

/// Exponential backoff with full jitter: each delay is uniform between zero and a bound that doubles with every
/// consecutive failure. Not thread-safe.
class Backoff
{
public:
    /// @param initial bound of the first delay
    /// @param max largest bound
    /// @param seed seed of the random delays
    Backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max, std::uint64_t seed);

    /// Records a failure and doubles the bound, up to the maximum.
    /// @return the time to wait before the next attempt
    std::chrono::milliseconds next();
    /// Sets the bound back to its initial value; call it after a success.
    void reset();

private:
    std::chrono::milliseconds m_initial;
    std::chrono::milliseconds m_max;
    std::chrono::milliseconds m_bound;
    std::mt19937_64 m_random;
};

} // namespace heatherquay::protocol
