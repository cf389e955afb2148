#pragma once

#include "heatherquay/state/ids.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::protocol
{

enum class VmRole
{
    Endpoint,
    Entry,
    Worker
};

enum class VmState
{
    Live,
    Leaving
};

/// An element of the platform's list of VMs and workers.
struct Vm
{
    std::string id;
    std::string address; ///< IP address and port.
    VmRole role{VmRole::Endpoint};
    state::ServiceId service; ///< Empty unless the role is Endpoint.
    VmState state{VmState::Live};

    friend bool operator==(const Vm &, const Vm &) = default;
};

using VmList = std::vector<Vm>;

/// @throws Error(BadInput) for a malformed response
VmList parseVmList(std::string_view body);

struct VmListSettings
{
    std::string address; ///< IP address and port.
    std::chrono::milliseconds pollInterval{1'000}; ///< Time between two polls.
    std::chrono::milliseconds timeout{1'000};
};

/// Polls the platform's list of VMs, which may be out of date. Keeps the last list during an outage. Thread-safe.
class VmListClient
{
public:
    using Listener = std::function<void(const std::shared_ptr<const VmList> &)>;

    /// @throws Error(BadInput) for a malformed address
    VmListClient(const boost::asio::any_io_executor &executor, const VmListSettings &settings);

    /// Adds a listener that is called on the executor of run() when the list changes. Add listeners before run().
    void addListener(Listener listener);
    /// Polls until stop().
    boost::asio::awaitable<void> run();
    /// Makes run() return after its current poll and wait.
    void stop();

    /// Polls once. @return whether the list was read
    boost::asio::awaitable<bool> poll();
    /// @return the last list; null before the first response
    std::shared_ptr<const VmList> current() const;
    /// @return the time since the last list was read; milliseconds::max() before the first one
    std::chrono::milliseconds age() const;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace heatherquay::protocol
