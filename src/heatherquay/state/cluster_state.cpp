#include "heatherquay/state/cluster_state.hpp"

#include "heatherquay/error.hpp"

#include <bit>

namespace heatherquay::state::detail
{

void Step::notify(Severity severity, const std::string &text)
{
    commands.emplace_back(NotifyOperator{severity, text});
}

const Job *lookUpJob(const ClusterState &state, const JobId &id)
{
    const auto number = state.jobByName.find(id);
    return number == state.jobByName.end() ? nullptr : &state.jobs.at(number->second);
}

Job &findJob(ClusterState &state, const JobId &id)
{
    const auto number = state.jobByName.find(id);
    if (number == state.jobByName.end()) {
        throw Error(ErrorKind::NotFound, "job " + id.value + " is not known",
                    "use the id of a job that the list of jobs shows");
    }
    return state.jobs.at(number->second);
}

Team &findTeam(ClusterState &state, const TeamId &id)
{
    const auto team = state.teams.find(id);
    if (team == state.teams.end()) {
        throw Error(ErrorKind::NotFound, "team " + id.value + " is not known", "declare the team first");
    }
    return team->second;
}

std::set<JobNumber> holdersOf(const ClusterState &state, const AcceleratorSet &picks)
{
    std::set<JobNumber> jobs;
    for (const WorkerAccelerators &pick : picks) {
        for (AcceleratorMask rest = pick.mask & state.occupancy.held(pick.worker); rest != 0; rest &= rest - 1) {
            jobs.insert(state.occupancy.holder(pick.worker, static_cast<std::uint32_t>(std::countr_zero(rest))));
        }
    }
    return jobs;
}

std::set<JobNumber> claimantsOf(const ClusterState &state, const AcceleratorSet &picks)
{
    std::set<JobNumber> jobs;
    for (const WorkerAccelerators &pick : picks) {
        for (AcceleratorMask rest = pick.mask & state.occupancy.claimed(pick.worker); rest != 0; rest &= rest - 1) {
            jobs.insert(state.occupancy.claimant(pick.worker, static_cast<std::uint32_t>(std::countr_zero(rest))));
        }
    }
    return jobs;
}

std::vector<Placement> placementsOf(const ClusterState &state, const AcceleratorSet &picks)
{
    std::vector<Placement> placements;
    for (const WorkerAccelerators &pick : picks) {
        Placement placement{state.topology.worker(pick.worker).spec->id, {}};
        for (AcceleratorMask rest = pick.mask; rest != 0; rest &= rest - 1) {
            placement.accelerators.push_back(static_cast<std::uint16_t>(std::countr_zero(rest)));
        }
        placements.push_back(std::move(placement));
    }
    return placements;
}

std::string describe(const ClusterState &state, const AcceleratorSet &picks)
{
    std::string text;
    for (const Placement &placement : placementsOf(state, picks)) {
        text += (text.empty() ? "" : ", ") + placement.worker.value + "[";
        const auto &indices = placement.accelerators;
        for (std::size_t begin = 0; begin < indices.size();) {
            std::size_t end = begin;
            while (end + 1 < indices.size() && indices[end + 1] == indices[end] + 1) {
                ++end;
            }
            text += (begin == 0 ? "" : ",") + std::to_string(indices[begin]);
            if (end > begin) {
                text += "-" + std::to_string(indices[end]);
            }
            begin = end + 1;
        }
        text += "]";
    }
    return text;
}

std::uint32_t shapeNumber(ClusterState &state, const Shape &shape)
{
    std::string key;
    for (const ShapePart &part : shape.parts) {
        key += std::to_string(part.count) + ":" + std::to_string(static_cast<int>(part.adjacency));
        for (const std::string &kind : part.kinds) {
            key += ":" + std::to_string(kind.size()) + kind;
        }
        key += ";";
    }
    return state.shapeNumbers.emplace(key, state.shapeNumbers.size()).first->second;
}

namespace
{

void rebuildJob(ClusterState &state, Job &job)
{
    Team &team = state.teams.at(job.spec->team);
    state.jobByName[job.spec->id] = job.number;
    job.shapeNumber = shapeNumber(state, job.spec->shape);
    job.accelerators = acceleratorCount(job.spec->shape);
    if (job.phase == JobPhase::Waiting) {
        state.waiting.insert(job.number);
        team.waiting.insert(job.number);
    }
    if (job.endedAt.has_value()) {
        state.ended.emplace(*job.endedAt, job.number);
    }
    if (!job.picks.empty()) {
        state.holding.insert(job.number);
        state.occupancy.hold(state.topology, job.picks, job.number);
        team.held += count(job.picks);
        team.borrowed += job.onGuarantee ? 0 : count(job.picks);
        if (job.onGuarantee) {
            state.occupancy.pin(job.picks);
        }
    }
    if (job.claimKind != ClaimKind::None) {
        state.claiming.insert(job.number);
        state.occupancy.claim(state.topology, job.claim, job.number);
        if (job.claimKind == ClaimKind::Guarantee) {
            team.claimed += count(job.claim);
            state.occupancy.pin(job.claim);
        }
    }
}

} // namespace

void rebuild(ClusterState &state)
{
    state.occupancy = Occupancy();
    state.occupancy.grow(state.topology);
    for (const Guarantee &guarantee : state.guarantees) {
        for (const AcceleratorSet &cell : guarantee.cells) {
            state.occupancy.bind(state.topology, cell);
        }
    }
    for (auto &[number, job] : state.jobs) {
        rebuildJob(state, job);
    }
}

} // namespace heatherquay::state::detail
