#include "heatherquay/state/reserved_cells.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

namespace
{

constexpr std::uint32_t maxFullRebindsPerStep = 40; // bounds the duration of a step when many guarantees do not fit
constexpr std::uint32_t extraPlacementAttempts = 400;

/// @return the request for the accelerators of the part that are not pinned yet, or nothing if the pinned ones violate
/// the part's constraints
std::optional<PartRequest> remainingRequest(const Topology &topology, PartRequest part, const AcceleratorSet &pins)
{
    const std::uint32_t pinned = count(pins);
    if (pinned > part.count) {
        return std::nullopt;
    }
    part.count -= pinned;
    for (const WorkerAccelerators &pin : pins) {
        const NodeIndex node = topology.ancestor(pin.worker, part.level);
        const bool kindsMatch = (pin.mask & ~topology.worker(pin.worker).acceleratorsOfKinds(part.kinds)) == 0;
        if (!kindsMatch || part.within.value_or(node) != node) {
            return std::nullopt;
        }
        part.within = node;
    }
    return part;
}

} // namespace

std::vector<AcceleratorSet> pinsOf(const ClusterState &state, const Guarantee &guarantee)
{
    std::vector<AcceleratorSet> pins(guarantee.spec->shape.parts.size());
    for (std::size_t part = 0; part < guarantee.cells.size(); ++part) {
        for (const WorkerAccelerators &pick : guarantee.cells[part]) {
            add(pins[part], {pick.worker, pick.mask & state.occupancy.pinned(pick.worker)});
        }
    }
    return pins;
}

Availability bindableBy(const ClusterState &state, const std::vector<std::size_t> &guarantees)
{
    Availability available = state.occupancy.unbound();
    for (const std::size_t position : guarantees) {
        for (const AcceleratorSet &cell : state.guarantees[position].cells) {
            for (const WorkerAccelerators &pick : cell) {
                const AcceleratorMask usable
                    = state.occupancy.usable(pick.worker) & ~state.occupancy.pinned(pick.worker);
                available.put(state.topology, {pick.worker, pick.mask & usable});
            }
        }
    }
    return available;
}

std::optional<Binding> bindCells(const ClusterState &state, const std::vector<CellRequest> &requests,
                                 Availability available)
{
    std::vector<PartRequest> parts;
    for (const CellRequest &request : requests) {
        const Shape &shape = state.guarantees[request.guarantee].spec->shape;
        const std::vector<PartRequest> wanted = requestsOf(state.topology, shape);
        for (std::size_t part = 0; part < wanted.size(); ++part) {
            const std::optional<PartRequest> open = remainingRequest(state.topology, wanted[part], request.pins[part]);
            if (!open.has_value()) {
                return std::nullopt;
            }
            available.take(state.topology, request.pins[part]);
            parts.push_back(*open);
        }
    }
    const PlacementPreference packed{0.0, 1.0, {}};
    const auto budget = static_cast<std::uint32_t>(parts.size()) + extraPlacementAttempts;
    const auto picks = Placer(state.topology, std::move(available), packed).place(parts, budget);
    if (!picks.has_value()) {
        return std::nullopt;
    }
    Binding binding;
    std::size_t next = 0;
    for (const CellRequest &request : requests) {
        std::vector<AcceleratorSet> cells = request.pins;
        for (AcceleratorSet &cell : cells) {
            for (const WorkerAccelerators &pick : (*picks)[next]) {
                add(cell, pick);
            }
            ++next;
        }
        binding.push_back(std::move(cells));
    }
    return binding;
}

void applyBinding(ClusterState &state, const std::vector<CellRequest> &requests, const Binding &binding)
{
    for (const CellRequest &request : requests) {
        for (const AcceleratorSet &cell : state.guarantees[request.guarantee].cells) {
            state.occupancy.unbind(state.topology, cell);
        }
    }
    for (std::size_t position = 0; position < requests.size(); ++position) {
        Guarantee &guarantee = state.guarantees[requests[position].guarantee];
        guarantee.cells = binding[position];
        guarantee.degraded = false;
        for (const AcceleratorSet &cell : guarantee.cells) {
            state.occupancy.bind(state.topology, cell);
        }
    }
}

std::vector<std::size_t> guaranteesInForce(const ClusterState &state)
{
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < state.guarantees.size(); ++position) {
        if (!state.guarantees[position].degraded) {
            positions.push_back(position);
        }
    }
    return positions;
}

bool consumeFullRebindBudget(Step &step)
{
    return step.fullRebinds++ < maxFullRebindsPerStep;
}

} // namespace heatherquay::state::detail
