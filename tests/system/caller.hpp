#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace heatherquay::system_test
{

/// What a caller received in response to one request.
struct CallerResponse
{
    bool received{}; ///< Whether a complete response arrived whose end does not depend on the connection closing.
    unsigned status{};
    std::string outcome; ///< Value of the field Heatherquay-Outcome.
    std::string body;
};

/// Sends one request to a port on loopback, on a new connection. It shares no code with the product's HTTP client, so
/// that faults of that client do not hide in the tests.
/// @param id value of X-Request-Id
/// @param key value of Idempotency-Key; empty sends no such field
/// @param timeout time limit for connecting and for the whole exchange
CallerResponse sendOnce(std::uint16_t port, const std::string &method, const std::string &target, const std::string &id,
                        const std::string &key, const std::string &body,
                        std::chrono::milliseconds timeout = std::chrono::seconds(12));

/// Runs caller threads that send requests without pause and verify that each response is complete and belongs to their
/// own request.
class CallerLoad
{
public:
    /// @param ports entry ports on loopback; the callers use them in turn
    /// @param callers number of threads
    CallerLoad(std::vector<std::uint16_t> ports, unsigned callers);
    ~CallerLoad();
    /// Waits for the requests in progress and ends the threads.
    void stop();

    std::atomic<std::uint64_t> matching{0}; ///< Complete responses with status 200 that echo the request.
    std::atomic<std::uint64_t> mismatched{0}; ///< Responses with outcome "ran" that do not echo the request.
    std::atomic<std::uint64_t> incomplete{0}; ///< Requests without a complete or verifiable response.
    std::atomic<std::uint64_t> rejected{0}; ///< Responses with outcome "not-run".
    /// @return the X-Request-Id values of requests that got the outcome "not-run"
    std::vector<std::string> rejectedIds() const;

private:
    void run(unsigned caller);

    std::vector<std::uint16_t> m_ports;
    std::atomic<bool> m_running{true};
    mutable std::mutex m_mutex;
    std::vector<std::string> m_rejectedIds;
    std::vector<std::jthread> m_threads;
};

} // namespace heatherquay::system_test
