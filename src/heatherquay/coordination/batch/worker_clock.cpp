#include "heatherquay/coordination/batch/worker_clock.hpp"

#include <cmath>

namespace heatherquay::coordination::batch
{

using protocol::batch::WorkerTime;

WorkerClock::WorkerClock(double rateMin)
    : m_rateMin(rateMin)
{
}

void WorkerClock::update(WorkerTime reading, Clock::time_point arrivedAt)
{
    // A delayed answer carries an old reading, which says less than the bound from an earlier answer.
    if (!m_reading || reading >= earliest(arrivedAt)) {
        m_reading = reading;
        m_readAt = arrivedAt;
    }
}

void WorkerClock::reset()
{
    m_reading.reset();
}

WorkerTime WorkerClock::earliest(Clock::time_point now) const
{
    const double passed = std::chrono::duration<double, std::milli>(now - m_readAt).count();
    return *m_reading + WorkerTime(static_cast<WorkerTime::rep>(std::floor(passed * m_rateMin)));
}

std::chrono::milliseconds WorkerClock::uncertainty(Clock::time_point now) const
{
    if (!m_reading) {
        return std::chrono::milliseconds::max();
    }
    return std::chrono::ceil<std::chrono::milliseconds>((now - m_readAt) * (1 - m_rateMin));
}

} // namespace heatherquay::coordination::batch
