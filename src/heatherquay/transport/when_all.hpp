#pragma once

#include <atomic>
#include <exception>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::transport
{

/// Runs all operations concurrently and waits until the last one is complete.
/// @param executor where the operations run
/// @return the results in the order of @p operations; an operation that throws yields a value-initialized result
template<typename T>
boost::asio::awaitable<std::vector<T>> whenAll(boost::asio::any_io_executor executor,
                                               std::vector<boost::asio::awaitable<T>> operations)
{
    struct Progress
    {
        Progress(const boost::asio::any_io_executor &ex, std::size_t count)
            : results(count)
            , pending(count)
            , done(ex, 1)
        {
        }
        // Not std::vector<T>, because std::vector<bool> packs several results into one byte, which would be a data
        // race.
        std::vector<std::optional<T>> results;
        std::atomic<std::size_t> pending;
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code)> done;
    };
    if (operations.empty()) {
        co_return std::vector<T>{};
    }
    auto progress = std::make_shared<Progress>(executor, operations.size());
    for (std::size_t i = 0; i < operations.size(); ++i) {
        boost::asio::co_spawn(executor, std::move(operations[i]), [progress, i](std::exception_ptr error, T result) {
            if (!error) {
                progress->results[i] = std::move(result);
            }
            if (progress->pending.fetch_sub(1) == 1) {
                progress->done.try_send(boost::system::error_code{});
            }
        });
    }
    co_await progress->done.async_receive(boost::asio::use_awaitable);
    std::vector<T> results;
    results.reserve(progress->results.size());
    for (std::optional<T> &result : progress->results) {
        results.push_back(result ? std::move(*result) : T{});
    }
    co_return results;
}

} // namespace heatherquay::transport
