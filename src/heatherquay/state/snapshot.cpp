#include "heatherquay/state/snapshot.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/state/snapshot_archive.hpp"

namespace heatherquay::state::detail
{

namespace
{

constexpr std::uint64_t snapshotVersion = 1;

template<typename Archive, typename... Members>
void transferAll(Archive &archive, Members &...members)
{
    (transfer(archive, members), ...);
}

} // namespace

/// A worker in the snapshot. Reading rebuilds the topology by adding the workers in the same order.
struct WorkerRecord
{
    std::shared_ptr<const WorkerSpec> spec;
    WorkerPhase phase{};
};

/// T & when reading, const T & when writing.
template<typename Archive, typename T>
using Ref = typename Archive::template Ref<T>;

// Argument-dependent lookup finds these overloads through the archive's namespace, so they cannot be in an unnamed one.

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, ShapePart> part)
{
    transferAll(archive, part.count, part.kinds, part.adjacency);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, Shape> shape)
{
    transferAll(archive, shape.parts);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, AcceleratorSpec> spec)
{
    transferAll(archive, spec.kind);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, WorkerSpec> spec)
{
    transferAll(archive, spec.id, spec.address, spec.region, spec.failureDomain, spec.rack, spec.cores,
                spec.memoryMegabytes, spec.accelerators);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, WorkerRecord> record)
{
    transferAll(archive, record.spec, record.phase);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, WorkerHealth> health)
{
    transferAll(archive, health.failedJobs, health.probationUntil, health.probations, health.draining, health.lost);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, TeamSpec> spec)
{
    transferAll(archive, spec.id, spec.share, spec.quota);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, Team> team)
{
    transferAll(archive, team.spec);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, GuaranteeSpec> spec)
{
    transferAll(archive, spec.id, spec.team, spec.shape);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, WorkerAccelerators> pick)
{
    transferAll(archive, pick.worker, pick.mask);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, Guarantee> guarantee)
{
    transferAll(archive, guarantee.spec, guarantee.degraded, guarantee.cells);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, JobSpec> spec)
{
    transferAll(archive, spec.id, spec.team, spec.shape, spec.urgent, spec.useGuarantee, spec.declaredRunTime,
                spec.jobClass, spec.command);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, Job> job)
{
    transferAll(archive, job.number, job.spec, job.phase, job.fence, job.picks, job.onGuarantee, job.submittedAt);
    transferAll(archive, job.startedAt, job.endedAt, job.progress, job.checkpointedRunTime, job.reason);
    transferAll(archive, job.claim, job.claimKind, job.reservedAt, job.backfilled, job.reportedRunTime);
    transferAll(archive, job.cancelled, job.checkpointing, job.stopDeadline, job.stopGrace, job.failedOn, job.failures);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, RunTimeRecord> record)
{
    transferAll(archive, record.runs, record.meanMilliseconds);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, RunTimes::ClassRecord> record)
{
    transferAll(archive, record.byKind, record.checkpointsKept, record.checkpointsLost);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, PolicySettings> policy)
{
    transferAll(archive, policy.weightCompletion, policy.weightFragmentation, policy.reclaimGrace, policy.ageingPeriod);
    transferAll(archive, policy.gangWaitBound, policy.probationFailures, policy.probationPeriod,
                policy.jobFailureBound);
}

template<typename Archive>
void transfer(Archive &archive, Ref<Archive, ClusterState> state)
{
    transferAll(archive, state.policy, state.seed, state.now, state.nextFence, state.nextJob, state.health,
                state.teams);
    transferAll(archive, state.guarantees, state.jobs, state.drainingEndpoints);
    transferAll(archive, state.runTimes.classes(), state.runTimes.declarationFactors());
}

namespace
{

std::vector<WorkerRecord> recordsOf(const Topology &topology)
{
    std::vector<WorkerRecord> records;
    for (const WorkerNode &worker : topology.workers()) {
        records.push_back({worker.spec, worker.phase});
    }
    return records;
}

Topology topologyOf(const std::vector<WorkerRecord> &records)
{
    Topology topology;
    for (const WorkerRecord &record : records) {
        topology.setPhase(topology.add(*record.spec), record.phase);
    }
    return topology;
}

/// @throws Error(BadInput) if an accelerator is not in the topology; rebuild() would access data out of bounds
void checkPicks(const Topology &topology, const AcceleratorSet &picks)
{
    for (const WorkerAccelerators &pick : picks) {
        if (pick.worker >= topology.workers().size() || (pick.mask & ~topology.worker(pick.worker).all()) != 0) {
            throw Error(ErrorKind::BadInput, "the snapshot names an unknown accelerator", "use another snapshot");
        }
    }
}

/// @throws Error(BadInput) if the state refers to a worker, an accelerator or a team that does not exist
void checkReferences(const ClusterState &state)
{
    for (const auto &[number, job] : state.jobs) {
        checkPicks(state.topology, job.picks);
        checkPicks(state.topology, job.claim);
        if (!state.teams.contains(job.spec->team)) {
            throw Error(ErrorKind::BadInput, "the snapshot names an unknown team", "use another snapshot");
        }
    }
    for (const Guarantee &guarantee : state.guarantees) {
        for (const AcceleratorSet &cell : guarantee.cells) {
            checkPicks(state.topology, cell);
        }
    }
    if (state.health.size() != state.topology.workers().size()) {
        throw Error(ErrorKind::BadInput, "the snapshot's lists of workers and of their health differ in length",
                    "use another snapshot");
    }
}

} // namespace

std::string writeSnapshot(const ClusterState &state)
{
    SnapshotWriter archive;
    archive.number(snapshotVersion);
    transfer(archive, recordsOf(state.topology));
    transfer(archive, state);
    return archive.take();
}

ClusterState readSnapshot(const std::string &text)
{
    SnapshotReader archive(text);
    if (archive.number() != snapshotVersion) {
        throw Error(ErrorKind::BadInput, "the snapshot has an unknown format version",
                    "run the program version that wrote it");
    }
    std::vector<WorkerRecord> records;
    transfer(archive, records);
    ClusterState state;
    state.topology = topologyOf(records);
    transfer(archive, state);
    archive.expectEnd();
    checkReferences(state);
    rebuild(state);
    return state;
}

} // namespace heatherquay::state::detail
