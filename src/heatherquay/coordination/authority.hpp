#pragma once

#include <atomic>
#include <chrono>

namespace heatherquay::coordination
{

/// Decides whether this process may start new work: it needs a current membership lease or, during an outage of the
/// table, the support of a majority of the members. Any thread may read; all writes come from one strand.
class Authority
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param lease how long a renewal is valid, counted from the time at which it was sent
    /// @param pauseThreshold a longer time between two ticks means that the process was paused
    Authority(std::chrono::milliseconds lease, std::chrono::milliseconds pauseThreshold, Clock::time_point now);

    /// Called periodically by a timer of the entry.
    /// @return whether the process was paused since the last call; if so, the lease and the outage authority end
    bool tick(Clock::time_point now);
    /// Extends the lease after a successful renewal. Does nothing if @p sentAt is before earliestSendTime().
    void extendLease(Clock::time_point sentAt);
    /// Sets until when the entry may act without a lease during an outage of the table; a past time revokes this.
    void setOutageAuthorityUntil(Clock::time_point until);
    /// Ends the lease and the outage authority, for example after the entry left the member list or was removed.
    void revoke();

    /// @return the end of the last pause; renewals and exchanges sent before it give no authority
    Clock::time_point earliestSendTime() const;
    /// @param now the time of the call; reading the clock on each call makes the result false directly after a pause,
    /// before any timer has run
    bool mayAct(Clock::time_point now) const;

private:
    std::chrono::milliseconds m_lease;
    std::chrono::milliseconds m_pauseThreshold;
    std::atomic<Clock::time_point> m_lastTick;
    std::atomic<Clock::time_point> m_leaseUntil{Clock::time_point()};
    std::atomic<Clock::time_point> m_outageAuthorityUntil{Clock::time_point()};
    std::atomic<Clock::time_point> m_earliestSendTime{Clock::time_point()};
};

} // namespace heatherquay::coordination
