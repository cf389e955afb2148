#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace heatherquay::transport
{

enum class ConnectionState
{
    Idle, ///< Waits for a request.
    Receiving,
    Handling, ///< The handler runs.
    Sending, ///< The response is being sent.
    Closing
};

/// What a ConnectionTable knows of an open connection. The state may be read by any thread.
class TrackedConnection
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param address IP address of the peer
    explicit TrackedConnection(std::string address)
        : m_address(std::move(address))
        , m_since(Clock::now())
    {
    }

    const std::string &address() const
    {
        return m_address;
    }
    ConnectionState state() const
    {
        return m_state.load(std::memory_order_relaxed);
    }
    /// @return when the state began
    Clock::time_point since() const
    {
        return m_since.load(std::memory_order_relaxed);
    }
    bool servedRequest() const
    {
        return m_servedRequest.load(std::memory_order_relaxed);
    }
    void enter(ConnectionState state)
    {
        m_since.store(Clock::now(), std::memory_order_relaxed);
        m_state.store(state, std::memory_order_relaxed);
    }
    void noteServedRequest()
    {
        m_servedRequest.store(true, std::memory_order_relaxed);
    }

private:
    std::string m_address;
    std::atomic<ConnectionState> m_state{ConnectionState::Idle};
    std::atomic<Clock::time_point> m_since;
    std::atomic<bool> m_servedRequest{false};
};

/// How readily a connection makes room for a new one, the readiest first.
enum class EvictionRank
{
    Silent, ///< Has sent nothing since it was opened.
    Closing, ///< Has its last response.
    SlowRequest, ///< A request has been arriving for longer than slowAfter.
    Idle, ///< Has no request, but had one before.
    UnreadResponse, ///< The peer has not read a response for longer than slowAfter.
    Request, ///< A request has begun to arrive.
    Busy, ///< A request is handled or answered, after an earlier one on the same connection.
    Never ///< The first request is handled or answered.
};

/// Age from which an exchange may make room for others. A caller inside the limits needs a few round trips.
inline constexpr std::chrono::milliseconds slowAfter{1'000};

EvictionRank evictionRank(const TrackedConnection &connection, TrackedConnection::Clock::time_point now);

/// The open connections of a server, up to a limit in total and for each IP address. Beyond a limit, a new connection
/// replaces the one that makes room most readily: by rank, then from the address with the most connections, then the
/// one that has been in its state for longest. Thread-safe.
class ConnectionTable
{
public:
    struct Admission
    {
        bool admitted{};
        std::shared_ptr<TrackedConnection> evicted; ///< To be closed by the caller; no longer counted.
    };

    ConnectionTable(std::uint32_t connections, std::uint32_t connectionsPerAddress);

    /// Adds a connection, if need be in place of another.
    /// @param last the last rank that may make room
    Admission admit(const std::shared_ptr<TrackedConnection> &connection, EvictionRank last);
    /// Removes a connection, also an evicted one.
    void release(const TrackedConnection &connection);
    /// Calls @p action with each connection, also with evicted ones, under the table's lock.
    void forEach(const std::function<void(const std::shared_ptr<TrackedConnection> &)> &action) const;

private:
    using Connections = std::unordered_map<const TrackedConnection *, std::weak_ptr<TrackedConnection>>;

    /// @param address considers only connections from it; all when null
    /// @param last the last rank that may make room
    /// @return the connection that makes room most readily; null when none does
    std::shared_ptr<TrackedConnection> evict(const std::string *address, EvictionRank last);
    void uncount(const TrackedConnection &connection);

    const std::uint32_t m_connectionsMax;
    const std::uint32_t m_connectionsPerAddressMax;
    mutable std::mutex m_mutex;
    /// An owner calls release() before it destroys a connection, so that each pointer in the table is valid.
    Connections m_connections;
    Connections m_evicted;
    std::map<std::string, std::uint32_t> m_countByAddress;
};

} // namespace heatherquay::transport
