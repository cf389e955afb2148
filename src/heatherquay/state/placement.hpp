#pragma once

#include "heatherquay/state/availability.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace heatherquay::state::detail
{

/// A request to place one part of a shape.
struct PartRequest
{
    std::uint32_t count{};
    KindMask kinds{};
    Level level{Level::Cluster}; ///< All accelerators are in one node of this level.
    std::optional<NodeIndex> within; ///< If set, all accelerators are below this node.
};

/// Weights for comparing placements.
struct PlacementPreference
{
    double weightCompletion{};
    double weightFragmentation{};
    std::vector<double> slowness; ///< Run time on each kind relative to the fastest kind; missing kinds count as 1.
};

/// @return one request for each part of the shape
std::vector<PartRequest> requestsOf(const Topology &topology, const Shape &shape);

/// Places several parts at once, by best fit with bounded backtracking.
class Placer
{
public:
    /// @param available accelerators that may be used; the search modifies this copy
    Placer(const Topology &topology, Availability available, const PlacementPreference &preference);

    /// @param budget maximum number of candidates to try
    /// @return the picks of each part, or nothing if no placement was found within the budget
    std::optional<std::vector<AcceleratorSet>> place(const std::vector<PartRequest> &requests, std::uint32_t budget);

private:
    struct Candidate
    {
        NodeIndex node{};
        KindMask kinds{};
        double score{};
    };

    bool placeRemaining(const std::vector<std::size_t> &order, std::size_t position);
    bool tryCandidate(const std::vector<std::size_t> &order, std::size_t position, const Candidate &candidate);
    std::optional<Candidate> bestCandidate(const PartRequest &request) const;
    /// @return all candidates, sorted by tightest level, then by score
    std::vector<Candidate> sortedCandidates(const PartRequest &request) const;
    /// Calls @p visitor with each candidate for the request at exactly the given level.
    template<typename Visitor>
    void forEachCandidate(const PartRequest &request, Level level, Visitor visitor) const;
    template<typename Visitor>
    void forEachCandidateBelow(NodeIndex node, const PartRequest &request, Level level, Visitor &visitor) const;
    /// Calls @p visitor with one candidate for each single kind that suffices, or with one for the mixed kinds if none
    /// does.
    template<typename Visitor>
    void forEachKindChoice(NodeIndex node, const PartRequest &request, Visitor &visitor) const;
    /// @return the score of a candidate; lower is better
    double score(NodeIndex node, std::uint32_t count, KindMask kinds) const;
    /// @return the slowness of the slowest kind in @p kinds
    double slowness(KindMask kinds) const;
    /// Adds @p count accelerators below @p node to @p picks.
    void pickAccelerators(NodeIndex node, KindMask kinds, std::uint32_t count, AcceleratorSet &picks) const;
    NodeIndex bestChild(NodeIndex node, KindMask kinds, std::uint32_t count, const std::vector<bool> &used) const;

    const Topology &m_topology;
    Availability m_available;
    const PlacementPreference &m_preference;
    const std::vector<PartRequest> *m_requests{};
    std::vector<AcceleratorSet> m_result;
    std::uint32_t m_budget{};
};

} // namespace heatherquay::state::detail
