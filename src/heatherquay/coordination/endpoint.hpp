#pragma once

#include "heatherquay/coordination/endpoint_pool.hpp"
#include "heatherquay/coordination/slot_word.hpp"
#include "heatherquay/state/ids.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace heatherquay::coordination
{

enum class EndpointState
{
    Live,
    Leaving, ///< The VM list or the endpoint itself announces that it shuts down.
    Draining, ///< An operator drains the endpoint.
    Ejected ///< Too many consecutive requests failed; the endpoint receives only probes.
};

/// Moving average of the response time. Lock-free.
class LatencyEstimate
{
public:
    using Clock = std::chrono::steady_clock;

    void record(std::chrono::microseconds latency, Clock::time_point now = Clock::now());
    /// Returns the estimated response time. The estimate halves for every 10 s without a response, so that an endpoint
    /// that was slow is tried again.
    /// @return the estimate, 0 before the first response
    std::chrono::microseconds expected(Clock::time_point now = Clock::now()) const;

private:
    std::atomic<std::int64_t> m_microseconds{0};
    std::atomic<std::int64_t> m_recordedAt{0}; ///< Steady-clock time in microseconds.
};

/// State of one endpoint of a service as this entry sees it. Thread-safe.
struct Endpoint
{
    Endpoint(state::ServiceId serviceId, std::string endpointAddress, std::uint32_t slotCount,
             std::shared_ptr<EndpointPool> connections);

    const state::ServiceId service;
    const std::string address; ///< IP address and port.
    const std::uint32_t slots;
    const std::shared_ptr<EndpointPool> pool;
    SlotWord slotWord;
    LatencyEstimate latency;
    std::atomic<bool> listedLeaving{false}; ///< The VM list reports that the endpoint is leaving.
    std::atomic<bool> signalledLeaving{false}; ///< The endpoint has sent the leaving signal in a response.
    std::atomic<bool> draining{false};
    std::atomic<bool> ejected{false};
    std::atomic<std::uint32_t> consecutiveFailures{0};
    std::atomic<std::uint32_t> running{0}; ///< Requests that this entry runs there, on own and borrowed slots.

    EndpointState state() const;
    /// @return whether the endpoint is live, so that new requests may be sent to it
    bool acceptsRequests() const;
};

} // namespace heatherquay::coordination
