#pragma once

#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <chrono>
#include <optional>

namespace heatherquay::coordination::batch
{

/// Lower bound of a worker's clock, derived from the clock readings in its answers. A worker's clock may run slower
/// than the local steady clock, but not faster. A lease that counts from the lower bound is therefore never longer than
/// intended, however old the latest reading is.
class WorkerClock
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param rateMin slowest rate of the worker's clock relative to the local one
    explicit WorkerClock(double rateMin);

    /// Records a reading from an answer that arrived at @p arrivedAt.
    void update(protocol::batch::WorkerTime reading, Clock::time_point arrivedAt);
    /// Forgets the readings, because the worker has restarted.
    void reset();

    bool known() const
    {
        return m_reading.has_value();
    }
    /// The clock must be known.
    /// @return the earliest time that the worker's clock may show at @p now
    protocol::batch::WorkerTime earliest(Clock::time_point now) const;
    /// @return how far the worker's clock may be ahead of earliest() because of its unknown rate; the maximum of the
    /// type while the clock is unknown
    std::chrono::milliseconds uncertainty(Clock::time_point now) const;

private:
    double m_rateMin;
    std::optional<protocol::batch::WorkerTime> m_reading;
    Clock::time_point m_readAt; ///< When the answer with the reading arrived.
};

} // namespace heatherquay::coordination::batch
