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

/// Binds the guarantees at these positions anew, leaving the others alone. @return whether they fit
bool rebind(ClusterState &state, const std::vector<std::size_t> &positions)
{
    const std::vector<CellRequest> requests = requestsFor(state, positions);
    const std::optional<Binding> binding = bindCells(state, requests, bindableBy(state, positions));
    if (binding.has_value()) {
        applyBinding(state, requests, *binding);
    }
    return binding.has_value();
}

/// Binds one more guarantee, moving the others when there is no other way. @return whether it fits
bool bindOneMore(Step &step, std::size_t position)
{
    if (rebind(step.state, {position})) {
        return true;
    }
    std::vector<std::size_t> all = guaranteesInForce(step.state);
    if (all.empty() || !takeFullBinding(step)) {
        return false;
    }
    all.push_back(position);
    return rebind(step.state, all);
}

bool isWhole(const ClusterState &state, const Guarantee &guarantee)
{
    for (const Picks &cell : guarantee.cells) {
        for (const Pick &pick : cell) {
            const AcceleratorMask valid = state.occupancy.usable(pick.worker) | state.occupancy.pinned(pick.worker);
            if ((pick.mask & ~valid) != 0) {
                return false;
            }
        }
    }
    return true;
}

bool overlap(const Picks &left, const std::vector<Picks> &cells)
{
    return std::any_of(cells.begin(), cells.end(), [&left](const Picks &cell) {
        return count(difference(left, cell)) != count(left);
    });
}

/// Jobs that use these cells on the guarantee become borrowers.
void releaseProtection(ClusterState &state, const Guarantee &guarantee)
{
    for (auto &[number, job] : state.jobs) {
        if (job.spec->team != guarantee.spec->team) {
            continue;
        }
        if (job.onGuarantee && overlap(job.picks, guarantee.cells)) {
            unprotect(state, job);
        }
        if (job.claimKind == ClaimKind::Guarantee && overlap(job.claim, guarantee.cells)) {
            dropClaim(state, job);
        }
    }
}

void unbindAll(ClusterState &state, Guarantee &guarantee)
{
    releaseProtection(state, guarantee);
    for (const Picks &cell : guarantee.cells) {
        state.occupancy.unbind(state.topology, cell);
    }
    guarantee.cells.clear();
}

void degrade(Step &step, Guarantee &guarantee)
{
    unbindAll(step.state, guarantee);
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
        const bool fits = step.capacityGrew ? bindOneMore(step, position) : rebind(step.state, {position});
        if (fits) {
            step.notify(Severity::Info,
                        "guarantee " + guarantee.spec->id.value + " of team " + guarantee.spec->team.value
                            + " is in force again");
        }
    }
}

std::vector<std::size_t> brokenGuarantees(const ClusterState &state)
{
    std::vector<std::size_t> broken;
    for (std::size_t position = 0; position < state.guarantees.size(); ++position) {
        if (!isWhole(state, state.guarantees[position])) {
            broken.push_back(position);
        }
    }
    return broken;
}

/// @return whether all guarantees in force could be kept by moving cells
bool repair(Step &step, const std::vector<std::size_t> &broken)
{
    return rebind(step.state, broken) || (takeFullBinding(step) && rebind(step.state, guaranteesInForce(step.state)));
}

/// @return cells for exactly these guarantees on all live accelerators; the others' jobs are no obstacle
std::optional<Binding> bindOnly(Step &step, const std::vector<std::size_t> &positions)
{
    const ClusterState &state = step.state;
    if (!takeFullBinding(step)) {
        return std::nullopt;
    }
    Availability live(state.topology);
    for (WorkerIndex worker = 0; worker < state.topology.workers().size(); ++worker) {
        live.put(state.topology, {worker, state.occupancy.usable(worker)});
    }
    return bindCells(state, requestsFor(state, positions), std::move(live));
}

std::vector<std::size_t> joined(std::vector<std::size_t> left, std::size_t right)
{
    left.push_back(right);
    return left;
}

/// @return of @p later, in the order of admission, those that fit together with @p kept; the last admitted go first
std::vector<std::size_t> keepWhatFits(Step &step, std::vector<std::size_t> kept, const std::vector<std::size_t> &later)
{
    std::size_t fitting = 0;
    std::size_t failing = later.size() + 1;
    while (failing - fitting > 1) {
        const std::size_t middle = (fitting + failing) / 2;
        std::vector<std::size_t> tried = kept;
        tried.insert(tried.end(), later.begin(), later.begin() + static_cast<std::ptrdiff_t>(middle));
        (bindOnly(step, tried).has_value() ? fitting : failing) = middle;
    }
    kept.insert(kept.end(), later.begin(), later.begin() + static_cast<std::ptrdiff_t>(fitting));
    for (std::size_t position = fitting + 1; position < later.size(); ++position) {
        if (bindOnly(step, joined(kept, later[position])).has_value()) {
            kept.push_back(later[position]);
        }
    }
    return kept;
}

/// Degrades as few of the last admitted guarantees as needed for the one at @p position, or that one itself when the
/// earlier ones leave it no room.
void planEviction(Step &step, std::size_t position)
{
    std::vector<std::size_t> kept;
    std::vector<std::size_t> later;
    for (const std::size_t other : guaranteesInForce(step.state)) {
        (other <= position ? kept : later).push_back(other);
    }
    if (!bindOnly(step, kept).has_value()) {
        degrade(step, step.state.guarantees[position]);
        return;
    }
    kept = keepWhatFits(step, kept, later);
    const std::optional<Binding> binding = bindOnly(step, kept);
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

std::string refusalFor(const GuaranteeSpec &spec)
{
    return "guarantee " + spec.id.value + " does not fit together with the guarantees in force on the live hardware";
}

std::uint32_t guaranteedTo(const ClusterState &state, const TeamId &team)
{
    std::uint32_t total = 0;
    for (const Guarantee &guarantee : state.guarantees) {
        total += guarantee.spec->team == team ? acceleratorCount(guarantee.spec->shape) : 0;
    }
    return total;
}

void checkGrant(ClusterState &state, const GuaranteeSpec &spec)
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
                        "grant no more until hardware returns, or withdraw it");
        }
    }
    const std::uint32_t total = guaranteedTo(state, spec.team) + acceleratorCount(spec.shape);
    if (team.spec.quota != 0 && total > team.spec.quota) {
        throw Error(ErrorKind::Conflict,
                    "team " + spec.team.value + " would be guaranteed " + std::to_string(total)
                        + " accelerators and its quota is " + std::to_string(team.spec.quota),
                    "raise the quota first");
    }
}

} // namespace

void grantGuarantee(Step &step, const GuaranteeSpec &spec)
{
    ClusterState &state = step.state;
    checkGrant(state, spec);
    state.guarantees.push_back({std::make_shared<const GuaranteeSpec>(spec), true, {}});
    if (!bindOneMore(step, state.guarantees.size() - 1)) {
        state.guarantees.pop_back();
        throw Error(ErrorKind::Conflict, refusalFor(spec),
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
        throw Error(ErrorKind::NotFound, "guarantee " + id.value + " is not known", "name a guarantee of a team");
    }
    unbindAll(step.state, *found);
    guarantees.erase(found);
    step.capacityGrew = true;
}

void checkQuota(const ClusterState &state, const TeamSpec &spec)
{
    const std::uint32_t guaranteed = guaranteedTo(state, spec.id);
    if (spec.quota != 0 && spec.quota < guaranteed) {
        throw Error(ErrorKind::Conflict,
                    "team " + spec.id.value + " is guaranteed " + std::to_string(guaranteed)
                        + " accelerators, which is more than the quota of " + std::to_string(spec.quota),
                    "withdraw a guarantee first");
    }
}

void maintainGuarantees(Step &step)
{
    std::vector<std::size_t> broken = brokenGuarantees(step.state);
    if (!broken.empty() && !repair(step, broken)) {
        for (const std::size_t position : broken) {
            if (!step.state.guarantees[position].degraded && !isWhole(step.state, step.state.guarantees[position])) {
                planEviction(step, position);
            }
        }
    }
    restoreDegraded(step);
}

} // namespace heatherquay::state::detail
