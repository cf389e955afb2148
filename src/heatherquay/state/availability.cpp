#include "heatherquay/state/availability.hpp"

#include <algorithm>
#include <bit>

namespace heatherquay::state::detail
{

std::uint32_t count(const AcceleratorSet &picks)
{
    std::uint32_t total = 0;
    for (const WorkerAccelerators &pick : picks) {
        total += static_cast<std::uint32_t>(std::popcount(pick.mask));
    }
    return total;
}

void add(AcceleratorSet &picks, WorkerAccelerators pick)
{
    const auto place = std::lower_bound(picks.begin(), picks.end(), pick.worker,
                                        [](const WorkerAccelerators &left, WorkerIndex worker) {
                                            return left.worker < worker;
                                        });
    if (place != picks.end() && place->worker == pick.worker) {
        place->mask |= pick.mask;
    } else if (pick.mask != 0) {
        picks.insert(place, pick);
    }
}

AcceleratorSet difference(const AcceleratorSet &left, const AcceleratorSet &right)
{
    AcceleratorSet result;
    auto other = right.begin();
    for (WorkerAccelerators pick : left) {
        while (other != right.end() && other->worker < pick.worker) {
            ++other;
        }
        if (other != right.end() && other->worker == pick.worker) {
            pick.mask &= ~other->mask;
        }
        if (pick.mask != 0) {
            result.push_back(pick);
        }
    }
    return result;
}

Availability::Availability(const Topology &topology)
    : m_kinds(std::max<std::size_t>(topology.kinds().size(), 1))
    , m_masks(topology.workers().size())
    , m_counts(topology.nodeCount() * m_kinds)
{
}

void Availability::put(const Topology &topology, WorkerAccelerators pick)
{
    change(topology, pick.worker, pick.mask & ~m_masks[pick.worker], true);
}

void Availability::take(const Topology &topology, WorkerAccelerators pick)
{
    change(topology, pick.worker, pick.mask & m_masks[pick.worker], false);
}

void Availability::put(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        put(topology, pick);
    }
}

void Availability::take(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        take(topology, pick);
    }
}

void Availability::set(const Topology &topology, WorkerIndex worker, AcceleratorMask mask)
{
    put(topology, {worker, mask});
    take(topology, {worker, m_masks[worker] & ~mask});
}

void Availability::exclude(const Topology &topology, WorkerIndex worker)
{
    change(topology, worker, m_masks[worker], false);
}

void Availability::change(const Topology &topology, WorkerIndex worker, AcceleratorMask changed, bool present)
{
    if (changed == 0) {
        return;
    }
    m_masks[worker] ^= changed;
    const WorkerNode &node = topology.worker(worker);
    for (const KindGroup &group : node.groups) {
        const auto number = static_cast<std::uint32_t>(std::popcount(group.mask & changed));
        if (number == 0) {
            continue;
        }
        NodeIndex index = node.node;
        for (std::size_t level = 0; level < levelCount; ++level) {
            std::uint32_t &total = m_counts[index * m_kinds + group.kind];
            total = present ? total + number : total - number;
            index = topology.node(index).parent;
        }
    }
}

std::uint32_t Availability::count(NodeIndex node, KindMask kinds) const
{
    std::uint32_t total = 0;
    const std::uint32_t *counts = &m_counts[node * m_kinds];
    for (std::size_t kind = 0; kind < m_kinds; ++kind) {
        if ((kinds >> kind & 1) != 0) {
            total += counts[kind];
        }
    }
    return total;
}

} // namespace heatherquay::state::detail
