#pragma once

#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination::batch
{

/// The decider's contact with one worker. @tparam Worker makes the calls
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
    boost::asio::steady_timer wake; ///< Cancelled when there is something to do.
    state::batch::Incarnation incarnation;
    std::optional<protocol::batch::WorkerTime> clock; ///< The worker's clock when it last answered, ...
    Clock::time_point clockAt; ///< ... and when that answer came in.
    std::uint64_t processedEnd{}; ///< Newest end that the scheduler has taken in.
    std::uint64_t confirmedEnd{}; ///< Newest end whose consequences are stored.
    std::uint32_t failures{}; ///< Unanswered looks in a row.
    bool looking{}; ///< The look loop runs.
    bool closed{};

    void noteClock(protocol::batch::WorkerTime reading)
    {
        // Answers may overtake each other; the clock only goes forward within an incarnation.
        if (!clock || reading >= *clock) {
            clock = reading;
            clockAt = Clock::now();
        }
    }
    /// @return the end of a lease of @p length from now on the worker's clock; its clock may be slow, never fast
    protocol::batch::WorkerTime leaseEnd(std::chrono::milliseconds length) const
    {
        const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - clockAt);
        return *clock + passed + length;
    }
    /// Takes in which life of the worker answered. Numbers of ends and the clock start anew with each.
    void noteIncarnation(state::batch::Incarnation now)
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
