#pragma once

#include "server.hpp"
#include "standin.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace heatherquay::standins
{

struct WorkersOptions
{
    std::uint32_t count{8};
    std::uint32_t accelerators{8}; ///< Accelerators per worker.
    std::string region{"viti"};
    std::vector<std::string> failureDomains{"suva", "lautoka", "nadi"}; ///< Assigned to the workers round-robin.
    std::uint32_t workersPerRack{8};
    std::vector<std::string> kinds{"a100"}; ///< Accelerator kinds, assigned to the workers round-robin.
    std::uint32_t cores{128};
    std::uint64_t memoryMegabytes{256 * 1024};
    std::chrono::milliseconds checkpointTime{50}; ///< Time that a task takes to write a checkpoint.
    std::string host{"127.0.0.1"};
    std::uint16_t firstPort{0}; ///< Worker n listens on firstPort + n; 0 selects free ports.
};

/// Simulated workers, each on its own port, that run tasks under leases. The command of a task may contain "run_ms=N"
/// (the task finishes after N ms of run time) and "fail_ms=N" (the task fails after N ms). A task with neither argument
/// runs until it is stopped or its lease expires.
class StandinWorkers : public Standin
{
public:
    StandinWorkers(const boost::asio::any_io_executor &executor, const WorkersOptions &options = {});
    ~StandinWorkers() override;

    struct WorkerAddress
    {
        std::string id;
        std::string address;
    };
    std::vector<WorkerAddress> workers() const;
    Server &server(const std::string &worker);

    std::string kind() const override;
    /// Also accepts fail_starts (number of starts that fail, or true for all), fail_tasks (bool: all running tasks
    /// fail) and silent_starts (number of starts that are executed but not answered within 30 s).
    /// @param serverId the id of a worker; empty selects all workers
    void control(const std::string &serverId, const boost::json::object &settings) override;
    /// @return all task runs with worker, job, fence, accelerators, start and end in milliseconds of the monotonic
    /// clock, and the reason for the end; "double_held" counts the cases in which two runs held the same accelerator at
    /// the same time, which is always a fault of the simulated worker
    boost::json::object record() const override;

private:
    struct Worker;
    struct State;
    std::shared_ptr<State> m_state;
    std::vector<std::pair<std::string, Server>> m_servers;
};

} // namespace heatherquay::standins
