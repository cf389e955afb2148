#pragma once

// Minimal HTTP/1.1 over blocking sockets, one thread per connection. Enough for the stand-ins of the review.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Response
{
    int status{};
    std::string body;
};

inline std::string lower(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

inline sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Reads one message from a socket. @p buffer keeps bytes that belong to the next one.
inline bool readMessage(int fd, std::string &buffer, std::string &start, std::map<std::string, std::string> &headers,
                        std::string &body)
{
    const auto fill = [&] {
        char chunk[16384];
        const ssize_t size = ::recv(fd, chunk, sizeof chunk, 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    start = head.substr(0, line);
    headers.clear();
    for (std::size_t from = line + 2; from < head.size();) {
        const std::size_t to = head.find("\r\n", from);
        const std::string text = head.substr(from, to - from);
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < text.size() && text[value] == ' ') {
                ++value;
            }
            headers[lower(text.substr(0, colon))] = text.substr(value);
        }
        from = to + 2;
    }
    const auto length = headers.find("content-length");
    const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size) {
        if (!fill()) {
            return false;
        }
    }
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

inline bool writeAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// A server on a loopback address. Its handler returns nothing to close the connection without an answer.
class HttpServer
{
public:
    using Handler = std::function<std::optional<Response>(const Request &)>;

    HttpServer(std::string ip, Handler handler)
        : m_ip(std::move(ip))
        , m_handler(std::move(handler))
    {
        start(0);
    }
    ~HttpServer()
    {
        stop();
    }
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }
    /// Starts listening again, on the port that it had.
    void restart()
    {
        start(m_port);
    }
    /// Resets all connections and stops listening, like the end of a process.
    void stop()
    {
        if (m_listener < 0) {
            return;
        }
        m_stopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptThread.join();
        ::close(m_listener);
        m_listener = -1;
        resetConnections();
        while (m_threads > 0) {
            std::this_thread::sleep_for(Millis(1));
        }
        m_stopping = false;
    }
    /// Closes all open connections; their requests get no answer.
    void resetConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    bool stopping() const
    {
        return m_stopping;
    }

private:
    void start(std::uint16_t port)
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = socketAddress(m_ip, port);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listener, 512) != 0) {
            throw std::runtime_error("cannot listen on " + m_ip);
        }
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptThread = std::thread([this] {
            acceptLoop();
        });
    }
    void acceptLoop()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopping) {
                    return;
                }
                std::this_thread::sleep_for(Millis(1));
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            ++m_threads;
            std::thread([this, fd] {
                serve(fd);
                {
                    const std::lock_guard lock(m_mutex);
                    m_connections.erase(fd);
                    ::close(fd);
                }
                --m_threads;
            }).detach();
        }
    }
    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        std::string start;
        Request request;
        while (!m_stopping && readMessage(fd, buffer, start, request.headers, request.body)) {
            const std::size_t first = start.find(' ');
            const std::size_t second = start.find(' ', first + 1);
            request.method = start.substr(0, first);
            request.target = start.substr(first + 1, second - first - 1);
            const auto response = m_handler(request);
            if (!response) {
                return;
            }
            if (!writeAll(fd,
                          "HTTP/1.1 " + std::to_string(response->status)
                              + " -\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(response->body.size()) + "\r\n\r\n" + response->body)) {
                return;
            }
        }
    }

    std::string m_ip;
    Handler m_handler;
    std::uint16_t m_port{};
    int m_listener{-1};
    std::thread m_acceptThread;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<int> m_threads{0};
    std::atomic<bool> m_stopping{false};
};

/// Sends one request over a new connection.
/// @return status 0 when there was no complete answer in time
inline Response callHttp(const std::string &address, const std::string &method, const std::string &target,
                         const std::map<std::string, std::string> &headers, const std::string &body, Millis timeout)
{
    const std::size_t colon = address.rfind(':');
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer
        = socketAddress(address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    const timeval limit{timeout.count() / 1'000, (timeout.count() % 1'000) * 1'000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    Response response;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0) {
        std::string text
            = method + " " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        std::string buffer;
        std::string start;
        std::map<std::string, std::string> received;
        if (writeAll(fd, text + "\r\n" + body) && readMessage(fd, buffer, start, received, response.body)) {
            response.status = std::atoi(start.substr(start.find(' ') + 1).c_str());
        }
    }
    ::close(fd);
    return response;
}

} // namespace review
