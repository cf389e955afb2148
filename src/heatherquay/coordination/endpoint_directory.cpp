#include "heatherquay/coordination/endpoint_directory.hpp"

#include "heatherquay/coordination/service_lookup.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

const std::shared_ptr<Endpoint> *ServiceEndpoints::find(std::string_view address) const
{
    const auto found = std::lower_bound(endpoints.begin(), endpoints.end(), address,
                                        [](const std::shared_ptr<Endpoint> &endpoint, std::string_view wanted) {
                                            return endpoint->address < wanted;
                                        });
    return found != endpoints.end() && (*found)->address == address ? &*found : nullptr;
}

EndpointDirectory::EndpointDirectory(boost::asio::any_io_executor executor,
                                     std::shared_ptr<const state::EntrySettings> settings,
                                     std::shared_ptr<transport::MemoryBudget> responses)
    : m_executor(std::move(executor))
    , m_responses(std::move(responses))
    , m_settings(std::move(settings))
    , m_snapshot(std::make_shared<const Snapshot>())
{
}

std::shared_ptr<Endpoint> EndpointDirectory::findOrCreate(const EndpointRecord &record,
                                                          const state::ServiceSettings &service)
{
    auto &stored = m_endpoints[{record.service, record.address}];
    std::shared_ptr<Endpoint> endpoint = stored.lock();
    if (!endpoint) {
        transport::HttpClientLimits limits;
        limits.bodyBytes = m_settings->callerLimits.responseBytes;
        limits.memory = m_responses;
        const std::uint32_t connections = connectionsPerEntry(service, m_settings->membership.entriesMax);
        auto pool
            = std::make_shared<EndpointPool>(m_executor, transport::parseAddress(record.address), connections, limits);
        endpoint
            = std::make_shared<Endpoint>(record.service, record.address, service.slotsPerEndpoint, std::move(pool));
        stored = endpoint;
    }
    return endpoint;
}

void EndpointDirectory::update(const std::vector<EndpointRecord> &records)
{
    const std::lock_guard lock(m_writeMutex);
    std::map<state::ServiceId, std::shared_ptr<ServiceEndpoints>> listsByService;
    for (const EndpointRecord &record : records) {
        const state::ServiceSettings *service = findService(*m_settings, record.service);
        if (service == nullptr) {
            continue;
        }
        std::shared_ptr<Endpoint> endpoint;
        try {
            endpoint = findOrCreate(record, *service);
        } catch (const Error &error) {
            transport::log(transport::LogLevel::Error, "endpoint-address-invalid",
                           {{"service", record.service.value}, {"address", record.address}, {"error", error.what()}});
            continue;
        }
        endpoint->listedLeaving.store(record.leaving);
        endpoint->draining.store(m_drainedAddresses.contains(record.address));
        auto &list = listsByService[record.service];
        if (!list) {
            list = std::make_shared<ServiceEndpoints>();
        }
        list->endpoints.push_back(std::move(endpoint));
    }
    auto snapshot = std::make_shared<Snapshot>();
    for (auto &[service, list] : listsByService) {
        std::sort(list->endpoints.begin(), list->endpoints.end(), [](const auto &a, const auto &b) {
            return a->address < b->address;
        });
        list->endpoints.erase(std::unique(list->endpoints.begin(), list->endpoints.end()), list->endpoints.end());
        snapshot->emplace(service, std::move(list));
    }
    m_snapshot.replace(std::move(snapshot));
    std::erase_if(m_endpoints, [](const auto &entry) {
        return entry.second.expired();
    });
}

void EndpointDirectory::drain(const std::string &address, bool on)
{
    const std::lock_guard lock(m_writeMutex);
    if (on) {
        m_drainedAddresses[address] = true;
    } else {
        m_drainedAddresses.erase(address);
    }
    const auto snapshot = m_snapshot.read();
    for (const auto &[service, list] : *snapshot) {
        if (const auto *endpoint = list->find(address)) {
            (*endpoint)->draining.store(on);
        }
    }
}

void EndpointDirectory::applySettings(std::shared_ptr<const state::EntrySettings> settings)
{
    const std::lock_guard lock(m_writeMutex);
    m_settings = std::move(settings);
}

std::shared_ptr<const ServiceEndpoints> EndpointDirectory::read(const state::ServiceId &service) const
{
    static const auto empty = std::make_shared<const ServiceEndpoints>();
    const auto snapshot = m_snapshot.read();
    const auto found = snapshot->find(service);
    return found == snapshot->end() ? empty : found->second;
}

std::vector<state::ServiceId> EndpointDirectory::services() const
{
    std::vector<state::ServiceId> result;
    const auto snapshot = m_snapshot.read();
    for (const auto &[service, list] : *snapshot) {
        result.push_back(service);
    }
    return result;
}

} // namespace heatherquay::coordination
