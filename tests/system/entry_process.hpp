#pragma once

#include <chrono>
#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace heatherquay::system_test
{

/// Runs `heatherquay serve` as a child process. The destructor kills the process if it is still running.
class EntryProcess
{
public:
    /// @param name name of the settings file and the log file, without extension
    /// @param settings content of the settings file
    /// @param directory where the settings file and the log file are written
    /// @param nodeFileVariable environment variable that passes the path of the settings file; if null, the path is
    /// passed with --config
    EntryProcess(std::string name, const std::string &settings, std::filesystem::path directory,
                 const char *nodeFileVariable = nullptr);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    pid_t pid() const
    {
        return m_pid;
    }
    void signal(int number) const;
    /// @return the status of waitpid() if the process has ended since the last call
    std::optional<int> poll();
    /// Waits for the process to exit.
    /// @return the exit status, empty if the process is still running after the timeout or was terminated by a signal
    std::optional<int> wait(std::chrono::seconds timeout);

private:
    pid_t m_pid{};
    bool m_reaped{};
};

/// @return different ports that were free at the time of the call; another process may take them before they are used
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace heatherquay::system_test
