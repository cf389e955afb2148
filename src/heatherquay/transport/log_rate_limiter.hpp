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

/// Limits the log lines per second of each event, so that a frequent event does not crowd out the others. Thread-safe.
class LogRateLimiter
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param linesPerSecond maximum number of lines of one event in a window of one second
    explicit LogRateLimiter(std::uint32_t linesPerSecond);

    /// Decides whether a line of @p event may be written, and counts it.
    /// @return the number of lines of the event that were suppressed since the last written one, or nothing when this
    /// line must be suppressed
    std::optional<std::uint64_t> admit(std::string_view event, Clock::time_point now = Clock::now());

private:
    struct Window
    {
        Clock::time_point begin;
        std::uint32_t written{};
        std::uint64_t suppressed{};
    };

    std::mutex m_mutex;
    std::uint32_t m_linesPerSecond;
    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace heatherquay::transport
