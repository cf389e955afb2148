#include "heatherquay/state/burn.hpp"

namespace heatherquay::state
{

double burnRate(const BurnCounts &counts, double objectiveShare)
{
    if (counts.requests == 0) {
        return 0.0;
    }
    const double badShare = static_cast<double>(counts.bad) / static_cast<double>(counts.requests);
    return badShare / (1.0 - objectiveShare);
}

BurnRing::BurnRing(BurnWindow window)
    : m_window(window)
{
}

std::size_t BurnRing::slot() const
{
    return static_cast<std::size_t>(m_current) % m_window.slices;
}

} // namespace heatherquay::state
