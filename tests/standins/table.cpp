#include "table.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

#include <boost/json.hpp>

namespace heatherquay::standins
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::HttpRequest;
using transport::HttpResponse;

namespace detail
{

constexpr std::size_t valueBytesMax = 64 * 1024;

/// Counts units in total and tracks the largest number within one second.
struct RateCounter
{
    std::uint64_t total{};
    std::uint64_t maxPerSecond{};
    std::uint64_t currentSecondTotal{};
    std::int64_t currentSecond{};

    void add(std::uint64_t units)
    {
        const std::int64_t now = monotonicMilliseconds() / 1000;
        currentSecondTotal = now == currentSecond ? currentSecondTotal : 0;
        currentSecond = now;
        currentSecondTotal += units;
        total += units;
        maxPerSecond = std::max(maxPerSecond, currentSecondTotal);
    }
};

} // namespace detail

struct StandinTable::State
{
    struct StoredRow
    {
        std::string value;
        std::uint64_t version{};
    };

    HttpResponse transact(const json::object &call);
    HttpResponse read(const json::object &call);
    HttpResponse scan(const json::object &call);
    json::object record() const;

    mutable std::mutex mutex;
    std::map<std::string, StoredRow> rows;
    std::uint64_t version{};
    std::uint64_t calls{};
    std::uint64_t conflicts{};
    detail::RateCounter reads;
    detail::RateCounter writes;
};

HttpResponse StandinTable::State::transact(const json::object &call)
{
    static const json::array emptyList;
    const auto arrayField = [&call](const char *name) -> const json::array & {
        const auto *list = call.if_contains(name);
        return list ? list->as_array() : emptyList;
    };
    const json::array &puts = arrayField("puts");
    const json::array &deletes = arrayField("deletes");
    for (const auto &put : puts) {
        if (put.at("value").as_string().size() > detail::valueBytesMax) {
            throw Error(ErrorKind::BadInput, "a value is larger than 64 KB", "store larger values in the object store");
        }
    }
    const std::lock_guard lock(mutex);
    ++calls;
    json::array failed;
    for (const auto &condition : arrayField("conditions")) {
        const auto found = rows.find(std::string(condition.at("key").as_string()));
        const std::uint64_t actual = found == rows.end() ? 0 : found->second.version;
        if (actual != condition.at("version").to_number<std::uint64_t>()) {
            failed.push_back(json::object{{"key", condition.at("key")}, {"version", actual}});
        }
    }
    if (!failed.empty()) {
        ++conflicts;
        writes.add(1);
        return jsonResponse(409, {{"conflicts", std::move(failed)}});
    }
    ++version;
    for (const auto &put : puts) {
        rows[std::string(put.at("key").as_string())] = {std::string(put.at("value").as_string()), version};
    }
    for (const auto &key : deletes) {
        rows.erase(std::string(key.as_string()));
    }
    writes.add(std::max<std::uint64_t>(1, puts.size() + deletes.size()));
    return jsonResponse(200, {{"version", version}});
}

HttpResponse StandinTable::State::read(const json::object &call)
{
    const std::lock_guard lock(mutex);
    ++calls;
    json::array found;
    const json::array &keys = call.at("keys").as_array();
    for (const auto &key : keys) {
        const auto row = rows.find(std::string(key.as_string()));
        if (row != rows.end()) {
            found.push_back(json::object{{"key", key}, {"value", row->second.value}, {"version", row->second.version}});
        }
    }
    reads.add(std::max<std::uint64_t>(1, keys.size()));
    return jsonResponse(200, {{"rows", std::move(found)}});
}

HttpResponse StandinTable::State::scan(const json::object &call)
{
    const std::string from(call.at("from").as_string());
    const std::string to(call.at("to").as_string());
    const auto limit = call.at("limit").to_number<std::uint64_t>();
    const std::lock_guard lock(mutex);
    ++calls;
    json::array found;
    for (auto row = rows.lower_bound(from); row != rows.end() && row->first < to && found.size() < limit; ++row) {
        found.push_back(
            json::object{{"key", row->first}, {"value", row->second.value}, {"version", row->second.version}});
    }
    reads.add(std::max<std::uint64_t>(1, found.size()));
    return jsonResponse(200, {{"rows", std::move(found)}});
}

json::object StandinTable::State::record() const
{
    const std::lock_guard lock(mutex);
    return {{"calls", calls},
            {"rows", rows.size()},
            {"version", version},
            {"conflicts", conflicts},
            {"reads", reads.total},
            {"writes", writes.total},
            {"reads_per_second_max", reads.maxPerSecond},
            {"writes_per_second_max", writes.maxPerSecond}};
}

StandinTable::StandinTable(const asio::any_io_executor &executor, const std::string &address)
    : m_state(std::make_shared<State>())
    , m_server(executor,
               [state = m_state](HttpRequest request, const ClientDisconnected &) -> asio::awaitable<HttpResponse> {
                   const std::string path = pathOf(request.target);
                   if (request.method == "GET" && path == "/record") {
                       co_return jsonResponse(200, state->record());
                   }
                   if (request.method != "POST") {
                       co_return jsonResponse(405, {{"error", "use POST"}});
                   }
                   const json::object call = parseObject(request.body);
                   if (path == "/v1/transact") {
                       co_return state->transact(call);
                   }
                   if (path == "/v1/read") {
                       co_return state->read(call);
                   }
                   if (path == "/v1/scan") {
                       co_return state->scan(call);
                   }
                   co_return jsonResponse(404, {{"error", "no such path"}});
               })
{
    m_server.listen(address);
}

std::string StandinTable::address() const
{
    return m_server.address();
}

Server &StandinTable::server()
{
    return m_server;
}

std::string StandinTable::value(const std::string &key) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto row = m_state->rows.find(key);
    return row == m_state->rows.end() ? std::string() : row->second.value;
}

std::string StandinTable::kind() const
{
    return "table";
}

void StandinTable::control(const std::string &, const json::object &settings)
{
    m_server.control(settings);
}

json::object StandinTable::record() const
{
    return m_state->record();
}

} // namespace heatherquay::standins
