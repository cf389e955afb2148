#include "heatherquay/coordination/endpoint_choice.hpp"

#include "heatherquay/transport/random.hpp"

#include <algorithm>

namespace heatherquay::coordination
{

namespace detail
{

bool isAvoided(const Endpoint &endpoint, const std::vector<std::string> &avoid)
{
    return std::find(avoid.begin(), avoid.end(), endpoint.address) != avoid.end();
}

std::shared_ptr<Endpoint> fastestWithFreeSlot(const ServiceEndpoints &endpoints, const std::vector<std::string> &avoid,
                                              std::chrono::steady_clock::time_point now)
{
    const std::size_t count = endpoints.endpoints.size();
    // A random start spreads requests over endpoints with equal estimates.
    const std::size_t start = count == 0 ? 0 : transport::randomNumber() % count;
    const std::shared_ptr<Endpoint> *best = nullptr;
    std::chrono::microseconds bestExpected{};
    for (std::size_t i = 0; i < count; ++i) {
        const auto &endpoint = endpoints.endpoints[(start + i) % count];
        if (!endpoint->acceptsRequests() || endpoint->slotWord.freeCount() == 0 || !endpoint->pool->hasCapacity()
            || isAvoided(*endpoint, avoid)) {
            continue;
        }
        const auto expected = endpoint->latency.expected(now);
        if (best == nullptr || expected < bestExpected) {
            best = &endpoint;
            bestExpected = expected;
        }
    }
    return best == nullptr ? nullptr : *best;
}

} // namespace detail

std::optional<SlotGrant> chooseFreeSlot(const ServiceEndpoints &endpoints, const std::vector<std::string> &avoid,
                                        std::chrono::steady_clock::time_point now)
{
    while (auto endpoint = detail::fastestWithFreeSlot(endpoints, avoid, now)) {
        if (const auto slot = endpoint->slotWord.take()) {
            return SlotGrant{std::move(endpoint), *slot, true, {}, 0};
        }
    }
    return std::nullopt;
}

std::optional<SlotGrant> choosePowerOfTwo(const ServiceEndpoints &endpoints, const std::vector<std::string> &avoid)
{
    std::vector<const std::shared_ptr<Endpoint> *> candidates;
    for (const auto &endpoint : endpoints.endpoints) {
        if (endpoint->acceptsRequests() && !detail::isAvoided(*endpoint, avoid)
            && endpoint->running.load() < endpoint->slots) {
            candidates.push_back(&endpoint);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto &first = *candidates[transport::randomNumber() % candidates.size()];
    const auto &second = *candidates[transport::randomNumber() % candidates.size()];
    const auto &chosen = second->running.load() < first->running.load() ? second : first;
    return SlotGrant{chosen, 0, false, {}, 0};
}

} // namespace heatherquay::coordination
