#pragma once

#include "heatherquay/state/topology.hpp"

#include <cstdint>
#include <vector>

namespace heatherquay::state::detail
{

/// Accelerators on one worker, as a bit mask.
struct WorkerAccelerators
{
    WorkerIndex worker{};
    AcceleratorMask mask{};

    friend bool operator==(const WorkerAccelerators &, const WorkerAccelerators &) = default;
};

/// Accelerators on several workers: at most one entry per worker, ordered by worker, without empty masks.
using AcceleratorSet = std::vector<WorkerAccelerators>;

/// @return the number of accelerators
std::uint32_t count(const AcceleratorSet &picks);
/// Adds accelerators and keeps the order by worker.
void add(AcceleratorSet &picks, WorkerAccelerators pick);
/// @return the accelerators of @p left that are not in @p right
AcceleratorSet difference(const AcceleratorSet &left, const AcceleratorSet &right);

/// A set of accelerators with a count per topology node and accelerator kind.
///
/// The data is stored in flat arrays, so that a tentative placement can work on a cheap copy.
class Availability
{
public:
    Availability() = default;
    explicit Availability(const Topology &topology);

    /// Adds accelerators; those already in the set are ignored.
    void put(const Topology &topology, WorkerAccelerators pick);
    /// Removes accelerators; those not in the set are ignored.
    void take(const Topology &topology, WorkerAccelerators pick);
    void put(const Topology &topology, const AcceleratorSet &picks);
    void take(const Topology &topology, const AcceleratorSet &picks);
    /// Replaces the worker's accelerators in the set with @p mask.
    void set(const Topology &topology, WorkerIndex worker, AcceleratorMask mask);
    /// Removes all accelerators of the worker.
    void exclude(const Topology &topology, WorkerIndex worker);

    AcceleratorMask mask(WorkerIndex worker) const
    {
        return m_masks[worker];
    }
    /// @return the number of accelerators below @p node whose kind is in @p kinds
    std::uint32_t count(NodeIndex node, KindMask kinds) const;

private:
    /// Adds or removes the accelerators in @p changed and updates the counts of all ancestor nodes.
    void change(const Topology &topology, WorkerIndex worker, AcceleratorMask changed, bool present);

    std::size_t m_kinds{};
    std::vector<AcceleratorMask> m_masks; ///< By worker.
    std::vector<std::uint32_t> m_counts; ///< By node, then kind.
};

} // namespace heatherquay::state::detail
