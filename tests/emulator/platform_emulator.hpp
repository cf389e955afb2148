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
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace heatherquay::test
{

/// The platform as processes of the system meet it: the store and the workers behind their published protocol, on
/// loopback addresses, in a thread of its own.
class PlatformEmulator
{
public:
    /// @param workerCount workers of one service, eight a rack
    /// @param work run time of every task
    PlatformEmulator(std::uint32_t workerCount, std::chrono::milliseconds work);
    ~PlatformEmulator();
    PlatformEmulator(const PlatformEmulator &) = delete;
    PlatformEmulator &operator=(const PlatformEmulator &) = delete;

    std::string storeAddress() const;
    /// Writes the operator's configuration.
    void configure(const std::string &json);
    /// Runs @p action on the emulator's thread, where store and workers may be touched.
    template<typename Action>
    auto with(Action action)
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
    /// Starts of each task, over all workers.
    std::map<std::string, int> starts();

private:
    boost::asio::awaitable<transport::HttpResponse> answerStore(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> answerWorker(std::shared_ptr<FakeWorker> worker,
                                                                 transport::HttpRequest request);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    MemoryStore m_store;
    std::vector<std::shared_ptr<FakeWorker>> m_workers;
    std::vector<std::unique_ptr<transport::HttpServer>> m_servers;
    std::jthread m_thread;
};

} // namespace heatherquay::test
