#pragma once

#include <concepts>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

/// Result of reading an object. Distinguishes an absent object from a failed read.
struct ObjectResult
{
    bool ok{}; ///< The store responded with the object, or that it does not exist.
    std::optional<std::string> body; ///< Empty if the object does not exist.
    std::string failure; ///< Reason if not ok.
};

/// Object store as the coordination layer uses it. Operations report an outage in their result and do not throw.
template<typename S>
concept ObjectStore = requires(S store, std::string key, std::string body)
{
    {
        store.put(key, body)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        store.get(key)
        } -> std::same_as<boost::asio::awaitable<ObjectResult>>;
    {
        store.remove(key)
        } -> std::same_as<boost::asio::awaitable<bool>>;
};

} // namespace heatherquay::protocol
