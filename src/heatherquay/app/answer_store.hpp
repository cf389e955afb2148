#pragma once

#include "heatherquay/protocol/object_store_client.hpp"

#include <optional>
#include <string>

namespace heatherquay::app
{

/// Stores responses to keyed requests in the object store when they are too large for a table row.
/// Satisfies the store requirements of coordination::Idempotency.
class AnswerStore
{
public:
    explicit AnswerStore(protocol::ObjectStoreClient objects)
        : m_objects(std::move(objects))
    {
    }

    /// @return whether the object is known to be stored; an outage does not throw
    boost::asio::awaitable<bool> put(std::string key, std::string bytes)
    {
        return m_objects.put(std::move(key), std::move(bytes));
    }
    /// @return the object, or nothing when it cannot be read
    boost::asio::awaitable<std::optional<std::string>> get(std::string key)
    {
        protocol::ObjectResult result = co_await m_objects.get(std::move(key));
        co_return std::move(result.body);
    }

private:
    protocol::ObjectStoreClient m_objects;
};

} // namespace heatherquay::app
