#include "endpoints.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <deque>
#include <mutex>
#include <random>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace heatherquay::standins
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::HttpRequest;
using transport::HttpResponse;

namespace detail
{

/// Interval at which a run checks whether its caller has disconnected.
constexpr std::chrono::milliseconds callerPollInterval{10};
constexpr std::size_t listedRepeatedKeysMax = 100;

HttpResponse echoResponse(const HttpRequest &request, const std::string &endpoint)
{
    const std::string id(request.fields.get("X-Request-Id"));
    HttpResponse response = jsonResponse(200,
                                         {{"endpoint", endpoint},
                                          {"method", request.method},
                                          {"path", request.target},
                                          {"id", id},
                                          {"body", request.body}});
    if (!id.empty()) {
        response.fields.add("X-Request-Id", id);
    }
    return response;
}

} // namespace detail

struct StandinEndpoints::Endpoint
{
    std::string address;
    double speed{1.0};
    std::int32_t running{};
    std::int32_t openConnections{};
    std::int32_t runningMax{};
    std::int32_t openConnectionsMax{};
    std::uint64_t requests{};
    std::uint64_t completed{};
    std::uint64_t abandoned{}; ///< Runs that were cancelled because their caller disconnected.
    std::uint64_t overSlots{}; ///< Requests that arrived while all slots were taken.
    std::uint64_t overConnections{}; ///< Connections opened beyond the limit.
    std::uint64_t requestsWhileLeaving{}; ///< Requests that arrived while the endpoint was leaving.
    std::int64_t leavingSince{}; ///< Milliseconds of the monotonic clock.
    std::int64_t lastRequestWhileLeaving{}; ///< Milliseconds from leavingSince to the latest request.
    bool leaving{};
    bool refuseRequests{};
    std::uint32_t failuresLeft{}; ///< Number of requests that still get status 500.
};

struct StandinEndpoints::State
{
    /// Counts the request and takes a slot if the endpoint accepts it.
    /// @param admitted set to whether the request may run
    /// @return the response to a request that may not run
    HttpResponse admit(Endpoint &endpoint, const HttpRequest &request, bool &admitted);
    void finishRun(Endpoint &endpoint, bool completed);
    std::chrono::microseconds serviceTime(const Endpoint &endpoint, const HttpRequest &request);
    asio::awaitable<HttpResponse> run(Endpoint &endpoint, HttpRequest request,
                                      const ClientDisconnected &callerDisconnected);
    bool onOpened(Endpoint &endpoint);
    void onClosed(Endpoint &endpoint);

    mutable std::mutex mutex;
    EndpointsOptions options;
    std::deque<Endpoint> endpoints;
    std::unordered_map<std::string, std::uint32_t> runsByKey;
    std::unordered_map<std::string, std::uint32_t> runsById;
    std::minstd_rand generator;
};

bool StandinEndpoints::State::onOpened(Endpoint &endpoint)
{
    const std::lock_guard lock(mutex);
    const bool overLimit = endpoint.openConnections >= static_cast<std::int32_t>(options.connections);
    endpoint.overConnections += overLimit ? 1 : 0;
    if (overLimit && options.enforceLimits) {
        return false;
    }
    ++endpoint.openConnections;
    endpoint.openConnectionsMax = std::max(endpoint.openConnectionsMax, endpoint.openConnections);
    return true;
}

void StandinEndpoints::State::onClosed(Endpoint &endpoint)
{
    const std::lock_guard lock(mutex);
    --endpoint.openConnections;
}

HttpResponse StandinEndpoints::State::admit(Endpoint &endpoint, const HttpRequest &request, bool &admitted)
{
    const std::lock_guard lock(mutex);
    admitted = false;
    if (endpoint.refuseRequests) {
        return jsonResponse(503, {{"error", "refused by a fault setting"}});
    }
    const bool overLimit = endpoint.running >= static_cast<std::int32_t>(options.slots);
    endpoint.overSlots += overLimit ? 1 : 0;
    if (overLimit && options.enforceLimits) {
        return jsonResponse(503, {{"error", "all slots are taken"}});
    }
    ++endpoint.requests;
    if (endpoint.leaving) {
        ++endpoint.requestsWhileLeaving;
        endpoint.lastRequestWhileLeaving = monotonicMilliseconds() - endpoint.leavingSince;
    }
    const std::string key(request.fields.get("Idempotency-Key"));
    if (!key.empty()) {
        ++runsByKey[key];
    }
    const std::string id(request.fields.get("X-Request-Id"));
    if (!id.empty()) {
        ++runsById[id];
    }
    admitted = true;
    ++endpoint.running;
    endpoint.runningMax = std::max(endpoint.runningMax, endpoint.running);
    return {};
}

void StandinEndpoints::State::finishRun(Endpoint &endpoint, bool completed)
{
    const std::lock_guard lock(mutex);
    --endpoint.running;
    ++(completed ? endpoint.completed : endpoint.abandoned);
}

std::chrono::microseconds StandinEndpoints::State::serviceTime(const Endpoint &endpoint, const HttpRequest &request)
{
    const std::string requestedTime = queryValue(request.target, "ms");
    const std::lock_guard lock(mutex);
    if (!requestedTime.empty()) {
        return std::chrono::milliseconds(std::strtoll(requestedTime.c_str(), nullptr, 10));
    }
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    const double microseconds
        = static_cast<double>(options.serviceTime.count()) * 1000.0 * factor(generator) / endpoint.speed;
    return std::chrono::microseconds(static_cast<std::int64_t>(microseconds));
}

asio::awaitable<HttpResponse> StandinEndpoints::State::run(Endpoint &endpoint, HttpRequest request,
                                                           const ClientDisconnected &callerDisconnected)
{
    bool admitted = false;
    HttpResponse refused = admit(endpoint, request, admitted);
    if (!admitted) {
        co_return refused;
    }
    const auto end = std::chrono::steady_clock::now() + serviceTime(endpoint, request);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool abandoned = false;
    while (!abandoned && std::chrono::steady_clock::now() < end) {
        const auto wait = std::min<std::chrono::steady_clock::duration>(end - std::chrono::steady_clock::now(),
                                                                        detail::callerPollInterval);
        timer.expires_after(wait);
        co_await timer.async_wait(asio::use_awaitable);
        abandoned = options.cancelOnDisconnect && callerDisconnected();
    }
    finishRun(endpoint, !abandoned);
    HttpResponse response = detail::echoResponse(request, endpoint.address);
    const std::lock_guard lock(mutex);
    if (endpoint.failuresLeft > 0) {
        --endpoint.failuresLeft;
        response = jsonResponse(500, {{"error", "failed by a fault setting"}});
    }
    if (endpoint.leaving) {
        response.fields.set("Heatherquay-Leaving", "1");
        response.keepAlive = false;
    }
    co_return response;
}

StandinEndpoints::StandinEndpoints(const asio::any_io_executor &executor, const EndpointsOptions &options)
    : m_state(std::make_shared<State>())
{
    m_state->options = options;
    m_state->generator.seed(static_cast<unsigned>(options.seed));
    m_servers.reserve(options.count);
    for (std::uint32_t number = 0; number < options.count; ++number) {
        Endpoint &endpoint = m_state->endpoints.emplace_back();
        endpoint.speed = options.speedFactors[number % options.speedFactors.size()];
        Handler handler
            = [state = m_state, &endpoint](
                  HttpRequest request, const ClientDisconnected &callerDisconnected) -> asio::awaitable<HttpResponse> {
            if (request.method == "GET" && request.target == "/healthz") {
                const std::lock_guard lock(state->mutex);
                const bool healthy = !endpoint.leaving && !endpoint.refuseRequests;
                HttpResponse response = jsonResponse(healthy ? 200 : 503, {{"ok", healthy}});
                if (endpoint.leaving) {
                    response.fields.set("Heatherquay-Leaving", "1");
                }
                co_return response;
            }
            co_return co_await state->run(endpoint, std::move(request), callerDisconnected);
        };
        ConnectionObserver observer{[state = m_state, &endpoint] {
                                        return state->onOpened(endpoint);
                                    },
                                    [state = m_state, &endpoint] {
                                        state->onClosed(endpoint);
                                    }};
        m_servers.emplace_back(executor, std::move(handler), std::move(observer));
        const std::uint32_t port = options.firstPort == 0 ? 0 : options.firstPort + number;
        m_servers.back().listen(options.host + ":" + std::to_string(port));
        endpoint.address = m_servers.back().address();
    }
}

StandinEndpoints::~StandinEndpoints() = default;

std::vector<std::string> StandinEndpoints::addresses() const
{
    std::vector<std::string> list;
    for (const Server &server : m_servers) {
        list.push_back(server.address());
    }
    return list;
}

std::string StandinEndpoints::service() const
{
    return m_state->options.service;
}

Server &StandinEndpoints::server(const std::string &address)
{
    for (Server &server : m_servers) {
        if (server.address() == address) {
            return server;
        }
    }
    throw Error(ErrorKind::NotFound, "no endpoint \"" + address + "\"",
                "use an endpoint address that this process printed at startup");
}

std::string StandinEndpoints::kind() const
{
    return "endpoint";
}

void StandinEndpoints::control(const std::string &serverId, const json::object &settings)
{
    bool found = false;
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        Endpoint &endpoint = m_state->endpoints[index];
        if (!serverId.empty() && serverId != endpoint.address) {
            continue;
        }
        found = true;
        {
            const std::lock_guard lock(m_state->mutex);
            if (const auto *value = settings.if_contains("leaving")) {
                endpoint.leaving = value->as_bool();
                endpoint.leavingSince = monotonicMilliseconds();
            }
            if (const auto *value = settings.if_contains("refuse")) {
                endpoint.refuseRequests = value->as_bool();
            }
            if (const auto *value = settings.if_contains("fail")) {
                endpoint.failuresLeft = value->to_number<std::uint32_t>();
            }
            if (const auto *value = settings.if_contains("service_ms")) {
                m_state->options.serviceTime = std::chrono::milliseconds(value->to_number<std::int64_t>());
            }
            if (const auto *value = settings.if_contains("guard")) {
                m_state->options.enforceLimits = value->as_bool();
            }
        }
        m_servers[index].control(settings);
    }
    if (!found) {
        throw Error(ErrorKind::BadInput, "no endpoint \"" + serverId + "\"",
                    "use an endpoint address that this process printed at startup");
    }
}

json::object StandinEndpoints::record() const
{
    const std::lock_guard lock(m_state->mutex);
    json::array list;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t overSlots = 0;
    std::uint64_t overConnections = 0;
    for (const Endpoint &endpoint : m_state->endpoints) {
        requests += endpoint.requests;
        completed += endpoint.completed;
        overSlots += endpoint.overSlots;
        overConnections += endpoint.overConnections;
        list.push_back(json::object{{"address", endpoint.address},
                                    {"requests", endpoint.requests},
                                    {"completed", endpoint.completed},
                                    {"abandoned", endpoint.abandoned},
                                    {"running", endpoint.running},
                                    {"running_max", endpoint.runningMax},
                                    {"open", endpoint.openConnections},
                                    {"open_max", endpoint.openConnectionsMax},
                                    {"over_slots", endpoint.overSlots},
                                    {"over_connections", endpoint.overConnections},
                                    {"leaving", endpoint.leaving},
                                    {"while_leaving", endpoint.requestsWhileLeaving},
                                    {"last_while_leaving_ms", endpoint.lastRequestWhileLeaving}});
    }
    json::array repeated;
    for (const auto &[key, runs] : m_state->runsByKey) {
        if (runs > 1 && repeated.size() < detail::listedRepeatedKeysMax) {
            repeated.push_back(json::object{{"key", key}, {"runs", runs}});
        }
    }
    return {{"service", m_state->options.service},
            {"requests", requests},
            {"completed", completed},
            {"over_slots", overSlots},
            {"over_connections", overConnections},
            {"keys", m_state->runsByKey.size()},
            {"repeated_keys", std::move(repeated)},
            {"endpoints", std::move(list)}};
}

json::object StandinEndpoints::history() const
{
    const auto counts = [](const std::unordered_map<std::string, std::uint32_t> &map) {
        json::object object;
        for (const auto &[name, runs] : map) {
            object[name] = runs;
        }
        return object;
    };
    const std::lock_guard lock(m_state->mutex);
    return {{"keys", counts(m_state->runsByKey)}, {"ids", counts(m_state->runsById)}};
}

std::uint64_t StandinEndpoints::runsOfKey(const std::string &key) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->runsByKey.find(key);
    return found == m_state->runsByKey.end() ? 0 : found->second;
}

} // namespace heatherquay::standins
