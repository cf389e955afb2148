#pragma once

#include "heatherquay/state/availability.hpp"

#include <cstdint>
#include <vector>

namespace heatherquay::state::detail
{

using JobNumber = std::uint32_t; ///< Sequence number of the submission; 0 means no job.

/// The holder and the claimant of each accelerator, with indexes of the free and unbound ones. Derived from the jobs
/// and guarantees.
class Occupancy
{
public:
    /// Adds the workers that have been added to the topology.
    void grow(const Topology &topology);

    void hold(const Topology &topology, const AcceleratorSet &picks, JobNumber job);
    void release(const Topology &topology, const AcceleratorSet &picks);
    /// Claims accelerators for a job that starts when all of them are free.
    void claim(const Topology &topology, const AcceleratorSet &picks, JobNumber job);
    void unclaim(const Topology &topology, const AcceleratorSet &picks);
    /// Marks accelerators that a job uses, or has claimed, on its team's guarantee. Pinned accelerators stay in their
    /// cell.
    void pin(const AcceleratorSet &picks);
    void unpin(const AcceleratorSet &picks);
    /// Marks accelerators as part of a reserved cell.
    void bind(const Topology &topology, const AcceleratorSet &picks);
    void unbind(const Topology &topology, const AcceleratorSet &picks);
    /// Sets whether new work may start on the worker.
    void setUsable(const Topology &topology, WorkerIndex worker, bool usable);

    JobNumber holder(WorkerIndex worker, std::uint32_t accelerator) const
    {
        return m_holder[m_firstAccelerator[worker] + accelerator];
    }
    JobNumber claimant(WorkerIndex worker, std::uint32_t accelerator) const
    {
        return m_claimant[m_firstAccelerator[worker] + accelerator];
    }
    AcceleratorMask usable(WorkerIndex worker) const
    {
        return m_masks[worker].usable;
    }
    AcceleratorMask held(WorkerIndex worker) const
    {
        return m_masks[worker].held;
    }
    AcceleratorMask claimed(WorkerIndex worker) const
    {
        return m_masks[worker].claimed;
    }
    AcceleratorMask pinned(WorkerIndex worker) const
    {
        return m_masks[worker].pinned;
    }
    /// @return usable accelerators that are neither held nor claimed
    const Availability &free() const
    {
        return m_free;
    }
    /// @return usable accelerators outside all reserved cells
    const Availability &unbound() const
    {
        return m_unbound;
    }
    std::size_t workerCount() const
    {
        return m_masks.size();
    }

private:
    struct Masks
    {
        AcceleratorMask usable{};
        AcceleratorMask held{};
        AcceleratorMask claimed{};
        AcceleratorMask pinned{};
        AcceleratorMask bound{};
    };

    /// Recomputes the worker's entries in m_free and m_unbound.
    void updateAvailability(const Topology &topology, WorkerIndex worker);
    void setOwner(std::vector<JobNumber> &owners, const WorkerAccelerators &pick, JobNumber job) const;

    std::vector<Masks> m_masks;
    std::vector<std::uint32_t>
        m_firstAccelerator; ///< Index of each worker's first accelerator in m_holder and m_claimant.
    std::vector<JobNumber> m_holder;
    std::vector<JobNumber> m_claimant;
    Availability m_free;
    Availability m_unbound;
};

} // namespace heatherquay::state::detail
