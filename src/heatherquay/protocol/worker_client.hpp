#pragma once

#include "heatherquay/state/commands.hpp"
#include "heatherquay/state/events.hpp"
#include "heatherquay/state/ids.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// Identifies a gang by its job and its fencing token.
struct GangRef
{
    state::JobId job;
    state::Fence fence;

    friend auto operator<=>(const GangRef &, const GangRef &) = default;
};

/// Request to start a task.
struct StartRequest
{
    GangRef gang;
    std::vector<std::uint16_t> accelerators;
    std::chrono::milliseconds lease{};
    std::string command;
};

enum class StartAnswer
{
    Accepted,
    Refused, ///< The worker did not start the task, or the request was not sent.
    NoResponse ///< No response; the task may be running until its lease expires.
};

enum class StopAnswer
{
    Stopped,
    Stopping, ///< The worker needs more time, for example for a checkpoint.
    NoResponse ///< No usable response.
};

enum class TaskState
{
    Running,
    Finished,
    Failed,
    Stopped
};

struct TaskReport
{
    GangRef gang;
    TaskState state{TaskState::Running};
    double progress{-1.0}; ///< Completed share, 0 to 1; negative if unknown.
};

struct RenewAnswer
{
    bool reached{}; ///< The worker sent a valid response.
    std::vector<TaskReport> tasks;
};

/// Client of the workers' task interface, over HTTP/1.1 with JSON. Thread-safe. Operations report an unreachable worker
/// or a malformed response in their result and do not throw.
class WorkerClient
{
public:
    /// @param timeout timeout of a call, including the time to connect
    WorkerClient(boost::asio::any_io_executor executor, std::chrono::milliseconds timeout);
    ~WorkerClient();

    /// Starts a task of a gang.
    boost::asio::awaitable<StartAnswer> start(std::string address, StartRequest task);
    /// Stops the task of a gang.
    /// @param checkpoint whether the worker first saves a checkpoint
    /// @param grace longest time that the worker may take to stop
    boost::asio::awaitable<StopAnswer> stop(std::string address, GangRef gang, bool checkpoint,
                                            std::chrono::milliseconds grace);
    /// Renews the leases of all @p gangs on a worker with one request. @return the states of the worker's tasks
    boost::asio::awaitable<RenewAnswer> renew(std::string address, std::chrono::milliseconds lease,
                                              std::vector<GangRef> gangs);
    /// @return the description of the worker, or nothing if it is not available
    boost::asio::awaitable<std::optional<state::WorkerSpec>> inventory(std::string address);

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace heatherquay::protocol
