#include "heatherquay/protocol/peer_runtime.hpp"

#include "heatherquay/protocol/peer_loop.hpp"

namespace heatherquay::protocol
{

PeerRuntime::PeerRuntime()
    : m_loop(std::make_unique<detail::PeerLoop>())
{
}

PeerRuntime::~PeerRuntime() = default;

detail::PeerLoop &PeerRuntime::loop()
{
    return *m_loop;
}

} // namespace heatherquay::protocol
