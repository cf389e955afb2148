#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Bounds on how long a silent part of the store is tried last.
struct StoreHealthTimes
{
    /// A part is tried last for this long after an unanswered call. The next call after that finds out whether the
    /// part answers again.
    std::chrono::milliseconds avoidTime{2'000};
};

/// Remembers which parts of the store left calls of this process unanswered. Has no clock; times are passed in.
class StoreHealth
{
public:
    using Clock = std::chrono::steady_clock;

    explicit StoreHealth(StoreHealthTimes times = {})
        : m_times(times)
    {
    }

    /// Records the result of a call.
    /// @param answered whether the store answered, with whatever status
    void noteCall(const std::string &part, bool answered, Clock::time_point now);

    /// @return whether the latest call to the part was not answered, a short time ago
    bool silent(const std::string &part, Clock::time_point now) const;

    /// @param parts in the order of preference
    /// @return the same parts, with the silent ones after the others
    std::vector<std::string> silentLast(std::vector<std::string> parts, Clock::time_point now) const;

private:
    StoreHealthTimes m_times;
    std::map<std::string, Clock::time_point> m_unansweredAt; ///< Time of the latest unanswered call, by part.
};

} // namespace heatherquay::coordination::batch
