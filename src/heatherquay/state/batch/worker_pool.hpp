#pragma once

#include "heatherquay/state/batch/worker.hpp"
#include "heatherquay/state/batch/worker_speed.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// Health limits of workers.
struct WorkerPoolSettings
{
    /// A worker without an answer for this long gets no new work. Leaves time for two retries of a poll.
    Duration silenceMax{1'000};
    Duration quarantineInitial{3'000}; ///< Duration of the first quarantine; a few short tasks long. Doubles each time.
    Duration quarantineMax{12'000};
    std::uint32_t quarantineFailures{2}; ///< Consecutive failed runs, of different units, that quarantine a worker.
    /// Pause after a refusal for lack of capacity, during which the next poll corrects the known use.
    Duration capacityRefusalPause{300};
    /// Time over which the workers of a failure domain take new runs again after an evacuation, so that the work that
    /// waits does not start on all of them at once. Workers that are cold follow over another such time.
    Duration returnTime{1'500};
};

/// @return whether a registration changes nothing of the known one but what each heartbeat changes. It may be older
/// than the worker's own answers, which show a later incarnation.
bool isHeartbeat(const WorkerSpec &known, WorkerSpec registration);

/// A worker with its allocated resources and its health.
struct Worker
{
    WorkerSpec spec;
    bool registered{}; ///< Listed by the platform.
    bool evacuated{}; ///< Its failure domain is being evacuated: nothing is started there.
    Instant coldUntil; ///< Slow until then after its start, as it says of itself.
    Instant returnsAt; ///< Takes new runs from this time on after an evacuation.
    bool fenced{}; ///< Has answered this decider and therefore refuses orders of earlier deciders.
    Resources used; ///< Allocated to runs that may exist there and to reservations.
    std::uint32_t runs{}; ///< Runs that may exist there, and reservations.
    std::int64_t urgentAccelerators{}; ///< Of these, accelerators allocated to urgent jobs.
    std::uint32_t uncheckpointedRuns{}; ///< Of these, preemptible runs without checkpoints, whose work a stop loses.
    std::uint32_t latencyBoundRuns{}; ///< Of these, runs with a tail latency bound.
    std::size_t strayRuns{}; ///< Runs in its latest answer that belong to no job here. They take an unknown capacity.
    std::uint32_t bestEffortRuns{}; ///< Of these, best-effort runs, which raise the response times of others.
    /// Share in percent at which best-effort runs may work beside runs with a latency target.
    std::uint32_t sharingPace{};
    Instant sharingPaceChangedAt;
    Instant answeredAt; ///< When the worker last answered.
    bool unreachable{}; ///< The latest call was not answered.
    Instant leaseUntil; ///< End of the worker's lease; by then, all runs of an unresponsive worker have ended.
    std::uint32_t consecutiveFailures{};
    std::optional<StepId> suspectedBy; ///< Step of the latest run that hung here; empty after a successful run.
    Duration quarantine{};
    Instant quarantinedUntil;
    bool keptForUrgent{}; ///< Takes urgent jobs only, see UrgentReserve.
    bool lentToGangs{}; ///< Kept, but takes gangs of other jobs as well.
    bool slownessMeasured{}; ///< slowness rests on runs there that were compared with others of their step.
    double slowness{1}; ///< Learned run time relative to the expected one; 1 is normal speed.
    SpeedEstimate speed; ///< What slowness is computed from.

    Resources free() const
    {
        Resources available = spec.capacity;
        available -= used;
        return available;
    }
    bool isCold(Instant now) const
    {
        return now < coldUntil;
    }
    bool hasLabel(const std::string &label) const;
};

/// All workers known to the decider.
class WorkerPool
{
public:
    explicit WorkerPool(WorkerPoolSettings settings = {});

    /// Adds a worker or updates its registration.
    /// @param leaseUntil lease end of a worker that is not known yet; runs of earlier deciders may last until then
    /// @return whether the worker has restarted, which ended its earlier runs
    bool registerWorker(const WorkerSpec &spec, Instant leaseUntil);
    /// Marks the worker as no longer listed by the platform.
    void unregister(const WorkerId &id);
    /// @return the worker; an unknown one is created unregistered
    Worker &findOrCreate(const WorkerId &id, Instant leaseUntil);
    Worker *find(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    /// Marks the workers of the failure domains as evacuated, and all others as not evacuated. Also holds for workers
    /// that are registered later.
    /// @return the workers whose mark has changed
    std::vector<WorkerId> setEvacuatedDomains(const std::set<FailureDomainId> &domains, Instant now);
    /// Notes what a registered worker says about its warm-up.
    void setColdRemaining(const WorkerId &id, Duration remaining, Instant now);
    /// @return the number of registered workers that are slow after their start
    std::size_t coldCount(Instant now) const;
    /// @return the number of registered workers in the failure domain
    std::size_t countIn(const FailureDomainId &domain) const;
    /// @return the number of registered workers in evacuated failure domains
    std::size_t evacuatedCount() const;
    /// Removes the worker if it is unregistered and has no runs.
    void removeIfUnused(const WorkerId &id);

    void noteAnswer(Worker &worker, Instant now);
    /// Resets the count of failures and the quarantine.
    void noteSuccess(Worker &worker);
    /// Counts a failure and quarantines the worker after quarantineFailures consecutive ones.
    void noteFailure(Worker &worker, Instant now);
    /// Keeps new runs off the worker for at least @p pause.
    void suspendPlacement(Worker &worker, Instant now, Duration pause);

    /// @return whether new runs may be placed on the worker now
    /// @return the share of the registered workers that have answered this decider; 1 without workers
    double fencedShare() const;
    bool acceptsRuns(const Worker &worker, Instant now) const;
    /// @return whether the worker can take runs; it may be in quarantine
    static bool isUsable(const Worker &worker)
    {
        return worker.registered && worker.fenced && !worker.spec.draining && !worker.evacuated && !worker.unreachable
            && worker.strayRuns == 0;
    }
    const std::map<WorkerId, Worker> &all() const
    {
        return m_workers;
    }
    std::map<WorkerId, Worker> &all()
    {
        return m_workers;
    }

private:
    /// Lets the workers take new runs one after the other from @p from on.
    void spreadReturns(const std::vector<Worker *> &workers, Instant from) const;

    WorkerPoolSettings m_settings;
    std::map<WorkerId, Worker> m_workers;
    std::set<FailureDomainId> m_evacuatedDomains;
};

} // namespace heatherquay::state::batch
