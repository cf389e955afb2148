#pragma once

#include "heatherquay/coordination/endpoint.hpp"
#include "heatherquay/state/entry_settings.hpp"
#include "heatherquay/transport/memory_budget.hpp"
#include "heatherquay/transport/rcu_cell.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace heatherquay::coordination
{

/// Endpoint data from the VM list.
struct EndpointRecord
{
    state::ServiceId service;
    std::string address; ///< IP address and port.
    bool leaving{};
};

/// Immutable list of the endpoints of one service, sorted by address.
struct ServiceEndpoints
{
    std::vector<std::shared_ptr<Endpoint>> endpoints;

    /// @return the endpoint with @p address, or nullptr
    const std::shared_ptr<Endpoint> *find(std::string_view address) const;
};

/// The endpoints of all services. Thread-safe: readers take no lock, and writers are serialized by a mutex.
class EndpointDirectory
{
public:
    /// @param responses charged with responses while they arrive; null for no limit
    EndpointDirectory(boost::asio::any_io_executor executor, std::shared_ptr<const state::EntrySettings> settings,
                      std::shared_ptr<transport::MemoryBudget> responses = {});

    /// Replaces the endpoints of all services with those of the VM list. An endpoint that is no longer listed gets no
    /// new requests, and its running requests complete. If it is listed again while requests still run on it, it keeps
    /// the state of its slots.
    void update(const std::vector<EndpointRecord> &records);
    /// Starts or stops draining an endpoint on an operator's request. A drained endpoint gets no new requests. The
    /// address may be one that is not listed yet.
    /// @param on true to drain the endpoint, false to resume
    void drain(const std::string &address, bool on);
    /// Replaces the settings. Slot and connection counts apply only to endpoints that are added afterwards.
    void applySettings(std::shared_ptr<const state::EntrySettings> settings);
    /// @return the endpoints of @p service; empty for an unknown service, never nullptr
    std::shared_ptr<const ServiceEndpoints> read(const state::ServiceId &service) const;
    std::vector<state::ServiceId> services() const;

private:
    using Snapshot = std::map<state::ServiceId, std::shared_ptr<const ServiceEndpoints>>;

    std::shared_ptr<Endpoint> findOrCreate(const EndpointRecord &record, const state::ServiceSettings &service);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<transport::MemoryBudget> m_responses;
    mutable std::mutex m_writeMutex;
    std::shared_ptr<const state::EntrySettings> m_settings;
    std::map<std::string, bool> m_drainedAddresses;
    std::map<std::pair<state::ServiceId, std::string>, std::weak_ptr<Endpoint>> m_endpoints;
    transport::RcuCell<Snapshot> m_snapshot;
};

} // namespace heatherquay::coordination
