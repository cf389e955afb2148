#include "system/entry_process.hpp"

#include <cstdlib>
#include <fstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace heatherquay::system_test
{

EntryProcess::EntryProcess(std::string name, const std::string &settings, std::filesystem::path directory,
                           const char *nodeFileVariable)
{
    const std::string file = directory / (name + ".toml");
    const std::string log = directory / (name + ".log");
    std::ofstream(file) << settings;
    const char *binary = std::getenv("HEATHERQUAY_BIN");
    if (!binary) {
        throw std::runtime_error("HEATHERQUAY_BIN is not set; run the test suite with CTest, which sets it");
    }
    m_pid = ::fork();
    if (m_pid == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // Asio opens sockets without O_CLOEXEC. An inherited copy keeps a connection open that this process has closed.
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        if (nodeFileVariable != nullptr) {
            ::setenv(nodeFileVariable, file.c_str(), 1);
            ::execl(binary, binary, "serve", nullptr);
        }
        ::execl(binary, binary, "serve", "--config", file.c_str(), nullptr);
        ::_exit(127);
    }
}

EntryProcess::~EntryProcess()
{
    if (!m_reaped) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void EntryProcess::signal(int number) const
{
    if (!m_reaped) {
        ::kill(m_pid, number);
    }
}

std::optional<int> EntryProcess::poll()
{
    int status = 0;
    if (m_reaped || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_reaped = true;
    return status;
}

std::optional<int> EntryProcess::wait(std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::optional<int> status;
    while (!m_reaped && std::chrono::steady_clock::now() < deadline) {
        status = poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return status && WIFEXITED(*status) ? std::optional<int>(WEXITSTATUS(*status)) : std::nullopt;
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    // All acceptors stay open until the end, so that the ports differ.
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        acceptors.emplace_back(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        ports.push_back(acceptors.back().local_endpoint().port());
    }
    return ports;
}

} // namespace heatherquay::system_test
