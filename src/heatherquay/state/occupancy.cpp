#include "heatherquay/state/occupancy.hpp"

#include <bit>

namespace heatherquay::state::detail
{

void Occupancy::grow(const Topology &topology)
{
    for (WorkerIndex worker = static_cast<WorkerIndex>(m_masks.size()); worker < topology.workers().size(); ++worker) {
        const std::size_t accelerators = topology.worker(worker).spec->accelerators.size();
        m_masks.emplace_back();
        m_firstAccelerator.push_back(static_cast<std::uint32_t>(m_holder.size()));
        m_holder.resize(m_holder.size() + accelerators);
        m_claimant.resize(m_claimant.size() + accelerators);
        m_masks.back().usable = topology.worker(worker).phase == WorkerPhase::Live ? topology.worker(worker).all() : 0;
    }
    m_free = Availability(topology);
    m_unbound = Availability(topology);
    for (WorkerIndex worker = 0; worker < m_masks.size(); ++worker) {
        updateAvailability(topology, worker);
    }
}

void Occupancy::hold(const Topology &topology, const AcceleratorSet &picks, JobNumber job)
{
    for (const WorkerAccelerators &pick : picks) {
        setOwner(m_holder, pick, job);
        m_masks[pick.worker].held |= pick.mask;
        updateAvailability(topology, pick.worker);
    }
}

void Occupancy::release(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        setOwner(m_holder, pick, 0);
        m_masks[pick.worker].held &= ~pick.mask;
        updateAvailability(topology, pick.worker);
    }
}

void Occupancy::claim(const Topology &topology, const AcceleratorSet &picks, JobNumber job)
{
    for (const WorkerAccelerators &pick : picks) {
        setOwner(m_claimant, pick, job);
        m_masks[pick.worker].claimed |= pick.mask;
        updateAvailability(topology, pick.worker);
    }
}

void Occupancy::unclaim(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        setOwner(m_claimant, pick, 0);
        m_masks[pick.worker].claimed &= ~pick.mask;
        updateAvailability(topology, pick.worker);
    }
}

void Occupancy::pin(const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        m_masks[pick.worker].pinned |= pick.mask;
    }
}

void Occupancy::unpin(const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        m_masks[pick.worker].pinned &= ~pick.mask;
    }
}

void Occupancy::bind(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        m_masks[pick.worker].bound |= pick.mask;
        updateAvailability(topology, pick.worker);
    }
}

void Occupancy::unbind(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        m_masks[pick.worker].bound &= ~pick.mask;
        updateAvailability(topology, pick.worker);
    }
}

void Occupancy::setUsable(const Topology &topology, WorkerIndex worker, bool usable)
{
    m_masks[worker].usable = usable ? topology.worker(worker).all() : 0;
    updateAvailability(topology, worker);
}

void Occupancy::updateAvailability(const Topology &topology, WorkerIndex worker)
{
    const Masks &masks = m_masks[worker];
    m_free.set(topology, worker, masks.usable & ~masks.held & ~masks.claimed);
    m_unbound.set(topology, worker, masks.usable & ~masks.bound);
}

void Occupancy::setOwner(std::vector<JobNumber> &owners, const WorkerAccelerators &pick, JobNumber job) const
{
    for (AcceleratorMask rest = pick.mask; rest != 0; rest &= rest - 1) {
        owners[m_firstAccelerator[pick.worker] + static_cast<std::uint32_t>(std::countr_zero(rest))] = job;
    }
}

} // namespace heatherquay::state::detail
