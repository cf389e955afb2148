#pragma once

#include "heatherquay/state/cluster.hpp"
#include "heatherquay/state/occupancy.hpp"
#include "heatherquay/state/run_times.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::state::detail
{

/// Why accelerators are set aside for a waiting job.
enum class ClaimKind : std::uint8_t
{
    None,
    Guarantee, ///< The job claims its team's guarantee, and the borrowers are being preempted.
    Reservation ///< A large gang collects accelerators as they become free.
};

struct Job
{
    JobNumber number{};
    std::shared_ptr<const JobSpec> spec;
    JobPhase phase{JobPhase::Waiting};
    Fence fence;
    AcceleratorSet picks; ///< Held accelerators.
    bool onGuarantee{};
    Instant submittedAt;
    std::optional<Instant> startedAt;
    std::optional<Instant> endedAt;
    double progress{};
    Duration checkpointedRunTime{}; ///< Run time of earlier starts whose work a checkpoint saved.
    std::string reason;

    AcceleratorSet claim; ///< Accelerators set aside for the next start.
    ClaimKind claimKind{ClaimKind::None};
    std::optional<Instant> reservedAt; ///< When the job first got a reservation for its next start.

    bool cancelled{};
    bool checkpointing{}; ///< A checkpoint was requested.
    std::optional<Instant> stopDeadline; ///< When a gang that is still checkpointing is stopped.
    Duration stopGrace{}; ///< Time between the request for a checkpoint and the stop.

    bool backfilled{}; ///< The job is backfilled onto accelerators that are reserved for a larger gang.
    Duration reportedRunTime{}; ///< Run time since the current start, as of the last progress report.

    std::vector<WorkerIndex> failedOn; ///< Distinct workers, in order of the first failure.
    std::uint32_t failures{};
    std::uint32_t shapeNumber{}; ///< Equal for equal shapes; derived.
    std::uint32_t accelerators{}; ///< Number of accelerators of the whole gang; derived.
};

struct Team
{
    TeamSpec spec;
    std::set<JobNumber> waiting; ///< The team's waiting jobs; derived.
    std::uint32_t held{}; ///< Accelerators that the team's jobs hold; derived.
    std::uint32_t borrowed{}; ///< Part of held that is not on a guarantee; derived.
    std::uint32_t claimed{}; ///< Accelerators that the team's jobs claim from its guarantees; derived.
};

struct Guarantee
{
    std::shared_ptr<const GuaranteeSpec> spec;
    bool degraded{};
    std::vector<AcceleratorSet> cells; ///< The reserved accelerators of each part of the shape; empty when degraded.
};

struct WorkerHealth
{
    /// Distinct jobs that failed since the last probation. Each success removes the oldest one.
    std::vector<JobNumber> failedJobs;
    std::optional<Instant> probationUntil; ///< Set while the worker is on probation.
    std::uint32_t probations{}; ///< Consecutive probations without a successful job in between.
    bool draining{};
    bool lost{};
};

/// The state of the decision core. Members marked as derived are not in the snapshot; rebuild() restores them.
struct ClusterState
{
    PolicySettings policy;
    std::uint64_t seed{};
    Instant now{};
    std::uint64_t nextFence{1};
    JobNumber nextJob{1};
    Topology topology;
    std::vector<WorkerHealth> health;
    std::map<TeamId, Team> teams;
    std::vector<Guarantee> guarantees; ///< In order of admission.
    std::map<JobNumber, Job> jobs;
    std::set<std::pair<std::string, std::string>> drainingEndpoints; ///< Pairs of service and address.
    RunTimes runTimes;

    Occupancy occupancy; ///< Derived.
    std::map<JobId, JobNumber> jobByName; ///< Derived.
    std::set<JobNumber> waiting; ///< Derived.
    std::set<JobNumber> claiming; ///< Waiting jobs with a claim; derived.
    std::set<JobNumber> holding; ///< Jobs that hold accelerators; derived.
    std::set<std::pair<Instant, JobNumber>> ended; ///< Derived.
    std::map<std::string, std::uint32_t> shapeNumbers; ///< Derived.
};

/// Context in which one event is applied: the state, the time and the commands issued so far.
struct Step
{
    ClusterState &state;
    Instant now;
    std::vector<Command> commands;
    bool capacityGrew{}; ///< Capacity was added, so degraded guarantees may fit again.
    std::uint32_t fullRebinds{}; ///< Complete reassignments of reserved cells so far; each is expensive.

    /// Adds a NotifyOperator command.
    void notify(Severity severity, const std::string &text);
};

/// @throws Error(NotFound) if the job does not exist
Job &findJob(ClusterState &state, const JobId &id);
/// @return the job; nullptr if it does not exist
const Job *lookUpJob(const ClusterState &state, const JobId &id);
/// @throws Error(NotFound) if the team does not exist
Team &findTeam(ClusterState &state, const TeamId &id);
/// @return the jobs that hold any of the accelerators
std::set<JobNumber> holdersOf(const ClusterState &state, const AcceleratorSet &picks);
/// @return the jobs for which any of the accelerators are claimed
std::set<JobNumber> claimantsOf(const ClusterState &state, const AcceleratorSet &picks);
/// @return the accelerators as placements, one per worker
std::vector<Placement> placementsOf(const ClusterState &state, const AcceleratorSet &picks);
/// @return the accelerators as text, for example "w1[0-7], w2[0-3]"
std::string describe(const ClusterState &state, const AcceleratorSet &picks);
/// @return a number that identifies the shape; equal shapes have equal numbers
std::uint32_t shapeNumber(ClusterState &state, const Shape &shape);
/// Rebuilds all derived members.
void rebuild(ClusterState &state);

} // namespace heatherquay::state::detail
