#include "emulator/platform_emulator.hpp"

#include "platform/wire_json.hpp"

#include <boost/asio/post.hpp>

namespace heatherquay::test
{

using namespace platform;
using protocol::CommitStatus;
using protocol::batch::CallStatus;

namespace detail
{

constexpr std::uint32_t workersPerRack = 8;
constexpr std::int64_t workerMillicores = 128'000;
constexpr std::chrono::milliseconds callTimeout{60'000};

transport::HttpResponse jsonResponse(unsigned status, const boost::json::object &body)
{
    transport::HttpResponse response;
    response.status = status;
    response.body = boost::json::serialize(body);
    return response;
}

std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> result;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        const std::size_t equals = pair.find('=');
        result[pair.substr(0, equals)] = equals == std::string::npos ? "" : percentDecode(pair.substr(equals + 1));
        begin = end;
    }
    return result;
}

protocol::batch::RowKey parseRowKey(const boost::json::value &json)
{
    return {stringOr(json, "table"), stringOr(json, "part"), stringOr(json, "key")};
}

boost::json::array encodeRows(const std::vector<protocol::batch::StoredRow> &rows)
{
    boost::json::array array;
    for (const auto &row : rows) {
        boost::json::object object;
        object["table"] = row.key.table;
        object["part"] = row.key.part;
        object["key"] = row.key.key;
        object["rowVersion"] = row.version;
        if (row.removed) {
            object["tombstone"] = true;
        } else {
            object["value"] = encodeBase64(row.value);
        }
        array.push_back(std::move(object));
    }
    return array;
}

transport::HttpResponse orderResponse(const protocol::batch::OrderAnswer &answer)
{
    boost::json::object body;
    body["clockMs"] = answer.clock ? answer.clock->count() : 1;
    if (answer.status == CallStatus::Answered) {
        return jsonResponse(200, body);
    }
    body["reason"] = answer.status == CallStatus::Fenced ? "fence" : "old";
    return jsonResponse(409, body);
}

const char *endKindName(state::batch::EndKind kind)
{
    constexpr const char *words[]{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return words[static_cast<std::size_t>(kind)];
}

} // namespace detail

PlatformEmulator::PlatformEmulator(std::uint32_t workerCount, std::chrono::milliseconds taskDuration)
    : m_workGuard(m_context.get_executor())
{
    const auto refusal = [](unsigned status, const std::string &) {
        return detail::jsonResponse(status, {});
    };
    m_servers.push_back(std::make_unique<transport::HttpServer>(
        m_context.get_executor(),
        [this](transport::HttpRequest request) {
            return handleStoreRequest(std::move(request));
        },
        refusal));
    m_servers.back()->listen("127.0.0.1:0");
    for (std::uint32_t i = 0; i < workerCount; ++i) {
        state::batch::WorkerSpec spec;
        spec.id.value = "i-" + std::to_string(i);
        spec.incarnation.value = 1'000 + i;
        spec.capacity.cpuMillicores = detail::workerMillicores;
        const auto worker = std::make_shared<FakeWorker>(spec);
        worker->taskDuration = taskDuration;
        m_workers.push_back(worker);
        m_servers.push_back(std::make_unique<transport::HttpServer>(
            m_context.get_executor(),
            [this, worker](transport::HttpRequest request) {
                return handleWorkerRequest(worker, std::move(request));
            },
            refusal));
        m_servers.back()->listen("127.0.0.1:0");
        registerWorker(i);
    }
    m_thread = std::jthread([this] {
        m_context.run();
    });
}

PlatformEmulator::~PlatformEmulator()
{
    m_context.stop();
    m_thread.join();
}

void PlatformEmulator::registerWorker(std::size_t index)
{
    const state::batch::WorkerSpec &spec = m_workers[index]->spec;
    boost::json::object entry;
    entry["service"] = "service";
    entry["address"] = "127.0.0.1:" + std::to_string(m_servers[index + 1]->localEndpoint().port());
    entry["zone"] = "z";
    entry["state"] = "ready";
    entry["born"] = spec.incarnation.value;
    entry["capacity"] = {{"cpu", spec.capacity.cpuMillicores}, {"memMb", 256'000}, {"gpu", 8}};
    entry["labels"] = {"a", "r-" + std::to_string(index / detail::workersPerRack)};
    m_store.put({"servers", "", spec.id.value}, boost::json::serialize(entry));
}

void PlatformEmulator::restartWorker(std::size_t index)
{
    runOnEmulatorThread([index](PlatformEmulator &self) {
        self.m_restarting.insert(self.m_workers[index]);
        self.m_servers[index + 1]->closeAll();
        return true;
    });
    // The server closes its connections in handlers that run before this one.
    runOnEmulatorThread([index](PlatformEmulator &self) {
        self.m_restarting.erase(self.m_workers[index]);
        self.m_workers[index]->restart();
        return true;
    });
}

std::string PlatformEmulator::storeAddress() const
{
    return "127.0.0.1:" + std::to_string(m_servers.front()->localEndpoint().port());
}

void PlatformEmulator::configure(const std::string &json)
{
    runOnEmulatorThread([&json](PlatformEmulator &self) {
        self.m_store.put({"op", "", "config"}, json);
        return true;
    });
}

std::map<std::string, int> PlatformEmulator::startCounts()
{
    return runOnEmulatorThread([](PlatformEmulator &self) {
        std::map<std::string, int> count;
        for (const auto &worker : self.m_workers) {
            for (const auto &record : worker->records) {
                count[toString(record.task)] += record.started ? 1 : 0;
            }
        }
        return count;
    });
}

boost::asio::awaitable<transport::HttpResponse> PlatformEmulator::handleStoreRequest(transport::HttpRequest request)
{
    auto query = detail::parseQuery(request.target);
    boost::json::object body;
    if (m_store.down) {
        co_return detail::jsonResponse(503, body);
    }
    if (request.target.starts_with("/v1/rows-tx")) {
        const boost::json::value json = parseJson(request.body);
        protocol::batch::RowTransaction transaction;
        for (const auto &entry : arrayOrEmpty(json, "expect")) {
            transaction.conditions.push_back(
                {detail::parseRowKey(entry), static_cast<std::uint64_t>(integerOr(entry, "rowVersion"))});
        }
        for (const auto &entry : arrayOrEmpty(json, "puts")) {
            transaction.puts.push_back(
                {detail::parseRowKey(entry), decodeBase64(stringOr(entry, "value")).value_or("")});
        }
        for (const auto &entry : arrayOrEmpty(json, "remove")) {
            transaction.removals.push_back(detail::parseRowKey(entry));
        }
        const auto commit = co_await m_store.transact(std::move(transaction), detail::callTimeout);
        if (commit.status == CommitStatus::Unknown) {
            throw std::runtime_error("injected loss of the response"); // Gives 500, which leaves the outcome unknown.
        }
        if (commit.status == CommitStatus::NotCommitted) {
            co_return detail::jsonResponse(503, body); // The store went down while the call was under way.
        }
        body["rowVersion"] = commit.version;
        body["rows"] = detail::encodeRows(commit.current);
        co_return detail::jsonResponse(commit.status == CommitStatus::Committed ? 200 : 412, body);
    }
    if (request.target.starts_with("/v1/rows-get")) {
        const protocol::batch::RowRange range{query["table"], query["part"], query["from"],
                                              static_cast<std::uint32_t>(std::stoul(query["limit"]))};
        const auto read = co_await m_store.read(range, detail::callTimeout);
        body["rows"] = detail::encodeRows(read.rows);
        body["hasMore"] = read.more;
        body["rowVersion"] = read.version;
        co_return detail::jsonResponse(200, body);
    }
    if (request.target.starts_with("/v1/rows-feed")) {
        const std::chrono::milliseconds wait(std::stol(query["waitMs"]));
        const auto feed = co_await m_store.follow(query["table"], std::stoull(query["after"]), wait);
        body["rows"] = detail::encodeRows(feed.rows);
        body["rowVersion"] = feed.version;
        const unsigned status = feed.status == protocol::batch::FeedStatus::Ok ? 200
            : feed.status == protocol::batch::FeedStatus::HistoryCompacted     ? 410
                                                                               : 503;
        co_return detail::jsonResponse(status, body);
    }
    co_return detail::jsonResponse(404, body);
}

boost::asio::awaitable<transport::HttpResponse>
PlatformEmulator::handleWorkerRequest(std::shared_ptr<FakeWorker> worker, transport::HttpRequest request)
{
    if (m_restarting.contains(worker)) {
        throw std::runtime_error("the worker is restarting");
    }
    const boost::json::value json = parseJson(request.body);
    const protocol::batch::FencingToken token{static_cast<std::uint64_t>(integerOr(json, "fencingToken"))};
    const std::chrono::milliseconds deadline(integerOr(json, "deadlineMs"));
    const auto task = state::batch::parseTaskId(stringOr(json, "task")).value_or(state::batch::TaskId{});
    const auto run = static_cast<std::uint32_t>(integerOr(json, "run"));
    if (request.target == "/v1/run-start") {
        const state::batch::StartOrder order{
            task, run, {}, {}, stringOr(json, "spec"), stringOr(json, "lastCheckpoint")};
        co_return detail::orderResponse(co_await worker->start(order, token, deadline, detail::callTimeout));
    }
    if (request.target == "/v1/run-stop") {
        const state::batch::StopOrder order{task, run, {}};
        co_return detail::orderResponse(co_await worker->stop(order, token, detail::callTimeout));
    }
    if (request.target == "/v1/pace") {
        const state::batch::PaceOrder order{task, run, {}, static_cast<std::uint32_t>(integerOr(json, "percent"))};
        co_return detail::orderResponse(co_await worker->pace(order, token, detail::callTimeout));
    }
    protocol::batch::PollRequest poll;
    poll.token = token;
    poll.confirmedEnd = static_cast<std::uint64_t>(integerOr(json, "lastSeen"));
    poll.wait = std::chrono::milliseconds(integerOr(json, "waitMs"));
    if (find(json, "deadlineMs") != nullptr) {
        poll.leaseUntil = deadline;
    }
    const auto answer = co_await worker->poll(poll, detail::callTimeout);
    if (answer.status == CallStatus::Unknown) {
        throw std::runtime_error("the worker has restarted");
    }
    boost::json::object body;
    if (answer.status != CallStatus::Answered) {
        body["reason"] = "fence";
        co_return detail::jsonResponse(409, body);
    }
    boost::json::array running;
    for (const auto &entry : answer.report.running) {
        running.push_back({toString(entry.task), entry.run, entry.checkpoint, entry.percent, entry.usage});
    }
    boost::json::array ended;
    for (const auto &entry : answer.report.ended) {
        ended.push_back(
            {entry.number, toString(entry.task), entry.run, detail::endKindName(entry.kind), entry.checkpoint});
    }
    body["clockMs"] = answer.clock.count();
    body["born"] = worker->spec.incarnation.value;
    body["running"] = std::move(running);
    body["ended"] = std::move(ended);
    co_return detail::jsonResponse(200, body);
}

} // namespace heatherquay::test
