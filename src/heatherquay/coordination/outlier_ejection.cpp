#include "heatherquay/coordination/outlier_ejection.hpp"

#include "heatherquay/transport/log.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace asio = boost::asio;

namespace detail
{

constexpr std::chrono::milliseconds probeIntervalInitial{500};
constexpr std::chrono::milliseconds probeIntervalMax{5'000};

bool mayEject(const Endpoint &candidate, const ServiceEndpoints &all, double shareMax)
{
    const auto ejected = std::count_if(all.endpoints.begin(), all.endpoints.end(), [&](const auto &endpoint) {
        return endpoint->ejected.load() && endpoint.get() != &candidate;
    });
    return static_cast<double>(ejected + 1) <= shareMax * static_cast<double>(all.endpoints.size());
}

} // namespace detail

OutlierEjection::OutlierEjection(asio::any_io_executor executor, std::function<void()> readmitted)
    : m_executor(std::move(executor))
    , m_readmitted(std::move(readmitted))
{
}

void OutlierEjection::onSuccess(Endpoint &endpoint)
{
    endpoint.consecutiveFailures.store(0);
}

void OutlierEjection::onFailure(const std::shared_ptr<Endpoint> &endpoint, const ServiceEndpoints &all,
                                const state::ServiceSettings &settings)
{
    const std::uint32_t failures = ++endpoint->consecutiveFailures;
    if (failures < settings.ejectAfterFailures || !detail::mayEject(*endpoint, all, settings.ejectedShareMax)) {
        return;
    }
    if (m_stopped.load() || endpoint->ejected.exchange(true)) {
        return;
    }
    transport::log(transport::LogLevel::Warn, "endpoint-ejected",
                   {{"service", endpoint->service.value},
                    {"endpoint", endpoint->address},
                    {"failures", std::to_string(failures)}});
    asio::co_spawn(m_executor, probeUntilServing(endpoint, settings), asio::detached);
}

void OutlierEjection::stop()
{
    m_stopped.store(true);
}

asio::awaitable<void> OutlierEjection::probeUntilServing(std::shared_ptr<Endpoint> endpoint,
                                                         state::ServiceSettings settings)
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_executor);
    auto interval = detail::probeIntervalInitial;
    bool serving = false;
    while (!serving && !m_stopped.load()) {
        timer.expires_after(interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto result = co_await endpoint->pool->probe(settings.probePath, settings.probeTimeout);
        serving = result.progress == transport::ExchangeProgress::Answered && result.response.status < 500;
        interval = std::min(2 * interval, detail::probeIntervalMax);
    }
    if (!serving) {
        co_return;
    }
    // The next failure ejects the endpoint again, in case it responds only to probes.
    endpoint->consecutiveFailures.store(settings.ejectAfterFailures > 0 ? settings.ejectAfterFailures - 1 : 0);
    endpoint->ejected.store(false);
    transport::log(transport::LogLevel::Info, "endpoint-readmitted",
                   {{"service", endpoint->service.value}, {"endpoint", endpoint->address}});
    m_readmitted();
}

} // namespace heatherquay::coordination
