#pragma once

#include "heatherquay/state/entry_settings.hpp"

namespace heatherquay::coordination
{

/// @return the settings of the service with @p id, or nullptr if there is none
const state::ServiceSettings *findService(const state::EntrySettings &settings, const state::ServiceId &id);

/// Divides half of the connections of an endpoint among the maximum number of entries. The other half is needed while
/// all entries are being replaced, since old and new ones then serve side by side.
/// @return maximum number of connections that one entry may open to an endpoint, at least 1
std::uint32_t connectionsPerEntry(const state::ServiceSettings &service, std::uint32_t entriesMax);

} // namespace heatherquay::coordination
