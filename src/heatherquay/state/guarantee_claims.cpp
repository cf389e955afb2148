#include "heatherquay/state/guarantee_claims.hpp"

#include "heatherquay/state/job_lifecycle.hpp"
#include "heatherquay/state/job_placement.hpp"
#include "heatherquay/state/ordering.hpp"
#include "heatherquay/state/reclaim.hpp"
#include "heatherquay/state/reserved_cells.hpp"

#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <utility>

namespace heatherquay::state::detail
{

namespace
{

// These limits bound the duration of a pass. Each search takes up to 1 ms at the cluster size that the scheduler is
// designed for.
constexpr std::uint32_t maxCoverAttempts = 2'000;
constexpr std::uint32_t maxClaimRetries = 4;
constexpr std::uint32_t maxFullRebindsPerPass = 4;
// Urgent jobs must start within 1.6 s of their submission.
constexpr Duration urgentGrace = std::chrono::milliseconds(800);

using CellId = std::pair<std::size_t, std::size_t>; ///< Position of the guarantee and number of the part.

/// A cell and the number of its accelerators that no job uses.
struct OpenCell
{
    CellId id;
    PartRequest constraints;
    std::uint32_t unused{};
};

/// A mapping of a job's parts to cells of its team.
struct CellAssignment
{
    std::vector<AcceleratorSet> parts;
    std::vector<CellId> sourceCells; ///< The cell from which each part takes its accelerators.
    Availability cells; ///< Unpinned accelerators that the job can use without moving a cell.
};

/// A placement for a claiming job, with the rebinding of cells that it requires.
struct Proposal
{
    std::vector<AcceleratorSet> parts;
    std::vector<CellRequest> requests; ///< Empty if no cell has to move.
    Binding binding;
};

/// @return whether the job fits into its team's quota, given everything that the team holds now
bool fitsQuotaNow(const ClusterState &state, const Job &job)
{
    const Team &team = state.teams.at(job.spec->team);
    return team.spec.quota == 0 || team.held + job.accelerators <= team.spec.quota;
}

/// @return whether the job fits into its team's quota after the team's stopping gangs have released their accelerators.
/// Another claim of the team may wait for these accelerators, so counting them as held would count them twice.
bool fitsQuotaAfterStops(const ClusterState &state, const Job &job)
{
    const Team &team = state.teams.at(job.spec->team);
    std::uint32_t stopping = 0;
    for (const JobNumber number : state.holding) {
        const Job &holder = state.jobs.at(number);
        stopping += holder.phase == JobPhase::Stopping && holder.spec->team == job.spec->team ? holder.accelerators : 0;
    }
    return team.spec.quota == 0 || team.held - stopping + team.claimed + job.accelerators <= team.spec.quota;
}

/// How accelerators that pending claims have set aside are counted.
enum class PendingClaims
{
    CountAsUsed,
    CountAsOpen
};

/// @return the cells with their unused accelerators, sorted by loosest adjacency, then most accepted kinds, then fewest
/// unused accelerators, so that less constrained cells are used first
std::vector<OpenCell> openCellsOf(const ClusterState &state, const std::vector<std::size_t> &guarantees,
                                  PendingClaims pending)
{
    AcceleratorSet claimed;
    for (const JobNumber number : state.claiming) {
        const Job &job = state.jobs.at(number);
        if (pending == PendingClaims::CountAsOpen && job.claimKind == ClaimKind::Guarantee) {
            for (const WorkerAccelerators &pick : job.claim) {
                add(claimed, pick);
            }
        }
    }
    std::vector<OpenCell> open;
    for (const std::size_t position : guarantees) {
        const Guarantee &guarantee = state.guarantees[position];
        const std::vector<PartRequest> constraints = requestsOf(state.topology, guarantee.spec->shape);
        const std::vector<AcceleratorSet> pins = pinsOf(state, guarantee);
        for (std::size_t part = 0; part < constraints.size(); ++part) {
            open.push_back({{position, part},
                            constraints[part],
                            constraints[part].count - count(difference(pins[part], claimed))});
        }
    }
    std::stable_sort(open.begin(), open.end(), [](const OpenCell &left, const OpenCell &right) {
        if (left.constraints.level != right.constraints.level) {
            return left.constraints.level > right.constraints.level;
        }
        const int leftKinds = std::popcount(left.constraints.kinds);
        const int rightKinds = std::popcount(right.constraints.kinds);
        return leftKinds != rightKinds ? leftKinds > rightKinds : left.unused < right.unused;
    });
    return open;
}

/// Chooses cells for the parts after those in @p chosen, by backtracking over at most maxCoverAttempts choices.
bool coverRemainingParts(const std::vector<PartRequest> &parts, std::vector<OpenCell> &open,
                         std::vector<CellId> &chosen, std::uint32_t &tries)
{
    if (chosen.size() == parts.size()) {
        return true;
    }
    const PartRequest &part = parts[chosen.size()];
    for (OpenCell &cell : open) {
        if (cell.unused < part.count || cell.constraints.level > part.level
            || (cell.constraints.kinds & ~part.kinds) != 0) {
            continue;
        }
        if (++tries > maxCoverAttempts) {
            return false;
        }
        cell.unused -= part.count;
        chosen.push_back(cell.id);
        if (coverRemainingParts(parts, open, chosen, tries)) {
            return true;
        }
        chosen.pop_back();
        cell.unused += part.count;
    }
    return false;
}

/// @return for each part a cell whose constraints imply those of the part and that has enough unused accelerators;
/// nothing if no such choice was found
std::optional<std::vector<CellId>> coveringCells(const std::vector<PartRequest> &parts, std::vector<OpenCell> open)
{
    std::vector<CellId> chosen;
    std::uint32_t tries = 0;
    return coverRemainingParts(parts, open, chosen, tries) ? std::optional(std::move(chosen)) : std::nullopt;
}

/// Claims guaranteed accelerators for waiting jobs within one scheduling pass.
class GuaranteeClaimer
{
public:
    explicit GuaranteeClaimer(Step &step)
        : m_step(step)
        , m_state(step.state)
        , m_inForce(guaranteesInForce(step.state))
    {
        for (const std::size_t position : m_inForce) {
            m_guaranteesByTeam[m_state.guarantees[position].spec->team].push_back(position);
        }
    }
    void run();

private:
    std::vector<JobNumber> candidates() const;
    std::uint32_t countOpenAccelerators(const std::vector<std::size_t> &positions) const;
    const std::vector<std::size_t> &guaranteesOf(const Job &job) const;
    void retryPendingClaims();
    void tryClaims();
    void tryClaim(Job &job);
    bool startOnFreeAccelerators(Job &job, const CellAssignment &assignment);
    void claimByPreemption(Job &job, const CellAssignment &assignment);
    std::optional<CellAssignment> findCellAssignment(const Job &job) const;
    std::vector<PartRequest> requestsForSourceCells(const Job &job, const CellAssignment &assignment) const;
    std::optional<Proposal> proposeRebinding(const CellAssignment &assignment, std::vector<AcceleratorSet> parts);
    std::vector<CellRequest> cellRequests(const CellAssignment &assignment, const std::vector<AcceleratorSet> &parts,
                                          const std::set<std::size_t> &guarantees) const;
    std::optional<std::vector<AcceleratorSet>>
    cheapestPlacement(const Job &job, const std::vector<PartRequest> &requests, const Availability &allowed);
    std::optional<std::vector<AcceleratorSet>>
    placementByMaxVictimCost(const Job &job, const std::vector<PartRequest> &requests, const Availability &allowed);
    void applyProposal(Job &job, const Proposal &proposal);
    Availability teamCells(const Job &job, bool withPinned = false) const;
    bool hasReachedWaitBound(const Job &job) const;
    bool fitsEmptyCells(const Job &job) const;
    Availability withoutOccupied(const Availability &available, bool freeOnly) const;
    Duration grace(const Job &job) const;

    Step &m_step;
    ClusterState &m_state;
    std::vector<std::size_t> m_inForce; ///< Remains valid, because claims move cells but change no guarantee.
    std::map<TeamId, std::vector<std::size_t>> m_guaranteesByTeam; ///< Positions from m_inForce by team.
    std::optional<std::vector<Victim>> m_victims;
    std::uint32_t m_claimRetries{};
    std::uint32_t m_fullRebinds{};
    bool m_cellsMoved{}; ///< Whether the current round has moved a cell.
};

/// @return waiting jobs that may claim: those no larger than the open cells of their team, and those past the wait
/// bound
std::vector<JobNumber> GuaranteeClaimer::candidates() const
{
    std::vector<JobNumber> jobs;
    for (const auto &[team, positions] : m_guaranteesByTeam) {
        const std::uint32_t open = countOpenAccelerators(positions);
        if (open == 0) {
            continue;
        }
        for (const JobNumber number : m_state.teams.at(team).waiting) {
            const Job &job = m_state.jobs.at(number);
            const bool isCandidate = job.spec->useGuarantee && job.claimKind != ClaimKind::Guarantee;
            if (isCandidate && (job.accelerators <= open || hasReachedWaitBound(job))) {
                jobs.push_back(number);
            }
        }
    }
    return jobs;
}

/// @return the number of accelerators in the cells of these guarantees that no job uses on the guarantee
std::uint32_t GuaranteeClaimer::countOpenAccelerators(const std::vector<std::size_t> &positions) const
{
    std::uint32_t open = 0;
    for (const std::size_t position : positions) {
        for (const AcceleratorSet &cell : m_state.guarantees[position].cells) {
            for (const WorkerAccelerators &pick : cell) {
                open += static_cast<std::uint32_t>(std::popcount(pick.mask & ~m_state.occupancy.pinned(pick.worker)));
            }
        }
    }
    return open;
}

const std::vector<std::size_t> &GuaranteeClaimer::guaranteesOf(const Job &job) const
{
    return m_guaranteesByTeam.at(job.spec->team);
}

void GuaranteeClaimer::run()
{
    retryPendingClaims();
    // A moved cell may fit a job that was skipped earlier, so the pass repeats until no cell moves.
    do {
        m_cellsMoved = false;
        tryClaims();
    } while (m_cellsMoved);
}

/// Starts jobs with a pending claim at once if other accelerators have become free while their borrowers are stopping.
void GuaranteeClaimer::retryPendingClaims()
{
    const std::vector<JobNumber> claiming(m_state.claiming.begin(), m_state.claiming.end());
    for (const JobNumber number : claiming) {
        Job &job = m_state.jobs.at(number);
        const bool enoughFree = m_state.occupancy.free().count(0, ~KindMask{0}) >= job.accelerators;
        if (job.claimKind != ClaimKind::Guarantee || !enoughFree || m_claimRetries == maxClaimRetries) {
            continue;
        }
        ++m_claimRetries;
        const AcceleratorSet claim = job.claim;
        dropClaim(m_state, job);
        const std::optional<CellAssignment> assignment = findCellAssignment(job);
        if (!assignment.has_value() || !startOnFreeAccelerators(job, *assignment)) {
            setClaim(m_state, job, claim, ClaimKind::Guarantee);
        }
    }
}

/// Tries to claim for each candidate in start order. After a failure, the other jobs of the same team and shape are
/// skipped; if the failed job has reached the wait bound, all other jobs of the team are.
void GuaranteeClaimer::tryClaims()
{
    std::set<std::pair<TeamId, std::uint32_t>> failed;
    std::set<TeamId> blockedTeams; // teams whose cells are kept open for a job past the wait bound
    for (const QueuedJob &queued : sortedForStart(m_state, candidates(), m_step.now)) {
        Job &job = m_state.jobs.at(queued.number);
        const std::pair<TeamId, std::uint32_t> key{job.spec->team, job.shapeNumber};
        if (failed.contains(key) || blockedTeams.contains(job.spec->team)) {
            continue;
        }
        tryClaim(job);
        if (job.phase == JobPhase::Waiting && job.claimKind != ClaimKind::Guarantee) {
            failed.insert(key);
            if (hasReachedWaitBound(job) && fitsEmptyCells(job)) {
                blockedTeams.insert(job.spec->team);
            }
        }
    }
}

bool GuaranteeClaimer::hasReachedWaitBound(const Job &job) const
{
    return m_step.now - job.submittedAt >= m_state.policy.gangWaitBound;
}

/// @return whether the job would fit into its team's cells if none of their accelerators were in use
bool GuaranteeClaimer::fitsEmptyCells(const Job &job) const
{
    return withinQuota(m_state.teams.at(job.spec->team), job.accelerators)
        && findPlacement(m_state, job, teamCells(job, true)).has_value();
}

void GuaranteeClaimer::tryClaim(Job &job)
{
    if (!fitsQuotaAfterStops(m_state, job)) {
        return;
    }
    const std::optional<CellAssignment> assignment = findCellAssignment(job);
    if (assignment.has_value() && !startOnFreeAccelerators(job, *assignment)) {
        claimByPreemption(job, *assignment);
    }
}

/// @param withPinned whether to include the accelerators that the team's jobs use on the guarantee
/// @return the usable accelerators in the cells of the job's team
Availability GuaranteeClaimer::teamCells(const Job &job, bool withPinned) const
{
    Availability cells(m_state.topology);
    for (const std::size_t position : guaranteesOf(job)) {
        for (const AcceleratorSet &cell : m_state.guarantees[position].cells) {
            for (const WorkerAccelerators &pick : cell) {
                const AcceleratorMask pinned = withPinned ? 0 : m_state.occupancy.pinned(pick.worker);
                const AcceleratorMask open = m_state.occupancy.usable(pick.worker) & ~pinned;
                cells.put(m_state.topology, {pick.worker, pick.mask & open});
            }
        }
    }
    return cells;
}

/// Finds cells whose constraints imply those of the job, with each part inside one cell. A cell that satisfies the job
/// only at its current position does not count: it would be taken from a job that the guarantee does cover.
std::optional<CellAssignment> GuaranteeClaimer::findCellAssignment(const Job &job) const
{
    const std::vector<PartRequest> requests = requestsOf(m_state.topology, job.spec->shape);
    const auto chosen = coveringCells(requests, openCellsOf(m_state, guaranteesOf(job), PendingClaims::CountAsUsed));
    if (!chosen.has_value()) {
        return std::nullopt;
    }
    CellAssignment assignment{{}, {}, Availability(m_state.topology)};
    AcceleratorSet taken;
    for (std::size_t part = 0; part < requests.size(); ++part) {
        const CellId cell = (*chosen)[part];
        Availability open(m_state.topology);
        for (const WorkerAccelerators &pick : difference(m_state.guarantees[cell.first].cells[cell.second], taken)) {
            const AcceleratorMask usable
                = m_state.occupancy.usable(pick.worker) & ~m_state.occupancy.pinned(pick.worker);
            open.put(m_state.topology, {pick.worker, pick.mask & usable});
            assignment.cells.put(m_state.topology, {pick.worker, pick.mask & usable});
        }
        const std::vector<PartRequest> request{requests[part]};
        auto placement = placeParts(m_state, job, request, withoutOccupied(open, true), FailedWorkers::Avoid);
        if (!placement.has_value()) {
            placement = placeParts(m_state, job, request, open, FailedWorkers::UseIfNeeded);
        }
        if (!placement.has_value()) {
            return std::nullopt;
        }
        for (const WorkerAccelerators &pick : placement->front()) {
            add(taken, pick);
        }
        assignment.parts.push_back(std::move(placement->front()));
        assignment.sourceCells.push_back(cell);
    }
    return assignment;
}

/// @param freeOnly whether to exclude all held and claimed accelerators, not only the pinned ones
/// @return the part of @p available that remains
Availability GuaranteeClaimer::withoutOccupied(const Availability &available, bool freeOnly) const
{
    Availability result(m_state.topology);
    for (WorkerIndex worker = 0; worker < m_state.topology.workers().size(); ++worker) {
        const AcceleratorMask free
            = freeOnly ? m_state.occupancy.free().mask(worker) : ~m_state.occupancy.pinned(worker);
        result.put(m_state.topology, {worker, available.mask(worker) & free});
    }
    return result;
}

/// @return the requests of the job's parts, restricted to the kinds that their source cells accept
std::vector<PartRequest> GuaranteeClaimer::requestsForSourceCells(const Job &job,
                                                                  const CellAssignment &assignment) const
{
    std::vector<PartRequest> requests = requestsOf(m_state.topology, job.spec->shape);
    for (std::size_t part = 0; part < requests.size(); ++part) {
        const CellId cell = assignment.sourceCells[part];
        const Shape &shape = m_state.guarantees[cell.first].spec->shape;
        requests[part].kinds &= m_state.topology.kindMask(shape.parts[cell.second].kinds);
    }
    return requests;
}

/// Starts the job if its cells are free or can be moved to free accelerators.
/// @return whether the job has started or holds a claim
bool GuaranteeClaimer::startOnFreeAccelerators(Job &job, const CellAssignment &assignment)
{
    const AcceleratorSet own = merged(assignment.parts);
    const Availability &free = m_state.occupancy.free();
    const bool allFree = !own.empty() && std::all_of(own.begin(), own.end(), [&free](const WorkerAccelerators &pick) {
        return (pick.mask & ~free.mask(pick.worker)) == 0;
    });
    if (allFree) {
        applyProposal(job, {assignment.parts, {}, {}});
        return true;
    }
    const std::vector<PartRequest> requests = requestsForSourceCells(job, assignment);
    // Accelerators outside other teams' cells come first, because moving only the team's own cells nearly always
    // succeeds.
    const std::vector<Availability> pools{withoutOccupied(bindableBy(m_state, guaranteesOf(job)), true), free};
    for (const Availability &pool : pools) {
        auto parts = placeParts(m_state, job, requests, pool, FailedWorkers::Avoid);
        if (!parts.has_value()) {
            continue;
        }
        if (const auto proposal = proposeRebinding(assignment, std::move(*parts))) {
            applyProposal(job, *proposal);
            return true;
        }
    }
    return false;
}

/// Finds a rebinding of cells that puts the given accelerators into the cells of the job's team. Tries the affected
/// guarantees first, then all guarantees in force.
std::optional<Proposal> GuaranteeClaimer::proposeRebinding(const CellAssignment &assignment,
                                                           std::vector<AcceleratorSet> parts)
{
    const AcceleratorSet all = merged(parts);
    std::set<std::size_t> touched;
    for (const CellId &cell : assignment.sourceCells) {
        touched.insert(cell.first);
    }
    for (const std::size_t position : m_inForce) {
        for (const AcceleratorSet &cell : m_state.guarantees[position].cells) {
            if (count(difference(all, cell)) != count(all)) {
                touched.insert(position);
            }
        }
    }
    std::vector<std::set<std::size_t>> attempts{touched};
    if (touched.size() < m_inForce.size()) {
        attempts.emplace_back(m_inForce.begin(), m_inForce.end());
    }
    for (const std::set<std::size_t> &guarantees : attempts) {
        if (guarantees.size() > touched.size() && m_fullRebinds++ >= maxFullRebindsPerPass) {
            break;
        }
        std::vector<CellRequest> requests = cellRequests(assignment, parts, guarantees);
        auto binding = bindCells(m_state, requests, bindableBy(m_state, {guarantees.begin(), guarantees.end()}));
        if (binding.has_value()) {
            return Proposal{std::move(parts), std::move(requests), std::move(*binding)};
        }
    }
    return std::nullopt;
}

/// @return requests for the given guarantees in which @p parts are pinned to their source cells
std::vector<CellRequest> GuaranteeClaimer::cellRequests(const CellAssignment &assignment,
                                                        const std::vector<AcceleratorSet> &parts,
                                                        const std::set<std::size_t> &guarantees) const
{
    std::vector<CellRequest> requests;
    requests.reserve(guarantees.size());
    for (const std::size_t position : guarantees) {
        requests.push_back({position, pinsOf(m_state, m_state.guarantees[position])});
    }
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const CellId cell = assignment.sourceCells[part];
        const auto request = std::find_if(requests.begin(), requests.end(), [&cell](const CellRequest &candidate) {
            return candidate.guarantee == cell.first;
        });
        for (const WorkerAccelerators &pick : parts[part]) {
            add(request->pins[cell.second], pick);
        }
    }
    return requests;
}

/// Finds a placement with low preemption cost: for a single part by the total cost of the victims in one node, for
/// several parts, or if no node is large enough, by the cost of the most expensive victim.
/// @param allowed accelerators that may be used, whether held or free
std::optional<std::vector<AcceleratorSet>> GuaranteeClaimer::cheapestPlacement(const Job &job,
                                                                               const std::vector<PartRequest> &requests,
                                                                               const Availability &allowed)
{
    if (requests.size() == 1) {
        if (const auto pool = cheapestReclaimPool(m_state, requests[0], allowed, m_step.now)) {
            return placeParts(m_state, job, requests, *pool, FailedWorkers::UseIfNeeded);
        }
    }
    return placementByMaxVictimCost(job, requests, allowed);
}

/// Finds the placement whose most expensive victim costs least, by a binary search over the victims sorted by cost.
std::optional<std::vector<AcceleratorSet>>
GuaranteeClaimer::placementByMaxVictimCost(const Job &job, const std::vector<PartRequest> &requests,
                                           const Availability &allowed)
{
    if (!m_victims.has_value()) {
        m_victims = victimsByCost(m_state, m_step.now);
    }
    Availability base(m_state.topology);
    for (WorkerIndex worker = 0; worker < m_state.topology.workers().size(); ++worker) {
        AcceleratorMask open = allowed.mask(worker);
        for (AcceleratorMask rest = open & m_state.occupancy.held(worker); rest != 0; rest &= rest - 1) {
            const auto index = static_cast<std::uint32_t>(std::countr_zero(rest));
            const bool stopping = m_state.jobs.at(m_state.occupancy.holder(worker, index)).phase == JobPhase::Stopping;
            open &= stopping ? ~AcceleratorMask{0} : ~(AcceleratorMask{1} << index);
        }
        base.put(m_state.topology, {worker, open});
    }
    const auto placementWith = [&](std::size_t victims) {
        Availability available = base;
        for (std::size_t position = 0; position < victims; ++position) {
            for (const WorkerAccelerators &pick : m_state.jobs.at((*m_victims)[position].number).picks) {
                available.put(m_state.topology, {pick.worker, pick.mask & allowed.mask(pick.worker)});
            }
        }
        return placeParts(m_state, job, requests, available, FailedWorkers::UseIfNeeded);
    };
    std::size_t low = 0;
    std::size_t high = m_victims->size();
    auto best = placementWith(high);
    while (best.has_value() && low < high) {
        const std::size_t middle = (low + high) / 2;
        if (auto parts = placementWith(middle)) {
            best = std::move(parts);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    return best;
}

/// Claims accelerators by preempting borrowers, in the team's own cells or, if that costs less, elsewhere after moving
/// cells there.
void GuaranteeClaimer::claimByPreemption(Job &job, const CellAssignment &assignment)
{
    const std::vector<PartRequest> requests = requestsOf(m_state.topology, job.spec->shape);
    Proposal proposal{assignment.parts, {}, {}};
    if (auto own = cheapestPlacement(job, requests, assignment.cells)) {
        proposal.parts = std::move(*own);
    }
    const Availability everywhere = withoutOccupied(bindableBy(m_state, m_inForce), false);
    if (auto elsewhere = cheapestPlacement(job, requestsForSourceCells(job, assignment), everywhere)) {
        const Duration there = preemptionCost(m_state, merged(*elsewhere), m_step.now);
        if (there < preemptionCost(m_state, merged(proposal.parts), m_step.now)) {
            if (auto moved = proposeRebinding(assignment, std::move(*elsewhere))) {
                proposal = std::move(*moved);
            }
        }
    }
    applyProposal(job, proposal);
}

Duration GuaranteeClaimer::grace(const Job &job) const
{
    return job.spec->urgent ? std::min(urgentGrace, m_state.policy.reclaimGrace) : m_state.policy.reclaimGrace;
}

/// Moves the cells, then starts the job, or claims the accelerators and preempts their holders.
void GuaranteeClaimer::applyProposal(Job &job, const Proposal &proposal)
{
    applyBinding(m_state, proposal.requests, proposal.binding);
    m_cellsMoved = m_cellsMoved || !proposal.requests.empty();
    const AcceleratorSet picks = merged(proposal.parts);
    for (const JobNumber number : claimantsOf(m_state, picks)) {
        dropClaim(m_state, m_state.jobs.at(number));
    }
    dropClaim(m_state, job);
    if (holdersOf(m_state, picks).empty() && fitsQuotaNow(m_state, job)) {
        startGang(m_step, job, picks, true);
        return;
    }
    setClaim(m_state, job, picks, ClaimKind::Guarantee);
    job.reason = "borrowers on its team's guarantee are being stopped";
    preemptHolders(m_step, picks, grace(job));
}

} // namespace

void completeClaims(Step &step)
{
    ClusterState &state = step.state;
    const std::vector<JobNumber> claiming(state.claiming.begin(), state.claiming.end());
    for (const JobNumber number : claiming) {
        Job &job = state.jobs.at(number);
        const bool usable = std::all_of(job.claim.begin(), job.claim.end(), [&state](const WorkerAccelerators &pick) {
            return (pick.mask & ~state.occupancy.usable(pick.worker)) == 0;
        });
        if (!usable) {
            dropClaim(state, job);
        } else if (holdersOf(state, job.claim).empty() && fitsQuotaNow(state, job)) {
            startGang(step, job, job.claim, job.claimKind == ClaimKind::Guarantee);
        }
    }
}

bool awaitsGuarantee(const ClusterState &state, const Job &job)
{
    if (!job.spec->useGuarantee || state.teams.at(job.spec->team).claimed == 0) {
        return false;
    }
    std::vector<std::size_t> own;
    for (const std::size_t position : guaranteesInForce(state)) {
        if (state.guarantees[position].spec->team == job.spec->team) {
            own.push_back(position);
        }
    }
    return coveringCells(requestsOf(state.topology, job.spec->shape),
                         openCellsOf(state, own, PendingClaims::CountAsOpen))
        .has_value();
}

void claimGuarantees(Step &step)
{
    GuaranteeClaimer(step).run();
}

} // namespace heatherquay::state::detail
