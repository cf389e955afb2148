#include "heatherquay/protocol/wait.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::protocol
{

namespace asio = boost::asio;

asio::awaitable<void> waitFor(std::chrono::steady_clock::duration duration)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace heatherquay::protocol
