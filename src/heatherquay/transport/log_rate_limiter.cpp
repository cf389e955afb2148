#include "heatherquay/transport/log_rate_limiter.hpp"

#include <utility>

namespace heatherquay::transport
{

LogRateLimiter::LogRateLimiter(std::uint32_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{
}

std::optional<std::uint64_t> LogRateLimiter::admit(std::string_view event, Clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_windows.find(event);
    if (found == m_windows.end()) {
        found = m_windows.emplace(std::string(event), Window{now}).first;
    }
    Window &window = found->second;
    if (now - window.begin >= std::chrono::seconds(1)) {
        window.begin = now;
        window.written = 0;
    }
    if (window.written >= m_linesPerSecond) {
        ++window.suppressed;
        return std::nullopt;
    }
    ++window.written;
    return std::exchange(window.suppressed, 0);
}

} // namespace heatherquay::transport
