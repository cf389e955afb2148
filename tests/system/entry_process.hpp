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

/// One `heatherquay serve`, started as a real process and killed at the latest by the destructor.
class EntryProcess
{
public:
    /// @param settings the text of its settings file
    /// @param nodeFileVariable when given, the settings are handed over in the file that this variable names
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
    /// @return the exit status, empty when the process did not end in time or was ended by a signal
    std::optional<int> wait(std::chrono::seconds timeout);

private:
    pid_t m_pid{};
    bool m_ended{};
};

/// @return ports that were free a moment ago, all different
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace heatherquay::system_test
