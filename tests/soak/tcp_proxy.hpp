#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace heatherquay::soak
{

/// Forwards TCP connections and can harm them.
class TcpProxy
{
public:
    enum class Mode
    {
        Pass,
        Delay, ///< Holds each portion of bytes back for the delay.
        Reset, ///< Resets all connections, new ones too.
        DropRequests, ///< Discards what clients send.
        DropResponses, ///< Discards what the server sends.
        Silence ///< Discards both.
    };

    /// @param context runs the proxy, in one thread
    /// @param target address of the server
    TcpProxy(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint target);

    std::string address() const;
    /// Sets what happens to all bytes from now on. Thread-safe. A connection that has lost bytes is never repaired: it
    /// is reset when the mode changes.
    void setMode(Mode mode, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

private:
    struct Link;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> forward(std::shared_ptr<Link> link, bool toServer);
    bool discards(bool toServer) const;

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Link>> m_links;
    Mode m_mode{Mode::Pass};
    std::chrono::milliseconds m_delay{};
};

} // namespace heatherquay::soak
