#include "heatherquay/transport/connection_table.hpp"

namespace heatherquay::transport
{

EvictionRank evictionRank(const TrackedConnection &connection, TrackedConnection::Clock::time_point now)
{
    const bool slow = now - connection.since() >= slowAfter;
    switch (connection.state()) {
    case ConnectionState::Idle:
        return connection.servedRequest() ? EvictionRank::Idle : EvictionRank::Silent;
    case ConnectionState::Receiving:
        return slow ? EvictionRank::SlowRequest : EvictionRank::Request;
    case ConnectionState::Sending:
        return slow ? EvictionRank::UnreadResponse : EvictionRank::Never;
    case ConnectionState::Closing:
        return EvictionRank::Closing;
    case ConnectionState::Handling:
        break;
    }
    return EvictionRank::Never;
}

ConnectionTable::ConnectionTable(std::uint32_t connections, std::uint32_t connectionsPerAddress)
    : m_connectionsMax(connections)
    , m_connectionsPerAddressMax(connectionsPerAddress)
{
}

ConnectionTable::Admission ConnectionTable::admit(const std::shared_ptr<TrackedConnection> &connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_countByAddress.find(connection->address());
    const bool addressFull = found != m_countByAddress.end() && found->second >= m_connectionsPerAddressMax;
    Admission admission;
    if (addressFull || m_connections.size() >= m_connectionsMax) {
        admission.evicted = evict(addressFull ? &connection->address() : nullptr, *connection);
        if (!admission.evicted) {
            return admission;
        }
    }
    add(connection);
    admission.admitted = true;
    return admission;
}

void ConnectionTable::restore(const std::shared_ptr<TrackedConnection> &connection)
{
    const std::lock_guard lock(m_mutex);
    add(connection);
}

void ConnectionTable::add(const std::shared_ptr<TrackedConnection> &connection)
{
    if (m_connections.emplace(connection.get(), connection).second) {
        ++m_countByAddress[connection->address()];
    }
}

std::shared_ptr<TrackedConnection> ConnectionTable::evictOne(const TrackedConnection &newcomer)
{
    const std::lock_guard lock(m_mutex);
    return evict(nullptr, newcomer);
}

std::shared_ptr<TrackedConnection> ConnectionTable::evict(const std::string *address, const TrackedConnection &newcomer)
{
    const auto now = TrackedConnection::Clock::now();
    const TrackedConnection *chosen = nullptr;
    EvictionRank chosenRank = EvictionRank::Never;
    std::uint32_t chosenCount = 0;
    for (const auto &[connection, weak] : m_connections) {
        const EvictionRank rank = evictionRank(*connection, now);
        const bool considered = connection != &newcomer && (!address || connection->address() == *address);
        if (!considered || rank == EvictionRank::Never || rank > chosenRank) {
            continue;
        }
        const std::uint32_t count = m_countByAddress.at(connection->address());
        const bool first = !chosen || rank < chosenRank || count > chosenCount
            || (count == chosenCount && connection->since() < chosen->since());
        if (first) {
            chosen = connection;
            chosenRank = rank;
            chosenCount = count;
        }
    }
    if (!chosen) {
        return nullptr;
    }
    auto evicted = m_connections.at(chosen).lock();
    remove(*chosen);
    return evicted;
}

void ConnectionTable::release(const TrackedConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    remove(connection);
}

void ConnectionTable::remove(const TrackedConnection &connection)
{
    if (m_connections.erase(&connection) == 0) {
        return;
    }
    const auto found = m_countByAddress.find(connection.address());
    if (--found->second == 0) {
        m_countByAddress.erase(found);
    }
}

void ConnectionTable::forEach(const std::function<void(const std::shared_ptr<TrackedConnection> &)> &action) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[raw, weak] : m_connections) {
        if (const auto connection = weak.lock()) {
            action(connection);
        }
    }
}

} // namespace heatherquay::transport
