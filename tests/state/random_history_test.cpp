#include "heatherquay/error.hpp"
#include "heatherquay/state/cluster_state.hpp"
#include "heatherquay/state/placement.hpp"
#include "heatherquay/state/reserved_cells.hpp"
#include "heatherquay/state/snapshot.hpp"
#include "state/cluster_fixture.hpp"

#include <bit>
#include <random>

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state;

namespace
{

/// Generates random events for a small cluster with guarantees, borrowers, lost workers, failures and cancellations.
struct RandomHistory : ClusterFixture
{
    explicit RandomHistory(unsigned seed)
        : random(seed)
    {
        addWorkers(8, "a100", 4);
        addWorkers(4, "h100", 4);
        for (const std::string team : {"a", "b", "c"}) {
            addTeam(team, 1 + pick(3), pick(3) == 0 ? 40 : 0);
        }
    }
    unsigned pick(unsigned bound)
    {
        return static_cast<unsigned>(random() % bound);
    }
    TeamId team()
    {
        return TeamId{std::string(1, static_cast<char>('a' + pick(3)))};
    }
    WorkerId worker()
    {
        return WorkerId{"w" + std::to_string(pick(12))};
    }
    Shape randomShape()
    {
        Shape result;
        for (unsigned part = 0; part <= pick(8) / 7; ++part) {
            const std::vector<std::vector<std::string>> kinds{{}, {"a100"}, {"h100"}, {"a100", "h100"}};
            const Adjacency adjacency = static_cast<Adjacency>(pick(5));
            result.parts.push_back({1 + pick(adjacency == Adjacency::Worker ? 4 : 8), kinds[pick(4)], adjacency});
        }
        return result;
    }
    Event randomEvent()
    {
        const std::vector<JobView> jobs = cluster.jobs();
        const unsigned kind = pick(40);
        if (kind < 10 || jobs.empty()) {
            JobSpec spec = jobSpec("j" + std::to_string(++submitted), team().value, randomShape());
            spec.urgent = pick(4) == 0;
            spec.useGuarantee = pick(4) != 0;
            spec.declaredRunTime = Duration(pick(5) * 600'000);
            spec.jobClass = pick(2) == 0 ? "x" : "y";
            return JobSubmitted{spec};
        }
        const JobView &job = jobs[pick(static_cast<unsigned>(jobs.size()))];
        if (kind < 30) {
            return randomReport(job, kind);
        }
        if (kind < 32) {
            return GuaranteeGranted{{GuaranteeId{"g" + std::to_string(++granted)}, team(), randomShape()}};
        }
        switch (kind) {
        case 32:
            return GuaranteeWithdrawn{{"g" + std::to_string(1 + pick(granted + 1))}};
        case 33:
            return WorkerLost{worker()};
        case 34:
        case 35:
            return WorkerReturned{worker()};
        case 36:
            return WorkerDraining{worker(), pick(3) == 0};
        case 37:
            return JobCancelled{job.spec.id};
        default:
            return Tick{};
        }
    }
    Event randomReport(const JobView &job, unsigned kind)
    {
        if (job.phase == JobPhase::Starting) {
            return pick(8) == 0 ? Event{GangStartFailed{job.spec.id, job.fence, failedWorker(job)}}
                                : Event{GangStarted{job.spec.id, job.fence}};
        }
        if (job.phase == JobPhase::Stopping) {
            return TasksStopped{job.spec.id, job.fence, kind % 2 == 0};
        }
        return kind == 10 ? Event{TaskFailed{job.spec.id, job.fence, failedWorker(job)}}
                          : Event{JobFinished{job.spec.id, job.fence}};
    }
    std::optional<WorkerId> failedWorker(const JobView &job)
    {
        return job.placements.empty() ? std::nullopt : std::optional(job.placements[0].worker);
    }
    void step()
    {
        now += Duration(pick(120'000));
        try {
            cluster.apply(randomEvent(), now);
        } catch (const Error &) {
            ++refused;
        }
    }

    std::mt19937 random;
    unsigned submitted{};
    unsigned granted{};
    unsigned refused{};
};

using namespace heatherquay::state::detail;

/// @return a description of the first invalid reserved cell, or an empty string
std::string findCellViolation(const ClusterState &state)
{
    std::map<WorkerIndex, AcceleratorMask> taken;
    for (const Guarantee &guarantee : state.guarantees) {
        const std::string name = "guarantee " + guarantee.spec->id.value;
        const auto parts = requestsOf(state.topology, guarantee.spec->shape);
        for (std::size_t part = 0; part < guarantee.cells.size(); ++part) {
            const AcceleratorSet &cell = guarantee.cells[part];
            if (count(cell) != parts[part].count) {
                return name + " has a cell of the wrong size";
            }
            for (const WorkerAccelerators &pick : cell) {
                const WorkerNode &worker = state.topology.worker(pick.worker);
                const NodeIndex first = state.topology.ancestor(cell[0].worker, parts[part].level);
                const AcceleratorMask valid = state.occupancy.usable(pick.worker) | state.occupancy.pinned(pick.worker);
                if ((taken[pick.worker] & pick.mask) != 0 || (pick.mask & ~valid) != 0
                    || (pick.mask & ~worker.acceleratorsOfKinds(parts[part].kinds)) != 0
                    || state.topology.ancestor(pick.worker, parts[part].level) != first) {
                    return name
                        + " has a cell with accelerators that overlap, are not usable or do not satisfy the part";
                }
                taken[pick.worker] |= pick.mask;
            }
        }
    }
    return "";
}

/// @return a description of the first job with a partial gang, with protected accelerators outside its team's cells, or
/// with accelerators that another job holds too; an empty string if there is none
std::string findJobViolation(const ClusterState &state)
{
    std::map<WorkerIndex, AcceleratorMask> taken;
    for (const auto &[number, job] : state.jobs) {
        const bool holds
            = job.phase == JobPhase::Starting || job.phase == JobPhase::Running || job.phase == JobPhase::Stopping;
        if (count(job.picks) != (holds ? acceleratorCount(job.spec->shape) : 0)) {
            return "job " + job.spec->id.value + " does not hold exactly the accelerators of its gang";
        }
        AcceleratorSet protectedPicks = job.onGuarantee ? job.picks : AcceleratorSet{};
        if (job.claimKind == ClaimKind::Guarantee) {
            protectedPicks = job.claim;
        }
        for (const Guarantee &guarantee : state.guarantees) {
            for (const AcceleratorSet &cell : guarantee.cells) {
                if (guarantee.spec->team == job.spec->team) {
                    protectedPicks = difference(protectedPicks, cell);
                }
            }
        }
        if (!protectedPicks.empty()) {
            return "job " + job.spec->id.value + " is outside its team's cells";
        }
        for (const WorkerAccelerators &pick : job.picks) {
            if ((taken[pick.worker] & pick.mask) != 0) {
                return "an accelerator is held twice";
            }
            taken[pick.worker] |= pick.mask;
        }
    }
    return "";
}

/// @return the parts of the team's guarantees with their unused counts
std::vector<PartRequest> openPartsOf(const ClusterState &state, const TeamId &team)
{
    std::vector<PartRequest> open;
    for (const Guarantee &guarantee : state.guarantees) {
        if (guarantee.degraded || guarantee.spec->team != team) {
            continue;
        }
        std::vector<PartRequest> constraints = requestsOf(state.topology, guarantee.spec->shape);
        const std::vector<AcceleratorSet> pins = pinsOf(state, guarantee);
        for (std::size_t part = 0; part < constraints.size(); ++part) {
            constraints[part].count -= count(pins[part]);
            open.push_back(constraints[part]);
        }
    }
    return open;
}

/// @return whether the parts from position @p next on fit into the open parts
bool fitsFrom(const std::vector<PartRequest> &parts, std::size_t next, std::vector<PartRequest> &open)
{
    if (next == parts.size()) {
        return true;
    }
    return std::any_of(open.begin(), open.end(), [&](PartRequest &unused) {
        const PartRequest &part = parts[next];
        if (unused.count < part.count || unused.level > part.level || (unused.kinds & ~part.kinds) != 0) {
            return false;
        }
        unused.count -= part.count;
        const bool fits = fitsFrom(parts, next + 1, open);
        unused.count += part.count;
        return fits;
    });
}

/// Checks that each waiting job that fits into the unused part of its team's guarantees has a claim.
/// @return a description of the first job without one, or an empty string
std::string findClaimViolation(const ClusterState &state)
{
    for (const JobNumber number : state.waiting) {
        const Job &job = state.jobs.at(number);
        const Team &team = state.teams.at(job.spec->team);
        const std::uint32_t wanted = acceleratorCount(job.spec->shape);
        if (!job.spec->useGuarantee || job.claimKind == ClaimKind::Guarantee
            || (team.spec.quota != 0 && team.held + team.claimed + wanted > team.spec.quota)) {
            continue;
        }
        const bool blocked = std::any_of(team.waiting.begin(), team.waiting.end(), [&state](JobNumber other) {
            return state.now - state.jobs.at(other).submittedAt >= state.policy.gangWaitBound;
        });
        if (blocked) {
            continue; // the cells are kept open for a job past the wait bound
        }
        std::vector<PartRequest> open = openPartsOf(state, job.spec->team);
        if (fitsFrom(requestsOf(state.topology, job.spec->shape), 0, open)) {
            return "job " + job.spec->id.value + " fits into the unused part of its team's guarantees but has no claim";
        }
    }
    return "";
}

/// @return a description of the first violated invariant, or an empty string
std::string findViolation(const Cluster &cluster)
{
    const ClusterState state = readSnapshot(cluster.serialize());
    std::string text = findCellViolation(state);
    text = text.empty() ? findJobViolation(state) : text;
    return text.empty() ? findClaimViolation(state) : text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_histories)

// Guards against reserved cells that overlap or are on lost hardware, partial gangs and jobs without the claim that is
// due to them.
BOOST_AUTO_TEST_CASE(cells_gangs_and_claims_stay_valid_under_random_events)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        RandomHistory history(seed);
        for (int step = 0; step < 250; ++step) {
            history.step();
            const std::string text = findViolation(history.cluster);
            BOOST_REQUIRE_MESSAGE(text.empty(), "seed " << seed << " step " << step << ": " << text);
        }
    }
}

// Guards against state that is missing from the snapshot and against decisions that depend on derived state.
BOOST_AUTO_TEST_CASE(a_replica_from_a_snapshot_makes_the_same_decisions)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        RandomHistory history(seed);
        for (int step = 0; step < 100; ++step) {
            history.step();
        }
        RandomHistory replica = history;
        replica.cluster = Cluster::deserialize(history.cluster.serialize());
        for (int step = 0; step < 100; ++step) {
            history.step();
            replica.step();
            BOOST_REQUIRE(replica.cluster.fingerprint() == history.cluster.fingerprint());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
