#pragma once

#include "heatherquay/protocol/outcome.hpp"
#include "heatherquay/state/ids.hpp"

#include <chrono>

namespace heatherquay::coordination
{

/// A completed request, for metrics and burn rates.
struct RequestRecord
{
    state::ServiceId service;
    state::TeamId team;
    std::chrono::microseconds latency{};
    unsigned status{}; ///< HTTP status.
    protocol::Outcome outcome{protocol::Outcome::Ran};
};

} // namespace heatherquay::coordination
