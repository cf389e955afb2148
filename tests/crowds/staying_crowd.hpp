#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace heatherquay::crowds
{

/// What one client of a staying crowd sends on each of its connections: a prefix, then a piece again and again. It
/// never reads, and connects again when the server has closed its connection.
struct StayingScript
{
    std::string prefix;
    std::string piece;
    std::size_t pieces{}; ///< How often the piece is sent at most on one connection.
    /// Time between two bytes; zero to send as fast as the server reads.
    std::chrono::milliseconds byteInterval{};
};

/// The process that a crowd attacks, and one of its addresses.
struct CrowdTarget
{
    pid_t process{};
    std::string address; ///< IPv4 address.
    std::uint16_t port{};
};

/// The most that a process held at the same time, as sampled while a crowd was there.
struct ProcessPeak
{
    std::size_t resident{}; ///< Bytes.
    std::size_t unread{}; ///< Bytes that the kernel had received for the attacked address and the process had not read.
    std::size_t memory{}; ///< Bytes, resident and unread of the same sample together.
    std::size_t descriptors{};
};

/// Clients on loopback that stay until they are stopped. They run in a thread of their own, so that the test can send
/// ordinary requests beside them.
class StayingCrowd
{
public:
    /// @param addresses number of IP addresses from which the clients connect in turn
    StayingCrowd(CrowdTarget target, std::size_t addresses);
    ~StayingCrowd();
    StayingCrowd(const StayingCrowd &) = delete;
    StayingCrowd &operator=(const StayingCrowd &) = delete;

    void add(const StayingScript &script, std::size_t clients);
    void start();
    /// Closes all connections.
    void stop();
    /// Call it after stop().
    const ProcessPeak &peak() const
    {
        return m_peak;
    }

private:
    using Clock = std::chrono::steady_clock;
    struct Client
    {
        StayingScript script;
        std::size_t number{};
        int socket{-1};
        std::size_t sent{};
        Clock::time_point nextAction; ///< To connect, or to send the next byte.
    };

    void run(const std::stop_token &stopped);
    void connect(Client &client);
    void send(Client &client);
    void disconnect(Client &client);
    void sample();

    CrowdTarget m_target;
    std::size_t m_addresses;
    std::vector<Client> m_clients;
    ProcessPeak m_peak;
    std::jthread m_thread;
};

/// @return the current resident size of a process in bytes; 0 when the process has ended
std::size_t residentMemory(pid_t process);
/// @return the bytes that the kernel has received on connections to a local port and the process has not read
std::size_t unreadBytes(std::uint16_t localPort);

} // namespace heatherquay::crowds
