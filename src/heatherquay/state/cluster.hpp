#pragma once

#include "heatherquay/state/commands.hpp"
#include "heatherquay/state/events.hpp"
#include "heatherquay/state/intents.hpp"
#include "heatherquay/state/policy_settings.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::state
{

enum class JobPhase
{
    Waiting,
    Starting, ///< The job holds accelerators and its gang members are being started.
    Running,
    Stopping, ///< The job is being preempted or cancelled and still holds its accelerators.
    Parked, ///< The job cannot run and waits for an operator.
    Finished,
    Cancelled
};

/// The state of a job as reported by the API.
struct JobView
{
    JobSpec spec;
    JobPhase phase{JobPhase::Waiting};
    Fence fence;
    std::vector<Placement> placements;
    bool onGuarantee{}; ///< The job runs on its team's guarantee, so no other job can preempt it.
    Instant submittedAt;
    std::optional<Instant> startedAt;
    std::optional<Instant> endedAt;
    double progress{}; ///< Fraction of the work that is done, 0 to 1.
    std::string reason; ///< Why the job waits or is parked.
};

struct TeamView
{
    TeamSpec spec;
    std::vector<GuaranteeSpec> guarantees;
    std::vector<GuaranteeId> degraded; ///< Guarantees that the remaining hardware cannot satisfy.
    std::uint32_t heldAccelerators{};
    std::uint32_t borrowedAccelerators{}; ///< Held accelerators of jobs that do not run on a guarantee.
    std::uint32_t waitingJobs{};
};

enum class WorkerPhase
{
    Live,
    Draining, ///< Gets no new work.
    Probation, ///< Gets no new work for a while, because several distinct jobs failed on it.
    Lost ///< Unreachable.
};

struct WorkerView
{
    WorkerSpec spec;
    WorkerPhase phase{WorkerPhase::Live};
    std::uint32_t busyAccelerators{};
};

struct ClusterTotals
{
    std::uint32_t accelerators{}; ///< On live workers.
    std::uint32_t free{};
    std::uint32_t waitingJobs{};
    std::uint32_t runningJobs{};
    /// Fraction of the free accelerators that the largest waiting or guaranteed shape cannot use.
    double fragmentation{};
};

/// The decision core: a deterministic state machine that performs no I/O. The same events produce the same state.
class Cluster
{
public:
    explicit Cluster(PolicySettings settings = {}, std::uint64_t seed = 1);
    Cluster(const Cluster &other);
    Cluster(Cluster &&other) noexcept;
    Cluster &operator=(const Cluster &other);
    Cluster &operator=(Cluster &&other) noexcept;
    ~Cluster();

    /// Applies one event.
    /// @param now the time of the event; a time earlier than that of the previous call is replaced by the previous one
    /// @return the resulting commands, in order
    /// @throws Error(BadInput, NotFound or Conflict) if the event is not valid in this state; the state is unchanged
    std::vector<Command> apply(const Event &event, Instant now);

    /// Computes what an intent would change, without changing the state.
    /// @return the outcome; a refused intent is reported in it, not as an exception
    PlanOutcome preview(const Intent &intent, Instant now) const;

    /// @return the open commands: starts without an outcome and stops without a confirmation. Another entry dispatches
    /// them if the responsible one failed between commit and dispatch.
    std::vector<Command> openCommands() const;

    std::optional<JobView> job(const JobId &id) const;
    std::optional<TeamView> team(const TeamId &id) const;
    std::optional<WorkerView> worker(const WorkerId &id) const;
    std::vector<JobView> jobs() const; ///< Ordered by id; ended jobs are retained for a limited time.
    std::vector<TeamView> teams() const;
    std::vector<WorkerView> workers() const;
    std::vector<SettingValue> settings() const; ///< Current values, ordered by key.
    std::vector<EndpointDraining> drainingEndpoints() const;
    ClusterTotals totals() const;

    /// @return a hash of the whole state; equal states have equal fingerprints
    std::uint64_t fingerprint() const;

    /// @return the whole state as text, for snapshots
    std::string serialize() const;
    /// Restores a state that serialize() returned.
    /// @throws Error(BadInput) if @p text is damaged or has another snapshot version
    static Cluster deserialize(const std::string &text);

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace heatherquay::state
