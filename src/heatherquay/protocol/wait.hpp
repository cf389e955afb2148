#pragma once

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// Suspends the calling coroutine for @p duration with a timer on its own executor. Never throws.
boost::asio::awaitable<void> waitFor(std::chrono::steady_clock::duration duration);

} // namespace heatherquay::protocol
