#pragma once

#include "heatherquay/coordination/batch/worker_clock.hpp"
#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination::batch
{

/// The decider's connection to one worker, with what it knows of the worker's clock and reported run ends.
/// @tparam Worker client that makes the calls
template<protocol::batch::WorkerCalls Worker>
struct WorkerSession
{
    WorkerSession(const boost::asio::any_io_executor &executor, state::WorkerId workerId, std::string workerAddress,
                  std::shared_ptr<Worker> workerCalls, double clockRateMin)
        : id(std::move(workerId))
        , address(std::move(workerAddress))
        , calls(std::move(workerCalls))
        , wake(executor)
        , clock(clockRateMin)
    {
    }

    state::WorkerId id;
    std::string address;
    std::shared_ptr<Worker> calls;
    boost::asio::steady_timer wake; ///< Cancelled to wake the poll loop.
    state::batch::Incarnation incarnation;
    WorkerClock clock; ///< Of the current incarnation.
    std::uint64_t processedEnd{}; ///< Number of the newest run end that the scheduler has processed.
    std::uint64_t confirmedEnd{}; ///< Number of the newest run end whose records are stored.
    std::uint32_t failures{}; ///< Consecutive unanswered polls.
    bool polling{}; ///< The poll loop is running.
    bool mayPoll{}; ///< The queue of polls has let this session's poll through.
    std::uint64_t pollTicket{}; ///< Of that poll.
    bool pollsAsSilent{}; ///< That poll is in the queue of silent workers.
    bool closed{};

    /// Resets the clock and the run end numbers when the worker's incarnation has changed.
    /// @return whether the worker has restarted
    bool updateIncarnation(state::batch::Incarnation now)
    {
        if (incarnation == now) {
            return false;
        }
        const bool restarted = incarnation.value != 0;
        incarnation = now;
        processedEnd = 0;
        confirmedEnd = 0;
        clock.reset();
        return restarted;
    }
};

} // namespace heatherquay::coordination::batch
