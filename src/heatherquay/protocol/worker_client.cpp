#include "heatherquay/protocol/worker_client.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "heatherquay/transport/log.hpp"

#include <mutex>
#include <unordered_map>

#include <boost/json.hpp>

namespace heatherquay::protocol
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::ExchangeProgress;
using transport::ExchangeResult;
using transport::HttpClient;

namespace detail
{

constexpr std::uint32_t connectionsPerWorker = 2;

json::object encodeGang(const GangRef &gang)
{
    return {{"job", gang.job.value}, {"fence", gang.fence.value}};
}

GangRef parseGang(const json::object &object)
{
    return {{std::string(object.at("job").as_string())}, {object.at("fence").to_number<std::uint64_t>()}};
}

TaskState parseTaskState(std::string_view text)
{
    if (text == "running") {
        return TaskState::Running;
    }
    if (text == "finished") {
        return TaskState::Finished;
    }
    if (text == "failed") {
        return TaskState::Failed;
    }
    if (text == "stopped") {
        return TaskState::Stopped;
    }
    throw Error(ErrorKind::BadInput, "unknown task state \"" + std::string(text) + "\"",
                "check the worker's protocol version; known states are running, finished, failed and stopped");
}

std::vector<TaskReport> parseTasks(const std::string &body)
{
    std::vector<TaskReport> reports;
    const json::value document = json::parse(body);
    for (const json::value &item : document.as_object().at("tasks").as_array()) {
        const json::object &task = item.as_object();
        TaskReport report{parseGang(task), parseTaskState(task.at("state").as_string())};
        if (const json::value *progress = task.if_contains("progress")) {
            report.progress = progress->to_number<double>();
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

state::WorkerSpec parseInventory(const std::string &body, const std::string &address)
{
    const json::value document = json::parse(body);
    const json::object &object = document.as_object();
    state::WorkerSpec spec;
    spec.id = {std::string(object.at("worker").as_string())};
    spec.address = address;
    spec.region = {std::string(object.at("region").as_string())};
    spec.failureDomain = {std::string(object.at("failure_domain").as_string())};
    spec.rack = {std::string(object.at("rack").as_string())};
    spec.cores = object.at("cores").to_number<std::uint32_t>();
    spec.memoryMegabytes = object.at("memory").to_number<std::uint64_t>();
    for (const json::value &accelerator : object.at("accelerators").as_array()) {
        spec.accelerators.push_back({std::string(accelerator.as_object().at("kind").as_string())});
    }
    return spec;
}

} // namespace detail

struct WorkerClient::Shared
{
    Shared(asio::any_io_executor clientExecutor, std::chrono::milliseconds callTimeout)
        : executor(std::move(clientExecutor))
        , timeout(callTimeout)
    {
    }

    std::shared_ptr<HttpClient> client(const std::string &address)
    {
        const std::lock_guard lock(mutex);
        std::shared_ptr<HttpClient> &cachedClient = clients[address];
        if (!cachedClient) {
            cachedClient
                = std::make_shared<HttpClient>(executor, transport::parseAddress(address), detail::connectionsPerWorker,
                                               transport::HttpClientLimits{.connectTimeout = timeout});
        }
        return cachedClient;
    }

    asio::awaitable<ExchangeResult> call(std::string address, std::string method, std::string target, std::string body)
    {
        transport::HttpRequest request{
            .method = std::move(method), .target = std::move(target), .body = std::move(body)};
        request.fields.add("Content-Type", "application/json");
        ExchangeResult result;
        try {
            result = co_await client(address)->send(std::move(request), timeout);
        } catch (const Error &error) {
            result.failure = error.what();
        }
        co_return result;
    }

    asio::any_io_executor executor;
    std::chrono::milliseconds timeout;
    std::mutex mutex;
    std::unordered_map<std::string, std::shared_ptr<HttpClient>> clients;
};

WorkerClient::WorkerClient(asio::any_io_executor executor, std::chrono::milliseconds timeout)
    : m_shared(std::make_shared<Shared>(std::move(executor), timeout))
{
}

WorkerClient::~WorkerClient() = default;

asio::awaitable<StartAnswer> WorkerClient::start(std::string address, StartRequest task)
{
    const auto shared = m_shared;
    json::object body = detail::encodeGang(task.gang);
    json::array accelerators;
    for (const std::uint16_t index : task.accelerators) {
        accelerators.emplace_back(index);
    }
    body["accelerators"] = std::move(accelerators);
    body["lease_ms"] = task.lease.count();
    body["command"] = task.command;
    const ExchangeResult result = co_await shared->call(address, "POST", "/v1/tasks/start", json::serialize(body));
    if (result.progress != ExchangeProgress::Answered) {
        const bool notSent = result.progress == ExchangeProgress::NothingSent;
        co_return notSent ? StartAnswer::Refused : StartAnswer::NoResponse;
    }
    co_return result.response.status == 200 ? StartAnswer::Accepted : StartAnswer::Refused;
}

asio::awaitable<StopAnswer> WorkerClient::stop(std::string address, GangRef gang, bool checkpoint,
                                               std::chrono::milliseconds grace)
{
    const auto shared = m_shared;
    json::object body = detail::encodeGang(gang);
    body["checkpoint"] = checkpoint;
    body["grace_ms"] = grace.count();
    const ExchangeResult result = co_await shared->call(address, "POST", "/v1/tasks/stop", json::serialize(body));
    if (result.progress != ExchangeProgress::Answered || result.response.status != 200) {
        co_return StopAnswer::NoResponse;
    }
    try {
        const json::value answer = json::parse(result.response.body);
        const bool stopped = answer.as_object().at("state").as_string() == "stopped";
        co_return stopped ? StopAnswer::Stopped : StopAnswer::Stopping;
    } catch (const std::exception &error) {
        transport::log(transport::LogLevel::Warn, "worker-answer-malformed",
                       {{"address", address}, {"error", error.what()}});
    }
    co_return StopAnswer::NoResponse;
}

asio::awaitable<RenewAnswer> WorkerClient::renew(std::string address, std::chrono::milliseconds lease,
                                                 std::vector<GangRef> gangs)
{
    const auto shared = m_shared;
    json::object body;
    body["lease_ms"] = lease.count();
    json::array jobs;
    for (const GangRef &gang : gangs) {
        jobs.emplace_back(detail::encodeGang(gang));
    }
    body["jobs"] = std::move(jobs);
    const ExchangeResult result = co_await shared->call(address, "POST", "/v1/renew", json::serialize(body));
    RenewAnswer answer;
    if (result.progress != ExchangeProgress::Answered || result.response.status != 200) {
        co_return answer;
    }
    try {
        answer.tasks = detail::parseTasks(result.response.body);
        answer.reached = true;
    } catch (const std::exception &error) {
        transport::log(transport::LogLevel::Warn, "worker-answer-malformed",
                       {{"address", address}, {"error", error.what()}});
    }
    co_return answer;
}

asio::awaitable<std::optional<state::WorkerSpec>> WorkerClient::inventory(std::string address)
{
    const auto shared = m_shared;
    const ExchangeResult result = co_await shared->call(address, "GET", "/v1/inventory", {});
    if (result.progress != ExchangeProgress::Answered || result.response.status != 200) {
        co_return std::nullopt;
    }
    try {
        co_return detail::parseInventory(result.response.body, address);
    } catch (const std::exception &error) {
        transport::log(transport::LogLevel::Warn, "worker-answer-malformed",
                       {{"address", address}, {"error", error.what()}});
    }
    co_return std::nullopt;
}

} // namespace heatherquay::protocol
