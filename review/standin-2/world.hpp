// Stand-ins of the platform's store, of runners and of clients, and the processes of the system, for scripts that play
// a small deployment on loopback addresses. Written from PROTOCOL.md.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr const char *loopback = "127.0.0.1";

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes record.txt: one line for each event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    std::int64_t now() const
    {
        return std::chrono::duration_cast<Ms>(Clock::now() - m_begunAt).count();
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << now() << " ms " << text << std::endl;
    }

private:
    std::ofstream m_file;
    std::mutex m_mutex;
    Clock::time_point m_begunAt = Clock::now();
};

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline Response respond(unsigned status, const json::value &body = json::object())
{
    Response response;
    response.version(11);
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(body);
    return response;
}

/// A blocking HTTP/1.1 server with a thread for each connection. An empty answer of the handler closes the connection.
class Server
{
public:
    using Handler = std::function<std::optional<Response>(const Request &)>;

    /// @param port 0 for any free one
    explicit Server(Handler handler, std::uint16_t port = 0)
        : m_state(std::make_shared<State>())
    {
        m_state->handler = std::move(handler);
        m_state->acceptor.open(tcp::v4());
        m_state->acceptor.set_option(asio::socket_base::reuse_address(true));
        m_state->acceptor.bind({asio::ip::make_address(loopback), port});
        m_state->acceptor.listen();
        m_address = std::string(loopback) + ":" + std::to_string(m_state->acceptor.local_endpoint().port());
        std::thread([state = m_state] {
            accept(state);
        }).detach();
    }
    ~Server()
    {
        close();
    }
    const std::string &address() const
    {
        return m_address;
    }
    std::uint16_t port() const
    {
        return static_cast<std::uint16_t>(std::stoul(m_address.substr(m_address.find(':') + 1)));
    }
    /// Ends the listener and all connections, as the end of the process does.
    void close()
    {
        if (m_state->closed.exchange(true)) {
            return;
        }
        ::shutdown(m_state->acceptor.native_handle(), SHUT_RDWR);
        const std::lock_guard lock(m_state->mutex);
        for (const int descriptor : m_state->open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

private:
    struct State
    {
        asio::io_context context;
        tcp::acceptor acceptor{context};
        Handler handler;
        std::atomic<bool> closed{false};
        std::mutex mutex;
        std::set<int> open;
    };

    static void accept(const std::shared_ptr<State> &state)
    {
        while (!state->closed) {
            beast::error_code error;
            tcp::socket socket(state->context);
            state->acceptor.accept(socket, error);
            if (error) {
                break;
            }
            std::thread([state, peer = std::move(socket)]() mutable {
                serve(state, peer);
            }).detach();
        }
        beast::error_code ignored;
        state->acceptor.close(ignored);
    }

    static void serve(const std::shared_ptr<State> &state, tcp::socket &socket)
    {
        const int descriptor = socket.native_handle();
        {
            const std::lock_guard lock(state->mutex);
            state->open.insert(descriptor);
        }
        beast::flat_buffer buffer;
        beast::error_code error;
        socket.set_option(tcp::no_delay(true), error);
        while (!error && !state->closed) {
            Request request;
            http::read(socket, buffer, request, error);
            if (error) {
                break;
            }
            auto response = state->handler(request);
            if (!response || state->closed) {
                break;
            }
            response->keep_alive(request.keep_alive());
            response->prepare_payload();
            http::write(socket, *response, error);
            if (!request.keep_alive()) {
                break;
            }
        }
        const std::lock_guard lock(state->mutex);
        state->open.erase(descriptor);
        beast::error_code ignored;
        socket.close(ignored);
    }

    std::shared_ptr<State> m_state;
    std::string m_address;
};

inline std::string textOf(const json::value &object, const char *key)
{
    const auto *members = object.if_object();
    const auto *value = members == nullptr ? nullptr : members->if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

inline std::int64_t numberOf(const json::value &object, const char *key, std::int64_t fallback = 0)
{
    const auto *members = object.if_object();
    const auto *value = members == nullptr ? nullptr : members->if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : fallback;
}

inline bool flagOf(const json::value &object, const char *key)
{
    const auto *members = object.if_object();
    const auto *value = members == nullptr ? nullptr : members->if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

inline std::string encodeBase64(const std::string &bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// The platform's store: rows, transactions and the change feed.
class Store
{
public:
    Store()
        : m_server([this](const Request &request) {
            return handle(request);
        })
    {
    }
    const std::string &address() const
    {
        return m_server.address();
    }
    std::atomic<Ms> answerTime{Ms(3)}; ///< Of each call.
    /// Writes a row as the operator or a runner does.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write({table, "", key}, encodeBase64(value), ++m_version);
        m_changed.notify_all();
    }
    /// @return the value of the newest row that was written under the condition of being unchanged and names an owner
    std::string lastOwner()
    {
        const std::lock_guard lock(m_mutex);
        for (auto change = m_history.rbegin(); change != m_history.rend(); ++change) {
            const auto found = m_rows.find(change->key);
            std::string text(
                beast::detail::base64::decoded_size(found == m_rows.end() ? 0 : found->second.value.size()), '\0');
            if (found != m_rows.end()) {
                text.resize(
                    beast::detail::base64::decode(text.data(), found->second.value.data(), found->second.value.size())
                        .first);
            }
            beast::error_code error;
            const json::value value = json::parse(text, error);
            if (!error && !textOf(value, "owner").empty()) {
                return textOf(value, "owner");
            }
        }
        return {};
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase({table, "", key}, ++m_version);
        m_changed.notify_all();
    }

private:
    struct Key
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const Key &) const = default;
    };
    struct Row
    {
        std::string value; ///< Base64.
        std::uint64_t version{};
    };
    struct Change
    {
        std::uint64_t version{};
        Key key;
        bool removed{};
    };

    static Key keyOf(const json::value &value)
    {
        return {textOf(value, "table"), textOf(value, "part"), textOf(value, "key")};
    }
    void write(const Key &key, const std::string &value, std::uint64_t version)
    {
        m_rows[key] = {value, version};
        m_history.push_back({version, key, false});
    }
    void erase(const Key &key, std::uint64_t version)
    {
        if (m_rows.erase(key) > 0) {
            m_history.push_back({version, key, true});
        }
    }
    json::object rowJson(const Key &key, const Row &row) const
    {
        return {{"table", key.table},
                {"part", key.part},
                {"key", key.key},
                {"value", row.value},
                {"rowVersion", row.version}};
    }
    json::object answer() const
    {
        const auto steady = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count();
        return {{"rowVersion", m_version}, {"currentMs", steady}};
    }
    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> found;
        std::size_t begin = target.find('?');
        while (begin != std::string::npos) {
            const std::size_t end = target.find('&', begin + 1);
            const std::string pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
            const std::size_t equals = pair.find('=');
            std::string value;
            for (std::size_t i = equals + 1; equals != std::string::npos && i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += pair[i];
                }
            }
            found[pair.substr(0, equals)] = value;
            begin = end;
        }
        return found;
    }
    std::optional<Response> handle(const Request &request)
    {
        const std::string target(request.target());
        std::this_thread::sleep_for(answerTime.load());
        if (target == "/v1/rows-tx") {
            return transact(json::parse(request.body()));
        }
        if (target.starts_with("/v1/rows-get")) {
            return read(query(target));
        }
        if (target.starts_with("/v1/rows-feed")) {
            return feed(query(target));
        }
        return respond(404);
    }
    Response transact(const json::value &body)
    {
        const std::lock_guard lock(m_mutex);
        const json::object &entries = body.as_object();
        bool holds = true;
        json::array current;
        if (const auto *expect = entries.if_contains("expect")) {
            for (const json::value &condition : expect->as_array()) {
                const auto found = m_rows.find(keyOf(condition));
                const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
                holds = holds && version == static_cast<std::uint64_t>(numberOf(condition, "rowVersion"));
                if (found != m_rows.end()) {
                    current.push_back(rowJson(found->first, found->second));
                }
            }
        }
        if (!holds) {
            json::object refused = answer();
            refused["rows"] = current;
            return respond(412, refused);
        }
        ++m_version;
        if (const auto *puts = entries.if_contains("puts")) {
            for (const json::value &put : puts->as_array()) {
                write(keyOf(put), textOf(put, "value"), m_version);
            }
        }
        if (const auto *removals = entries.if_contains("remove")) {
            for (const json::value &removal : removals->as_array()) {
                erase(keyOf(removal), m_version);
            }
        }
        m_changed.notify_all();
        return respond(200, answer());
    }
    Response read(std::map<std::string, std::string> arguments)
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t limit = arguments.contains("limit") ? std::stoul(arguments["limit"]) : 500;
        json::array rows;
        bool more = false;
        for (auto row = m_rows.lower_bound({arguments["table"], arguments["part"], arguments["from"]});
             row != m_rows.end() && row->first.table == arguments["table"] && row->first.part == arguments["part"];
             ++row) {
            if (rows.size() >= std::min<std::size_t>(limit, 500)) {
                more = true;
                break;
            }
            rows.push_back(rowJson(row->first, row->second));
        }
        json::object found = answer();
        found["rows"] = rows;
        found["hasMore"] = more;
        return respond(200, found);
    }
    Response feed(std::map<std::string, std::string> arguments)
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t after = std::stoull(arguments["after"]);
        const auto deadline = Clock::now() + Ms(std::stoll(arguments["waitMs"]));
        while (true) {
            std::map<Key, Change> latest;
            for (auto change = m_history.rbegin(); change != m_history.rend() && change->version > after; ++change) {
                if (change->key.table == arguments["table"]) {
                    latest.try_emplace(change->key, *change);
                }
            }
            if (!latest.empty() || Clock::now() >= deadline) {
                std::map<std::pair<std::uint64_t, Key>, Change> ordered;
                for (const auto &[key, change] : latest) {
                    ordered[{change.version, key}] = change;
                }
                json::array rows;
                for (const auto &[position, change] : ordered) {
                    json::object row{{"table", change.key.table},
                                     {"part", change.key.part},
                                     {"key", change.key.key},
                                     {"rowVersion", change.version}};
                    if (change.removed) {
                        row["tombstone"] = true;
                    } else {
                        row["value"] = m_rows.at(change.key).value;
                    }
                    rows.push_back(std::move(row));
                }
                json::object found = answer();
                found["rows"] = rows;
                return respond(200, found);
            }
            m_changed.wait_until(lock, deadline);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::deque<Change> m_history;
    std::uint64_t m_version{};
    Server m_server;
};

struct Need
{
    std::int64_t cpu{};
    std::int64_t memory{};
    std::int64_t gpu{};

    bool fitsIn(const Need &room) const
    {
        return cpu <= room.cpu && memory <= room.memory && gpu <= room.gpu;
    }
    Need &operator+=(const Need &other)
    {
        cpu += other.cpu;
        memory += other.memory;
        gpu += other.gpu;
        return *this;
    }
    Need operator-(const Need &other) const
    {
        return {cpu - other.cpu, memory - other.memory, gpu - other.gpu};
    }
    /// A GPU counts as 8 cores.
    double cores() const
    {
        return static_cast<double>(cpu) / 1'000 + 8 * static_cast<double>(gpu);
    }
};

/// What the clients submitted, so that runners know the needs of a task, as on the platform.
class Jobs
{
public:
    void add(const std::string &id, const json::value &body)
    {
        const std::lock_guard lock(m_mutex);
        m_jobs[id] = body;
    }
    /// @param task ID.K.STEP.INDEX
    json::value stepOf(const std::string &task) const
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t index = task.rfind('.');
        const std::size_t step = task.rfind('.', index - 1);
        const auto found = m_jobs.find(task.substr(0, task.find('.')));
        if (found == m_jobs.end()) {
            return nullptr;
        }
        const std::size_t number = std::stoul(task.substr(step + 1, index - step - 1));
        const json::array &steps = found->second.at("steps").as_array();
        return number < steps.size() ? steps[number] : json::value(nullptr);
    }
    Need needOf(const std::string &task) const
    {
        const json::value step = stepOf(task);
        // The cpu of a step that fills isn't counted against a runner's capacity.
        return {flagOf(step, "fills") ? 0 : numberOf(step, "cpu"), numberOf(step, "memMb"), numberOf(step, "gpu")};
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, json::value> m_jobs;
};

struct RunnerSpec
{
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels; ///< Kind, rack.
    Need capacity{128'000, 262'144, 8};
    std::uint16_t port{}; ///< 0 for any free one.
    Ms coldFor{}; ///< After its start, the runner registers only after this time, and answers slowly until then.
    Ms coldAnswer{}; ///< How long a call takes in this time.
};

/// One runner, with guards. Runs of tasks that last end only by orders, by the lease, or by fail().
class Runner
{
public:
    Runner(RunnerSpec spec, Store &store, Jobs &jobs, Record &record)
        : m_spec(std::move(spec))
        , m_store(store)
        , m_jobs(jobs)
        , m_record(record)
        , m_server(
              [this](const Request &request) {
                  return handle(request);
              },
              m_spec.port)
    {
        m_ticker = std::thread([this] {
            tick();
        });
    }
    ~Runner()
    {
        leave();
        m_ticker.join();
    }
    const RunnerSpec &spec() const
    {
        return m_spec;
    }
    std::uint16_t port() const
    {
        return m_server.port();
    }
    /// Reports that the runner is to leave.
    void drain()
    {
        const std::lock_guard lock(m_mutex);
        m_draining = true;
        m_record.line("runner " + m_spec.id + " reports draining");
        announce();
    }
    /// Ends the runner without notice. Its entry stays for three heartbeat intervals.
    /// @param returns whether it starts again before, under the same id
    void crash(bool returns = false)
    {
        m_returns = returns;
        end(false);
    }
    /// Ends the runner and everything that runs on it, and removes its entry.
    void leave()
    {
        end(true);
    }
    bool left() const
    {
        return m_left;
    }
    bool usable() const
    {
        const std::lock_guard lock(m_mutex);
        return !m_left && !m_draining;
    }
    Need room() const
    {
        const std::lock_guard lock(m_mutex);
        return m_spec.capacity - used();
    }
    std::set<std::string> tasks() const
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::string> names;
        for (const auto &[task, run] : m_runs) {
            names.insert(task);
        }
        return names;
    }
    /// Called for each start of a task; returns after which time the run ends and how, or nothing if it lasts.
    std::function<std::optional<std::pair<Ms, std::string>>(const std::string &task, std::uint32_t run)> plan;
    /// Called with the task, the run, and "started", its kind of end, or "noted" and this kind when lastSeen reaches
    /// it.
    std::function<void(const std::string &task, std::uint32_t run, const std::string &how)> observe;

private:
    void end(bool removeEntry)
    {
        if (m_left.exchange(true)) {
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[task, run] : m_runs) {
                m_record.line("runner " + m_spec.id + " left with " + task + " run " + std::to_string(run.number));
            }
            m_runs.clear();
            m_changed.notify_all();
        }
        m_server.close();
        if (removeEntry) {
            m_store.remove("servers", m_spec.id);
            return;
        }
        if (!m_returns) {
            std::thread([&store = m_store, id = m_spec.id] {
                std::this_thread::sleep_for(Ms(4'500));
                store.remove("servers", id);
            }).detach();
        }
    }
    struct Run
    {
        std::uint32_t number{};
        Clock::time_point startedAt;
        std::optional<Clock::time_point> endsAt;
        std::string ending;
        Need need;
        bool lasts{};
        std::int64_t work{};
    };
    struct End
    {
        std::uint64_t number{};
        std::string task;
        std::uint32_t run{};
        std::string how;
    };

    std::int64_t clock() const
    {
        return 480'000 + std::chrono::duration_cast<Ms>(Clock::now() - m_begunAt).count();
    }
    Need used() const
    {
        Need sum;
        for (const auto &[task, run] : m_runs) {
            sum += run.need;
        }
        return sum;
    }
    void announce()
    {
        if (m_left) {
            return;
        }
        json::array labels;
        for (const std::string &label : m_spec.labels) {
            labels.emplace_back(label);
        }
        json::object entry{{"service", m_spec.service},
                           {"address", m_server.address()},
                           {"zone", m_spec.zone},
                           {"version", "1.0"},
                           {"slots", 8},
                           {"state", m_draining ? "draining" : "ready"},
                           {"coldRemainingMs", 0},
                           {"sequence", ++m_sequence},
                           {"born", m_born},
                           {"machine", "m-" + m_spec.id},
                           {"labels", labels},
                           {"capacity",
                            json::object{{"cpu", m_spec.capacity.cpu},
                                         {"memMb", m_spec.capacity.memory},
                                         {"gpu", m_spec.capacity.gpu}}}};
        if (m_draining) {
            entry["drainRemainingMs"] = 2'000;
        }
        // Written apart, as a slow store must not stop the runner.
        std::thread([&store = m_store, id = m_spec.id, text = json::serialize(entry)] {
            std::this_thread::sleep_for(store.answerTime.load());
            store.put("servers", id, text);
        }).detach();
    }
    void tick()
    {
        auto beatAt = m_begunAt + m_spec.coldFor;
        while (!m_left) {
            {
                const std::lock_guard lock(m_mutex);
                if (Clock::now() >= beatAt) {
                    announce();
                    beatAt = Clock::now() + Ms(1'500);
                }
                std::vector<std::pair<std::string, std::string>> over;
                for (const auto &[task, run] : m_runs) {
                    if (clock() >= m_leaseUntil) {
                        over.emplace_back(task, "lapsed");
                    } else if (run.endsAt && Clock::now() >= *run.endsAt) {
                        over.emplace_back(task, run.ending);
                    }
                }
                for (const auto &[task, how] : over) {
                    end(task, how);
                }
            }
            std::this_thread::sleep_for(Ms(10));
        }
    }
    void end(const std::string &task, const std::string &how)
    {
        const auto found = m_runs.find(task);
        const std::uint32_t number = found->second.number;
        m_highest[task] = std::max(m_highest[task], number);
        m_ended.push_back({++m_lastEnd, task, number, how});
        m_runs.erase(found);
        m_record.line("runner " + m_spec.id + " ended " + task + " run " + std::to_string(number) + " " + how);
        if (observe) {
            observe(task, number, how);
        }
        m_changed.notify_all();
    }
    json::object answer() const
    {
        return {{"clockMs", clock()}, {"born", m_born}};
    }
    Response refuse(const char *reason) const
    {
        json::object body = answer();
        body["reason"] = reason;
        return respond(409, body);
    }
    void extend(const json::value &body)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(numberOf(body, "deadlineMs"), clock() + 10'000));
    }
    std::optional<Response> handle(const Request &request)
    {
        if (Clock::now() < m_begunAt + m_spec.coldFor) {
            std::this_thread::sleep_for(m_spec.coldAnswer);
        }
        std::unique_lock lock(m_mutex);
        if (m_left) {
            return std::nullopt;
        }
        if (request.method() == http::verb::get) {
            return respond(m_draining ? 503 : 200);
        }
        const auto wanted = request.find("X-Heatherquay-Expect-Instance");
        if (wanted != request.end() && wanted->value() != m_spec.id) {
            m_record.line("runner " + m_spec.id + " answers 421 to a call for " + std::string(wanted->value()));
            return respond(421, answer());
        }
        const json::value body = json::parse(request.body());
        const std::int64_t token = numberOf(body, "fencingToken");
        if (token < m_token) {
            return refuse("fence");
        }
        m_token = token;
        const std::string task = textOf(body, "task");
        const auto number = static_cast<std::uint32_t>(numberOf(body, "run"));
        if (request.target() == "/v1/run-start") {
            return start(body, task, number);
        }
        if (request.target() == "/v1/run-stop") {
            m_highest[task] = std::max(m_highest[task], number);
            if (const auto found = m_runs.find(task); found != m_runs.end() && found->second.number == number) {
                end(task, "stopped");
            }
            return respond(200, answer());
        }
        if (request.target() == "/v1/hold") {
            return hold(body, lock);
        }
        return respond(404);
    }
    Response start(const json::value &body, const std::string &task, std::uint32_t number)
    {
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.number == number) {
            extend(body);
            return respond(200, answer());
        }
        if (m_highest[task] >= number || found != m_runs.end()) {
            extend(body);
            return refuse("old");
        }
        if (numberOf(body, "deadlineMs") <= clock()) {
            return refuse("late");
        }
        const json::value step = m_jobs.stepOf(task);
        const Need need = m_jobs.needOf(task);
        if (!need.fitsIn(m_spec.capacity - used())) {
            extend(body);
            m_record.line("runner " + m_spec.id + " refused " + task + " for want of room");
            return refuse("room");
        }
        extend(body);
        Run run{
            number, Clock::now(), std::nullopt, "done", need, flagOf(step, "perpetual"), numberOf(step, "estimateMs")};
        if (!run.lasts) {
            run.endsAt = Clock::now() + Ms(run.work);
        }
        if (plan) {
            if (const auto planned = plan(task, number)) {
                run.endsAt = Clock::now() + planned->first;
                run.ending = planned->second;
            }
        }
        m_runs[task] = run;
        m_record.line("runner " + m_spec.id + " started " + task + " run " + std::to_string(number));
        if (observe) {
            observe(task, number, "started");
        }
        return respond(200, answer());
    }
    std::optional<Response> hold(const json::value &body, std::unique_lock<std::mutex> &lock)
    {
        if (numberOf(body, "deadlineMs") > 0) {
            extend(body);
        }
        const auto lastSeen = static_cast<std::uint64_t>(numberOf(body, "lastSeen"));
        while (!m_ended.empty() && m_ended.front().number <= lastSeen) {
            if (observe) {
                observe(m_ended.front().task, m_ended.front().run, "noted " + m_ended.front().how);
            }
            m_ended.pop_front();
        }
        const auto until = Clock::now() + Ms(std::min<std::int64_t>(numberOf(body, "waitMs"), 2'000));
        while (m_ended.empty() && !m_left && Clock::now() < until) {
            m_changed.wait_until(lock, until);
        }
        if (m_left) {
            return std::nullopt;
        }
        json::object report = answer();
        json::array running;
        for (const auto &[task, run] : m_runs) {
            const std::int64_t passed = std::chrono::duration_cast<Ms>(Clock::now() - run.startedAt).count();
            const std::int64_t percent = run.lasts
                ? (passed > 300 ? 100 : 0)
                : std::min<std::int64_t>(99, passed * 100 / std::max<std::int64_t>(run.work, 1));
            running.push_back(json::array{task, run.number, "", percent, run.need.cpu});
        }
        json::array ended;
        for (const End &end : m_ended) {
            if (ended.size() < 500) {
                ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
            }
        }
        report["running"] = running;
        report["ended"] = ended;
        return respond(200, report);
    }

    RunnerSpec m_spec;
    Store &m_store;
    Jobs &m_jobs;
    Record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    const Clock::time_point m_begunAt = Clock::now();
    const std::int64_t m_born = unixMs();
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t> m_highest; ///< Highest run that ended or was stopped, by task.
    std::deque<End> m_ended;
    std::uint64_t m_lastEnd{};
    std::int64_t m_leaseUntil{};
    std::int64_t m_token{};
    std::uint64_t m_sequence{};
    bool m_draining{};
    bool m_returns{};
    std::atomic<bool> m_left{false};
    Server m_server;
    std::thread m_ticker;
};

/// One process of the system.
class Entry
{
public:
    Entry(std::string name, const std::filesystem::path &folder)
        : m_name(std::move(name))
        , m_folder(folder)
    {
        for (std::string *address : {&m_front, &m_ready, &m_control}) {
            // Bound, but not listening, so that no other program is given the port.
            auto &held = m_ports.emplace_back(m_context);
            held.open(tcp::v4());
            held.bind({asio::ip::make_address(loopback), 0});
            held.set_option(asio::socket_base::reuse_address(true)); // Lets the process bind it too.
            *address = std::string(loopback) + ":" + std::to_string(held.local_endpoint().port());
        }
    }
    ~Entry()
    {
        kill();
    }
    const std::string &name() const
    {
        return m_name;
    }
    const std::string &front() const
    {
        return m_front;
    }
    const std::string &ready() const
    {
        return m_ready;
    }
    const std::string &control() const
    {
        return m_control;
    }
    /// @param large whether the machine is the large one of tanoa-shared
    void configure(const std::string &zone, const std::vector<std::string> &seeds, const std::string &store, bool large)
    {
        std::ofstream file(settings());
        file << "node = \"" << m_name << "\"\nrole = \"entry\"\nmachineClass = \"frontend\"\n"
             << "serves = [\"frontend\",\"control\"]\nip = \"" << loopback << "\"\nzone = \"" << zone
             << "\"\nregion = \"viti\"\nseeds = [";
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            file << (i > 0 ? "," : "") << '"' << seeds[i] << '"';
        }
        file << "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = 1500\n"
             << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"platform\","
                "\"advice\",\"upkeep\",\"sharing\"]\ncontrolMode = \"invocation\"\n"
             << "[listen]\nfront = \"" << m_front << "\"\nready = \"" << m_ready << "\"\ncontrol = \"" << m_control
             << "\"\n[limits]\ncores = 1\n"
             << (large ? "cpuShare = 0.62\nmemoryMb = 650\nfileDescriptors = 10250\nlinkMbps = 2500.0\n"
                       : "cpuShare = 0.25\nmemoryMb = 260\nfileDescriptors = 4100\nlinkMbps = 1000.0\n")
             << "[bounds]\ncontactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\n"
             << "maxHoldMs = 10000\nstopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
             << "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nleaseMs = 3000\nrequireFencing = true\n"
             << "[platform]\naddress = \"" << store << "\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\n"
             << "transactionMs = 3.0\npartitionWritesS = 300\nrowBytes = 65536\nacross = true\nhistoryS = 20\n";
    }
    void start()
    {
        const std::string log = (m_folder / (m_name + ".log")).string();
        const std::string variable = settings();
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this program, however that ends.
            const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("HEATHERQUAY_NODE_FILE", variable.c_str(), 1);
            // Descriptors of the stand-ins are not passed on.
            for (int descriptor = 3; descriptor < 1'024; ++descriptor) {
                ::close(descriptor);
            }
            ::execl("target/heatherquay", "heatherquay", "serve", nullptr);
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_process > 0) {
            ::kill(m_process, number);
        }
    }
    void kill()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = -1;
        }
    }
    /// @return whether the process has ended by itself
    bool ended()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
            m_process = -1;
        }
        return m_process <= 0;
    }

private:
    std::string settings() const
    {
        return (m_folder / (m_name + ".toml")).string();
    }

    asio::io_context m_context;
    std::deque<tcp::acceptor> m_ports;
    std::string m_name;
    std::filesystem::path m_folder;
    std::string m_front;
    std::string m_ready;
    std::string m_control;
    pid_t m_process{-1};
};

/// @return the status and the body; status 0 when there is no answer
inline std::pair<unsigned, std::string> call(const std::string &address, http::verb method, const std::string &target,
                                             const std::string &host, const std::string &key, const std::string &body,
                                             Ms timeout = Ms(3'000))
{
    try {
        asio::io_context context;
        beast::tcp_stream stream(context);
        const std::size_t colon = address.find(':');
        const tcp::endpoint peer(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        Request request{method, target, 11};
        request.set(http::field::host, host);
        request.set(http::field::connection, "close");
        if (!key.empty()) {
            request.set(http::field::authorization, "Bearer " + key);
        }
        request.set("X-Heatherquay-Deadline-Ms", std::to_string(timeout.count()));
        if (!body.empty()) {
            request.set(http::field::content_type, "application/json");
        }
        request.body() = body;
        request.prepare_payload();
        beast::flat_buffer buffer;
        Response response;
        beast::error_code failure = asio::error::would_block;
        stream.expires_after(timeout);
        stream.async_connect(peer, [&](beast::error_code error) {
            if (error) {
                failure = error;
                return;
            }
            http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
                if (writeError) {
                    failure = writeError;
                    return;
                }
                http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                    failure = readError;
                });
            });
        });
        context.run();
        return failure ? std::pair<unsigned, std::string>{0, failure.message()}
                       : std::pair<unsigned, std::string>{response.result_int(), response.body()};
    } catch (const std::exception &error) {
        return {0, error.what()};
    }
}

/// A deployment of one service with three processes of the system.
class Deployment
{
public:
    explicit Deployment(const std::string &recordPath)
        : record(recordPath)
        , m_folder(std::filesystem::temp_directory_path() / ("heatherquay-review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~Deployment()
    {
        entries.clear();
        runners.clear();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }
    }
    /// @param queues rows of name, prefix and priority
    void configure(const std::vector<std::tuple<std::string, std::string, int>> &queues)
    {
        json::array routes;
        for (const auto &[name, prefix, priority] : queues) {
            routes.push_back(json::object{{"name", name},
                                          {"host", host},
                                          {"prefix", prefix},
                                          {"service", "hire-desk"},
                                          {"priority", priority},
                                          {"maxAttempts", 3},
                                          {"stretch", 3.0},
                                          {"latencyTargetMs", 1'000},
                                          {"timeoutMs", 3'000}});
        }
        const json::object configuration{
            {"version", ++m_version},
            {"routes", routes},
            {"services", json::array{json::object{{"name", "hire-desk"}, {"rejectsOverload", true}}}},
            {"limits", json::object{{"maxBodyBytes", 262'144}}},
            {"tenants",
             json::array{json::object{
                 {"name", "suva-shop"}, {"apiKeys", json::array{key}}, {"guaranteed", json::object{{"gpu", 0}}}}}}};
        store.put("op", "config", json::serialize(configuration));
        record.line("operator wrote configuration " + std::to_string(m_version));
    }
    Runner &addRunner(const std::string &id, const std::string &kind, const std::string &rack, std::uint16_t port = 0,
                      Ms coldFor = {}, Ms coldAnswer = {})
    {
        RunnerSpec spec{id, "hire-desk", "suva", {kind, rack}};
        spec.port = port;
        spec.coldFor = coldFor;
        spec.coldAnswer = coldAnswer;
        runners.push_back(std::make_unique<Runner>(std::move(spec), store, jobs, record));
        return *runners.back();
    }
    /// Marks the end of the case in the record. What follows is the end of the stand-ins.
    int finish(bool broken)
    {
        record.line(broken ? "result: the rule was broken" : "result: the rule held");
        return broken ? 1 : 0;
    }
    /// @return whether all processes are ready in time
    bool startEntries(std::size_t count = 3)
    {
        const std::vector<std::string> zones{"suva", "lautoka", "nadi"};
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < count; ++i) {
            entries.push_back(
                std::make_unique<Entry>("frontend-" + zones[i % 3] + "-" + std::to_string(i / 3 + 1), m_folder));
            seeds.push_back(entries.back()->control());
        }
        for (std::size_t i = 0; i < count; ++i) {
            entries[i]->configure(zones[i % 3], seeds, store.address(), i == 0);
            entries[i]->start();
        }
        const auto deadline = Clock::now() + Ms(10'000);
        for (const auto &entry : entries) {
            while (call(entry->ready(), http::verb::get, "/v1/readiness", "ready", "", "", Ms(500)).first != 200) {
                if (Clock::now() > deadline || entry->ended()) {
                    return false;
                }
                std::this_thread::sleep_for(Ms(50));
            }
        }
        record.line("all processes are ready");
        return true;
    }
    /// Submits a job as a client does: with retries at other processes until it is accepted or its tries are over.
    bool submit(const std::string &prefix, const std::string &id, const json::object &body)
    {
        jobs.add(id, body);
        for (int attempt = 0; attempt < 5; ++attempt) {
            const auto [status, text] = call(entries[m_next++ % entries.size()]->front(), http::verb::post, prefix + id,
                                             host, key, json::serialize(body));
            record.line("client POST " + prefix + id + " " + json::serialize(body) + " -> " + std::to_string(status)
                        + " " + text);
            if (status == 200) {
                return true;
            }
            std::this_thread::sleep_for(Ms(500));
        }
        return false;
    }
    std::string state(const std::string &prefix, const std::string &id)
    {
        const auto [status, text]
            = call(entries[m_next++ % entries.size()]->front(), http::verb::get, prefix + id, host, key, "");
        record.line("client GET " + prefix + id + " -> " + std::to_string(status) + " " + text);
        return status == 200 ? textOf(json::parse(text), "state") : std::to_string(status);
    }
    /// @return the runner on which the task runs; empty when it runs nowhere
    std::string placeOf(const std::string &task) const
    {
        for (const auto &runner : runners) {
            if (!runner->left() && runner->tasks().contains(task)) {
                return runner->spec().id;
            }
        }
        return {};
    }
    /// @return how often the task fits into the free capacity of ready runners that have the label it requires
    std::int64_t timesThatFit(const std::string &task) const
    {
        const Need need = jobs.needOf(task);
        const std::string label = textOf(jobs.stepOf(task), "requirements");
        std::int64_t times = 0;
        for (const auto &runner : runners) {
            const auto &labels = runner->spec().labels;
            const bool labelled = label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
            Need room = runner->room();
            while (labelled && runner->usable() && need.fitsIn(room) && times < 100) {
                room = room - need;
                ++times;
            }
        }
        return times;
    }
    /// @return the share of the capacity of ready runners that is in use
    double usedShare() const
    {
        double used = 0;
        double whole = 0;
        for (const auto &runner : runners) {
            if (runner->usable()) {
                whole += runner->spec().capacity.cores();
                used += (runner->spec().capacity - runner->room()).cores();
            }
        }
        return whole > 0 ? used / whole : 0;
    }
    /// Waits until the condition holds.
    template<typename Condition>
    static bool wait(Ms timeout, Condition condition)
    {
        const auto deadline = Clock::now() + timeout;
        while (!condition()) {
            if (Clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(Ms(20));
        }
        return true;
    }

    const std::string host = "desk.example";
    const std::string key = "key-suva";
    Record record;
    Store store;
    Jobs jobs;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Entry>> entries;

private:
    std::filesystem::path m_folder;
    std::int64_t m_version{10};
    std::atomic<std::size_t> m_next{};
};

/// Watches one task that lasts against the rule LOST: from 6 s after its last run it must not be without a run for 3 s
/// while there is capacity for it twice over, if these 3 s and the 4 s before them are calm.
class LastingTaskCheck
{
public:
    LastingTaskCheck(Deployment &deployment, std::string task)
        : m_deployment(deployment)
        , m_task(std::move(task))
        , m_lastRunAt(Clock::now())
        , m_calmSince(Clock::now())
    {
    }
    /// Notes that a disruption goes on now.
    void disturbed()
    {
        m_calmSince = Clock::now();
    }
    void step()
    {
        const auto now = Clock::now();
        if (!m_deployment.placeOf(m_task).empty()) {
            m_lastRunAt = now;
        }
        const bool counts = now >= m_lastRunAt + Ms(6'000) && now >= m_calmSince + Ms(4'000)
            && m_deployment.timesThatFit(m_task) >= 2;
        m_begunAt = counts ? m_begunAt.value_or(now) : std::optional<Clock::time_point>();
        if (m_begunAt && now - *m_begunAt >= Ms(3'000) && !m_broken) {
            m_broken = true;
            m_deployment.record.line("LOST: " + m_task + " has had no run for "
                                     + std::to_string(std::chrono::duration_cast<Ms>(now - m_lastRunAt).count())
                                     + " ms, calm for "
                                     + std::to_string(std::chrono::duration_cast<Ms>(now - m_calmSince).count())
                                     + " ms; it fits " + std::to_string(m_deployment.timesThatFit(m_task))
                                     + " times; share in use " + std::to_string(m_deployment.usedShare()));
        }
        m_longest = std::max(m_longest, std::chrono::duration_cast<Ms>(now - m_lastRunAt));
    }
    void watch(Ms time)
    {
        const auto until = Clock::now() + time;
        while (Clock::now() < until) {
            step();
            std::this_thread::sleep_for(Ms(50));
        }
    }
    bool broken() const
    {
        return m_broken;
    }
    Ms longestGap() const
    {
        return m_longest;
    }

private:
    Deployment &m_deployment;
    std::string m_task;
    Clock::time_point m_lastRunAt;
    Clock::time_point m_calmSince;
    std::optional<Clock::time_point> m_begunAt;
    bool m_broken{};
    Ms m_longest{};
};

/// @return whether the disruption is to be played
inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
