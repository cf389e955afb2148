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
constexpr std::chrono::milliseconds unlimited{60'000};

transport::HttpResponse respond(unsigned status, const boost::json::object &body)
{
    transport::HttpResponse response;
    response.status = status;
    response.body = boost::json::serialize(body);
    return response;
}

std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> result;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        const std::size_t equals = pair.find('=');
        result[pair.substr(0, equals)] = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
        begin = end;
    }
    return result;
}

protocol::batch::RowKey keyOf(const boost::json::value &json)
{
    return {textOr(json, "table"), textOr(json, "part"), textOr(json, "key")};
}

boost::json::array rowsOf(const std::vector<protocol::batch::StoredRow> &rows)
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
        return respond(200, body);
    }
    body["reason"] = answer.status == CallStatus::Fenced ? "fence" : "old";
    return respond(409, body);
}

const char *endWord(state::batch::EndKind kind)
{
    constexpr const char *words[]{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return words[static_cast<std::size_t>(kind)];
}

} // namespace detail

PlatformEmulator::PlatformEmulator(std::uint32_t workerCount, std::chrono::milliseconds work)
    : m_guard(m_context.get_executor())
{
    const auto refusal = [](unsigned status, const std::string &) {
        return detail::respond(status, {});
    };
    m_servers.push_back(std::make_unique<transport::HttpServer>(
        m_context.get_executor(),
        [this](transport::HttpRequest request) {
            return answerStore(std::move(request));
        },
        refusal));
    m_servers.back()->listen("127.0.0.1:0");
    for (std::uint32_t i = 0; i < workerCount; ++i) {
        state::batch::WorkerSpec spec;
        spec.id.value = "i-" + std::to_string(i);
        spec.incarnation.value = 1'000 + i;
        const auto worker = std::make_shared<FakeWorker>(spec);
        worker->work = work;
        m_workers.push_back(worker);
        m_servers.push_back(std::make_unique<transport::HttpServer>(
            m_context.get_executor(),
            [this, worker](transport::HttpRequest request) {
                return answerWorker(worker, std::move(request));
            },
            refusal));
        m_servers.back()->listen("127.0.0.1:0");
        boost::json::object entry;
        entry["service"] = "service";
        entry["address"] = "127.0.0.1:" + std::to_string(m_servers.back()->localEndpoint().port());
        entry["zone"] = "z";
        entry["state"] = "ready";
        entry["born"] = spec.incarnation.value;
        entry["capacity"] = {{"cpu", 128'000}, {"memMb", 256'000}, {"gpu", 8}};
        entry["labels"] = {"a", "r-" + std::to_string(i / detail::workersPerRack)};
        m_store.put({"servers", "", spec.id.value}, boost::json::serialize(entry));
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

std::string PlatformEmulator::storeAddress() const
{
    return "127.0.0.1:" + std::to_string(m_servers.front()->localEndpoint().port());
}

void PlatformEmulator::configure(const std::string &json)
{
    with([&json](PlatformEmulator &self) {
        self.m_store.put({"op", "", "config"}, json);
        return true;
    });
}

std::map<std::string, int> PlatformEmulator::starts()
{
    return with([](PlatformEmulator &self) {
        std::map<std::string, int> count;
        for (const auto &worker : self.m_workers) {
            for (const auto &record : worker->records) {
                count[toString(record.task)] += record.started ? 1 : 0;
            }
        }
        return count;
    });
}

boost::asio::awaitable<transport::HttpResponse> PlatformEmulator::answerStore(transport::HttpRequest request)
{
    auto query = detail::parseQuery(request.target);
    boost::json::object body;
    if (m_store.down) {
        co_return detail::respond(503, body);
    }
    if (request.target.starts_with("/v1/rows-tx")) {
        const boost::json::value json = parseJson(request.body);
        protocol::batch::RowTransaction transaction;
        for (const auto &entry : listOr(json, "expect")) {
            transaction.conditions.push_back(
                {detail::keyOf(entry), static_cast<std::uint64_t>(numberOr(entry, "rowVersion"))});
        }
        for (const auto &entry : listOr(json, "puts")) {
            transaction.puts.push_back({detail::keyOf(entry), decodeBase64(textOr(entry, "value")).value_or("")});
        }
        for (const auto &entry : listOr(json, "remove")) {
            transaction.removals.push_back(detail::keyOf(entry));
        }
        const auto commit = co_await m_store.transact(std::move(transaction), detail::unlimited);
        if (commit.status == CommitStatus::Unknown) {
            throw std::runtime_error("the answer is lost"); // Answered with 500, whose outcome a client cannot know.
        }
        body["rowVersion"] = commit.version;
        body["rows"] = detail::rowsOf(commit.current);
        co_return detail::respond(commit.status == CommitStatus::Committed ? 200 : 412, body);
    }
    if (request.target.starts_with("/v1/rows-get")) {
        const protocol::batch::RowRange range{query["table"], query["part"], query["from"],
                                              static_cast<std::uint32_t>(std::stoul(query["limit"]))};
        const auto read = co_await m_store.read(range, detail::unlimited);
        body["rows"] = detail::rowsOf(read.rows);
        body["hasMore"] = read.more;
        body["rowVersion"] = read.version;
        co_return detail::respond(200, body);
    }
    if (request.target.starts_with("/v1/rows-feed")) {
        const std::chrono::milliseconds wait(std::stol(query["waitMs"]));
        const auto feed = co_await m_store.follow(query["table"], std::stoull(query["after"]), wait);
        body["rows"] = detail::rowsOf(feed.rows);
        body["rowVersion"] = feed.version;
        const unsigned status = feed.status == protocol::batch::FeedStatus::Ok ? 200
            : feed.status == protocol::batch::FeedStatus::HistoryGone          ? 410
                                                                               : 503;
        co_return detail::respond(status, body);
    }
    co_return detail::respond(404, body);
}

boost::asio::awaitable<transport::HttpResponse> PlatformEmulator::answerWorker(std::shared_ptr<FakeWorker> worker,
                                                                               transport::HttpRequest request)
{
    const boost::json::value json = parseJson(request.body);
    const protocol::batch::FencingToken token{static_cast<std::uint64_t>(numberOr(json, "fencingToken"))};
    const std::chrono::milliseconds deadline(numberOr(json, "deadlineMs"));
    const auto task = state::batch::parseTaskId(textOr(json, "task")).value_or(state::batch::TaskId{});
    const auto run = static_cast<std::uint32_t>(numberOr(json, "run"));
    if (request.target == "/v1/run-start") {
        const state::batch::StartOrder order{task, run, {}, {}, textOr(json, "spec"), textOr(json, "lastCheckpoint")};
        co_return detail::orderResponse(co_await worker->start(order, token, deadline, detail::unlimited));
    }
    if (request.target == "/v1/run-stop") {
        const state::batch::StopOrder order{task, run, {}};
        co_return detail::orderResponse(co_await worker->stop(order, token, detail::unlimited));
    }
    protocol::batch::LookRequest look{token, static_cast<std::uint64_t>(numberOr(json, "lastSeen")), std::nullopt,
                                      std::chrono::milliseconds(numberOr(json, "waitMs"))};
    if (find(json, "deadlineMs") != nullptr) {
        look.leaseUntil = deadline;
    }
    const auto answer = co_await worker->look(look, detail::unlimited);
    boost::json::object body;
    if (answer.status != CallStatus::Answered) {
        body["reason"] = "fence";
        co_return detail::respond(409, body);
    }
    boost::json::array running;
    for (const auto &entry : answer.report.running) {
        running.push_back({toString(entry.task), entry.run, entry.checkpoint, entry.percent});
    }
    boost::json::array ended;
    for (const auto &entry : answer.report.ended) {
        ended.push_back({entry.number, toString(entry.task), entry.run, detail::endWord(entry.kind), entry.checkpoint});
    }
    body["clockMs"] = answer.clock.count();
    body["born"] = worker->spec.incarnation.value;
    body["running"] = std::move(running);
    body["ended"] = std::move(ended);
    co_return detail::respond(200, body);
}

} // namespace heatherquay::test
