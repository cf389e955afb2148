#pragma once

#include "heatherquay/state/ids.hpp"

#include <cstdint>

namespace heatherquay::transport
{

/// Identifies a connection of an HttpClient. A connection ends with the peer's process, so that all requests over one
/// connection reach the same process.
using ConnectionId = state::StrongId<struct ConnectionTag, std::uint64_t>;

} // namespace heatherquay::transport
