#pragma once

// Internal to the peer protocol. Include it from .cpp files only, because the kj headers are slow to compile.

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <kj/async-io.h>
#include <kj/async.h>

namespace heatherquay::protocol::detail
{

/// Resources of the loop for the tasks that run on its thread.
struct LoopContext
{
    kj::AsyncIoContext &io;
    kj::TaskSet &tasks;
    /// Objects that are used only on this thread, keyed by the address of their owner. They are destroyed with the
    /// loop.
    std::map<const void *, std::shared_ptr<void>> &owned;
};

/// A thread that runs a kj event loop. Other threads post tasks through a queue and a cross-thread fulfiller, because
/// kj::Executor either blocks the calling thread or needs a kj event loop in it.
class PeerLoop final : private kj::TaskSet::ErrorHandler
{
public:
    using Task = std::function<void(LoopContext &)>;

    PeerLoop();
    ~PeerLoop();
    PeerLoop(const PeerLoop &) = delete;
    PeerLoop &operator=(const PeerLoop &) = delete;

    /// Runs @p task on the loop's thread. A task that is posted after the loop has ended is destroyed without running.
    void post(Task task);
    bool isLoopThread() const;

private:
    void run();
    std::vector<Task> takeTasks();
    void taskFailed(kj::Exception &&exception) override;

    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> m_wake;
    bool m_stopping{};
    bool m_ended{};
    std::thread m_thread;
};

} // namespace heatherquay::protocol::detail
