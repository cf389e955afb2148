#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

namespace heatherquay::test
{

/// A TCP server on loopback whose responses are raw bytes chosen by the test, to simulate a faulty peer.
class RawPeer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Responds to one request.
    /// @param connection zero-based index of the connection
    /// @param request zero-based index of the request on this connection
    /// @return whether to keep the connection open
    using RequestHandler = std::function<bool(Socket &socket, int connection, int request)>;

    explicit RawPeer(RequestHandler handler)
        : m_handler(std::move(handler))
        , m_acceptor(m_io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] {
            acceptConnections();
        })
    {
    }
    ~RawPeer()
    {
        m_stopping = true;
        // The connections unblock accept().
        boost::system::error_code ignored;
        Socket(m_io).connect(endpoint(), ignored);
        Socket wakeUp(m_io);
        wakeUp.connect(endpoint(), ignored);
        m_thread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (auto &socket : m_sockets) {
                ::shutdown(socket->native_handle(), SHUT_RDWR);
            }
        }
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }
    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint().port());
    }
    int connections() const
    {
        return m_connections;
    }
    int requests() const
    {
        return m_requests;
    }

    static void send(Socket &socket, const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }
    /// @return a response with status 200
    /// @param fields additional header lines, each ending with CRLF
    static std::string okResponse(const std::string &body, const std::string &fields = {})
    {
        return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    /// Makes the kernel drop all packets that arrive on the connection, so that none is acknowledged.
    static void dropIncoming(Socket &socket)
    {
        sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    }

private:
    void acceptConnections()
    {
        while (!m_stopping) {
            auto socket = std::make_shared<Socket>(m_acceptor.accept());
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket, number = m_connections++] {
                serve(*socket, number);
            });
        }
    }
    void serve(Socket &socket, int number)
    {
        std::string buffer;
        for (int request = 0; !m_stopping; ++request) {
            boost::system::error_code error;
            const auto size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
            if (error) {
                return;
            }
            buffer.erase(0, size);
            ++m_requests;
            if (!m_handler(socket, number, request)) {
                boost::system::error_code ignored;
                socket.shutdown(Socket::shutdown_both, ignored);
                return;
            }
        }
    }

    RequestHandler m_handler;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_connections{0};
    std::atomic<int> m_requests{0};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

} // namespace heatherquay::test
