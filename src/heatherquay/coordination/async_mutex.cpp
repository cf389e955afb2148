#include "heatherquay/coordination/async_mutex.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace asio = boost::asio;

struct AsyncMutex::Queue
{
    struct Waiter
    {
        asio::steady_timer timer;
        bool granted{};
    };

    void release()
    {
        held = !waiters.empty();
        if (held) {
            waiters.front()->granted = true;
            waiters.front()->timer.cancel();
            waiters.pop_front();
        }
    }

    bool held{};
    std::deque<std::shared_ptr<Waiter>> waiters;
};

AsyncMutex::AsyncMutex()
    : m_queue(std::make_shared<Queue>())
{
}

asio::awaitable<AsyncMutex::Guard> AsyncMutex::acquire(std::chrono::milliseconds timeout)
{
    const auto queue = m_queue;
    if (queue->held) {
        auto waiter = std::make_shared<Queue::Waiter>(
            Queue::Waiter{asio::steady_timer(co_await asio::this_coro::executor, timeout)});
        queue->waiters.push_back(waiter);
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!waiter->granted) {
            std::erase(queue->waiters, waiter);
            co_return nullptr;
        }
    }
    queue->held = true;
    co_return Guard(queue.get(), [queue](void *) {
        queue->release();
    });
}

} // namespace heatherquay::coordination
