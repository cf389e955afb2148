#pragma once

#include "heatherquay/transport/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

namespace heatherquay::standins
{

/// Faults that a stand-in server injects. Each affected request decrements the counter of its fault.
struct Faults
{
    bool down{}; ///< The listener and all connections are closed; new connections are refused.
    bool unresponsive{}; ///< Requests get no response; their connections stay unresponsive for good.
    std::chrono::milliseconds delay{}; ///< Delay before each request is handled.
    std::uint32_t loseResponses{}; ///< Number of requests that are handled, then closed without a response.
    std::uint32_t dropRequests{}; ///< Number of requests that are discarded by closing the connection.
};

/// Returns whether the client of the request being handled has closed its connection.
using ClientDisconnected = std::function<bool()>;

using Handler = std::function<boost::asio::awaitable<transport::HttpResponse>(transport::HttpRequest,
                                                                              const ClientDisconnected &)>;

/// Callbacks for the connections of a server.
struct ConnectionObserver
{
    std::function<bool()> onOpened; ///< Returns whether to keep the new connection.
    std::function<void()> onClosed; ///< Called only for connections that were kept.
};

/// A small HTTP/1.1 server with fault injection. It shares no serving code with the product, because the tests use it
/// to verify the product.
class Server
{
public:
    Server(boost::asio::any_io_executor executor, Handler handler, ConnectionObserver observer = {});
    ~Server();
    Server(Server &&) noexcept;
    Server &operator=(Server &&) = delete;

    /// Listens on "IP:port"; port 0 selects a free one.
    /// @throws Error(BadInput) if the address is invalid or in use
    void listen(const std::string &address);
    /// @return "IP:port"; stays the same while the server is down
    std::string address() const;
    void setFaults(const Faults &faults);
    Faults faults() const;
    /// Sends no further responses on the connections that are open now. New connections are not affected.
    void stopAnsweringOpenConnections();
    /// Applies the keys down, silent, slow_ms, lose_answers, lose_requests and silence_open_connections.
    void control(const boost::json::object &settings);

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

/// @return a response with a JSON body
transport::HttpResponse jsonResponse(unsigned status, const boost::json::object &body);
/// Parses a JSON object. @throws Error(BadInput)
boost::json::object parseObject(const std::string &body);
/// @return the path of a request target, without the query
std::string pathOf(const std::string &target);
/// @return the value of a query parameter, empty if the parameter is absent
std::string queryValue(const std::string &target, const std::string &name);
/// @return milliseconds of the monotonic clock, which all processes of the machine share
std::int64_t monotonicMilliseconds();

} // namespace heatherquay::standins
