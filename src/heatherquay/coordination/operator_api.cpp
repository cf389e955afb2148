#include "heatherquay/coordination/operator_api.hpp"

#include "heatherquay/coordination/operator_json.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/event_codec.hpp"
#include "heatherquay/protocol/problem.hpp"
#include "heatherquay/transport/digest.hpp"

#include <algorithm>
#include <optional>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::HttpRequest;
using transport::HttpResponse;

namespace detail
{

constexpr std::string_view plansPath = "/v1/plans";
constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view confirmSuffix = "/confirm";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::chrono::seconds retryAfter{1};

HttpResponse jsonResponse(const json::object &body, unsigned status = 200)
{
    HttpResponse response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

unsigned httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadInput:
        return 400;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::Overloaded:
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::Timeout:
        return 504;
    case ErrorKind::Internal:
        break;
    }
    return 500;
}

HttpResponse problemResponse(ErrorKind kind, const std::string &detail)
{
    protocol::Problem problem;
    problem.status = httpStatus(kind);
    problem.type = std::string(toString(kind));
    problem.title = std::string(toString(kind));
    problem.detail = detail;
    const bool uncertain
        = kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::Timeout || kind == ErrorKind::Internal;
    problem.outcome = uncertain ? protocol::Outcome::Unknown : protocol::Outcome::NotRun;
    if (problem.status == 503) {
        problem.retryAfter = retryAfter;
    }
    return protocol::toResponse(problem);
}

HttpResponse textResponse(std::string body, std::string type)
{
    HttpResponse response;
    response.fields.add("Content-Type", std::move(type));
    response.body = std::move(body);
    return response;
}

std::string requestPath(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

} // namespace detail

OperatorApi::OperatorApi(std::vector<state::OperatorCredential> credentials, OperatorPorts ports)
    : m_credentials(std::move(credentials))
    , m_ports(std::move(ports))
{
}

bool OperatorApi::authorized(const HttpRequest &request) const
{
    const std::string_view value = request.fields.get("Authorization");
    if (!value.starts_with(detail::bearerPrefix)) {
        return false;
    }
    const std::string digest = transport::sha256Hex({value.substr(detail::bearerPrefix.size())});
    bool found = false;
    for (const state::OperatorCredential &credential : m_credentials) {
        for (const std::string &known : credential.tokenSha256) {
            found |= transport::equalInConstantTime(digest, known);
        }
    }
    return found;
}

asio::awaitable<HttpResponse> OperatorApi::handle(HttpRequest request)
{
    std::optional<HttpResponse> failure;
    try {
        co_return co_await route(request);
    } catch (const Error &error) {
        failure = detail::problemResponse(error.kind(), error.what());
    } catch (const std::exception &error) {
        failure = detail::problemResponse(ErrorKind::Internal, error.what());
    }
    co_return *failure;
}

asio::awaitable<HttpResponse> OperatorApi::route(const HttpRequest &request)
{
    const std::string path = detail::requestPath(request.target);
    if (path == "/healthz") {
        co_return detail::textResponse("ok\n", "text/plain");
    }
    if (path == "/readyz") {
        HttpResponse response = detail::textResponse("ready\n", "text/plain");
        if (!m_ports.status().ready) {
            response.status = 503;
            response.body = "not ready\n";
        }
        co_return response;
    }
    if (path == "/metrics") {
        co_return detail::textResponse(m_ports.metrics(), "text/plain; version=0.0.4");
    }
    if (!authorized(request)) {
        throw Error(ErrorKind::Unauthorized, "the bearer token is missing or does not belong to an operator",
                    "send the header Authorization: Bearer TOKEN");
    }
    const bool post = request.method == "POST";
    if (path == detail::plansPath && post) {
        co_return co_await propose(request.body);
    }
    if (post && path.starts_with(std::string(detail::plansPath) + "/") && path.ends_with(detail::confirmSuffix)) {
        const std::size_t begin = detail::plansPath.size() + 1;
        co_return co_await confirm(path.substr(begin, path.size() - begin - detail::confirmSuffix.size()));
    }
    if (request.method != "GET") {
        throw Error(ErrorKind::BadInput, request.method + " " + path + " is not supported",
                    "use GET, or POST for /v1/plans and /v1/plans/ID/confirm");
    }
    if (path == "/v1/status") {
        co_return statusResponse();
    }
    if (path == detail::jobsPath) {
        co_return jobsResponse();
    }
    if (path.starts_with(std::string(detail::jobsPath) + "/")) {
        co_return jobResponse(path.substr(detail::jobsPath.size() + 1));
    }
    if (path == "/v1/teams") {
        co_return teamsResponse();
    }
    if (path == "/v1/workers") {
        co_return workersResponse();
    }
    if (path == "/v1/burn") {
        co_return detail::textResponse(co_await m_ports.burn(), "application/json");
    }
    throw Error(ErrorKind::NotFound, "there is no resource at " + path,
                "use /v1/status, /v1/jobs, /v1/jobs/ID, /v1/teams, /v1/workers, /v1/burn, /v1/plans, "
                "/healthz, /readyz or /metrics");
}

asio::awaitable<HttpResponse> OperatorApi::propose(std::string body)
{
    const state::Intent intent = protocol::decodeIntent(body);
    const Plan plan = co_await m_ports.propose(intent);
    co_return detail::jsonResponse(planJson(plan), plan.outcome.admitted ? 201 : 200);
}

asio::awaitable<HttpResponse> OperatorApi::confirm(std::string plan)
{
    const state::PlanId id{plan};
    const Confirmation confirmation = co_await m_ports.confirm(id);
    json::object body;
    body["id"] = plan;
    body["journal_number"] = confirmation.journalNumber;
    body["result"] = confirmation.repeated ? "confirmed before" : "confirmed";
    co_return detail::jsonResponse(body);
}

HttpResponse OperatorApi::statusResponse() const
{
    json::object body;
    m_ports.readCluster([this, &body](const state::Cluster &cluster) {
        body = statusJson(m_ports.status(), cluster.totals());
    });
    return detail::jsonResponse(body);
}

HttpResponse OperatorApi::jobsResponse() const
{
    json::array jobs;
    m_ports.readCluster([&jobs](const state::Cluster &cluster) {
        for (const state::JobView &job : cluster.jobs()) {
            jobs.emplace_back(jobJson(job));
        }
    });
    return detail::jsonResponse({{"jobs", std::move(jobs)}});
}

HttpResponse OperatorApi::jobResponse(const std::string &id) const
{
    std::optional<state::JobView> job;
    m_ports.readCluster([&id, &job](const state::Cluster &cluster) {
        job = cluster.job(state::JobId{id});
    });
    if (!job) {
        throw Error(ErrorKind::NotFound, "there is no job " + id,
                    "list the jobs with GET /v1/jobs; ended jobs are kept only for a limited time");
    }
    return detail::jsonResponse(jobJson(*job));
}

HttpResponse OperatorApi::teamsResponse() const
{
    json::array teams;
    m_ports.readCluster([&teams](const state::Cluster &cluster) {
        for (const state::TeamView &team : cluster.teams()) {
            teams.emplace_back(teamJson(team));
        }
    });
    return detail::jsonResponse({{"teams", std::move(teams)}});
}

HttpResponse OperatorApi::workersResponse() const
{
    json::array workers;
    m_ports.readCluster([&workers](const state::Cluster &cluster) {
        for (const state::WorkerView &worker : cluster.workers()) {
            workers.emplace_back(workerJson(worker));
        }
    });
    return detail::jsonResponse({{"workers", std::move(workers)}});
}

} // namespace heatherquay::coordination
