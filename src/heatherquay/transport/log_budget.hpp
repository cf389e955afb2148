#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace heatherquay::transport
{

/// Bounds how many lines of one event are written a second, so that no event drowns the others. Thread-safe.
class LogBudget
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param linesPerSecond of each event
    explicit LogBudget(std::uint32_t linesPerSecond);

    /// Asks for one line. @return nothing when it must be left out; otherwise how many lines of the event were left out
    /// since the last one that was written
    std::optional<std::uint64_t> admit(std::string_view event, Clock::time_point now = Clock::now());

private:
    struct Window
    {
        Clock::time_point begin;
        std::uint32_t written{};
        std::uint64_t leftOut{};
    };

    std::mutex m_mutex;
    std::uint32_t m_linesPerSecond;
    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace heatherquay::transport
