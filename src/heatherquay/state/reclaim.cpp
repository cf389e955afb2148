#include "heatherquay/state/reclaim.hpp"

#include "heatherquay/state/job_lifecycle.hpp"

#include <algorithm>
#include <bit>
#include <map>
#include <unordered_map>
#include <utility>

namespace heatherquay::state::detail
{

namespace
{

constexpr Duration restartCost = std::chrono::seconds(30); // time to load the checkpoint and start again

bool isPreemptible(const Job &job)
{
    return !job.onGuarantee && (job.phase == JobPhase::Running || job.phase == JobPhase::Starting);
}

/// The accelerators that a borrower holds in one node, and the cost of stopping the borrower.
struct VictimCandidate
{
    JobNumber job{};
    std::uint32_t accelerators{};
    double cost{};
};

/// The accelerators of one node that a claim may take.
struct ReclaimableNode
{
    std::uint32_t idle{}; ///< Free, or held by a gang that is already being stopped.
    std::vector<VictimCandidate> victimCandidates;
};

/// Counts one more accelerator that the job holds in the node.
void addHeldAccelerator(ReclaimableNode &node, JobNumber job, double cost)
{
    const auto entry = std::find_if(node.victimCandidates.begin(), node.victimCandidates.end(),
                                    [job](const VictimCandidate &candidate) {
                                        return candidate.job == job;
                                    });
    if (entry == node.victimCandidates.end()) {
        node.victimCandidates.push_back({job, 1, cost});
    } else {
        ++entry->accelerators;
    }
}

/// @return for each node of the request's level, the accelerators that a claim may take
std::map<NodeIndex, ReclaimableNode> reclaimableNodes(const ClusterState &state, const PartRequest &request,
                                                      const Availability &allowed, Instant now)
{
    std::map<NodeIndex, ReclaimableNode> nodes;
    std::unordered_map<JobNumber, double> costs; // negative for a gang that is already being stopped
    for (WorkerIndex worker = 0; worker < state.topology.workers().size(); ++worker) {
        const AcceleratorMask open
            = allowed.mask(worker) & state.topology.worker(worker).acceleratorsOfKinds(request.kinds);
        if (open == 0) {
            continue;
        }
        ReclaimableNode &node = nodes[state.topology.ancestor(worker, request.level)];
        const AcceleratorMask held = open & state.occupancy.held(worker);
        node.idle += static_cast<std::uint32_t>(std::popcount(open ^ held));
        for (AcceleratorMask rest = held; rest != 0; rest &= rest - 1) {
            const JobNumber holder = state.occupancy.holder(worker, static_cast<std::uint32_t>(std::countr_zero(rest)));
            const auto [cost, isNew] = costs.emplace(holder, -1.0);
            if (isNew && isPreemptible(state.jobs.at(holder))) {
                cost->second = static_cast<double>(lostWork(state, state.jobs.at(holder), now).count());
            }
            if (cost->second >= 0) {
                addHeldAccelerator(node, holder, cost->second);
            } else {
                ++node.idle;
            }
        }
    }
    return nodes;
}

/// Chooses victims by the lowest cost per accelerator, then drops those that turn out not to be needed.
/// @return the total cost and the victims, or nothing if the node is too small
std::optional<std::pair<double, std::vector<JobNumber>>> cheapestVictims(ReclaimableNode &node, std::uint32_t wanted)
{
    std::sort(node.victimCandidates.begin(), node.victimCandidates.end(),
              [](const VictimCandidate &left, const VictimCandidate &right) {
                  const double leftRatio = left.cost / left.accelerators;
                  const double rightRatio = right.cost / right.accelerators;
                  return leftRatio != rightRatio ? leftRatio < rightRatio : left.job > right.job;
              });
    std::uint32_t gained = node.idle;
    std::vector<VictimCandidate> chosen;
    for (std::size_t next = 0; gained < wanted && next < node.victimCandidates.size(); ++next) {
        chosen.push_back(node.victimCandidates[next]);
        gained += node.victimCandidates[next].accelerators;
    }
    if (gained < wanted) {
        return std::nullopt;
    }
    std::pair<double, std::vector<JobNumber>> result;
    for (const VictimCandidate &victim : chosen) {
        if (gained - victim.accelerators >= wanted) {
            gained -= victim.accelerators;
        } else {
            result.first += victim.cost;
            result.second.push_back(victim.job);
        }
    }
    return result;
}

/// @return the allowed accelerators of the node that are free once @p victims and the already stopping gangs have
/// stopped
Availability poolAfterPreemption(const ClusterState &state, NodeIndex node, Level level, const Availability &allowed,
                                 const std::vector<JobNumber> &victims)
{
    Availability pool(state.topology);
    for (WorkerIndex worker = 0; worker < state.topology.workers().size(); ++worker) {
        if (allowed.mask(worker) == 0 || state.topology.ancestor(worker, level) != node) {
            continue;
        }
        for (AcceleratorMask rest = allowed.mask(worker); rest != 0; rest &= rest - 1) {
            const JobNumber holder = state.occupancy.holder(worker, static_cast<std::uint32_t>(std::countr_zero(rest)));
            const bool open = holder == 0 || !isPreemptible(state.jobs.at(holder))
                || std::find(victims.begin(), victims.end(), holder) != victims.end();
            pool.put(state.topology, {worker, open ? rest & (~rest + 1) : 0});
        }
    }
    return pool;
}

} // namespace

Duration lostRunTime(const ClusterState &state, const Job &job, Instant now)
{
    const double keepProbability = state.runTimes.checkpointSuccessProbability(*job.spec);
    const double ran = static_cast<double>((job.checkpointedRunTime + runTimeSinceStart(job, now)).count());
    return restartCost + Duration(static_cast<std::int64_t>(ran * (1.0 - keepProbability)));
}

Duration lostWork(const ClusterState &state, const Job &job, Instant now)
{
    return lostRunTime(state, job, now) * count(job.picks);
}

std::optional<Availability> cheapestReclaimPool(const ClusterState &state, const PartRequest &request,
                                                const Availability &allowed, Instant now)
{
    std::map<NodeIndex, ReclaimableNode> nodes = reclaimableNodes(state, request, allowed, now);
    std::optional<NodeIndex> best;
    std::pair<double, std::vector<JobNumber>> bestChoice;
    for (auto &[node, reclaimable] : nodes) {
        auto choice = cheapestVictims(reclaimable, request.count);
        if (choice.has_value() && (!best.has_value() || choice->first < bestChoice.first)) {
            best = node;
            bestChoice = std::move(*choice);
        }
    }
    return best.has_value()
        ? std::optional(poolAfterPreemption(state, *best, request.level, allowed, bestChoice.second))
        : std::nullopt;
}

std::vector<Victim> victimsByCost(const ClusterState &state, Instant now)
{
    std::vector<Victim> victims;
    for (const JobNumber number : state.holding) {
        const Job &job = state.jobs.at(number);
        if (isPreemptible(job)) {
            victims.push_back({number, lostWork(state, job, now)});
        }
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) {
        // Among equal costs the most recently submitted job comes first.
        return left.lostWork != right.lostWork ? left.lostWork < right.lostWork : left.number > right.number;
    });
    return victims;
}

Duration preemptionCost(const ClusterState &state, const AcceleratorSet &picks, Instant now)
{
    Duration total{0};
    for (const JobNumber number : holdersOf(state, picks)) {
        const Job &job = state.jobs.at(number);
        total += isPreemptible(job) ? lostWork(state, job, now) : Duration{0};
    }
    return total;
}

void preemptHolders(Step &step, const AcceleratorSet &picks, Duration grace)
{
    for (const JobNumber number : holdersOf(step.state, picks)) {
        Job &job = step.state.jobs.at(number);
        if (isPreemptible(job)) {
            stopGang(step, job, grace);
        } else if (job.stopDeadline.has_value() && *job.stopDeadline > step.now + grace) {
            job.stopDeadline = step.now + grace;
        }
    }
}

} // namespace heatherquay::state::detail
