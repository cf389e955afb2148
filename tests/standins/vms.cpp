#include "vms.hpp"

#include <deque>
#include <map>
#include <mutex>

#include <boost/json.hpp>

namespace heatherquay::standins
{

namespace json = boost::json;
namespace asio = boost::asio;
using transport::HttpRequest;
using transport::HttpResponse;

struct StandinVms::State
{
    using VmMap = std::map<std::string, Vm>;
    /// Content of the list that readers see from visibleAt on.
    struct Version
    {
        std::int64_t visibleAt{}; ///< Milliseconds of the monotonic clock.
        VmMap vmMap;
    };

    void applyChange(const std::function<void(VmMap &)> &edit);
    json::object list();

    mutable std::mutex mutex;
    std::int64_t lag{}; ///< Milliseconds.
    VmMap current;
    VmMap visible; ///< What readers see.
    std::deque<Version> pending;
    std::uint64_t calls{};
};

void StandinVms::State::applyChange(const std::function<void(VmMap &)> &edit)
{
    const std::lock_guard lock(mutex);
    edit(current);
    pending.push_back({monotonicMilliseconds() + lag, current});
}

json::object StandinVms::State::list()
{
    const std::lock_guard lock(mutex);
    ++calls;
    while (!pending.empty() && pending.front().visibleAt <= monotonicMilliseconds()) {
        visible = std::move(pending.front().vmMap);
        pending.pop_front();
    }
    json::array vms;
    for (const auto &[id, vm] : visible) {
        vms.push_back(json::object{
            {"id", id}, {"address", vm.address}, {"role", vm.role}, {"service", vm.service}, {"state", vm.state}});
    }
    return {{"vms", std::move(vms)}};
}

StandinVms::StandinVms(const asio::any_io_executor &executor, const std::string &address, std::chrono::milliseconds lag)
    : m_state(std::make_shared<State>())
    , m_server(executor,
               [state = m_state](HttpRequest request, const ClientDisconnected &) -> asio::awaitable<HttpResponse> {
                   if (request.method == "GET" && request.target == "/v1/vms") {
                       co_return jsonResponse(200, state->list());
                   }
                   co_return jsonResponse(404, {{"error", "no such path"}});
               })
{
    m_state->lag = lag.count();
    m_server.listen(address);
}

std::string StandinVms::address() const
{
    return m_server.address();
}

Server &StandinVms::server()
{
    return m_server;
}

void StandinVms::put(const Vm &vm)
{
    m_state->applyChange([&vm](State::VmMap &vmMap) {
        vmMap[vm.id] = vm;
    });
}

void StandinVms::remove(const std::string &id)
{
    m_state->applyChange([&id](State::VmMap &vmMap) {
        vmMap.erase(id);
    });
}

std::string StandinVms::kind() const
{
    return "vms";
}

void StandinVms::control(const std::string &, const json::object &settings)
{
    if (const auto *value = settings.if_contains("lag_ms")) {
        const std::lock_guard lock(m_state->mutex);
        m_state->lag = value->to_number<std::int64_t>();
    }
    if (const auto *value = settings.if_contains("put")) {
        const auto text = [value](const char *name) {
            const auto *found = value->as_object().if_contains(name);
            return found ? std::string(found->as_string()) : std::string();
        };
        const std::string state = text("state");
        put({text("id"), text("address"), text("role"), text("service"), state.empty() ? "live" : state});
    }
    if (const auto *value = settings.if_contains("remove")) {
        remove(std::string(value->as_string()));
    }
    if (const auto *value = settings.if_contains("leaving")) {
        const std::string id(value->as_string());
        m_state->applyChange([&id](State::VmMap &vmMap) {
            const auto found = vmMap.find(id);
            if (found != vmMap.end()) {
                found->second.state = "leaving";
            }
        });
    }
    m_server.control(settings);
}

json::object StandinVms::record() const
{
    const std::lock_guard lock(m_state->mutex);
    return {{"calls", m_state->calls}, {"vms", m_state->current.size()}};
}

} // namespace heatherquay::standins
