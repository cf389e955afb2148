#pragma once

#include "system/entry_process.hpp"

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace heatherquay::soak
{

using Clock = std::chrono::steady_clock;

/// One node of the deployment: the process that runs it now, and pauses of that process.
class SoakNode
{
public:
    enum class State
    {
        Running,
        Stopping, ///< Has received SIGTERM and has not ended.
        Down
    };
    /// How a process has ended.
    struct Exit
    {
        int status{}; ///< As from waitpid().
        State stateBefore{}; ///< Down if the soak has killed the process.
    };

    /// @param settings content of the settings file
    SoakNode(std::string name, std::string address, std::string settings, std::filesystem::path directory);

    const std::string &name() const
    {
        return m_name;
    }
    /// @return where callers connect
    const std::string &address() const
    {
        return m_address;
    }
    State state() const
    {
        return m_state;
    }
    /// @return whether a caller may open a connection; the balancer excludes a stopping process after a while
    bool acceptsConnections() const;
    /// @return the time since SIGTERM; zero if the process is not stopping
    std::chrono::milliseconds stoppingFor() const;
    unsigned starts() const
    {
        return m_starts;
    }
    /// @return the time since the last SIGTERM to a process of this node
    std::chrono::milliseconds sinceTermination() const;
    bool processPresent() const
    {
        return m_process != nullptr;
    }

    /// @return whether the process is past its first steps, in which any signal ends it
    bool handlesSignals() const;
    void start();
    void terminate();
    void kill();
    void reload();
    /// Pauses the process whatever its duty cycle says.
    void setFrozen(bool frozen);
    /// Pauses and resumes the process as part of its duty cycle. Thread-safe.
    void setDutyPause(bool paused);
    /// @return how the process has ended if it has ended since the last call
    std::optional<Exit> reap();

private:
    void applyPause();

    std::string m_name;
    std::string m_address;
    std::string m_settings;
    std::filesystem::path m_directory;
    State m_state{State::Down};
    Clock::time_point m_terminatedAt;
    unsigned m_starts{};
    mutable std::mutex m_mutex; ///< Guards the following members.
    std::unique_ptr<system_test::EntryProcess> m_process;
    bool m_frozen{};
    bool m_dutyPause{};
    bool m_paused{};
};

/// Emulates small processor shares: each node runs in a part of each period only. The parts of the nodes are spread
/// over the period.
class DutyCycle
{
public:
    /// @param share part of the time in which a node runs, from 0 to 1
    DutyCycle(std::vector<SoakNode *> nodes, double share);

private:
    std::jthread m_thread;
};

} // namespace heatherquay::soak
