#pragma once

#include "heatherquay/state/batch/scheduler.hpp"
#include "heatherquay/transport/connection_id.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol::batch
{

/// Time since the worker's start, on its own steady clock.
using WorkerTime = std::chrono::milliseconds;

/// Identifies the term of the leader. A worker rejects orders whose token is lower than the highest that it has seen.
using FencingToken = state::StrongId<struct FencingTokenTag, std::uint64_t>;

/// Result of a call to a worker.
enum class CallStatus
{
    Answered,
    Fenced, ///< Rejected: the worker has seen a higher token from another decider.
    OtherIncarnation, ///< Not carried out: the worker has restarted.
    Refused, ///< Not carried out, for another reason.
    NoCapacity, ///< Not carried out: the worker lacks capacity.
    NoTicket, ///< Not carried out: the ticket is missing or invalid.
    NotSent, ///< Not carried out: no byte of the request left this VM.
    Unknown ///< May have been carried out, or may be carried out later.
};

/// Polls a worker for its runs and extends its lease.
struct PollRequest
{
    FencingToken token;
    /// The poll is sent over this connection or, when it is closed, not at all; empty for any connection, also a new
    /// one.
    std::optional<transport::ConnectionId> connection;
    /// The worker discards the run ends up to this number. A restarted worker numbers its ends anew, so that a number
    /// is valid only over a connection on which the worker has reported it.
    std::uint64_t confirmedEnd{};
    std::optional<WorkerTime> leaseUntil; ///< New end of the lease; empty to poll without an extension.
    /// How long the worker holds the answer until a run ends that is not confirmed yet.
    std::chrono::milliseconds wait{};
};

/// Answer to a poll.
struct PollAnswer
{
    CallStatus status{CallStatus::Unknown};
    /// Over which the worker has answered, unless it has closed it.
    std::optional<transport::ConnectionId> connection;
    WorkerTime clock{};
    state::batch::WorkerReport report;
    std::string failure;
};

/// Answer to a start, stop or pace order.
struct OrderAnswer
{
    CallStatus status{CallStatus::Unknown};
    std::optional<transport::ConnectionId> connection; ///< Over which the order was sent; empty when it was not.
    std::optional<WorkerTime> clock; ///< Empty when the answer has no reading.
    std::string failure;
};

/// Answer of the platform's advice service: the workers that may run a step.
struct AdviceAnswer
{
    bool ok{};
    std::map<state::WorkerId, std::string> tickets; ///< Tickets of the workers that may run the step.
    std::chrono::milliseconds validity{};
    std::string failure;
};

/// Requirements of the coordination layer on the client of a worker. Operations report outages in their result and do
/// not throw.
template<typename W>
concept WorkerCalls = requires(W worker, const PollRequest &poll, const state::batch::StartOrder &start,
                               const state::batch::StopOrder &stop, const state::batch::PaceOrder &pace,
                               FencingToken token, WorkerTime leaseUntil, std::chrono::milliseconds timeout)
{
    {
        worker.poll(poll, timeout)
        } -> std::same_as<boost::asio::awaitable<PollAnswer>>;
    {
        worker.start(start, token, leaseUntil, timeout)
        } -> std::same_as<boost::asio::awaitable<OrderAnswer>>;
    {
        worker.stop(stop, token, timeout)
        } -> std::same_as<boost::asio::awaitable<OrderAnswer>>;
    {
        worker.pace(pace, token, timeout)
        } -> std::same_as<boost::asio::awaitable<OrderAnswer>>;
};

} // namespace heatherquay::protocol::batch
