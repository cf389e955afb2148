#include "heatherquay/coordination/wait_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace asio = boost::asio;

WaitQueue::WaitQueue(ChooseSlot chooseSlot)
    : m_chooseSlot(std::move(chooseSlot))
{
}

std::shared_ptr<WaitQueue::Waiter> WaitQueue::enqueue(asio::any_io_executor executor, std::vector<std::string> avoid,
                                                      std::uint32_t limit)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiters.size() >= limit) {
        return nullptr;
    }
    auto waiter = std::make_shared<Waiter>(std::move(executor), std::move(avoid));
    m_waiters.push_back(waiter);
    m_size.store(static_cast<std::uint32_t>(m_waiters.size()));
    return waiter;
}

asio::awaitable<std::optional<SlotGrant>> WaitQueue::wait(std::shared_ptr<Waiter> waiter,
                                                          std::chrono::steady_clock::time_point deadline)
{
    // A slot may have been released after the caller found none and before it joined the queue.
    grantFreeSlots();
    waiter->timer.expires_at(deadline);
    while (isWaiting(waiter) && std::chrono::steady_clock::now() < deadline) {
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const std::lock_guard lock(m_mutex);
    waiter->finished = true;
    std::erase(m_waiters, waiter);
    m_size.store(static_cast<std::uint32_t>(m_waiters.size()));
    co_return std::move(waiter->grant);
}

void WaitQueue::grantLocked(const std::shared_ptr<Waiter> &waiter, SlotGrant grant)
{
    waiter->grant = std::move(grant);
    std::erase(m_waiters, waiter);
    m_size.store(static_cast<std::uint32_t>(m_waiters.size()));
    asio::post(waiter->timer.get_executor(), [waiter] {
        waiter->timer.cancel();
    });
}

bool WaitQueue::tryGrant(const std::shared_ptr<Waiter> &waiter, SlotGrant grant)
{
    const std::lock_guard lock(m_mutex);
    if (waiter->finished || waiter->grant) {
        return false;
    }
    grantLocked(waiter, std::move(grant));
    return true;
}

void WaitQueue::grantFreeSlots()
{
    if (m_size.load() == 0) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    const std::deque<std::shared_ptr<Waiter>> waiters = m_waiters;
    for (const auto &waiter : waiters) {
        auto grant = m_chooseSlot(waiter->avoid);
        if (grant) {
            grantLocked(waiter, std::move(*grant));
        } else if (waiter->avoid.empty()) {
            return;
        }
    }
}

bool WaitQueue::isWaiting(const std::shared_ptr<Waiter> &waiter) const
{
    const std::lock_guard lock(m_mutex);
    return !waiter->grant;
}

std::uint32_t WaitQueue::size() const
{
    return m_size.load();
}

} // namespace heatherquay::coordination
