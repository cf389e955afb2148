#pragma once

#include "heatherquay/protocol/object_store.hpp"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

struct ObjectStoreSettings
{
    std::string address; ///< IP address and port.
    std::chrono::milliseconds timeout{10'000}; ///< Long enough for snapshots of tens of megabytes.
    std::uint32_t connections{4}; ///< Largest number of connections.
    std::uint64_t objectBytesMax{256 * 1024 * 1024}; ///< Largest object that is read.
};

/// Client of the object store over HTTP/1.1. Thread-safe; copies share the connections.
class ObjectStoreClient
{
public:
    /// @throws Error(BadInput) for a malformed address
    ObjectStoreClient(const boost::asio::any_io_executor &executor, const ObjectStoreSettings &settings);

    /// @return true if the store confirmed the write; after false the object may or may not be stored
    boost::asio::awaitable<bool> put(std::string key, std::string body);
    /// Reads an object.
    boost::asio::awaitable<ObjectResult> get(std::string key);
    /// @return true if the store confirmed that the object no longer exists; after false it may or may not exist
    boost::asio::awaitable<bool> remove(std::string key);

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

static_assert(ObjectStore<ObjectStoreClient>);

} // namespace heatherquay::protocol
