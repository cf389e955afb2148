#pragma once

#include "heatherquay/state/commands.hpp"
#include "heatherquay/state/events.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heatherquay::benchmarks
{

enum class Fit
{
    First, ///< Uses the first group of workers with enough free accelerators.
    Best ///< Uses the group that has the fewest accelerators left over.
};

/// Tracks free accelerators and searches placements for the baseline policies. Ignores guarantees.
class FreeAccelerators
{
public:
    void addWorker(const state::WorkerSpec &spec);
    void setUsable(const state::WorkerId &worker, bool usable);

    void take(const std::vector<state::Placement> &placements);
    void release(const std::vector<state::Placement> &placements);
    /// @return whether all accelerators of @p placements are free and their workers are usable
    bool isFree(const std::vector<state::Placement> &placements) const;

    /// Searches free accelerators for all parts of @p shape, one part after the other. A part is placed on accelerators
    /// of several kinds only if it fits on no single kind.
    /// @return std::nullopt if a part does not fit
    std::optional<std::vector<state::Placement>> find(const state::Shape &shape, Fit fit);

    /// @return the number of free accelerators on usable workers
    std::uint32_t freeCount() const;
    /// @return the share, from 0 to 1, of the free accelerators on which @p part cannot be placed; 0 if none is free
    double unusableShare(const state::ShapePart &part) const;

private:
    struct WorkerState
    {
        state::WorkerSpec spec;
        std::vector<std::uint32_t> kinds;
        std::vector<bool> free;
        std::vector<std::uint32_t> freeByKind;
        bool usable{true};
    };
    using KindSet = std::vector<bool>;

    const std::vector<std::vector<std::uint32_t>> &groups(state::Adjacency adjacency) const;
    /// @return each accepted kind alone, followed by all accepted kinds together
    std::vector<KindSet> kindSetsFor(const state::ShapePart &part) const;
    std::uint32_t countFreeOn(std::uint32_t worker, const KindSet &kinds) const;
    bool placePart(const state::ShapePart &part, Fit fit, std::map<std::uint32_t, std::vector<std::uint16_t>> &taken);
    void takeFrom(std::uint32_t worker, const KindSet &kinds, std::uint32_t count,
                  std::map<std::uint32_t, std::vector<std::uint16_t>> &taken);
    void setFree(const std::vector<state::Placement> &placements, bool free);

    std::vector<WorkerState> m_workers;
    std::map<state::WorkerId, std::uint32_t> m_index;
    std::map<std::string, std::uint32_t> m_kinds;
    /// Indices into m_workers of the members of each group, for each adjacency.
    std::map<state::Adjacency, std::vector<std::vector<std::uint32_t>>> m_groups;
    std::map<state::Adjacency, std::map<std::string, std::uint32_t>> m_groupIndex;
};

} // namespace heatherquay::benchmarks
