#pragma once

#include "heatherquay/coordination/endpoint_choice.hpp"

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination
{

/// FIFO queue of requests of one service that wait for a slot. Thread-safe; the mutex is locked only while requests
/// wait.
class WaitQueue
{
public:
    using ChooseSlot = std::function<std::optional<SlotGrant>(const std::vector<std::string> &avoid)>;

    /// A waiting request.
    struct Waiter
    {
        Waiter(const boost::asio::any_io_executor &executor, std::vector<std::string> avoidedAddresses)
            : timer(executor)
            , avoid(std::move(avoidedAddresses))
        {
        }

        boost::asio::steady_timer timer;
        std::vector<std::string> avoid; ///< Addresses of endpoints where the request has already failed.
        std::optional<SlotGrant> grant; ///< Guarded by the queue's mutex.
        bool finished{}; ///< wait() has returned. Guarded by the queue's mutex.
    };

    /// @param chooseSlot takes and returns a free slot, if there is one
    explicit WaitQueue(ChooseSlot chooseSlot);

    /// Appends a request to the queue.
    /// @param limit maximum number of waiting requests
    /// @return the waiter, or nullptr if the queue is full
    std::shared_ptr<Waiter> enqueue(boost::asio::any_io_executor executor, std::vector<std::string> avoid,
                                    std::uint32_t limit);
    /// Waits for a slot until @p deadline and removes the waiter from the queue. Must run on the executor of the
    /// waiter.
    /// @return the granted slot, or std::nullopt if the deadline passed
    boost::asio::awaitable<std::optional<SlotGrant>> wait(std::shared_ptr<Waiter> waiter,
                                                          std::chrono::steady_clock::time_point deadline);
    /// Grants a slot to one waiter.
    /// @return whether the waiter accepted the slot; false if it has another slot or has finished waiting
    bool tryGrant(const std::shared_ptr<Waiter> &waiter, SlotGrant grant);
    /// Grants free slots to waiters in queue order.
    void grantFreeSlots();
    /// @return whether @p waiter has not been granted a slot
    bool isWaiting(const std::shared_ptr<Waiter> &waiter) const;
    std::uint32_t size() const;

private:
    void grantLocked(const std::shared_ptr<Waiter> &waiter, SlotGrant grant);

    ChooseSlot m_chooseSlot;
    mutable std::mutex m_mutex;
    std::deque<std::shared_ptr<Waiter>> m_waiters;
    std::atomic<std::uint32_t> m_size{0};
};

} // namespace heatherquay::coordination
