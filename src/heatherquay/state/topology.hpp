#pragma once

#include "heatherquay/state/cluster.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heatherquay::state::detail
{

using NodeIndex = std::uint32_t;
using WorkerIndex = std::uint32_t;
using KindMask = std::uint64_t; ///< One bit per known accelerator kind.
using AcceleratorMask = std::uint64_t; ///< One bit per accelerator of a worker.

inline constexpr std::size_t kindsMax = 64; ///< Bits of a KindMask.
inline constexpr std::size_t acceleratorsPerWorkerMax = 64; ///< Bits of an AcceleratorMask.

/// Levels of the topology, from the leaves to the root.
enum class Level : std::uint8_t
{
    Worker,
    Rack,
    FailureDomain,
    Region,
    Cluster
};
inline constexpr std::size_t levelCount = 5;

/// @return the level of the node that must contain all accelerators of a shape part with this adjacency
Level levelOf(Adjacency adjacency);

/// A node of the topology tree.
struct Node
{
    Level level{Level::Cluster};
    NodeIndex parent{};
    WorkerIndex worker{}; ///< Only for nodes of level Worker.
    std::vector<NodeIndex> children;
};

/// The accelerators of one kind on a worker.
struct KindGroup
{
    std::uint32_t kind{};
    AcceleratorMask mask{};
};

/// A worker and its place in the topology.
struct WorkerNode
{
    std::shared_ptr<const WorkerSpec> spec;
    WorkerPhase phase{WorkerPhase::Live};
    bool replaced{}; ///< Another worker was added later with the same id.
    NodeIndex node{};
    std::vector<KindGroup> groups;

    /// @return the accelerators whose kind is in @p kinds
    AcceleratorMask acceleratorsOfKinds(KindMask kinds) const;
    /// @return all accelerators of the worker
    AcceleratorMask all() const;
};

/// The tree of regions, failure domains, racks and workers. Node 0 is the root. Nodes and workers are never removed, so
/// their indices stay valid.
class Topology
{
public:
    Topology();

    /// Adds a worker. A lost worker with the same id is marked as replaced.
    /// @return the index of the new worker
    /// @throws Error(BadInput) if the worker exceeds a limit, Error(Conflict) if a worker that is not lost has the id
    WorkerIndex add(const WorkerSpec &spec);
    /// @throws Error(NotFound) if no worker has the id
    WorkerIndex find(const WorkerId &id) const;
    bool contains(const WorkerId &id) const;

    const std::vector<WorkerNode> &workers() const
    {
        return m_workers;
    }
    const WorkerNode &worker(WorkerIndex index) const
    {
        return m_workers[index];
    }
    void setPhase(WorkerIndex index, WorkerPhase phase)
    {
        m_workers[index].phase = phase;
    }
    const Node &node(NodeIndex index) const
    {
        return m_nodes[index];
    }
    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }
    const std::vector<std::string> &kinds() const
    {
        return m_kinds;
    }
    /// @return the kinds named in @p names, without unknown ones; all kinds if @p names is empty
    KindMask kindMask(const std::vector<std::string> &names) const;
    KindMask allKinds() const;
    /// @return the node at @p level that contains the worker
    NodeIndex ancestor(WorkerIndex worker, Level level) const;
    /// @return the workers' indices, ordered by id, without replaced workers
    const std::map<WorkerId, WorkerIndex> &byId() const
    {
        return m_byId;
    }

private:
    /// @throws Error as add() does
    void checkNewWorker(const WorkerSpec &spec) const;
    NodeIndex findOrAddChild(NodeIndex parent, Level level, const std::string &name);
    /// @return the index of the kind in m_kinds, where it is added if it is new
    std::uint32_t internKind(const std::string &name);

    std::vector<WorkerNode> m_workers;
    std::vector<Node> m_nodes;
    std::vector<std::string> m_kinds;
    std::map<std::string, NodeIndex> m_nodeByPath; ///< Keyed by the parent's index and the name.
    std::map<WorkerId, WorkerIndex> m_byId;
};

} // namespace heatherquay::state::detail
