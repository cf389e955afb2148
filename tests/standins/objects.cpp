#include "objects.hpp"

#include <map>
#include <mutex>

#include <boost/json.hpp>

namespace heatherquay::standins
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::HttpRequest;
using transport::HttpResponse;

struct StandinObjects::State
{
    HttpResponse handle(const HttpRequest &request);
    json::object record() const;

    mutable std::mutex mutex;
    std::map<std::string, std::string> objects;
    std::uint64_t puts{};
    std::uint64_t gets{};
    std::uint64_t deletes{};
};

HttpResponse StandinObjects::State::handle(const HttpRequest &request)
{
    static const std::string prefix = "/objects/";
    if (request.target.compare(0, prefix.size(), prefix) != 0) {
        return jsonResponse(404, {{"error", "no such path"}});
    }
    const std::string key = request.target.substr(prefix.size());
    const std::lock_guard lock(mutex);
    if (request.method == "PUT") {
        ++puts;
        objects[key] = request.body;
        return jsonResponse(200, {});
    }
    if (request.method == "DELETE") {
        ++deletes;
        objects.erase(key);
        return jsonResponse(200, {});
    }
    ++gets;
    const auto found = objects.find(key);
    if (request.method != "GET" || found == objects.end()) {
        return jsonResponse(request.method == "GET" ? 404 : 405, {{"error", "no such object or method"}});
    }
    HttpResponse response;
    response.fields.add("Content-Type", "application/octet-stream");
    response.body = found->second;
    return response;
}

json::object StandinObjects::State::record() const
{
    const std::lock_guard lock(mutex);
    return {{"objects", objects.size()}, {"puts", puts}, {"gets", gets}, {"deletes", deletes}};
}

StandinObjects::StandinObjects(const asio::any_io_executor &executor, const std::string &address)
    : m_state(std::make_shared<State>())
    , m_server(executor,
               [state = m_state](HttpRequest request, const ClientDisconnected &) -> asio::awaitable<HttpResponse> {
                   if (request.target == "/record") {
                       co_return jsonResponse(200, state->record());
                   }
                   co_return state->handle(request);
               })
{
    m_server.listen(address);
}

std::string StandinObjects::address() const
{
    return m_server.address();
}

Server &StandinObjects::server()
{
    return m_server;
}

std::string StandinObjects::kind() const
{
    return "objects";
}

void StandinObjects::control(const std::string &, const json::object &settings)
{
    m_server.control(settings);
}

json::object StandinObjects::record() const
{
    return m_state->record();
}

} // namespace heatherquay::standins
