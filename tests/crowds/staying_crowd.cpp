#include "crowds/staying_crowd.hpp"

#include "crowds/crowd.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace heatherquay::crowds
{

namespace
{

constexpr std::chrono::milliseconds reconnectPause{500};
constexpr std::chrono::milliseconds sampleInterval{100};
constexpr std::chrono::milliseconds turnPause{1};
constexpr std::size_t bytesPerTurn = 64 * 1024;
constexpr std::uint32_t firstSource = 0x7f010001; // 127.1.0.1
constexpr const char *listenState = "0A"; // Its queue counts connections, not bytes.

} // namespace

StayingCrowd::StayingCrowd(CrowdTarget target, std::size_t addresses)
    : m_target(std::move(target))
    , m_addresses(addresses)
{
}

StayingCrowd::~StayingCrowd()
{
    stop();
}

void StayingCrowd::add(const StayingScript &script, std::size_t clients)
{
    for (std::size_t i = 0; i < clients; ++i) {
        m_clients.push_back(Client{script, m_clients.size(), -1, 0, Clock::now()});
    }
}

void StayingCrowd::start()
{
    m_thread = std::jthread([this](const std::stop_token &stopped) {
        run(stopped);
    });
}

void StayingCrowd::stop()
{
    if (m_thread.joinable()) {
        m_thread.request_stop();
        m_thread.join();
    }
}

void StayingCrowd::run(const std::stop_token &stopped)
{
    auto nextSample = Clock::now();
    while (!stopped.stop_requested()) {
        std::vector<pollfd> polled;
        for (const Client &client : m_clients) {
            polled.push_back({client.socket, POLLRDHUP, 0});
        }
        ::poll(polled.data(), polled.size(), 0);
        for (std::size_t i = 0; i < m_clients.size(); ++i) {
            Client &client = m_clients[i];
            if (client.socket >= 0 && (polled[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                disconnect(client);
            } else if (Clock::now() >= client.nextAction) {
                client.socket < 0 ? connect(client) : send(client);
            }
        }
        if (Clock::now() >= nextSample) {
            sample();
            nextSample = Clock::now() + sampleInterval;
        }
        std::this_thread::sleep_for(turnPause);
    }
    sample();
    for (Client &client : m_clients) {
        disconnect(client);
    }
}

void StayingCrowd::connect(Client &client)
{
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    client.sent = 0;
    sockaddr_in source{};
    source.sin_family = AF_INET;
    source.sin_addr.s_addr = htonl(firstSource + static_cast<std::uint32_t>(client.number % m_addresses));
    const int enabled = 1;
    ::setsockopt(client.socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof enabled);
    if (::bind(client.socket, reinterpret_cast<const sockaddr *>(&source), sizeof source) != 0) {
        disconnect(client);
        return;
    }
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(m_target.port);
    ::inet_pton(AF_INET, m_target.address.c_str(), &peer.sin_addr);
    if (::connect(client.socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0 && errno != EINPROGRESS) {
        disconnect(client);
    }
}

void StayingCrowd::send(Client &client)
{
    const StayingScript &script = client.script;
    const std::size_t total = script.prefix.size() + script.piece.size() * script.pieces;
    if (client.sent >= total) {
        return;
    }
    const bool byByte = script.byteInterval.count() > 0;
    const std::size_t end = std::min(total, client.sent + (byByte ? 1 : bytesPerTurn));
    std::string bytes;
    for (std::size_t position = client.sent; position < end;) {
        const bool inPrefix = position < script.prefix.size();
        const std::string &source = inPrefix ? script.prefix : script.piece;
        const std::size_t offset = inPrefix ? position : (position - script.prefix.size()) % source.size();
        const std::size_t size = std::min(source.size() - offset, end - position);
        bytes.append(source, offset, size);
        position += size;
    }
    const ssize_t sent = ::send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
        client.sent += static_cast<std::size_t>(sent);
        client.nextAction = Clock::now() + script.byteInterval;
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
        disconnect(client);
    }
}

void StayingCrowd::disconnect(Client &client)
{
    if (client.socket >= 0) {
        ::close(client.socket);
    }
    client.socket = -1;
    client.nextAction = Clock::now() + reconnectPause;
}

void StayingCrowd::sample()
{
    const std::size_t resident = residentMemory(m_target.process);
    const std::size_t unread = unreadBytes(m_target.port);
    m_peak.resident = std::max(m_peak.resident, resident);
    m_peak.unread = std::max(m_peak.unread, unread);
    m_peak.memory = std::max(m_peak.memory, resident + unread);
    m_peak.descriptors = std::max(m_peak.descriptors, openDescriptors(m_target.process));
}

std::size_t residentMemory(pid_t process)
{
    std::ifstream statistics("/proc/" + std::to_string(process) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    statistics >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t unreadBytes(std::uint16_t localPort)
{
    std::ostringstream port;
    port << std::uppercase << std::hex;
    port.width(4);
    port.fill('0');
    port << localPort;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        if (state != listenState && local.ends_with(':' + port.str())) {
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return bytes;
}

} // namespace heatherquay::crowds
