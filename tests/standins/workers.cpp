#include "workers.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>

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

/// Limits the memory of the record; further starts are refused.
constexpr std::size_t recordedRunsMax = 200'000;
/// Value of Worker::startFailuresLeft that is never decremented.
constexpr std::uint32_t unlimitedStartFailures = 1'000'000'000;

struct Task
{
    std::uint64_t fence{};
    std::vector<std::uint16_t> accelerators;
    std::string command;
    std::string state{"running"};
    std::int64_t startedAt{};
    std::int64_t leaseEnd{};
    std::int64_t stopAt{}; ///< Time at which a stopping task ends; 0 unless the task is stopping.
    double initialProgress{}; ///< Progress restored from the checkpoint of an earlier run.
    double progress{};
    bool checkpointed{};
    std::size_t runIndex{}; ///< Index into State::runs.

    bool holdsAccelerators() const
    {
        return state == "running" || state == "stopping";
    }
};

/// @return the value of the argument "name=N" in the command, empty if absent
std::optional<std::int64_t> commandArgument(const std::string &command, const std::string &name)
{
    const std::size_t at = command.find(name + "=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    return std::strtoll(command.c_str() + at + name.size() + 1, nullptr, 10);
}

struct Run
{
    std::string worker;
    std::string job;
    std::uint64_t fence{};
    std::vector<std::uint16_t> accelerators;
    std::int64_t startedAt{};
    std::int64_t endedAt{};
    std::string endReason;
};

} // namespace detail

struct StandinWorkers::Worker
{
    std::string id;
    std::string rack;
    std::string failureDomain;
    std::string kind;
    std::map<std::string, detail::Task> tasks;
    std::map<std::string, std::uint64_t> newestFence;
    std::map<std::string, std::uint64_t> stoppedFence;
    std::uint32_t startFailuresLeft{};
    std::uint32_t unansweredStartsLeft{};
    bool failTasks{};
    std::uint64_t renewals{};
};

struct StandinWorkers::State
{
    HttpResponse start(Worker &worker, const json::object &call);
    HttpResponse stop(Worker &worker, const json::object &call);
    HttpResponse renew(Worker &worker, const json::object &call);
    HttpResponse inventory(const Worker &worker) const;
    static std::string holderOf(const Worker &worker, const std::vector<std::uint16_t> &accelerators);
    /// Updates all tasks of the worker to the current time. The caller holds the mutex.
    void updateTasks(Worker &worker);
    /// Updates the progress of a task and ends it if it failed, finished, was stopped or lost its lease before @p now.
    void updateTask(detail::Task &task, const std::string &job, std::int64_t now);
    void endRun(detail::Task &task, const std::string &job, const std::string &reason, std::int64_t at);
    json::object record();

    mutable std::mutex mutex;
    WorkersOptions options;
    std::map<std::string, Worker> workers;
    std::map<std::string, double> checkpointedProgress;
    std::vector<detail::Run> runs;
    std::uint64_t refusedBusy{};
    std::uint64_t refusedFence{};
};

void StandinWorkers::State::endRun(detail::Task &task, const std::string &job, const std::string &reason,
                                   std::int64_t at)
{
    task.state = reason == "lapsed" ? "stopped" : reason;
    runs[task.runIndex].endedAt = at;
    runs[task.runIndex].endReason = reason;
    if (task.checkpointed) {
        checkpointedProgress[job] = std::max(checkpointedProgress[job], task.progress);
    }
}

void StandinWorkers::State::updateTask(detail::Task &task, const std::string &job, std::int64_t now)
{
    const auto runTime = detail::commandArgument(task.command, "run_ms");
    const auto failTime = detail::commandArgument(task.command, "fail_ms");
    const std::int64_t until = std::min({now, task.leaseEnd, task.stopAt > 0 ? task.stopAt : now});
    if (runTime && *runTime > 0) {
        const double progressOfRun = static_cast<double>(until - task.startedAt) / static_cast<double>(*runTime);
        task.progress = std::min(1.0, task.initialProgress + progressOfRun);
    }
    const double remainingProgress = 1.0 - task.initialProgress;
    const std::int64_t finishAt = runTime
        ? task.startedAt + static_cast<std::int64_t>(remainingProgress * static_cast<double>(*runTime))
        : now + 1;
    const std::int64_t failAt = failTime ? task.startedAt + *failTime : now + 1;
    if (failAt <= until) {
        endRun(task, job, "failed", failAt);
    } else if (finishAt <= until) {
        endRun(task, job, "finished", finishAt);
    } else if (task.stopAt > 0 && task.stopAt <= now) {
        endRun(task, job, "stopped", task.stopAt);
    } else if (task.leaseEnd <= now) {
        endRun(task, job, "lapsed", task.leaseEnd);
    }
}

void StandinWorkers::State::updateTasks(Worker &worker)
{
    const std::int64_t now = monotonicMilliseconds();
    for (auto &[job, task] : worker.tasks) {
        if (!task.holdsAccelerators()) {
            continue;
        }
        if (worker.failTasks) {
            endRun(task, job, "failed", now);
            continue;
        }
        updateTask(task, job, now);
    }
}

/// @return a job that holds at least one of the accelerators, empty if all are free
std::string StandinWorkers::State::holderOf(const Worker &worker, const std::vector<std::uint16_t> &accelerators)
{
    for (const auto &entry : worker.tasks) {
        const detail::Task &running = entry.second;
        const bool overlaps = std::any_of(accelerators.begin(), accelerators.end(), [&running](std::uint16_t index) {
            return std::count(running.accelerators.begin(), running.accelerators.end(), index) > 0;
        });
        if (running.holdsAccelerators() && overlaps) {
            return entry.first;
        }
    }
    return {};
}

HttpResponse StandinWorkers::State::start(Worker &worker, const json::object &call)
{
    const std::lock_guard lock(mutex);
    updateTasks(worker);
    const std::string job(call.at("job").as_string());
    const auto fence = call.at("fence").to_number<std::uint64_t>();
    const std::int64_t now = monotonicMilliseconds();
    const std::int64_t leaseEnd = now + call.at("lease_ms").to_number<std::int64_t>();
    const auto existing = worker.tasks.find(job);
    if (existing != worker.tasks.end() && existing->second.fence == fence && existing->second.state == "running") {
        existing->second.leaseEnd = leaseEnd;
        return jsonResponse(200, {{"state", "running"}});
    }
    std::uint64_t &newest = worker.newestFence[job];
    const auto stopped = worker.stoppedFence.find(job);
    const bool ended = existing != worker.tasks.end() && existing->second.fence >= fence;
    if (fence < newest || ended || (stopped != worker.stoppedFence.end() && fence <= stopped->second)) {
        ++refusedFence;
        return jsonResponse(409, {{"reason", "old fence"}});
    }
    newest = fence;
    if (worker.startFailuresLeft > 0) {
        worker.startFailuresLeft -= worker.startFailuresLeft == detail::unlimitedStartFailures ? 0 : 1;
        return jsonResponse(409, {{"reason", "start failed"}});
    }
    detail::Task task;
    for (const auto &index : call.at("accelerators").as_array()) {
        task.accelerators.push_back(index.to_number<std::uint16_t>());
    }
    const std::string holder = holderOf(worker, task.accelerators);
    if (!holder.empty()) {
        ++refusedBusy;
        return jsonResponse(409, {{"reason", "an accelerator is busy with " + holder}});
    }
    const bool outOfRange
        = std::any_of(task.accelerators.begin(), task.accelerators.end(), [this](std::uint16_t index) {
              return index >= options.accelerators;
          });
    if (outOfRange || task.accelerators.empty() || runs.size() >= detail::recordedRunsMax) {
        return jsonResponse(409, {{"reason", "no such accelerator"}});
    }
    task.fence = fence;
    const auto *command = call.if_contains("command");
    task.command = command ? std::string(command->as_string()) : std::string();
    task.startedAt = now;
    task.leaseEnd = leaseEnd;
    task.initialProgress = checkpointedProgress[job];
    task.progress = task.initialProgress;
    task.runIndex = runs.size();
    runs.push_back({worker.id, job, fence, task.accelerators, now, 0, ""});
    worker.tasks[job] = std::move(task);
    return jsonResponse(200, {{"state", "running"}});
}

HttpResponse StandinWorkers::State::stop(Worker &worker, const json::object &call)
{
    const std::lock_guard lock(mutex);
    updateTasks(worker);
    const std::string job(call.at("job").as_string());
    const auto fence = call.at("fence").to_number<std::uint64_t>();
    std::uint64_t &newest = worker.newestFence[job];
    if (fence < newest) {
        ++refusedFence;
        return jsonResponse(409, {{"reason", "old fence"}});
    }
    newest = fence;
    // A delayed start with the same fence may arrive after the stop and must not run.
    worker.stoppedFence[job] = fence;
    const auto found = worker.tasks.find(job);
    if (found == worker.tasks.end() || !found->second.holdsAccelerators()) {
        return jsonResponse(200, {{"state", "stopped"}});
    }
    detail::Task &task = found->second;
    const std::int64_t now = monotonicMilliseconds();
    const auto *checkpoint = call.if_contains("checkpoint");
    const auto *grace = call.if_contains("grace_ms");
    if (!checkpoint || !checkpoint->as_bool()) {
        endRun(task, job, "stopped", now);
        return jsonResponse(200, {{"state", "stopped"}});
    }
    if (task.state == "running") {
        const std::int64_t allowed = grace ? grace->to_number<std::int64_t>() : 0;
        task.checkpointed = options.checkpointTime.count() <= allowed;
        task.stopAt = now + std::min<std::int64_t>(allowed, options.checkpointTime.count());
        task.state = "stopping";
    }
    updateTask(task, job, now);
    return jsonResponse(200, {{"state", task.holdsAccelerators() ? "stopping" : "stopped"}});
}

HttpResponse StandinWorkers::State::renew(Worker &worker, const json::object &call)
{
    const std::lock_guard lock(mutex);
    ++worker.renewals;
    updateTasks(worker);
    const std::int64_t now = monotonicMilliseconds();
    const std::int64_t lease = call.at("lease_ms").to_number<std::int64_t>();
    json::array tasks;
    for (const auto &item : call.at("jobs").as_array()) {
        const std::string job(item.at("job").as_string());
        const auto fence = item.at("fence").to_number<std::uint64_t>();
        const auto found = worker.tasks.find(job);
        if (found == worker.tasks.end() || found->second.fence != fence) {
            tasks.push_back(
                json::object{{"job", job}, {"fence", fence}, {"state", "stopped"}, {"progress", 0.0}, {"usage", 0}});
        } else if (found->second.holdsAccelerators()) {
            found->second.leaseEnd = now + lease;
        }
    }
    for (const auto &[job, task] : worker.tasks) {
        tasks.push_back(json::object{{"job", job},
                                     {"fence", task.fence},
                                     {"state", task.state == "stopping" ? "running" : task.state},
                                     {"progress", task.progress},
                                     {"checkpointed", task.checkpointed && !task.holdsAccelerators()},
                                     {"usage", now - task.startedAt}});
    }
    return jsonResponse(200, {{"tasks", std::move(tasks)}});
}

HttpResponse StandinWorkers::State::inventory(const Worker &worker) const
{
    json::array accelerators;
    for (std::uint32_t index = 0; index < options.accelerators; ++index) {
        accelerators.push_back(json::object{{"id", index}, {"kind", worker.kind}});
    }
    return jsonResponse(200,
                        {{"worker", worker.id},
                         {"rack", worker.rack},
                         {"failure_domain", worker.failureDomain},
                         {"region", options.region},
                         {"cores", options.cores},
                         {"memory", options.memoryMegabytes},
                         {"accelerators", std::move(accelerators)}});
}

json::object StandinWorkers::State::record()
{
    const std::lock_guard lock(mutex);
    std::uint64_t renewals = 0;
    for (auto &[id, worker] : workers) {
        updateTasks(worker);
        renewals += worker.renewals;
    }
    json::array list;
    // Detects runs that overlap in time on the same accelerator.
    std::map<std::pair<std::string, std::uint16_t>, std::int64_t> heldUntil;
    std::uint64_t doubleHeld = 0;
    const std::int64_t now = monotonicMilliseconds();
    for (const detail::Run &run : runs) {
        json::array accelerators;
        for (const std::uint16_t index : run.accelerators) {
            accelerators.push_back(index);
            std::int64_t &until = heldUntil[{run.worker, index}];
            doubleHeld += run.startedAt < until ? 1 : 0;
            until = run.endedAt == 0 ? now + 1 : run.endedAt;
        }
        list.push_back(json::object{{"worker", run.worker},
                                    {"job", run.job},
                                    {"fence", run.fence},
                                    {"accelerators", std::move(accelerators)},
                                    {"started_at", run.startedAt},
                                    {"ended_at", run.endedAt},
                                    {"end", run.endReason}});
    }
    return {{"runs", std::move(list)},       {"double_held", doubleHeld}, {"refused_busy", refusedBusy},
            {"refused_fence", refusedFence}, {"renewals", renewals},      {"now", now}};
}

StandinWorkers::StandinWorkers(const asio::any_io_executor &executor, const WorkersOptions &options)
    : m_state(std::make_shared<State>())
{
    m_state->options = options;
    for (std::uint32_t number = 0; number < options.count; ++number) {
        Worker worker;
        const std::size_t domains = options.failureDomains.size();
        worker.id = "w" + std::to_string(number);
        worker.failureDomain = options.failureDomains[number % domains];
        worker.rack = worker.failureDomain + "-r" + std::to_string(number / domains / options.workersPerRack);
        worker.kind = options.kinds[number % options.kinds.size()];
        Worker *storedWorker = &m_state->workers.emplace(worker.id, worker).first->second;
        Handler handler = [state = m_state, storedWorker](HttpRequest request,
                                                          const ClientDisconnected &) -> asio::awaitable<HttpResponse> {
            const std::string path = pathOf(request.target);
            if (request.method == "GET" && path == "/v1/inventory") {
                co_return state->inventory(*storedWorker);
            }
            if (request.method != "POST") {
                co_return jsonResponse(404, {{"error", "no such path"}});
            }
            const json::object call = parseObject(request.body);
            if (path == "/v1/tasks/start") {
                HttpResponse response = state->start(*storedWorker, call);
                bool unanswered = false;
                {
                    const std::lock_guard lock(state->mutex);
                    unanswered = storedWorker->unansweredStartsLeft > 0;
                    storedWorker->unansweredStartsLeft -= unanswered ? 1 : 0;
                }
                if (unanswered) {
                    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(30));
                    co_await timer.async_wait(asio::use_awaitable);
                }
                co_return response;
            }
            if (path == "/v1/tasks/stop") {
                co_return state->stop(*storedWorker, call);
            }
            if (path == "/v1/renew") {
                co_return state->renew(*storedWorker, call);
            }
            co_return jsonResponse(404, {{"error", "no such path"}});
        };
        m_servers.emplace_back(worker.id, Server(executor, std::move(handler)));
        const std::uint32_t port = options.firstPort == 0 ? 0 : options.firstPort + number;
        m_servers.back().second.listen(options.host + ":" + std::to_string(port));
    }
}

StandinWorkers::~StandinWorkers() = default;

std::vector<StandinWorkers::WorkerAddress> StandinWorkers::workers() const
{
    std::vector<WorkerAddress> infos;
    for (const auto &[id, server] : m_servers) {
        infos.push_back({id, server.address()});
    }
    return infos;
}

Server &StandinWorkers::server(const std::string &worker)
{
    for (auto &[id, server] : m_servers) {
        if (id == worker) {
            return server;
        }
    }
    throw Error(ErrorKind::NotFound, "no worker \"" + worker + "\"",
                "use a worker id that this process printed at startup");
}

std::string StandinWorkers::kind() const
{
    return "worker";
}

void StandinWorkers::control(const std::string &serverId, const json::object &settings)
{
    bool found = false;
    for (auto &[id, server] : m_servers) {
        if (!serverId.empty() && serverId != id) {
            continue;
        }
        found = true;
        {
            const std::lock_guard lock(m_state->mutex);
            Worker &worker = m_state->workers.at(id);
            if (const auto *value = settings.if_contains("fail_starts")) {
                worker.startFailuresLeft = value->is_bool() ? (value->as_bool() ? detail::unlimitedStartFailures : 0)
                                                            : value->to_number<std::uint32_t>();
            }
            if (const auto *value = settings.if_contains("silent_starts")) {
                worker.unansweredStartsLeft = value->to_number<std::uint32_t>();
            }
            if (const auto *value = settings.if_contains("fail_tasks")) {
                worker.failTasks = value->as_bool();
            }
        }
        server.control(settings);
    }
    if (!found) {
        throw Error(ErrorKind::BadInput, "no worker \"" + serverId + "\"",
                    "use a worker id that this process printed at startup");
    }
}

json::object StandinWorkers::record() const
{
    return m_state->record();
}

} // namespace heatherquay::standins
