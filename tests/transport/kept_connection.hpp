#pragma once

#include <cerrno>
#include <chrono>
#include <cstring>
#include <string>
#include <system_error>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace heatherquay::test
{

/// A client's open connection to a process. Unlike HttpClient, it neither looks for an end of the connection before it
/// sends nor reconnects.
class KeptConnection
{
public:
    struct Response
    {
        unsigned status{}; ///< 0 without a complete response.
        bool closes{}; ///< The server has announced that it closes the connection.
        std::string body;
        std::string failure;
    };

    /// @throws std::system_error when the connection is not established
    explicit KeptConnection(const boost::asio::ip::tcp::endpoint &peer);
    ~KeptConnection();
    KeptConnection(KeptConnection &&other) noexcept;
    KeptConnection &operator=(KeptConnection &&) = delete;

    /// @param request head and body
    /// @return whether the kernel has accepted the whole request
    bool send(const std::string &request) const;
    Response receive(std::chrono::milliseconds timeout) const;

private:
    int m_socket;
};

inline KeptConnection::KeptConnection(const boost::asio::ip::tcp::endpoint &peer)
    : m_socket(::socket(peer.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (::connect(m_socket, peer.data(), static_cast<socklen_t>(peer.size())) != 0) {
        const int error = errno;
        ::close(m_socket);
        throw std::system_error(error, std::generic_category(), "cannot connect");
    }
}

inline KeptConnection::~KeptConnection()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

inline KeptConnection::KeptConnection(KeptConnection &&other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
{
}

inline bool KeptConnection::send(const std::string &request) const
{
    return ::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
}

inline KeptConnection::Response KeptConnection::receive(std::chrono::milliseconds timeout) const
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    boost::beast::flat_buffer buffer;
    Response response;
    while (!parser.is_done()) {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd readable{m_socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
            response.failure = "no complete response in time";
            return response;
        }
        auto space = buffer.prepare(4'096);
        const ssize_t size = ::recv(m_socket, space.data(), space.size(), 0);
        if (size <= 0) {
            response.failure = size == 0 ? "the connection was closed" : std::strerror(errno);
            return response;
        }
        buffer.commit(static_cast<std::size_t>(size));
        boost::beast::error_code error;
        buffer.consume(parser.put(buffer.data(), error));
        if (error && error != boost::beast::http::error::need_more) {
            response.failure = error.message();
            return response;
        }
    }
    response.status = parser.get().result_int();
    response.closes = !parser.get().keep_alive();
    response.body = parser.get().body();
    return response;
}

} // namespace heatherquay::test
