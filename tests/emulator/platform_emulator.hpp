#pragma once

#include "emulator/fake_worker.hpp"
#include "emulator/memory_store.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace heatherquay::test
{

/// Emulates the platform for processes of the system: serves a store and workers with the platform's protocol on
/// loopback addresses, in its own thread.
class PlatformEmulator
{
public:
    /// @param workerCount number of workers of one service, with eight workers per rack
    /// @param taskDuration run time of every task
    PlatformEmulator(std::uint32_t workerCount, std::chrono::milliseconds taskDuration);
    ~PlatformEmulator();
    PlatformEmulator(const PlatformEmulator &) = delete;
    PlatformEmulator &operator=(const PlatformEmulator &) = delete;

    std::string storeAddress() const;
    /// Stores @p json as the operator's configuration.
    void configure(const std::string &json);
    /// Runs @p action on the emulator's thread, the only one that may access the store and the workers.
    /// @return the result of @p action
    template<typename Action>
    auto runOnEmulatorThread(Action action)
    {
        std::packaged_task<decltype(action(*this))()> task([this, &action] {
            return action(*this);
        });
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] {
            task();
        });
        return result.get();
    }
    MemoryStore &store()
    {
        return m_store;
    }
    std::vector<std::shared_ptr<FakeWorker>> &workers()
    {
        return m_workers;
    }
    /// Writes the worker's registration. Call it on the emulator's thread.
    void registerWorker(std::size_t index);
    /// Restarts the worker under its id, which closes its connections. Its entry changes only with registerWorker().
    void restartWorker(std::size_t index);
    /// @return the number of starts of each task, summed over all workers
    std::map<std::string, int> startCounts();

private:
    boost::asio::awaitable<transport::HttpResponse> handleStoreRequest(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> handleWorkerRequest(std::shared_ptr<FakeWorker> worker,
                                                                        transport::HttpRequest request);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    MemoryStore m_store;
    std::vector<std::shared_ptr<FakeWorker>> m_workers;
    std::vector<std::unique_ptr<transport::HttpServer>> m_servers;
    std::set<std::shared_ptr<FakeWorker>> m_restarting; ///< Execute no requests.
    std::jthread m_thread;
};

} // namespace heatherquay::test
