#include "heatherquay/protocol/peer_loop.hpp"

#include "heatherquay/transport/log.hpp"

namespace heatherquay::protocol::detail
{

PeerLoop::PeerLoop()
    : m_thread([this] {
        run();
    })
{
}

PeerLoop::~PeerLoop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        KJ_IF_MAYBE (wake, m_wake) {
            (*wake)->fulfill();
        }
        m_wake = nullptr;
    }
    m_thread.join();
}

void PeerLoop::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
        return;
    }
    m_tasks.push_back(std::move(task));
    KJ_IF_MAYBE (wake, m_wake) {
        (*wake)->fulfill();
    }
    m_wake = nullptr;
}

bool PeerLoop::isLoopThread() const
{
    return std::this_thread::get_id() == m_thread.get_id();
}

std::vector<PeerLoop::Task> PeerLoop::takeTasks()
{
    const std::lock_guard lock(m_mutex);
    std::vector<Task> tasks;
    tasks.swap(m_tasks);
    return tasks;
}

void PeerLoop::run()
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    std::map<const void *, std::shared_ptr<void>> owned;
    {
        kj::TaskSet tasks(*this);
        LoopContext context{io, tasks, owned};
        while (true) {
            for (Task &task : takeTasks()) {
                task(context);
            }
            auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
            {
                const std::lock_guard lock(m_mutex);
                if (m_stopping) {
                    break;
                }
                if (m_tasks.empty()) {
                    m_wake = kj::mv(wake.fulfiller);
                } else {
                    wake.fulfiller->fulfill();
                }
            }
            wake.promise.wait(io.waitScope);
        }
        owned.clear();
    }
    std::vector<Task> discarded;
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        discarded.swap(m_tasks);
    }
}

void PeerLoop::taskFailed(kj::Exception &&exception)
{
    transport::log(transport::LogLevel::Debug, "peer-task-failed", {{"reason", exception.getDescription().cStr()}});
}

} // namespace heatherquay::protocol::detail
