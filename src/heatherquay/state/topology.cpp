#include "heatherquay/state/topology.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

Level levelOf(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::Worker:
        return Level::Worker;
    case Adjacency::Rack:
        return Level::Rack;
    case Adjacency::FailureDomain:
        return Level::FailureDomain;
    case Adjacency::Region:
        return Level::Region;
    case Adjacency::None:
        break;
    }
    return Level::Cluster;
}

AcceleratorMask WorkerNode::acceleratorsOfKinds(KindMask kinds) const
{
    AcceleratorMask mask = 0;
    for (const KindGroup &group : groups) {
        if ((kinds >> group.kind & 1) != 0) {
            mask |= group.mask;
        }
    }
    return mask;
}

AcceleratorMask WorkerNode::all() const
{
    return acceleratorsOfKinds(~KindMask{0});
}

Topology::Topology()
    : m_nodes(1)
{
}

WorkerIndex Topology::add(const WorkerSpec &spec)
{
    checkNewWorker(spec);
    const NodeIndex region = findOrAddChild(0, Level::Region, spec.region.value);
    const NodeIndex domain = findOrAddChild(region, Level::FailureDomain, spec.failureDomain.value);
    const NodeIndex rack = findOrAddChild(domain, Level::Rack, spec.rack.value);
    const auto index = static_cast<WorkerIndex>(m_workers.size());
    if (const auto known = m_byId.find(spec.id); known != m_byId.end()) {
        m_workers[known->second].replaced = true;
    }
    WorkerNode worker;
    worker.spec = std::make_shared<const WorkerSpec>(spec);
    worker.node = static_cast<NodeIndex>(m_nodes.size());
    for (std::size_t position = 0; position < spec.accelerators.size(); ++position) {
        const std::uint32_t kind = internKind(spec.accelerators[position].kind);
        const auto group = std::find_if(worker.groups.begin(), worker.groups.end(), [kind](const KindGroup &candidate) {
            return candidate.kind == kind;
        });
        if (group != worker.groups.end()) {
            group->mask |= AcceleratorMask{1} << position;
        } else {
            worker.groups.push_back({kind, AcceleratorMask{1} << position});
        }
    }
    m_nodes.push_back({Level::Worker, rack, index, {}});
    m_nodes[rack].children.push_back(worker.node);
    m_workers.push_back(std::move(worker));
    m_byId[spec.id] = index;
    return index;
}

void Topology::checkNewWorker(const WorkerSpec &spec) const
{
    if (spec.id.value.empty()) {
        throw Error(ErrorKind::BadInput, "a worker has no id", "give each worker an id");
    }
    if (spec.accelerators.size() > acceleratorsPerWorkerMax) {
        throw Error(ErrorKind::BadInput, "worker " + spec.id.value + " has more than 64 accelerators",
                    "split it into workers of at most 64 accelerators");
    }
    const auto known = m_byId.find(spec.id);
    if (known != m_byId.end() && m_workers[known->second].phase != WorkerPhase::Lost) {
        throw Error(ErrorKind::Conflict, "worker " + spec.id.value + " already exists",
                    "report it as lost before adding it again");
    }
    std::vector<std::string> kinds = m_kinds;
    for (const AcceleratorSpec &accelerator : spec.accelerators) {
        if (std::find(kinds.begin(), kinds.end(), accelerator.kind) == kinds.end()) {
            kinds.push_back(accelerator.kind);
        }
    }
    if (kinds.size() > kindsMax) {
        throw Error(ErrorKind::BadInput,
                    "worker " + spec.id.value + " would raise the number of accelerator kinds above 64",
                    "use the same kind for equivalent accelerators");
    }
}

NodeIndex Topology::findOrAddChild(NodeIndex parent, Level level, const std::string &name)
{
    const std::string path = std::to_string(parent) + "/" + name;
    const auto known = m_nodeByPath.find(path);
    if (known != m_nodeByPath.end()) {
        return known->second;
    }
    const auto index = static_cast<NodeIndex>(m_nodes.size());
    m_nodes.push_back({level, parent, 0, {}});
    m_nodes[parent].children.push_back(index);
    m_nodeByPath.emplace(path, index);
    return index;
}

std::uint32_t Topology::internKind(const std::string &name)
{
    const auto known = std::find(m_kinds.begin(), m_kinds.end(), name);
    if (known != m_kinds.end()) {
        return static_cast<std::uint32_t>(known - m_kinds.begin());
    }
    m_kinds.push_back(name);
    return static_cast<std::uint32_t>(m_kinds.size() - 1);
}

WorkerIndex Topology::find(const WorkerId &id) const
{
    const auto known = m_byId.find(id);
    if (known == m_byId.end()) {
        throw Error(ErrorKind::NotFound, "worker " + id.value + " is not known",
                    "use the id of a worker that the list of workers shows");
    }
    return known->second;
}

bool Topology::contains(const WorkerId &id) const
{
    return m_byId.contains(id);
}

KindMask Topology::allKinds() const
{
    return m_kinds.size() == kindsMax ? ~KindMask{0} : (KindMask{1} << m_kinds.size()) - 1;
}

KindMask Topology::kindMask(const std::vector<std::string> &names) const
{
    if (names.empty()) {
        return allKinds();
    }
    KindMask mask = 0;
    for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
        if (std::find(names.begin(), names.end(), m_kinds[kind]) != names.end()) {
            mask |= KindMask{1} << kind;
        }
    }
    return mask;
}

NodeIndex Topology::ancestor(WorkerIndex worker, Level level) const
{
    NodeIndex index = m_workers[worker].node;
    while (m_nodes[index].level != level) {
        index = m_nodes[index].parent;
    }
    return index;
}

} // namespace heatherquay::state::detail
