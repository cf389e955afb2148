#include "heatherquay/state/batch/team_shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr double forgottenUse = 0.0005; // Teams below this share are not kept; ten of them are half a percent.
constexpr double ranksPerShare = 2; // Coarse, so that deadlines decide between teams of about the same use.

double shareOf(std::int64_t held, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : static_cast<double>(held) / static_cast<double>(capacity);
}

double dominant(const TeamUse &use)
{
    return std::max({use.cores, use.memory, use.accelerators});
}

TeamUse useOf(const TeamId &team, const Resources &held, const Resources &capacity)
{
    return {team, shareOf(held.cpuMillicores, capacity.cpuMillicores),
            shareOf(held.memoryMegabytes, capacity.memoryMegabytes), shareOf(held.accelerators, capacity.accelerators)};
}

} // namespace detail

TeamShares::TeamShares(Duration span)
    : m_span(span)
{
}

void TeamShares::setWeights(std::map<TeamId, double> weights)
{
    m_weights = std::move(weights);
}

void TeamShares::charge(const std::map<TeamId, Resources> &held, const Resources &capacity, Instant wall)
{
    if (!enabled()) {
        return;
    }
    const Instant before = std::exchange(m_chargedAt, std::max(wall, m_chargedAt));
    const Duration elapsed = before == Instant{} ? Duration::zero() : m_chargedAt - before;
    const double kept = std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(m_span.count()));
    for (auto &[team, use] : m_uses) {
        use.cores *= kept;
        use.memory *= kept;
        use.accelerators *= kept;
    }
    m_capacity = capacity;
    m_present = held;
    m_presentWeights = 0;
    for (const auto &[team, resources] : held) {
        TeamUse &use = m_uses[team];
        use.team = team;
        const TeamUse present = detail::useOf(team, resources, capacity);
        use.cores += (1 - kept) * present.cores;
        use.memory += (1 - kept) * present.memory;
        use.accelerators += (1 - kept) * present.accelerators;
        m_presentWeights += weight(team);
    }
    std::erase_if(m_uses, [&](const auto &entry) {
        return !m_present.contains(entry.first) && use(entry.first) < detail::forgottenUse;
    });
}

std::uint32_t TeamShares::rank(const TeamId &team, const Resources &ahead) const
{
    Resources present = ahead;
    if (const auto found = m_present.find(team); found != m_present.end()) {
        present += found->second;
    }
    const double share = fairShare(team);
    const double excess = std::max(use(team), detail::dominant(detail::useOf(team, present, m_capacity))) - share;
    return excess < 0 ? 0 : 1 + static_cast<std::uint32_t>(detail::ranksPerShare * excess / share);
}

double TeamShares::use(const TeamId &team) const
{
    const auto found = m_uses.find(team);
    return found == m_uses.end() ? 0 : detail::dominant(found->second);
}

double TeamShares::fairShare(const TeamId &team) const
{
    const double own = weight(team);
    return own / (m_present.contains(team) ? m_presentWeights : m_presentWeights + own);
}

std::vector<TeamUse> TeamShares::uses() const
{
    std::vector<TeamUse> uses;
    for (const auto &[team, use] : m_uses) {
        uses.push_back(use);
    }
    std::stable_sort(uses.begin(), uses.end(), [this](const TeamUse &left, const TeamUse &right) {
        return use(left.team) > use(right.team);
    });
    uses.resize(std::min(uses.size(), recordedTeamsMax));
    return uses;
}

void TeamShares::restore(const std::vector<TeamUse> &uses, Instant chargedAt)
{
    for (const TeamUse &use : uses) {
        m_uses[use.team] = use;
    }
    m_chargedAt = chargedAt;
}

double TeamShares::weight(const TeamId &team) const
{
    const auto found = m_weights.find(team);
    return found == m_weights.end() ? 1 : found->second;
}

} // namespace heatherquay::state::batch
