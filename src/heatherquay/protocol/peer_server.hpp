#pragma once

#include "heatherquay/protocol/peer_handler.hpp"
#include "heatherquay/protocol/peer_runtime.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace heatherquay::protocol
{

struct PeerServerSettings
{
    std::string address; ///< IP address and port to listen on.
    std::string secret; ///< Shared secret of the entries.
    std::uint32_t connections{64}; ///< Largest number of connections; further ones are closed at once.
    /// Largest message received; also the limit on the data read from one message.
    std::uint64_t messageBytesMax{8 * 1024 * 1024};
    std::chrono::milliseconds loginTimeout{5'000}; ///< A connection without a login by then is closed.
};

/// Accepts connections from other entries and serves their calls over Cap'n Proto RPC.
class PeerServer
{
public:
    /// @param executor runs the handler's awaitables
    PeerServer(std::shared_ptr<PeerRuntime> runtime, boost::asio::any_io_executor executor,
               std::shared_ptr<PeerHandler> handler, PeerServerSettings settings);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts to listen and serve. Blocks until the socket is open.
    /// @return the port
    /// @throws Error(Unavailable) if the address cannot be used
    std::uint16_t start();
    /// Closes the socket and all connections.
    void stop();

private:
    struct State;
    std::shared_ptr<PeerRuntime> m_runtime;
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<PeerHandler> m_handler;
    PeerServerSettings m_settings;
};

} // namespace heatherquay::protocol
