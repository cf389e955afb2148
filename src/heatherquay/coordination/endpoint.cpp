#include "heatherquay/coordination/endpoint.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

namespace detail
{

constexpr std::int64_t latencyWeightShift = 3; ///< Each response moves the estimate by 1/8 of the difference.
constexpr std::int64_t latencyHalfLifeMicroseconds = 10'000'000;
constexpr std::int64_t latencyHalvingsMax = 30;

std::int64_t toMicroseconds(LatencyEstimate::Clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

} // namespace detail

void LatencyEstimate::record(std::chrono::microseconds latency, Clock::time_point now)
{
    const std::int64_t sample = std::max<std::int64_t>(1, latency.count());
    std::int64_t current = m_microseconds.load();
    std::int64_t updated = 0;
    do {
        updated = current == 0
            ? sample
            : std::max<std::int64_t>(1, current + ((sample - current) >> detail::latencyWeightShift));
    } while (!m_microseconds.compare_exchange_weak(current, updated));
    m_recordedAt.store(detail::toMicroseconds(now));
}

std::chrono::microseconds LatencyEstimate::expected(Clock::time_point now) const
{
    const std::int64_t age = detail::toMicroseconds(now) - m_recordedAt.load();
    const std::int64_t halvings
        = std::clamp<std::int64_t>(age / detail::latencyHalfLifeMicroseconds, 0, detail::latencyHalvingsMax);
    return std::chrono::microseconds(m_microseconds.load() >> halvings);
}

Endpoint::Endpoint(state::ServiceId serviceId, std::string endpointAddress, std::uint32_t slotCount,
                   std::shared_ptr<EndpointPool> connections)
    : service(std::move(serviceId))
    , address(std::move(endpointAddress))
    , slots(slotCount)
    , pool(std::move(connections))
{
}

EndpointState Endpoint::state() const
{
    if (draining.load()) {
        return EndpointState::Draining;
    }
    if (listedLeaving.load() || signalledLeaving.load()) {
        return EndpointState::Leaving;
    }
    return ejected.load() ? EndpointState::Ejected : EndpointState::Live;
}

bool Endpoint::acceptsRequests() const
{
    return state() == EndpointState::Live;
}

} // namespace heatherquay::coordination
