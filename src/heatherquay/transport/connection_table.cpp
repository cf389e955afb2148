#include "heatherquay/transport/connection_table.hpp"

namespace heatherquay::transport
{

EvictionRank evictionRank(const TrackedConnection &connection, TrackedConnection::Clock::time_point now)
{
    const bool slow = now - connection.since() >= slowAfter;
    const EvictionRank atWork = connection.servedRequest() ? EvictionRank::Busy : EvictionRank::Never;
    switch (connection.state()) {
    case ConnectionState::Idle:
        return connection.servedRequest() ? EvictionRank::Idle : EvictionRank::Silent;
    case ConnectionState::Receiving:
        return slow ? EvictionRank::SlowRequest : EvictionRank::Request;
    case ConnectionState::Sending:
        return slow ? EvictionRank::UnreadResponse : atWork;
    case ConnectionState::Closing:
        return EvictionRank::Closing;
    case ConnectionState::Handling:
        break;
    }
    return atWork;
}

ConnectionTable::ConnectionTable(std::uint32_t connections, std::uint32_t connectionsPerAddress)
    : m_connectionsMax(connections)
    , m_connectionsPerAddressMax(connectionsPerAddress)
{
}

ConnectionTable::Admission ConnectionTable::admit(const std::shared_ptr<TrackedConnection> &connection,
                                                  EvictionRank last)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_countByAddress.find(connection->address());
    const bool addressFull = found != m_countByAddress.end() && found->second >= m_connectionsPerAddressMax;
    Admission admission;
    if (addressFull || m_connections.size() >= m_connectionsMax) {
        admission.evicted = evict(addressFull ? &connection->address() : nullptr, last);
        if (!admission.evicted) {
            return admission;
        }
    }
    m_connections.emplace(connection.get(), connection);
    ++m_countByAddress[connection->address()];
    admission.admitted = true;
    return admission;
}

std::shared_ptr<TrackedConnection> ConnectionTable::evict(const std::string *address, EvictionRank last)
{
    const auto now = TrackedConnection::Clock::now();
    const TrackedConnection *chosen = nullptr;
    EvictionRank chosenRank = last;
    std::uint32_t chosenCount = 0;
    for (const auto &[connection, weak] : m_connections) {
        const EvictionRank rank = evictionRank(*connection, now);
        const bool considered = !address || connection->address() == *address;
        if (!considered || rank > chosenRank) {
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
    m_connections.erase(chosen);
    m_evicted.emplace(chosen, evicted);
    uncount(*chosen);
    return evicted;
}

void ConnectionTable::release(const TrackedConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_connections.erase(&connection) > 0) {
        uncount(connection);
    } else {
        m_evicted.erase(&connection);
    }
}

void ConnectionTable::uncount(const TrackedConnection &connection)
{
    const auto found = m_countByAddress.find(connection.address());
    if (--found->second == 0) {
        m_countByAddress.erase(found);
    }
}

void ConnectionTable::forEach(const std::function<void(const std::shared_ptr<TrackedConnection> &)> &action) const
{
    const std::lock_guard lock(m_mutex);
    for (const Connections *connections : {&m_connections, &m_evicted}) {
        for (const auto &[raw, weak] : *connections) {
            if (const auto connection = weak.lock()) {
                action(connection);
            }
        }
    }
}

} // namespace heatherquay::transport
