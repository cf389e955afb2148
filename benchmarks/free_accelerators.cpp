#include "free_accelerators.hpp"

#include <algorithm>

namespace heatherquay::benchmarks
{

using namespace heatherquay::state;

void FreeAccelerators::addWorker(const WorkerSpec &spec)
{
    const auto number = static_cast<std::uint32_t>(m_workers.size());
    WorkerState worker;
    worker.spec = spec;
    worker.free.assign(spec.accelerators.size(), true);
    for (const AcceleratorSpec &accelerator : spec.accelerators) {
        const auto kind
            = m_kinds.try_emplace(accelerator.kind, static_cast<std::uint32_t>(m_kinds.size())).first->second;
        worker.kinds.push_back(kind);
        worker.freeByKind.resize(std::max<std::size_t>(worker.freeByKind.size(), kind + 1));
        ++worker.freeByKind[kind];
    }
    m_workers.push_back(worker);
    m_index[spec.id] = number;
    const std::vector<std::pair<Adjacency, std::string>> memberships{
        {Adjacency::None, ""},
        {Adjacency::Worker, spec.id.value},
        {Adjacency::Rack, spec.rack.value},
        {Adjacency::FailureDomain, spec.failureDomain.value},
        {Adjacency::Region, spec.region.value}};
    for (const auto &[adjacency, name] : memberships) {
        auto &groupsOfLevel = m_groups[adjacency];
        const auto [entry, added]
            = m_groupIndex[adjacency].try_emplace(name, static_cast<std::uint32_t>(groupsOfLevel.size()));
        if (added) {
            groupsOfLevel.emplace_back();
        }
        groupsOfLevel[entry->second].push_back(number);
    }
}

void FreeAccelerators::setUsable(const WorkerId &worker, bool usable)
{
    m_workers[m_index.at(worker)].usable = usable;
}

void FreeAccelerators::setFree(const std::vector<Placement> &placements, bool free)
{
    for (const Placement &placement : placements) {
        WorkerState &worker = m_workers[m_index.at(placement.worker)];
        for (const std::uint16_t index : placement.accelerators) {
            if (worker.free.at(index) != free) {
                worker.free[index] = free;
                worker.freeByKind[worker.kinds[index]] += free ? 1U : -1U;
            }
        }
    }
}

void FreeAccelerators::take(const std::vector<Placement> &placements)
{
    setFree(placements, false);
}

void FreeAccelerators::release(const std::vector<Placement> &placements)
{
    setFree(placements, true);
}

bool FreeAccelerators::isFree(const std::vector<Placement> &placements) const
{
    return std::all_of(placements.begin(), placements.end(), [this](const Placement &placement) {
        const WorkerState &worker = m_workers[m_index.at(placement.worker)];
        return worker.usable
            && std::all_of(placement.accelerators.begin(), placement.accelerators.end(), [&](std::uint16_t index) {
                   return worker.free.at(index);
               });
    });
}

const std::vector<std::vector<std::uint32_t>> &FreeAccelerators::groups(Adjacency adjacency) const
{
    static const std::vector<std::vector<std::uint32_t>> none;
    const auto found = m_groups.find(adjacency);
    return found == m_groups.end() ? none : found->second;
}

std::vector<FreeAccelerators::KindSet> FreeAccelerators::kindSetsFor(const ShapePart &part) const
{
    KindSet accepted(m_kinds.size(), part.kinds.empty());
    for (const std::string &kind : part.kinds) {
        const auto found = m_kinds.find(kind);
        if (found != m_kinds.end()) {
            accepted[found->second] = true;
        }
    }
    std::vector<KindSet> choices;
    for (std::size_t kind = 0; kind < accepted.size(); ++kind) {
        if (accepted[kind]) {
            KindSet single(accepted.size(), false);
            single[kind] = true;
            choices.push_back(single);
        }
    }
    if (choices.size() > 1) {
        choices.push_back(accepted);
    }
    return choices;
}

std::uint32_t FreeAccelerators::countFreeOn(std::uint32_t number, const KindSet &kinds) const
{
    const WorkerState &worker = m_workers[number];
    std::uint32_t count = 0;
    for (std::size_t kind = 0; worker.usable && kind < worker.freeByKind.size(); ++kind) {
        count += kinds[kind] ? worker.freeByKind[kind] : 0;
    }
    return count;
}

void FreeAccelerators::takeFrom(std::uint32_t number, const KindSet &kinds, std::uint32_t count,
                                std::map<std::uint32_t, std::vector<std::uint16_t>> &taken)
{
    WorkerState &worker = m_workers[number];
    for (std::uint16_t index = 0; index < worker.free.size() && count > 0; ++index) {
        if (worker.free[index] && kinds[worker.kinds[index]]) {
            worker.free[index] = false;
            --worker.freeByKind[worker.kinds[index]];
            taken[number].push_back(index);
            --count;
        }
    }
}

bool FreeAccelerators::placePart(const ShapePart &part, Fit fit,
                                 std::map<std::uint32_t, std::vector<std::uint16_t>> &taken)
{
    for (const KindSet &kinds : kindSetsFor(part)) {
        const std::vector<std::uint32_t> *chosen = nullptr;
        std::uint32_t chosenFree = 0;
        for (const std::vector<std::uint32_t> &group : groups(part.adjacency)) {
            std::uint32_t free = 0;
            for (const std::uint32_t worker : group) {
                free += countFreeOn(worker, kinds);
            }
            if (free >= part.count && (chosen == nullptr || free < chosenFree)) {
                chosen = &group;
                chosenFree = free;
                if (fit == Fit::First) {
                    break;
                }
            }
        }
        if (chosen == nullptr) {
            continue;
        }
        std::uint32_t missing = part.count;
        std::vector<std::uint32_t> order = *chosen;
        while (missing > 0) {
            std::uint32_t next = order.front();
            if (fit == Fit::Best) {
                // Prefers the worker with the fewest free accelerators that holds the remainder of the part, or else
                // the worker with the most free accelerators.
                std::uint32_t bestFree = countFreeOn(next, kinds);
                for (const std::uint32_t worker : order) {
                    const std::uint32_t free = countFreeOn(worker, kinds);
                    const bool tighter = free >= missing && (bestFree < missing || free < bestFree);
                    if (tighter || (bestFree < missing && free > bestFree)) {
                        next = worker;
                        bestFree = free;
                    }
                }
            } else {
                order.erase(order.begin());
            }
            const std::uint32_t count = std::min(missing, countFreeOn(next, kinds));
            takeFrom(next, kinds, count, taken);
            missing -= count;
        }
        return true;
    }
    return false;
}

std::optional<std::vector<Placement>> FreeAccelerators::find(const Shape &shape, Fit fit)
{
    std::map<std::uint32_t, std::vector<std::uint16_t>> taken;
    // Takes the accelerators of each part and releases them at the end, which is cheaper than searching on a copy.
    bool placed = true;
    for (const ShapePart &part : shape.parts) {
        placed = placed && placePart(part, fit, taken);
    }
    std::vector<Placement> placements;
    for (auto &[number, indices] : taken) {
        std::sort(indices.begin(), indices.end());
        placements.push_back({m_workers[number].spec.id, indices});
    }
    release(placements);
    if (!placed) {
        return std::nullopt;
    }
    return placements;
}

std::uint32_t FreeAccelerators::freeCount() const
{
    const KindSet all(m_kinds.size(), true);
    std::uint32_t count = 0;
    for (std::uint32_t worker = 0; worker < m_workers.size(); ++worker) {
        count += countFreeOn(worker, all);
    }
    return count;
}

double FreeAccelerators::unusableShare(const ShapePart &part) const
{
    const std::uint32_t free = freeCount();
    if (free == 0) {
        return 0.0;
    }
    KindSet kinds = kindSetsFor(part).empty() ? KindSet(m_kinds.size(), false) : kindSetsFor(part).back();
    std::uint32_t usable = 0;
    for (const std::vector<std::uint32_t> &group : groups(part.adjacency)) {
        std::uint32_t inGroup = 0;
        for (const std::uint32_t worker : group) {
            inGroup += countFreeOn(worker, kinds);
        }
        usable += inGroup >= part.count ? inGroup : 0;
    }
    return 1.0 - static_cast<double>(usable) / static_cast<double>(free);
}

} // namespace heatherquay::benchmarks
