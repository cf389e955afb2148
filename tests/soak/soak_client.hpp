#pragma once

#include "soak/job_book.hpp"
#include "soak/soak_node.hpp"
#include "soak/soak_options.hpp"
#include "soak/soak_report.hpp"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace heatherquay::soak
{

/// What all clients of a round share.
struct ClientContext
{
    boost::asio::io_context *io{};
    const SoakOptions *options{};
    std::vector<SoakNode *> nodes;
    JobBook *book{};
    SoakReport *report{};
    Disturbances *disturbances{};
    bool running{true}; ///< False ends the clients.
    bool submitting{true}; ///< False restricts the clients to state queries.
};

/// A client that keeps one connection to each node and uses it until the node closes it or its process is gone.
class SoakClient
{
public:
    SoakClient(ClientContext &context, std::uint64_t seed);
    boost::asio::awaitable<void> run();
    /// @return whether the node answers a query of its queue
    static boost::asio::awaitable<bool> ready(boost::asio::io_context &io, SoakNode &node);

    static constexpr const char *host = "jobs.example";
    static constexpr const char *key = "secret";

private:
    enum class Outcome
    {
        NotSent, ///< The request was not sent as a whole.
        Answered,
        ClosedRead, ///< The process has read the request and closed the connection without a complete response.
        ClosedUnread, ///< The connection was reset, so that the process has not read the request.
        TimedOut
    };
    struct Result
    {
        Outcome outcome{Outcome::NotSent};
        unsigned status{};
        std::string body;
    };
    struct Connection
    {
        explicit Connection(boost::asio::io_context &io)
            : stream(io)
        {
        }
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
    };

    double draw();
    std::size_t drawIndex(std::size_t size);
    boost::asio::awaitable<void> submit();
    boost::asio::awaitable<void> submitAgain(SoakJob &job);
    boost::asio::awaitable<void> query(SoakJob &job);
    boost::asio::awaitable<void> cancel(SoakJob &job);
    boost::asio::awaitable<void> queryQueue();
    boost::asio::awaitable<bool> connect(std::size_t node);
    /// Sends a request to a random node.
    boost::asio::awaitable<Result> exchange(std::string method, std::string path, std::string body);
    boost::asio::awaitable<Result> exchangeOnce(std::size_t node, std::string method, std::string path,
                                                std::string body);
    void judge(const Result &result, const std::string &request, const SoakNode &node, Clock::time_point sentAt);
    /// Checks a 410, which no accepted job may get.
    void checkKnown(const SoakJob &job, const Result &result, const char *method);

    ClientContext &m_context;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::size_t m_lastNode{};
};

} // namespace heatherquay::soak
