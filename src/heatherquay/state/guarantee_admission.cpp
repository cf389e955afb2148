#include "heatherquay/state/guarantee_admission.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/state/job_lifecycle.hpp"
#include "heatherquay/state/reserved_cells.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

namespace
{

std::vector<CellRequest> requestsFor(const ClusterState &state, const std::vector<std::size_t> &positions)
{
    std::vector<CellRequest> requests;
    requests.reserve(positions.size());
    for (const std::size_t position : positions) {
        requests.push_back({position, pinsOf(state, state.guarantees[position])});
    }
    return requests;
}

/// Rebinds the guarantees at these positions without moving the cells of any other guarantee.
/// @return whether they fit
bool rebind(ClusterState &state, const std::vector<std::size_t> &positions)
{
    const std::vector<CellRequest> requests = requestsFor(state, positions);
    const std::optional<Binding> binding = bindCells(state, requests, bindableBy(state, positions));
    if (binding.has_value()) {
        applyBinding(state, requests, *binding);
    }
    return binding.has_value();
}

/// Binds one more guarantee and moves the cells of the others only if it does not fit otherwise.
/// @return whether it fits
bool bindAdditional(Step &step, std::size_t position)
{
    if (rebind(step.state, {position})) {
        return true;
    }
    std::vector<std::size_t> all = guaranteesInForce(step.state);
    if (all.empty() || !consumeFullRebindBudget(step)) {
        return false;
    }
    all.push_back(position);
    return rebind(step.state, all);
}

/// @return whether every accelerator in the guarantee's cells is usable or still in use on the guarantee
bool hasUsableCells(const ClusterState &state, const Guarantee &guarantee)
{
    for (const AcceleratorSet &cell : guarantee.cells) {
        for (const WorkerAccelerators &pick : cell) {
            const AcceleratorMask valid = state.occupancy.usable(pick.worker) | state.occupancy.pinned(pick.worker);
            if ((pick.mask & ~valid) != 0) {
                return false;
            }
        }
    }
    return true;
}

/// @return whether @p left shares an accelerator with any of @p cells
bool overlapsAny(const AcceleratorSet &left, const std::vector<AcceleratorSet> &cells)
{
    return std::any_of(cells.begin(), cells.end(), [&left](const AcceleratorSet &cell) {
        return count(difference(left, cell)) != count(left);
    });
}

/// Turns the jobs that use the guarantee's cells into borrowers and drops pending claims on these cells.
void detachJobs(ClusterState &state, const Guarantee &guarantee)
{
    for (auto &[number, job] : state.jobs) {
        if (job.spec->team != guarantee.spec->team) {
            continue;
        }
        if (job.onGuarantee && overlapsAny(job.picks, guarantee.cells)) {
            convertToBorrower(state, job);
        }
        if (job.claimKind == ClaimKind::Guarantee && overlapsAny(job.claim, guarantee.cells)) {
            dropClaim(state, job);
        }
    }
}

/// Detaches all jobs from the guarantee and removes its cells.
void releaseCells(ClusterState &state, Guarantee &guarantee)
{
    detachJobs(state, guarantee);
    for (const AcceleratorSet &cell : guarantee.cells) {
        state.occupancy.unbind(state.topology, cell);
    }
    guarantee.cells.clear();
}

void degrade(Step &step, Guarantee &guarantee)
{
    releaseCells(step.state, guarantee);
    guarantee.degraded = true;
    step.notify(Severity::Critical,
                "guarantee " + guarantee.spec->id.value + " of team " + guarantee.spec->team.value
                    + " does not fit on the remaining hardware; it is degraded until hardware returns");
}

void restoreDegraded(Step &step)
{
    for (std::size_t position = 0; position < step.state.guarantees.size(); ++position) {
        const Guarantee &guarantee = step.state.guarantees[position];
        if (!guarantee.degraded) {
            continue;
        }
        const bool fits = step.capacityGrew ? bindAdditional(step, position) : rebind(step.state, {position});
        if (fits) {
            step.notify(Severity::Info,
                        "guarantee " + guarantee.spec->id.value + " of team " + guarantee.spec->team.value
                            + " is in force again");
        }
    }
}

std::vector<std::size_t> guaranteesWithUnusableCells(const ClusterState &state)
{
    std::vector<std::size_t> broken;
    for (std::size_t position = 0; position < state.guarantees.size(); ++position) {
        if (!hasUsableCells(state, state.guarantees[position])) {
            broken.push_back(position);
        }
    }
    return broken;
}

/// Moves cells so that the broken guarantees are on usable accelerators again: first only their own cells, then those
/// of all guarantees in force.
/// @return whether all guarantees in force could be kept
bool rebindBroken(Step &step, const std::vector<std::size_t> &broken)
{
    return rebind(step.state, broken)
        || (consumeFullRebindBudget(step) && rebind(step.state, guaranteesInForce(step.state)));
}

/// @return cells for these guarantees alone on all usable accelerators, regardless of the cells and jobs of the other
/// guarantees; nothing if they do not fit or the budget of full rebinds is used up
std::optional<Binding> bindExclusively(Step &step, const std::vector<std::size_t> &positions)
{
    const ClusterState &state = step.state;
    if (!consumeFullRebindBudget(step)) {
        return std::nullopt;
    }
    Availability live(state.topology);
    for (WorkerIndex worker = 0; worker < state.topology.workers().size(); ++worker) {
        live.put(state.topology, {worker, state.occupancy.usable(worker)});
    }
    return bindCells(state, requestsFor(state, positions), std::move(live));
}

std::vector<std::size_t> withAppended(std::vector<std::size_t> left, std::size_t right)
{
    left.push_back(right);
    return left;
}

/// Selects the guarantees to keep. A binary search finds the longest prefix of @p later that fits together with @p
/// kept; the guarantees after it are then tried one by one.
/// @param later candidates in the order of admission, so that the last admitted are dropped first
/// @return @p kept and the selected guarantees
std::vector<std::size_t> selectFittingGuarantees(Step &step, std::vector<std::size_t> kept,
                                                 const std::vector<std::size_t> &later)
{
    std::size_t fitting = 0;
    std::size_t failing = later.size() + 1;
    while (failing - fitting > 1) {
        const std::size_t middle = (fitting + failing) / 2;
        std::vector<std::size_t> tried = kept;
        tried.insert(tried.end(), later.begin(), later.begin() + static_cast<std::ptrdiff_t>(middle));
        (bindExclusively(step, tried).has_value() ? fitting : failing) = middle;
    }
    kept.insert(kept.end(), later.begin(), later.begin() + static_cast<std::ptrdiff_t>(fitting));
    for (std::size_t position = fitting + 1; position < later.size(); ++position) {
        if (bindExclusively(step, withAppended(kept, later[position])).has_value()) {
            kept.push_back(later[position]);
        }
    }
    return kept;
}

/// Keeps the guarantee at @p position by degrading as few of the guarantees admitted after it as possible. Degrades the
/// guarantee itself if it does not fit together with those admitted before it.
void degradeToFit(Step &step, std::size_t position)
{
    std::vector<std::size_t> kept;
    std::vector<std::size_t> later;
    for (const std::size_t other : guaranteesInForce(step.state)) {
        (other <= position ? kept : later).push_back(other);
    }
    if (!bindExclusively(step, kept).has_value()) {
        degrade(step, step.state.guarantees[position]);
        return;
    }
    kept = selectFittingGuarantees(step, kept, later);
    const std::optional<Binding> binding = bindExclusively(step, kept);
    for (auto other = later.rbegin(); other != later.rend(); ++other) {
        if (!binding.has_value() || std::find(kept.begin(), kept.end(), *other) == kept.end()) {
            degrade(step, step.state.guarantees[*other]);
        }
    }
    if (binding.has_value()) {
        applyBinding(step.state, requestsFor(step.state, kept), *binding);
    } else {
        rebind(step.state, {position});
    }
}

std::string doesNotFitMessage(const GuaranteeSpec &spec)
{
    return "guarantee " + spec.id.value + " does not fit together with the guarantees in force on the live hardware";
}

std::uint32_t guaranteedAccelerators(const ClusterState &state, const TeamId &team)
{
    std::uint32_t total = 0;
    for (const Guarantee &guarantee : state.guarantees) {
        total += guarantee.spec->team == team ? acceleratorCount(guarantee.spec->shape) : 0;
    }
    return total;
}

void validateGrant(ClusterState &state, const GuaranteeSpec &spec)
{
    if (spec.id.value.empty()) {
        throw Error(ErrorKind::BadInput, "a guarantee has no id", "give each guarantee an id");
    }
    checkShape(spec.shape, "guarantee " + spec.id.value);
    const Team &team = findTeam(state, spec.team);
    for (const Guarantee &guarantee : state.guarantees) {
        if (guarantee.spec->id == spec.id) {
            throw Error(ErrorKind::Conflict, "guarantee " + spec.id.value + " is already granted",
                        "withdraw it first or choose another id");
        }
        if (guarantee.degraded) {
            throw Error(ErrorKind::Conflict, "guarantee " + guarantee.spec->id.value + " is degraded",
                        "wait until hardware returns, or withdraw the degraded guarantee");
        }
    }
    const std::uint32_t total = guaranteedAccelerators(state, spec.team) + acceleratorCount(spec.shape);
    if (team.spec.quota != 0 && total > team.spec.quota) {
        throw Error(ErrorKind::Conflict,
                    "team " + spec.team.value + " would be guaranteed " + std::to_string(total)
                        + " accelerators and its quota is " + std::to_string(team.spec.quota),
                    "raise the quota first, or set it to 0 for no limit");
    }
}

} // namespace

void grantGuarantee(Step &step, const GuaranteeSpec &spec)
{
    ClusterState &state = step.state;
    validateGrant(state, spec);
    state.guarantees.push_back({std::make_shared<const GuaranteeSpec>(spec), true, {}});
    if (!bindAdditional(step, state.guarantees.size() - 1)) {
        state.guarantees.pop_back();
        throw Error(ErrorKind::Conflict, doesNotFitMessage(spec),
                    "ask for fewer accelerators, other kinds or a looser adjacency, or withdraw a guarantee");
    }
}

void withdrawGuarantee(Step &step, const GuaranteeId &id)
{
    auto &guarantees = step.state.guarantees;
    const auto found = std::find_if(guarantees.begin(), guarantees.end(), [&id](const Guarantee &guarantee) {
        return guarantee.spec->id == id;
    });
    if (found == guarantees.end()) {
        throw Error(ErrorKind::NotFound, "guarantee " + id.value + " is not known",
                    "give the id of a granted guarantee");
    }
    releaseCells(step.state, *found);
    guarantees.erase(found);
    step.capacityGrew = true;
}

void checkQuota(const ClusterState &state, const TeamSpec &spec)
{
    const std::uint32_t guaranteed = guaranteedAccelerators(state, spec.id);
    if (spec.quota != 0 && spec.quota < guaranteed) {
        throw Error(ErrorKind::Conflict,
                    "team " + spec.id.value + " is guaranteed " + std::to_string(guaranteed)
                        + " accelerators, which is more than the quota of " + std::to_string(spec.quota),
                    "withdraw a guarantee first");
    }
}

void maintainGuarantees(Step &step)
{
    std::vector<std::size_t> broken = guaranteesWithUnusableCells(step.state);
    if (!broken.empty() && !rebindBroken(step, broken)) {
        for (const std::size_t position : broken) {
            if (!step.state.guarantees[position].degraded
                && !hasUsableCells(step.state, step.state.guarantees[position])) {
                degradeToFit(step, position);
            }
        }
    }
    restoreDegraded(step);
}

} // namespace heatherquay::state::detail
