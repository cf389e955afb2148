#include "heatherquay/coordination/caller_api.hpp"

#include "heatherquay/coordination/service_lookup.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/problem.hpp"
#include "heatherquay/transport/digest.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/random.hpp"
#include "heatherquay/transport/rcu_cell.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>

#include <boost/beast/core/string.hpp>

namespace heatherquay::coordination
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using protocol::Outcome;
using protocol::Problem;
using transport::HttpFields;
using transport::HttpRequest;
using transport::HttpResponse;

namespace detail
{

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view idempotencyKeyField = "Idempotency-Key";
constexpr std::string_view deadlineField = "Heatherquay-Deadline-Ms";
constexpr std::size_t keyLengthMax = 255;
constexpr std::size_t processIdBytes = 6;

constexpr std::array<std::string_view, 9> hopByHopFields{
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade"};
constexpr std::array<std::string_view, 6> idempotentMethods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(a, b);
}

std::string_view trim(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// @return the names of the fields that the Connection field declares as hop-by-hop
std::vector<std::string> connectionOptions(const HttpFields &fields)
{
    std::vector<std::string> names;
    for (const transport::HttpField &field : fields.all()) {
        if (!equalsIgnoringCase(field.name, "Connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            names.emplace_back(trim(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return names;
}

void removeHopByHop(HttpFields &fields)
{
    for (const std::string &name : connectionOptions(fields)) {
        fields.remove(name);
    }
    for (const std::string_view name : hopByHopFields) {
        fields.remove(name);
    }
}

bool isIdempotent(std::string_view method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

struct ServiceTarget
{
    state::ServiceId service;
    std::string endpointTarget; ///< Path and query sent to the endpoint.
};

std::optional<ServiceTarget> parseTarget(std::string_view target)
{
    if (!target.starts_with(servicesPrefix)) {
        return std::nullopt;
    }
    target.remove_prefix(servicesPrefix.size());
    const std::size_t end = target.find_first_of("/?");
    ServiceTarget result;
    result.service.value = std::string(target.substr(0, end));
    if (end == std::string_view::npos) {
        result.endpointTarget = "/";
    } else if (target[end] == '?') {
        result.endpointTarget = "/" + std::string(target.substr(end));
    } else {
        result.endpointTarget = std::string(target.substr(end));
    }
    return result;
}

Problem makeProblem(unsigned status, std::string type, std::string title, std::string text)
{
    Problem problem;
    problem.status = status;
    problem.type = std::move(type);
    problem.title = std::move(title);
    problem.detail = std::move(text);
    return problem;
}

/// @return the team that the bearer token belongs to. The token's hash is compared with all known hashes in constant
/// time, so that the response time does not leak information about them.
std::optional<state::TeamId> authenticatedTeam(const state::EntrySettings &settings, std::string_view authorization)
{
    const bool bearer = authorization.size() > bearerPrefix.size()
        && equalsIgnoringCase(authorization.substr(0, bearerPrefix.size()), bearerPrefix);
    if (!bearer) {
        return std::nullopt;
    }
    const std::string hash = transport::sha256Hex({trim(authorization.substr(bearerPrefix.size()))});
    std::optional<state::TeamId> found;
    for (const state::TeamCredential &team : settings.teams) {
        for (const std::string &known : team.tokenSha256) {
            if (transport::equalInConstantTime(known, hash)) {
                found = team.team;
            }
        }
    }
    return found;
}

} // namespace detail

struct CallerApi::Data
{
    Data(std::shared_ptr<Forwarder> router, std::shared_ptr<const state::EntrySettings> entrySettings,
         CallerApiHooks apiHooks)
        : forwarder(std::move(router))
        , settings(std::move(entrySettings))
        , hooks(std::move(apiHooks))
        , processId(transport::randomHex(detail::processIdBytes))
    {
    }

    /// Routing data of a request that passed authentication and validation.
    struct AdmittedRequest
    {
        state::TeamId team;
        detail::ServiceTarget target;
        Clock::time_point deadline;
        std::string key;
    };

    std::string nextRequestId();
    /// @throws RequestRefused if the token, the service, the deadline or the idempotency key is not valid
    AdmittedRequest admit(const HttpRequest &request, const state::EntrySettings &current) const;
    asio::awaitable<ForwardResult> forwardAdmitted(HttpRequest request, AdmittedRequest admitted,
                                                   std::string requestId);
    asio::awaitable<HttpResponse> callService(HttpRequest request, std::string requestId);
    HttpResponse healthResponse(bool ok) const;

    std::shared_ptr<Forwarder> forwarder;
    transport::RcuCell<state::EntrySettings> settings;
    CallerApiHooks hooks;
    const std::string processId;
    std::atomic<std::uint64_t> requestCount{0};
};

namespace detail
{

/// Thrown to reject a request with a problem response.
struct RequestRefused
{
    Problem problem;
};

Clock::time_point parseDeadline(const HttpRequest &request, const state::ServiceSettings &service)
{
    const auto now = Clock::now();
    const std::string_view text = request.fields.get(deadlineField);
    if (text.empty()) {
        return now + service.requestTimeout;
    }
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc{} || end != text.data() + text.size() || milliseconds <= 0) {
        throw RequestRefused{
            makeProblem(400, "bad-deadline", "Malformed deadline",
                        std::string(deadlineField) + " must be a positive whole number of milliseconds")};
    }
    return now + std::min(service.requestTimeout, std::chrono::milliseconds(milliseconds));
}

std::string parseIdempotencyKey(const HttpRequest &request)
{
    const std::string_view key = request.fields.get(idempotencyKeyField);
    if (request.fields.has(idempotencyKeyField) && (key.empty() || key.size() > keyLengthMax)) {
        throw RequestRefused{
            makeProblem(400, "bad-key", "Malformed idempotency key", "Idempotency-Key must have 1 to 255 characters")};
    }
    return std::string(key);
}

} // namespace detail

std::string CallerApi::Data::nextRequestId()
{
    return processId + "-" + std::to_string(++requestCount);
}

CallerApi::Data::AdmittedRequest CallerApi::Data::admit(const HttpRequest &request,
                                                        const state::EntrySettings &current) const
{
    const auto team = detail::authenticatedTeam(current, request.fields.get("Authorization"));
    if (!team) {
        throw detail::RequestRefused{
            detail::makeProblem(401, "unauthorized", "Missing or wrong token",
                                "send the field Authorization: Bearer <token> with a token of your team")};
    }
    auto target = detail::parseTarget(request.target);
    const state::ServiceSettings *service = target ? findService(current, target->service) : nullptr;
    if (service == nullptr) {
        throw detail::RequestRefused{
            detail::makeProblem(404, "unknown-service", "Unknown service",
                                "the path must be /services/{service}/{path} with a known service")};
    }
    return {*team, std::move(*target), detail::parseDeadline(request, *service), detail::parseIdempotencyKey(request)};
}

asio::awaitable<ForwardResult> CallerApi::Data::forwardAdmitted(HttpRequest request, AdmittedRequest admitted,
                                                                std::string requestId)
{
    KeyedRequest keyed;
    keyed.team = admitted.team;
    keyed.key = admitted.key;
    keyed.requestId = requestId;
    keyed.deadline = admitted.deadline;
    keyed.fingerprint = transport::sha256Hex(
        {admitted.target.service.value, request.method, admitted.target.endpointTarget, request.body});
    ForwardRequest job;
    job.service = admitted.target.service;
    job.requestId = requestId;
    job.deadline = admitted.deadline;
    job.idempotent = admitted.key.empty() && detail::isIdempotent(request.method);
    job.request = std::move(request);
    job.request.target = admitted.target.endpointTarget;
    detail::removeHopByHop(job.request.fields);
    for (const std::string_view name : {std::string_view("Authorization"), std::string_view("Host"),
                                        std::string_view("Expect"), detail::deadlineField}) {
        job.request.fields.remove(name);
    }
    job.request.fields.set(std::string(requestIdField), requestId);
    if (admitted.key.empty()) {
        co_return co_await forwarder->forward(std::move(job));
    }
    if (!hooks.runKeyed) {
        ForwardResult refused;
        refused.problem = detail::makeProblem(
            503, "keys-unavailable", "Keyed requests are not available",
            "this entry has no table service to store idempotency keys; send the request again later");
        refused.problem.retryAfter = std::chrono::seconds(1);
        co_return refused;
    }
    // A named variable, because g++ 12 destroys a capturing lambda twice if it is a temporary in a co_await expression.
    const ForwardOperation forwardOnce = [this, job]() {
        return forwarder->forward(job);
    };
    co_return co_await hooks.runKeyed(std::move(keyed), forwardOnce);
}

asio::awaitable<HttpResponse> CallerApi::Data::callService(HttpRequest request, std::string requestId)
{
    const auto startedAt = Clock::now();
    AdmittedRequest admitted;
    try {
        admitted = admit(request, *settings.read());
    } catch (detail::RequestRefused &refused) {
        refused.problem.instance = requestId;
        transport::log(transport::LogLevel::Info, "request-refused",
                       {{"request", requestId},
                        {"remote", request.remoteAddress},
                        {"status", std::to_string(refused.problem.status)},
                        {"type", refused.problem.type}});
        co_return protocol::toResponse(refused.problem);
    }
    RequestRecord record;
    record.service = admitted.target.service;
    record.team = admitted.team;
    ForwardResult result = co_await forwardAdmitted(std::move(request), std::move(admitted), requestId);
    HttpResponse response;
    if (result.answer) {
        response = std::move(*result.answer);
        response.keepAlive = true;
        detail::removeHopByHop(response.fields);
        response.fields.remove("Heatherquay-Leaving");
        response.fields.set(std::string(protocol::outcomeField), std::string(toString(Outcome::Ran)));
    } else {
        result.problem.instance = requestId;
        response = protocol::toResponse(result.problem);
    }
    response.fields.set(std::string(requestIdField), requestId);
    record.status = response.status;
    record.outcome = result.outcome;
    record.latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - startedAt);
    const auto level = result.answer ? transport::LogLevel::Debug : transport::LogLevel::Info;
    transport::log(level, "request-done",
                   {{"request", requestId},
                    {"service", record.service.value},
                    {"team", record.team.value},
                    {"status", std::to_string(record.status)},
                    {"outcome", std::string(toString(record.outcome))},
                    {"microseconds", std::to_string(record.latency.count())}});
    if (hooks.record) {
        hooks.record(record);
    }
    co_return response;
}

HttpResponse CallerApi::Data::healthResponse(bool ok) const
{
    HttpResponse response;
    response.status = ok ? 200 : 503;
    response.fields.add("Content-Type", "text/plain");
    response.body = ok ? "ok\n" : "not ready\n";
    return response;
}

CallerApi::CallerApi(std::shared_ptr<Forwarder> forwarder, std::shared_ptr<const state::EntrySettings> settings,
                     CallerApiHooks hooks)
    : m_data(std::make_shared<Data>(std::move(forwarder), std::move(settings), std::move(hooks)))
{
}

CallerApi::~CallerApi() = default;

asio::awaitable<HttpResponse> CallerApi::handle(HttpRequest request)
{
    const auto data = m_data;
    if (request.target == "/healthz") {
        co_return data->healthResponse(true);
    }
    if (request.target == "/readyz") {
        co_return data->healthResponse(!data->hooks.ready || data->hooks.ready());
    }
    co_return co_await data->callService(std::move(request), data->nextRequestId());
}

HttpResponse CallerApi::refuse(unsigned status, const std::string &detail)
{
    Problem problem = detail::makeProblem(status, "refused", "The request was not accepted", detail);
    if (status == 500) {
        // The handler failed while it processed the request, so the request may have run.
        problem.type = "internal";
        problem.title = "Internal error";
        problem.outcome = Outcome::Unknown;
    }
    if (status == 504) {
        // The handler is still at work while the entry stops.
        problem.type = "stopped";
        problem.title = "The entry stopped";
        problem.outcome = Outcome::Unknown;
    }
    if (status == 429 || status == 503) {
        problem.retryAfter = std::chrono::seconds(1);
    }
    return protocol::toResponse(problem);
}

void CallerApi::applySettings(std::shared_ptr<const state::EntrySettings> settings)
{
    m_data->settings.replace(std::move(settings));
}

} // namespace heatherquay::coordination
