#include "heatherquay/protocol/backoff.hpp"

#include <algorithm>

namespace heatherquay::protocol
{

Backoff::Backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max, std::uint64_t seed)
    : m_initial(initial)
    , m_max(max)
    , m_bound(initial)
    , m_random(seed)
{
}

std::chrono::milliseconds Backoff::next()
{
    std::uniform_int_distribution<std::int64_t> distribution(0, m_bound.count());
    const std::chrono::milliseconds delay(distribution(m_random));
    m_bound = std::min(m_max, m_bound * 2);
    return delay;
}

void Backoff::reset()
{
    m_bound = m_initial;
}

} // namespace heatherquay::protocol
