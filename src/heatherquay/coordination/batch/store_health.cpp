#include "heatherquay/coordination/batch/store_health.hpp"

#include <algorithm>

namespace heatherquay::coordination::batch
{

void StoreHealth::noteCall(const std::string &part, bool answered, Clock::time_point now)
{
    if (answered) {
        m_unansweredAt.erase(part);
    } else {
        m_unansweredAt[part] = now;
    }
}

bool StoreHealth::silent(const std::string &part, Clock::time_point now) const
{
    const auto found = m_unansweredAt.find(part);
    return found != m_unansweredAt.end() && now - found->second < m_times.avoidTime;
}

std::vector<std::string> StoreHealth::silentLast(std::vector<std::string> parts, Clock::time_point now) const
{
    std::stable_partition(parts.begin(), parts.end(), [this, now](const std::string &part) {
        return !silent(part, now);
    });
    return parts;
}

} // namespace heatherquay::coordination::batch
