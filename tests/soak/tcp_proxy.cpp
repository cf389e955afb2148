#include "soak/tcp_proxy.hpp"

#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace heatherquay::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace detail
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t portionBytes = 16 * 1024;

} // namespace detail

struct TcpProxy::Link
{
    explicit Link(tcp::socket accepted)
        : client(std::move(accepted))
        , server(client.get_executor())
    {
    }

    /// Closes both sides with a reset.
    void reset()
    {
        boost::system::error_code ignored;
        for (tcp::socket *socket : {&client, &server}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    tcp::socket client;
    tcp::socket server;
    bool lostBytes{};
};

TcpProxy::TcpProxy(asio::io_context &context, tcp::endpoint target)
    : m_context(context)
    , m_target(std::move(target))
    , m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(context, accept(), asio::detached);
}

std::string TcpProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void TcpProxy::setMode(Mode mode, std::chrono::milliseconds delay)
{
    asio::post(m_context, [this, mode, delay] {
        m_mode = mode;
        m_delay = delay;
        for (const auto &link : m_links) {
            if (mode == Mode::Reset || link->lostBytes) {
                link->reset();
            }
        }
    });
}

bool TcpProxy::discards(bool toServer) const
{
    return m_mode == Mode::Silence || m_mode == (toServer ? Mode::DropRequests : Mode::DropResponses);
}

asio::awaitable<void> TcpProxy::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(detail::awaitTuple);
        if (!error) {
            asio::co_spawn(m_context, serve(std::make_shared<Link>(std::move(socket))), asio::detached);
        }
    }
}

asio::awaitable<void> TcpProxy::serve(std::shared_ptr<Link> link)
{
    if (m_mode == Mode::Reset) {
        link->reset();
        co_return;
    }
    const auto [error] = co_await link->server.async_connect(m_target, detail::awaitTuple);
    if (error) {
        link->reset();
        co_return;
    }
    boost::system::error_code ignored;
    link->client.set_option(tcp::no_delay(true), ignored);
    link->server.set_option(tcp::no_delay(true), ignored);
    m_links.insert(link);
    asio::co_spawn(m_context, forward(link, false), asio::detached);
    co_await forward(link, true);
}

asio::awaitable<void> TcpProxy::forward(std::shared_ptr<Link> link, bool toServer)
{
    tcp::socket &from = toServer ? link->client : link->server;
    tcp::socket &to = toServer ? link->server : link->client;
    std::array<char, detail::portionBytes> portion{};
    while (true) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(portion), detail::awaitTuple);
        if (error) {
            break;
        }
        if (m_mode == Mode::Delay) {
            asio::steady_timer timer(m_context, m_delay);
            co_await timer.async_wait(detail::awaitTuple);
        }
        if (discards(toServer)) {
            link->lostBytes = true;
            continue;
        }
        const auto [writeError, written]
            = co_await asio::async_write(to, asio::buffer(portion.data(), size), detail::awaitTuple);
        if (writeError) {
            break;
        }
    }
    boost::system::error_code ignored;
    link->client.close(ignored);
    link->server.close(ignored);
    m_links.erase(link);
}

} // namespace heatherquay::soak
