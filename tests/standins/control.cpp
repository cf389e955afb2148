#include "control.hpp"

#include "heatherquay/error.hpp"

#include <boost/json.hpp>

namespace heatherquay::standins
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::HttpRequest;
using transport::HttpResponse;

namespace detail
{

void applySettings(const std::vector<Standin *> &standins, const json::object &settings)
{
    const auto *targetValue = settings.if_contains("target");
    const std::string target = targetValue ? std::string(targetValue->as_string()) : std::string();
    const std::size_t slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    const std::string serverId = slash == std::string::npos ? std::string() : target.substr(slash + 1);
    bool found = false;
    for (Standin *standin : standins) {
        if (kind.empty() || kind == standin->kind()) {
            standin->control(serverId, settings);
            found = true;
        }
    }
    if (!found) {
        throw Error(ErrorKind::BadInput, "no stand-in \"" + kind + "\"",
                    "use table, objects, vms, worker, endpoint or an empty target");
    }
}

/// @return the results of a getter for all stand-ins, keyed by kind
/// @param getter either Standin::record or Standin::history
json::object collect(const std::vector<Standin *> &standins, json::object (Standin::*getter)() const)
{
    json::object all;
    for (const Standin *standin : standins) {
        all[standin->kind()] = (standin->*getter)();
    }
    return all;
}

} // namespace detail

ControlServer::ControlServer(const asio::any_io_executor &executor, std::vector<Standin *> standins,
                             const std::string &address)
    : m_server(executor, [standins](HttpRequest request, const ClientDisconnected &) -> asio::awaitable<HttpResponse> {
        if (request.method == "POST" && request.target == "/control") {
            detail::applySettings(standins, parseObject(request.body));
            co_return jsonResponse(200, {});
        }
        if (request.method == "GET" && request.target == "/record") {
            co_return jsonResponse(200, detail::collect(standins, &Standin::record));
        }
        if (request.method == "GET" && request.target == "/history") {
            co_return jsonResponse(200, detail::collect(standins, &Standin::history));
        }
        co_return jsonResponse(404, {{"error", "use POST /control, GET /record or GET /history"}});
    })
{
    m_server.listen(address);
}

std::string ControlServer::address() const
{
    return m_server.address();
}

} // namespace heatherquay::standins
