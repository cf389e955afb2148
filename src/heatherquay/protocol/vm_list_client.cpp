#include "heatherquay/protocol/vm_list_client.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/json_access.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "heatherquay/transport/log.hpp"

#include <atomic>
#include <mutex>

#include <boost/json.hpp>

namespace heatherquay::protocol
{

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace detail
{

constexpr std::uint32_t vmListConnections = 1;

VmRole parseRole(const std::string &text)
{
    if (text == "endpoint") {
        return VmRole::Endpoint;
    }
    if (text == "entry") {
        return VmRole::Entry;
    }
    if (text == "worker") {
        return VmRole::Worker;
    }
    throw Error(ErrorKind::BadInput, "unknown role \"" + text + "\" in the VM list", "use endpoint, entry or worker");
}

VmState parseState(const std::string &text)
{
    if (text == "live") {
        return VmState::Live;
    }
    if (text == "leaving") {
        return VmState::Leaving;
    }
    throw Error(ErrorKind::BadInput, "unknown state \"" + text + "\" in the VM list", "use live or leaving");
}

Vm parseVm(const json::object &object)
{
    Vm vm;
    vm.id = jsonString(object, "id");
    vm.address = jsonString(object, "address");
    vm.role = parseRole(jsonString(object, "role"));
    vm.state = parseState(jsonString(object, "state"));
    if (vm.role == VmRole::Endpoint) {
        vm.service.value = jsonString(object, "service");
    }
    return vm;
}

} // namespace detail

VmList parseVmList(std::string_view body)
{
    const json::value value = parseJson(body, "VM list");
    VmList list;
    for (const json::value &item : jsonArray(jsonObject(value, "VM list"), "vms")) {
        list.push_back(detail::parseVm(jsonObject(item, "vms")));
    }
    return list;
}

struct VmListClient::Shared
{
    Shared(const asio::any_io_executor &executor, const VmListSettings &listSettings)
        : client(executor, transport::parseAddress(listSettings.address), detail::vmListConnections)
        , settings(listSettings)
    {
    }

    asio::awaitable<bool> poll();

    transport::HttpClient client;
    VmListSettings settings;
    std::vector<Listener> listeners;
    std::atomic<bool> stopped{};
    mutable std::mutex mutex;
    std::shared_ptr<const VmList> list;
    Clock::time_point lastResponseAt;
};

asio::awaitable<bool> VmListClient::Shared::poll()
{
    transport::HttpRequest request;
    request.method = "GET";
    request.target = "/v1/vms";
    const transport::ExchangeResult result = co_await client.send(std::move(request), settings.timeout);
    if (result.progress != transport::ExchangeProgress::Answered || result.response.status != 200) {
        co_return false;
    }
    std::shared_ptr<const VmList> newList;
    try {
        newList = std::make_shared<const VmList>(parseVmList(result.response.body));
    } catch (const Error &error) {
        transport::log(transport::LogLevel::Error, "vm-list-unreadable", {{"reason", error.what()}});
        co_return false;
    }
    bool changed = false;
    {
        const std::lock_guard lock(mutex);
        lastResponseAt = Clock::now();
        changed = !list || *list != *newList;
        if (changed) {
            list = newList;
        }
    }
    if (changed) {
        for (const Listener &listener : listeners) {
            listener(newList);
        }
    }
    co_return true;
}

VmListClient::VmListClient(const asio::any_io_executor &executor, const VmListSettings &settings)
    : m_shared(std::make_shared<Shared>(executor, settings))
{
}

void VmListClient::addListener(Listener listener)
{
    m_shared->listeners.push_back(std::move(listener));
}

asio::awaitable<void> VmListClient::run()
{
    const auto shared = m_shared;
    while (!shared->stopped) {
        co_await shared->poll();
        co_await waitFor(shared->settings.pollInterval);
    }
}

void VmListClient::stop()
{
    m_shared->stopped = true;
}

asio::awaitable<bool> VmListClient::poll()
{
    const auto shared = m_shared;
    co_return co_await shared->poll();
}

std::shared_ptr<const VmList> VmListClient::current() const
{
    const std::lock_guard lock(m_shared->mutex);
    return m_shared->list;
}

std::chrono::milliseconds VmListClient::age() const
{
    const std::lock_guard lock(m_shared->mutex);
    if (m_shared->lastResponseAt == Clock::time_point()) {
        return std::chrono::milliseconds::max();
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_shared->lastResponseAt);
}

} // namespace heatherquay::protocol
