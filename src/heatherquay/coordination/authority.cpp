#include "heatherquay/coordination/authority.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

Authority::Authority(std::chrono::milliseconds lease, std::chrono::milliseconds pauseThreshold, Clock::time_point now)
    : m_lease(lease)
    , m_pauseThreshold(pauseThreshold)
    , m_lastTick(now)
{
}

bool Authority::tick(Clock::time_point now)
{
    const bool paused = now - m_lastTick.load() > m_pauseThreshold;
    if (paused) {
        // m_lastTick is stored last: a reader must not combine the new tick with the lease from before the pause.
        m_earliestSendTime = now;
        revoke();
    }
    m_lastTick = now;
    return paused;
}

void Authority::extendLease(Clock::time_point sentAt)
{
    if (sentAt >= m_earliestSendTime.load()) {
        m_leaseUntil = std::max(m_leaseUntil.load(), sentAt + m_lease);
    }
}

void Authority::setOutageAuthorityUntil(Clock::time_point until)
{
    m_outageAuthorityUntil = until;
}

void Authority::revoke()
{
    m_leaseUntil = Clock::time_point();
    m_outageAuthorityUntil = Clock::time_point();
}

Authority::Clock::time_point Authority::earliestSendTime() const
{
    return m_earliestSendTime;
}

bool Authority::mayAct(Clock::time_point now) const
{
    if (now - m_lastTick.load() > m_pauseThreshold) {
        return false;
    }
    return now < m_leaseUntil.load() || now < m_outageAuthorityUntil.load();
}

} // namespace heatherquay::coordination
