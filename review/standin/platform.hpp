#pragma once

// Stand-ins for the platform's store and for runners, as PROTOCOL.md describes them.

#include "http.hpp"

#include <condition_variable>
#include <cstdio>
#include <fstream>

#include <boost/json.hpp>

namespace review
{

namespace json = boost::json;

/// Writes the record of a case: one line per event, with the milliseconds since the start of the script.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_begin(Clock::now())
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%10.3f  ", static_cast<double>(now().count()) / 1'000);
        m_file << time << text << '\n' << std::flush;
    }
    Millis now() const
    {
        return std::chrono::duration_cast<Millis>(Clock::now() - m_begin);
    }

private:
    std::ofstream m_file;
    Clock::time_point m_begin;
    std::mutex m_mutex;
};

inline std::string text(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

inline std::int64_t number(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

inline std::string encodeBase64(const std::string &bytes)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        const std::size_t size = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < size ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= size ? digits[group >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

inline std::string decodeBase64(const std::string &text)
{
    const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos) {
            break;
        }
        group = group << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255);
        }
    }
    return out;
}

/// The platform's metadata store in its form "table": rows, transactions and the feed of changes.
class Store
{
public:
    static constexpr Millis transactionTime{3};

    explicit Store(const std::string &ip)
        : m_begin(Clock::now())
        , m_server(ip, [this](const Request &request) {
            return handle(request);
        })
    {
    }
    ~Store()
    {
        m_ended = true;
        m_changed.notify_all();
    }
    std::string address() const
    {
        return m_server.address();
    }
    void put(const std::string &table, const std::string &part, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        set({table, part, key}, encodeBase64(value));
    }
    void remove(const std::string &table, const std::string &part, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_rows.erase({table, part, key}) > 0) {
            m_log.push_back({{table, part, key}, {}, ++m_version, true});
            m_changed.notify_all();
        }
    }
    std::string value(const std::string &table, const std::string &part, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto row = m_rows.find({table, part, key});
        return row == m_rows.end() ? std::string() : decodeBase64(row->second.value);
    }
    /// While the store is down it answers every call with 503 and does nothing.
    void setDown(bool down)
    {
        m_down = down;
        m_changed.notify_all();
    }
    bool down() const
    {
        return m_down;
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
        Key key;
        std::string value; ///< In base64.
        std::int64_t version{};
        bool removed{};
    };

    static Key keyOf(const json::object &object)
    {
        return {text(object, "table"), text(object, "part"), text(object, "key")};
    }
    static json::object encode(const Row &row)
    {
        json::object out{
            {"table", row.key.table}, {"part", row.key.part}, {"key", row.key.key}, {"rowVersion", row.version}};
        if (row.removed) {
            out["tombstone"] = true;
        } else {
            out["value"] = row.value;
        }
        return out;
    }
    void set(const Key &key, const std::string &value)
    {
        m_rows[key] = {key, value, ++m_version, false};
        m_log.push_back(m_rows[key]);
        m_changed.notify_all();
    }
    json::object head() const
    {
        return {{"rowVersion", m_version},
                {"currentMs", std::chrono::duration_cast<Millis>(Clock::now() - m_begin).count()}};
    }
    static std::string decodePercent(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%') {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    std::optional<Response> handle(const Request &request)
    {
        const std::size_t mark = request.target.find('?');
        const std::string path = request.target.substr(0, mark);
        std::map<std::string, std::string> query;
        for (std::size_t from = mark; from != std::string::npos;) {
            const std::size_t to = request.target.find('&', from + 1);
            const std::string pair
                = request.target.substr(from + 1, to == std::string::npos ? std::string::npos : to - from - 1);
            const std::size_t equals = pair.find('=');
            query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
            from = to;
        }
        std::this_thread::sleep_for(transactionTime);
        if (m_down) {
            return Response{503, "{}"};
        }
        if (path == "/v1/rows-tx") {
            return transact(json::parse(request.body).as_object());
        }
        if (path == "/v1/rows-get") {
            return read(query);
        }
        if (path == "/v1/rows-feed") {
            return feed(query);
        }
        return Response{404, "{}"};
    }
    Response transact(const json::object &body)
    {
        const std::lock_guard lock(m_mutex);
        json::array current;
        bool holds = true;
        for (const json::value &entry : body.at("expect").as_array()) {
            const auto row = m_rows.find(keyOf(entry.as_object()));
            const std::int64_t version = row == m_rows.end() ? 0 : row->second.version;
            holds = holds && version == number(entry.as_object(), "rowVersion");
            if (row != m_rows.end()) {
                current.push_back(encode(row->second));
            }
        }
        json::object out = head();
        if (!holds) {
            out["rows"] = std::move(current);
            return {412, json::serialize(out)};
        }
        ++m_version;
        for (const json::value &entry : body.at("puts").as_array()) {
            const Key key = keyOf(entry.as_object());
            m_rows[key] = {key, text(entry.as_object(), "value"), m_version, false};
            m_log.push_back(m_rows[key]);
        }
        for (const json::value &entry : body.at("remove").as_array()) {
            const Key key = keyOf(entry.as_object());
            if (m_rows.erase(key) > 0) {
                m_log.push_back({key, {}, m_version, true});
            }
        }
        m_changed.notify_all();
        out = head();
        return {200, json::serialize(out)};
    }
    Response read(std::map<std::string, std::string> &query)
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t limit = query["limit"].empty() ? 500 : std::min<std::size_t>(500, std::stoul(query["limit"]));
        json::array rows;
        bool more = false;
        for (auto row = m_rows.lower_bound({query["table"], query["part"], query["from"]}); row != m_rows.end();
             ++row) {
            const bool outside = row->first.table != query["table"] || row->first.part != query["part"]
                || (!query["target"].empty() && row->first.key >= query["target"]);
            if (outside) {
                break;
            }
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.push_back(encode(row->second));
        }
        json::object out = head();
        out["rows"] = std::move(rows);
        out["hasMore"] = more;
        return {200, json::serialize(out)};
    }
    Response feed(std::map<std::string, std::string> &query)
    {
        std::unique_lock lock(m_mutex);
        const std::int64_t after = std::stoll(query["after"]);
        const auto until = Clock::now() + Millis(std::stoll(query["waitMs"]));
        while (true) {
            json::array rows;
            for (auto row = std::lower_bound(m_log.begin(), m_log.end(), after + 1,
                                             [](const Row &entry, std::int64_t version) {
                                                 return entry.version < version;
                                             });
                 row != m_log.end(); ++row) {
                if (row->key.table == query["table"]) {
                    rows.push_back(encode(*row));
                }
            }
            if (m_down) {
                return {503, "{}"};
            }
            if (!rows.empty() || m_ended || m_server.stopping() || Clock::now() >= until) {
                json::object out = head();
                out["rows"] = std::move(rows);
                return {200, json::serialize(out)};
            }
            m_changed.wait_until(lock, until);
        }
    }

    Clock::time_point m_begin;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::vector<Row> m_log;
    std::int64_t m_version{};
    std::atomic<bool> m_down{false};
    std::atomic<bool> m_ended{false};
    HttpServer m_server;
};

/// What a runner did with one run, for the check of a case.
struct RunEvent
{
    std::string task;
    std::int64_t run{};
    std::string runner;
    Millis startedAt{};
    std::optional<Millis> endedAt;
    std::string how; ///< "crash" when the runner's process ended.
    std::int64_t endNumber{};
    std::optional<Millis> notedAt; ///< When lastSeen reached the end; not set when the lease lapsed in between.
    bool lapsedSince{};
};

struct RunnerSettings
{
    std::string id;
    std::string ip;
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    std::int64_t cpu{128'000};
    std::int64_t memoryMb{262'144};
    std::int64_t gpu{8};
    double clockRate{1}; ///< PROTOCOL.md allows a clock that is 2% slow.
    Millis leaseMax{10'000}; ///< maxHoldMs.
    Millis stopTime{150}; ///< Below stopTimeoutMs.
    Millis heartbeat{1'500};
};

/// A runner. The spec of a job says what its tasks need and how long they work: "ms=500 cpu=1000 mem=100 gpu=1".
class Runner
{
public:
    Runner(Store &store, Record &record, RunnerSettings settings)
        : m_store(store)
        , m_record(record)
        , m_settings(std::move(settings))
        , m_server(m_settings.ip, [this](const Request &request) {
            return handle(request);
        })
    {
        beginLife();
        m_ticker = std::thread([this] {
            tickLoop();
        });
        m_heartbeats = std::thread([this] {
            heartbeatLoop();
        });
    }
    ~Runner()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_ended = true;
        }
        m_changed.notify_all();
        m_ticker.join();
        m_heartbeats.join();
        m_server.stop();
    }

    const std::string &id() const
    {
        return m_settings.id;
    }
    /// Ends the runner's process: all runs end, all connections are reset.
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_record.line("runner " + m_settings.id + " crashes");
            m_up = false;
            for (auto &[key, run] : m_runs) {
                closeRun(run, "crash");
            }
            m_runs.clear();
        }
        m_changed.notify_all();
        m_server.stop();
    }
    /// Starts the process again under the same id and address. It knows nothing of before, and registers at once.
    void startAgain()
    {
        beginLife();
        m_server.restart();
        m_record.line("runner " + m_settings.id + " is up again, born " + std::to_string(m_born));
        writeEntry();
    }
    /// Cuts the runner off from the system, in both directions; it works on. Calls that were held up are lost.
    void setCut(bool cut)
    {
        m_record.line("runner " + m_settings.id + (cut ? " is cut off" : " is reachable again"));
        m_cut = cut;
        m_changed.notify_all();
        if (!cut) {
            m_server.resetConnections();
        }
    }
    std::size_t runningTasks()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.size();
    }
    std::vector<RunEvent> events()
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

private:
    struct Run
    {
        std::size_t event{};
        std::string task;
        std::int64_t run{};
        Clock::time_point startedAt;
        Clock::time_point doneAt;
        std::optional<Clock::time_point> stopsAt;
        std::int64_t cpu{};
        std::int64_t memoryMb{};
        std::int64_t gpu{};
    };
    struct End
    {
        std::int64_t number{};
        std::string task;
        std::int64_t run{};
        std::string how;
        std::size_t event{};
    };

    static std::int64_t specField(const std::string &spec, const std::string &name)
    {
        const std::size_t at = spec.find(name + "=");
        return at == std::string::npos ? 0 : std::atoll(spec.c_str() + at + name.size() + 1);
    }
    std::int64_t clockMs() const
    {
        const double passed = std::chrono::duration<double, std::milli>(Clock::now() - m_lifeBegan).count();
        return 1 + static_cast<std::int64_t>(passed * m_settings.clockRate);
    }
    void beginLife()
    {
        const std::lock_guard lock(m_mutex);
        m_born
            = std::max(m_born + 1,
                       std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count());
        m_lifeBegan = Clock::now();
        m_token = 0;
        m_leaseUntil = 0;
        m_sequence = 0;
        m_nextEnd = 0;
        m_highestOver.clear();
        m_ends.clear();
        m_up = true;
    }
    void writeEntry()
    {
        std::string entry;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_up) {
                return;
            }
            entry = json::serialize(json::object{
                {"service", m_settings.service},
                {"address", m_server.address()},
                {"zone", m_settings.zone},
                {"version", "1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"sequence", ++m_sequence},
                {"born", m_born},
                {"capacity",
                 json::object{{"cpu", m_settings.cpu}, {"memMb", m_settings.memoryMb}, {"gpu", m_settings.gpu}}},
                {"labels", json::array{m_settings.kind, m_settings.rack}}});
        }
        std::this_thread::sleep_for(Store::transactionTime);
        if (!m_store.down()) {
            m_store.put("servers", "", m_settings.id, entry);
        }
    }
    void heartbeatLoop()
    {
        while (!m_ended) {
            writeEntry();
            const auto until = Clock::now() + m_settings.heartbeat;
            while (!m_ended && Clock::now() < until) {
                std::this_thread::sleep_for(Millis(20));
            }
        }
    }
    void closeRun(const Run &run, const std::string &how)
    {
        RunEvent &event = m_events[run.event];
        event.endedAt = m_record.now();
        event.how = how;
        m_record.line("runner " + m_settings.id + " ends " + run.task + " run " + std::to_string(run.run) + " " + how);
    }
    void endRun(const Run &run, const std::string &how)
    {
        closeRun(run, how);
        m_events[run.event].endNumber = ++m_nextEnd;
        m_ends.push_back({m_nextEnd, run.task, run.run, how, run.event});
        auto &over = m_highestOver[run.task];
        over = std::max(over, run.run);
        m_changed.notify_all();
    }
    void tickLoop()
    {
        while (!m_ended) {
            std::this_thread::sleep_for(Millis(1));
            const std::lock_guard lock(m_mutex);
            if (!m_up) {
                continue;
            }
            const auto now = Clock::now();
            const bool lapsed = m_leaseUntil > 0 && clockMs() > m_leaseUntil;
            if (lapsed) {
                m_leaseUntil = 0;
                for (const End &end : m_ends) {
                    m_events[end.event].lapsedSince = true;
                }
            }
            for (auto run = m_runs.begin(); run != m_runs.end();) {
                const bool stopped = run->second.stopsAt && now >= *run->second.stopsAt;
                const bool done = now >= run->second.doneAt;
                if (lapsed || stopped || done) {
                    endRun(run->second, done ? "done" : stopped ? "stopped" : "lapsed");
                    run = m_runs.erase(run);
                } else {
                    ++run;
                }
            }
        }
    }
    std::optional<Response> handle(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        const auto life = m_born;
        if (m_cut) {
            // Nothing arrives. setCut(false) resets the connection.
            while (m_cut && !m_ended && m_up) {
                m_changed.wait_for(lock, Millis(20));
            }
            return std::nullopt;
        }
        if (!m_up) {
            return std::nullopt;
        }
        const auto intended = request.headers.find("x-heatherquay-expect-instance");
        if (intended != request.headers.end() && intended->second != m_settings.id) {
            return answer(421);
        }
        const json::object body = json::parse(request.body).as_object();
        const std::int64_t token = number(body, "fencingToken");
        if (token < m_token) {
            return answer(409, "fence");
        }
        m_token = token;
        std::optional<Response> response;
        if (request.target == "/v1/run-start") {
            response = start(body);
        } else if (request.target == "/v1/run-stop") {
            response = stop(body);
        } else if (request.target == "/v1/hold") {
            response = hold(body, lock);
        } else {
            response = answer(404);
        }
        const bool lost = m_cut || !m_up || life != m_born; // An answer that is held up by a cut is lost, too.
        if (lost) {
            while (m_cut && !m_ended && m_up) {
                m_changed.wait_for(lock, Millis(20));
            }
            return std::nullopt;
        }
        return response;
    }
    Response answer(int status, const std::string &reason = {}) const
    {
        json::object out{{"clockMs", clockMs()}};
        if (!reason.empty()) {
            out["reason"] = reason;
        }
        return {status, json::serialize(out)};
    }
    void extendLease(const json::object &body)
    {
        const std::int64_t longest = clockMs() + m_settings.leaseMax.count();
        m_leaseUntil = std::max(m_leaseUntil, std::min(number(body, "deadlineMs"), longest));
    }
    Response start(const json::object &body)
    {
        const std::string task = text(body, "task");
        const std::int64_t run = number(body, "run");
        const std::string spec = text(body, "spec");
        if (number(body, "deadlineMs") <= clockMs()) {
            return answer(409, "late");
        }
        extendLease(body);
        if (m_runs.contains({task, run})) {
            return answer(200);
        }
        if (const auto over = m_highestOver.find(task); over != m_highestOver.end() && over->second >= run) {
            return answer(409, "old");
        }
        Run next{m_events.size(),
                 task,
                 run,
                 Clock::now(),
                 Clock::now() + Millis(specField(spec, "ms")),
                 {},
                 specField(spec, "cpu"),
                 specField(spec, "mem"),
                 specField(spec, "gpu")};
        std::int64_t cpu = next.cpu;
        std::int64_t memory = next.memoryMb;
        std::int64_t gpu = next.gpu;
        for (const auto &[key, other] : m_runs) {
            cpu += other.cpu;
            memory += other.memoryMb;
            gpu += other.gpu;
        }
        if (cpu > m_settings.cpu || memory > m_settings.memoryMb || gpu > m_settings.gpu) {
            return answer(409, "room");
        }
        m_events.push_back({task, run, m_settings.id, m_record.now(), {}, {}, 0, {}, false});
        m_runs[{task, run}] = next;
        m_record.line("runner " + m_settings.id + " starts " + task + " run " + std::to_string(run) + " token "
                      + std::to_string(m_token) + " lease of " + std::to_string(m_leaseUntil - clockMs()) + " ms");
        return answer(200);
    }
    Response stop(const json::object &body)
    {
        const std::string task = text(body, "task");
        const std::int64_t run = number(body, "run");
        const auto found = m_runs.find({task, run});
        if (found == m_runs.end()) {
            auto &over = m_highestOver[task];
            over = std::max(over, run);
        } else if (!found->second.stopsAt) {
            found->second.stopsAt = Clock::now() + m_settings.stopTime;
            m_record.line("runner " + m_settings.id + " is told to stop " + task + " run " + std::to_string(run));
        }
        return answer(200);
    }
    Response hold(const json::object &body, std::unique_lock<std::mutex> &lock)
    {
        const auto life = m_born;
        const std::int64_t seen = number(body, "lastSeen");
        if (body.contains("deadlineMs")) {
            extendLease(body);
        }
        for (const End &end : m_ends) {
            RunEvent &event = m_events[end.event];
            if (end.number <= seen && !event.lapsedSince) {
                event.notedAt = m_record.now();
            }
        }
        std::erase_if(m_ends, [seen](const End &end) {
            return end.number <= seen;
        });
        const auto until = Clock::now() + Millis(std::min<std::int64_t>(number(body, "waitMs"), 2'000));
        while (m_ends.empty() && m_up && life == m_born && !m_cut && !m_ended && Clock::now() < until) {
            m_changed.wait_until(lock, until);
        }
        json::array running;
        for (const auto &[key, run] : m_runs) {
            const auto whole = std::max<std::int64_t>(1, (run.doneAt - run.startedAt).count());
            running.push_back(
                json::array{run.task, run.run, "", 100 * (Clock::now() - run.startedAt).count() / whole, run.cpu});
        }
        json::array ended;
        for (std::size_t i = 0; i < m_ends.size() && i < endsPerAnswer; ++i) {
            ended.push_back(json::array{m_ends[i].number, m_ends[i].task, m_ends[i].run, m_ends[i].how, ""});
        }
        json::object out{{"clockMs", clockMs()}, {"born", m_born}};
        out["running"] = std::move(running);
        out["ended"] = std::move(ended);
        return {200, json::serialize(out)};
    }

    static constexpr std::size_t endsPerAnswer = 500;

    Store &m_store;
    Record &m_record;
    RunnerSettings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_born{};
    Clock::time_point m_lifeBegan;
    std::int64_t m_token{};
    std::int64_t m_leaseUntil{}; ///< On the runner's clock; 0 while there is no lease.
    std::int64_t m_sequence{};
    std::int64_t m_nextEnd{};
    std::map<std::pair<std::string, std::int64_t>, Run> m_runs;
    std::map<std::string, std::int64_t> m_highestOver; ///< Highest run of a task that was stopped or ended here.
    std::vector<End> m_ends;
    std::vector<RunEvent> m_events;
    bool m_up{};
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_ended{false};
    std::thread m_ticker;
    std::thread m_heartbeats;
    HttpServer m_server;
};

} // namespace review
