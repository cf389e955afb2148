#pragma once

#include <chrono>
#include <deque>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination
{

/// Mutex for coroutines that grants ownership in the order of the requests. Not thread-safe: all calls must run on one
/// strand.
class AsyncMutex
{
public:
    /// Owns the mutex and releases it when the last copy is destroyed.
    using Guard = std::shared_ptr<void>;

    AsyncMutex();

    /// Waits until the mutex is free and acquires it.
    /// @return the ownership of the mutex, or a null pointer if @p timeout expires first
    boost::asio::awaitable<Guard> acquire(std::chrono::milliseconds timeout);

private:
    struct Queue;
    std::shared_ptr<Queue> m_queue;
};

} // namespace heatherquay::coordination
