#pragma once

#include <memory>

namespace heatherquay::protocol
{

namespace detail
{
class PeerLoop;
}

/// Runs the event loop for all connections to and from other entries on its own thread. The destructor stops the thread
/// and closes all connections; pending calls end without a result.
class PeerRuntime
{
public:
    PeerRuntime();
    ~PeerRuntime();
    PeerRuntime(const PeerRuntime &) = delete;
    PeerRuntime &operator=(const PeerRuntime &) = delete;

    detail::PeerLoop &loop();

private:
    std::unique_ptr<detail::PeerLoop> m_loop;
};

} // namespace heatherquay::protocol
