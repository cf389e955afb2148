#pragma once

#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination::batch
{

/// The decider's connection to one worker, with what it knows of the worker's clock and reported run ends.
/// @tparam Worker client that makes the calls
template<protocol::batch::WorkerCalls Worker>
struct WorkerSession
{
    using Clock = std::chrono::steady_clock;

    WorkerSession(const boost::asio::any_io_executor &executor, state::WorkerId workerId, std::string workerAddress,
                  std::shared_ptr<Worker> workerCalls)
        : id(std::move(workerId))
        , address(std::move(workerAddress))
        , calls(std::move(workerCalls))
        , wake(executor)
    {
    }

    state::WorkerId id;
    std::string address;
    std::shared_ptr<Worker> calls;
    boost::asio::steady_timer wake; ///< Cancelled to wake the poll loop.
    state::batch::Incarnation incarnation;
    std::optional<protocol::batch::WorkerTime> clock; ///< The worker's clock in its latest answer.
    Clock::time_point clockReadAt; ///< When that answer arrived, on this process's clock.
    std::uint64_t processedEnd{}; ///< Number of the newest run end that the scheduler has processed.
    std::uint64_t confirmedEnd{}; ///< Number of the newest run end whose records are stored.
    std::uint32_t failures{}; ///< Consecutive unanswered polls.
    bool polling{}; ///< The poll loop is running.
    bool mayPoll{}; ///< The queue of polls has let this session's poll through.
    std::uint64_t pollTicket{}; ///< Of that poll.
    bool closed{};

    /// Records a reading of the worker's clock.
    void updateClock(protocol::batch::WorkerTime reading)
    {
        // Answers may arrive out of order; within an incarnation the clock never goes back.
        if (!clock || reading >= *clock) {
            clock = reading;
            clockReadAt = Clock::now();
        }
    }
    /// The worker's clock must be known. It may run slower than this process's clock, but not faster.
    /// @return the expiry, on the worker's clock, of a lease that starts now and lasts @p length
    protocol::batch::WorkerTime leaseEnd(std::chrono::milliseconds length) const
    {
        const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - clockReadAt);
        return *clock + passed + length;
    }
    /// Resets the clock and the run end numbers when the worker's incarnation has changed.
    void updateIncarnation(state::batch::Incarnation now)
    {
        if (incarnation != now) {
            incarnation = now;
            processedEnd = 0;
            confirmedEnd = 0;
            clock.reset();
        }
    }
};

} // namespace heatherquay::coordination::batch
