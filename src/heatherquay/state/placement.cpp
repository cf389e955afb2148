#include "heatherquay/state/placement.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

namespace heatherquay::state::detail
{

namespace
{

/// @return the order in which to place the parts: the most constrained and largest first, because the others are easier
/// to fit into what is left
std::vector<std::size_t> placingOrder(const std::vector<PartRequest> &requests)
{
    std::vector<std::size_t> order(requests.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&requests](std::size_t left, std::size_t right) {
        const PartRequest &a = requests[left];
        const PartRequest &b = requests[right];
        if (a.within.has_value() != b.within.has_value()) {
            return a.within.has_value();
        }
        if (a.level != b.level) {
            return a.level < b.level;
        }
        const int kindsA = std::popcount(a.kinds);
        const int kindsB = std::popcount(b.kinds);
        return kindsA != kindsB ? kindsA < kindsB : a.count > b.count;
    });
    return order;
}

/// @return the @p count lowest set bits of @p mask
AcceleratorMask lowestBits(AcceleratorMask mask, std::uint32_t count)
{
    AcceleratorMask result = 0;
    while (count-- > 0) {
        const AcceleratorMask bit = mask & (~mask + 1);
        result |= bit;
        mask ^= bit;
    }
    return result;
}

} // namespace

std::vector<PartRequest> requestsOf(const Topology &topology, const Shape &shape)
{
    std::vector<PartRequest> requests;
    requests.reserve(shape.parts.size());
    for (const ShapePart &part : shape.parts) {
        requests.push_back({part.count, topology.kindMask(part.kinds), levelOf(part.adjacency), std::nullopt});
    }
    return requests;
}

Placer::Placer(const Topology &topology, Availability available, const PlacementPreference &preference)
    : m_topology(topology)
    , m_available(std::move(available))
    , m_preference(preference)
{
}

std::optional<std::vector<AcceleratorSet>> Placer::place(const std::vector<PartRequest> &requests, std::uint32_t budget)
{
    m_requests = &requests;
    m_result.assign(requests.size(), {});
    m_budget = budget;
    if (!placeRemaining(placingOrder(requests), 0)) {
        return std::nullopt;
    }
    return std::move(m_result);
}

bool Placer::placeRemaining(const std::vector<std::size_t> &order, std::size_t position)
{
    if (position == order.size()) {
        return true;
    }
    const PartRequest &request = (*m_requests)[order[position]];
    if (request.count == 0) {
        return placeRemaining(order, position + 1);
    }
    const std::optional<Candidate> first = bestCandidate(request);
    if (!first.has_value()) {
        return false;
    }
    if (tryCandidate(order, position, *first)) {
        return true;
    }
    if (position + 1 == order.size()) {
        return false;
    }
    for (const Candidate &candidate : sortedCandidates(request)) {
        if (m_budget == 0) {
            return false;
        }
        if (candidate.node == first->node && candidate.kinds == first->kinds) {
            continue;
        }
        if (tryCandidate(order, position, candidate)) {
            return true;
        }
    }
    return false;
}

bool Placer::tryCandidate(const std::vector<std::size_t> &order, std::size_t position, const Candidate &candidate)
{
    if (m_budget == 0) {
        return false;
    }
    --m_budget;
    const std::size_t part = order[position];
    AcceleratorSet picks;
    pickAccelerators(candidate.node, candidate.kinds, (*m_requests)[part].count, picks);
    m_available.take(m_topology, picks);
    m_result[part] = picks;
    if (placeRemaining(order, position + 1)) {
        return true;
    }
    m_available.put(m_topology, picks);
    return false;
}

std::optional<Placer::Candidate> Placer::bestCandidate(const PartRequest &request) const
{
    // Placing the part at the tightest level at which it fits keeps the largest blocks free elsewhere.
    for (Level level = Level::Worker; level <= request.level; level = static_cast<Level>(static_cast<int>(level) + 1)) {
        std::optional<Candidate> found;
        forEachCandidate(request, level, [&found](const Candidate &candidate) {
            if (!found.has_value() || candidate.score < found->score) {
                found = candidate;
            }
        });
        if (found.has_value()) {
            return found;
        }
    }
    return std::nullopt;
}

std::vector<Placer::Candidate> Placer::sortedCandidates(const PartRequest &request) const
{
    std::vector<Candidate> candidates;
    for (Level level = Level::Worker; level <= request.level; level = static_cast<Level>(static_cast<int>(level) + 1)) {
        const auto begin = static_cast<std::ptrdiff_t>(candidates.size());
        forEachCandidate(request, level, [&candidates](const Candidate &candidate) {
            candidates.push_back(candidate);
        });
        std::stable_sort(candidates.begin() + begin, candidates.end(),
                         [](const Candidate &left, const Candidate &right) {
                             return left.score < right.score;
                         });
    }
    return candidates;
}

template<typename Visitor>
void Placer::forEachCandidate(const PartRequest &request, Level level, Visitor visitor) const
{
    const NodeIndex root = request.within.value_or(0);
    if (m_topology.node(root).level >= level) {
        forEachCandidateBelow(root, request, level, visitor);
    }
}

template<typename Visitor>
void Placer::forEachCandidateBelow(NodeIndex node, const PartRequest &request, Level level, Visitor &visitor) const
{
    if (m_available.count(node, request.kinds) < request.count) {
        return;
    }
    if (m_topology.node(node).level == level) {
        forEachKindChoice(node, request, visitor);
        return;
    }
    for (const NodeIndex child : m_topology.node(node).children) {
        forEachCandidateBelow(child, request, level, visitor);
    }
}

template<typename Visitor>
void Placer::forEachKindChoice(NodeIndex node, const PartRequest &request, Visitor &visitor) const
{
    bool oneKindSuffices = false;
    for (KindMask rest = request.kinds; rest != 0; rest &= rest - 1) {
        const KindMask kind = rest & (~rest + 1);
        if (m_available.count(node, kind) >= request.count) {
            oneKindSuffices = true;
            visitor(Candidate{node, kind, score(node, request.count, kind)});
        }
    }
    if (!oneKindSuffices) {
        visitor(Candidate{node, request.kinds, score(node, request.count, request.kinds)});
    }
}

double Placer::score(NodeIndex node, std::uint32_t count, KindMask kinds) const
{
    const std::uint32_t available = m_available.count(node, ~KindMask{0});
    const double leftover = static_cast<double>(available - count) / static_cast<double>(available + 1);
    return m_preference.weightFragmentation * leftover + m_preference.weightCompletion * (slowness(kinds) - 1.0);
}

double Placer::slowness(KindMask kinds) const
{
    double worst = 1.0;
    for (std::size_t kind = 0; kind < m_preference.slowness.size(); ++kind) {
        if ((kinds >> kind & 1) != 0) {
            worst = std::max(worst, m_preference.slowness[kind]);
        }
    }
    return worst;
}

void Placer::pickAccelerators(NodeIndex node, KindMask kinds, std::uint32_t count, AcceleratorSet &picks) const
{
    const Node &current = m_topology.node(node);
    if (current.level == Level::Worker) {
        const AcceleratorMask usable
            = m_available.mask(current.worker) & m_topology.worker(current.worker).acceleratorsOfKinds(kinds);
        add(picks, {current.worker, lowestBits(usable, count)});
        return;
    }
    std::vector<bool> used(current.children.size());
    while (count > 0) {
        const NodeIndex position = bestChild(node, kinds, count, used);
        const NodeIndex child = current.children[position];
        const std::uint32_t taken = std::min(count, m_available.count(child, kinds));
        used[position] = true;
        pickAccelerators(child, kinds, taken, picks);
        count -= taken;
    }
}

/// Chooses the smallest child that can hold @p count accelerators, or else the child with the most available.
/// @return position of the chosen child among the children of @p node
NodeIndex Placer::bestChild(NodeIndex node, KindMask kinds, std::uint32_t count, const std::vector<bool> &used) const
{
    const std::vector<NodeIndex> &children = m_topology.node(node).children;
    NodeIndex chosen = 0;
    std::uint32_t chosenCount = 0;
    for (NodeIndex position = 0; position < children.size(); ++position) {
        const std::uint32_t available = used[position] ? 0 : m_available.count(children[position], kinds);
        const bool suffices = available >= count;
        const bool better = chosenCount >= count ? suffices && available < chosenCount : available > chosenCount;
        if (better) {
            chosen = position;
            chosenCount = available;
        }
    }
    return chosen;
}

} // namespace heatherquay::state::detail
