#include "heatherquay/coordination/service_lookup.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

const state::ServiceSettings *findService(const state::EntrySettings &settings, const state::ServiceId &id)
{
    const auto found = std::find_if(settings.services.begin(), settings.services.end(), [&](const auto &service) {
        return service.id == id;
    });
    return found == settings.services.end() ? nullptr : &*found;
}

std::uint32_t connectionsPerEntry(const state::ServiceSettings &service, std::uint32_t entriesMax)
{
    return std::max<std::uint32_t>(1, service.connectionsPerEndpoint / (2 * std::max<std::uint32_t>(1, entriesMax)));
}

} // namespace heatherquay::coordination
