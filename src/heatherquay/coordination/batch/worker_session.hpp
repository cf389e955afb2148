#pragma once

#include "heatherquay/coordination/batch/worker_clock.hpp"
#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
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

    /// Counts a start order as in flight during its lifetime.
    class StartInFlight
    {
    public:
        explicit StartInFlight(WorkerSession &session)
            : m_session(session)
        {
            ++m_session.startsSent;
            ++m_session.startsInFlight;
        }
        ~StartInFlight()
        {
            --m_session.startsInFlight;
        }
        StartInFlight(const StartInFlight &) = delete;
        StartInFlight &operator=(const StartInFlight &) = delete;

    private:
        WorkerSession &m_session;
    };

    state::WorkerId id;
    std::string address;
    std::shared_ptr<Worker> calls;
    boost::asio::steady_timer wake; ///< Cancelled to wake the poll loop.
    state::batch::Incarnation incarnation;
    /// Open connection over which the current incarnation has answered the latest poll. Calls over it cannot reach
    /// another incarnation, which numbers its run ends anew.
    std::optional<transport::ConnectionId> connection;
    /// Connections over which the current incarnation has answered orders.
    std::set<transport::ConnectionId> orderConnections;
    bool closesConnections{}; ///< The worker closed the connection after its latest answer.
    std::uint32_t startsInFlight{}; ///< Start orders without an answer.
    std::uint64_t startsSent{};
    std::uint64_t startsBeforeListing{}; ///< Start orders that were answered before the latest answered poll was sent.
    bool confirming{}; ///< A poll that confirms ends is under way over a new connection; no start may overtake it.
    WorkerClock clock; ///< Of the current incarnation.
    std::uint64_t processedEnd{}; ///< Number of the newest run end that the scheduler has processed.
    std::uint64_t confirmedEnd{}; ///< Number of the newest run end whose records are stored.
    std::uint64_t listedEnd{}; ///< Highest number of the run ends in the latest answer; 0 when it had none.
    std::uint32_t failures{}; ///< Consecutive unanswered polls.
    bool polling{}; ///< The poll loop is running.
    bool mayPoll{}; ///< The queue of polls has let this session's poll through.
    std::uint64_t pollTicket{}; ///< Of that poll.
    bool pollsAsSilent{}; ///< That poll is in the queue of silent workers.
    bool closed{}; ///< The worker is gone or has another address; answers of this session are discarded.

    /// Identifies what a call was sent to.
    struct Exchange
    {
        state::batch::Incarnation incarnation;
    };
    Exchange beginExchange() const
    {
        return {incarnation};
    }
    /// @return whether the answer to a call of the exchange concerns the worker as it is known now: the worker has
    /// neither restarted nor moved to another address since
    bool isCurrent(const Exchange &exchange) const
    {
        return !closed && incarnation == exchange.incarnation;
    }
    /// @return whether a poll goes to the incarnation that has answered the latest one, or at least to a worker that is
    /// known to keep no connections
    bool hasAnswered() const
    {
        return connection || closesConnections;
    }
    /// @return the number of the newest run end that a poll may confirm; 0 for none
    std::uint64_t confirmableEnd() const
    {
        // Over a new connection the number may reach a later incarnation, in which only starts that were sent after
        // the ends were listed can have led to ends.
        const bool noStartSince = closesConnections && startsInFlight == 0 && startsSent == startsBeforeListing;
        return connection || noStartSince ? std::min(confirmedEnd, listedEnd) : 0;
    }

    /// Resets the clock and the run end numbers when the worker's incarnation has changed.
    /// @return whether the worker has restarted
    bool updateIncarnation(state::batch::Incarnation now)
    {
        if (incarnation == now) {
            return false;
        }
        const bool restarted = incarnation.value != 0;
        incarnation = now;
        connection.reset();
        orderConnections.clear();
        processedEnd = 0;
        confirmedEnd = 0;
        listedEnd = 0;
        clock.reset();
        return restarted;
    }
};

} // namespace heatherquay::coordination::batch
