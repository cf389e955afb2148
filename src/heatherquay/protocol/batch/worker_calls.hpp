#pragma once

#include "heatherquay/state/batch/scheduler.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol::batch
{

/// Time on a worker's own steady clock, since its start.
using WorkerTime = std::chrono::milliseconds;

/// Proves who decides; a worker refuses orders with a lower one than it has seen.
using FencingToken = state::StrongId<struct FencingTokenTag, std::uint64_t>;

enum class CallStatus
{
    Answered,
    Fenced, ///< Another decider has used a higher token.
    OtherIncarnation, ///< The worker has restarted; nothing was done.
    Refused, ///< Nothing was done.
    NoRoom, ///< Nothing was done for want of room.
    NoTicket, ///< Nothing was done for want of a valid ticket.
    NotSent, ///< Nothing was done: no byte left this VM.
    Unknown ///< The order may be carried out, also later.
};

struct LookRequest
{
    FencingToken token;
    std::uint64_t confirmedEnd{}; ///< The worker may forget ends up to this number.
    std::optional<WorkerTime> leaseUntil; ///< Left out to look without extending the lease.
    std::chrono::milliseconds wait{}; ///< For an end that is not confirmed.
};

struct LookAnswer
{
    CallStatus status{CallStatus::Unknown};
    WorkerTime clock{};
    state::batch::WorkerReport report;
    std::string failure;
};

struct OrderAnswer
{
    CallStatus status{CallStatus::Unknown};
    std::optional<WorkerTime> clock;
    std::string failure;
};

struct AdviceAnswer
{
    bool ok{};
    std::map<state::WorkerId, std::string> tickets; ///< By worker that may run the step.
    std::chrono::milliseconds validity{};
    std::string failure;
};

/// What the coordination layer needs of a worker. No operation throws for an outage.
template<typename W>
concept WorkerCalls = requires(W worker, const LookRequest &look, const state::batch::StartOrder &start,
                               const state::batch::StopOrder &stop, FencingToken token, WorkerTime leaseUntil,
                               std::chrono::milliseconds timeout)
{
    {
        worker.look(look, timeout)
        } -> std::same_as<boost::asio::awaitable<LookAnswer>>;
    {
        worker.start(start, token, leaseUntil, timeout)
        } -> std::same_as<boost::asio::awaitable<OrderAnswer>>;
    {
        worker.stop(stop, token, timeout)
        } -> std::same_as<boost::asio::awaitable<OrderAnswer>>;
};

} // namespace heatherquay::protocol::batch
