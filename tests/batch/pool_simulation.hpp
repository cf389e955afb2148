#pragma once

#include "emulator/make_job.hpp"
#include "heatherquay/state/batch/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace heatherquay::test
{

using state::batch::TaskId;

/// True state of a simulated worker, which the scheduler sees only through reports.
struct SimulatedWorker
{
    state::batch::WorkerSpec spec;
    double speed{1}; ///< Seconds of work done per second.
    bool unreachable{}; ///< Does not answer; its runs continue until the lease expires.
    bool failsRuns{}; ///< Every run fails after a tenth of its work is done.
    bool hangs{}; ///< Runs make no progress.
    bool gone{}; ///< Has left for good.
    state::Instant failedAt; ///< When a run last failed there; zero before.
    state::Instant leaseUntil;
    std::uint64_t lastEnd{};
    std::vector<state::batch::EndReport> ended; ///< Ends that are not confirmed yet.
};

/// A run on a simulated worker.
struct SimulatedRun
{
    TaskId task;
    std::uint32_t run{};
    state::WorkerId worker;
    double done{}; ///< Completed work in milliseconds.
    double work{}; ///< Total work in milliseconds.
    bool stopping{};
    state::Instant stopsAt;
    std::uint32_t pace{100}; ///< Percent at which a best-effort run works.
    state::Instant overTargetSince; ///< Of a run with a latency target beside working best-effort runs; zero if below.
};

/// Drives a Scheduler without processes or network: executes its orders on simulated workers and checks on every start
/// that no scheduling rule is violated. Deterministic for a seed.
class PoolSimulation
{
public:
    explicit PoolSimulation(state::batch::SchedulerSettings settings = {}, std::uint64_t seed = 1);

    void setQueue(const std::string &name, const state::batch::QueuePolicy &policy);
    /// Adds workers to consecutive racks of @p perRack workers each.
    /// @return their IDs
    std::vector<state::WorkerId> addWorkers(std::uint32_t count, std::uint32_t perRack,
                                            const state::batch::Resources &capacity);
    /// Submits a job.
    /// @param work true run time of a task at speed 1; the declared estimate by default
    void submit(state::batch::JobSpec job, std::optional<state::Duration> work = std::nullopt);
    void cancel(const state::JobId &job);
    /// Announces that the worker will leave, so that it gets no new runs.
    void drain(const state::WorkerId &worker);
    /// Ends the worker and its runs. The platform no longer lists it.
    void remove(const state::WorkerId &worker);
    /// Ends the worker's runs and starts it again as a new incarnation under its id.
    void restart(const state::WorkerId &worker);
    /// Ends the active runs of the task as failed.
    void failRun(const TaskId &task);
    /// Records a cancellation without telling the scheduler, as if it crashed before learning of it.
    void cancelUnnoticed(const state::JobId &job);
    /// Advances the simulation in steps of 10 ms.
    void advance(state::Duration time);
    /// Like advance(), but the scheduler's process is suspended while the workers continue.
    void advanceWithoutScheduler(state::Duration time);
    /// Replaces the scheduler by a new one that knows only the recorded state, as in a failover of the decider.
    void replaceScheduler();

    state::batch::JobState stateOf(const state::JobId &job) const;
    /// @return the time from the job's acceptance to its end; std::nullopt while it has not ended
    std::optional<state::Duration> endOf(const state::JobId &job) const;
    std::uint32_t startsOf(const TaskId &task) const;
    /// @return the pace of the task's active run in percent; 0 without one
    std::uint32_t paceOf(const TaskId &task) const;
    std::size_t running() const
    {
        return m_runs.size();
    }
    /// @return the number of stored records of occurrences
    std::size_t records() const
    {
        return m_records.size();
    }
    const std::vector<SimulatedRun> &runs() const
    {
        return m_runs;
    }
    /// @return whether the task has an active run
    bool runs(const TaskId &task) const;
    /// @return whether all tasks of a step of the job's only occurrence are done
    bool done(const state::JobId &job, std::uint32_t step) const;
    const state::batch::StepSpec &stepOf(const TaskId &task) const;
    const std::map<state::WorkerId, SimulatedWorker> &workers() const
    {
        return m_workers;
    }
    state::batch::Scheduler &scheduler()
    {
        return *m_scheduler;
    }
    SimulatedWorker &worker(const state::WorkerId &id)
    {
        return m_workers.at(id);
    }
    state::Instant now() const
    {
        return m_now;
    }
    /// @return core-seconds of work that was done and lost
    double wasted() const
    {
        return m_wasted;
    }

    /// Response time relative to the target without best-effort runs, and what each of them adds at full pace.
    double ownPressure{0.5};
    double pressurePerBestEffortRun{0.8};
    bool confirmEnds{true}; ///< When false, workers keep reporting ends that are already recorded.
    /// Returns whether the answer to a start order is lost.
    std::function<bool(const state::batch::StartOrder &)> answerLost;
    std::set<state::WorkerId> advised; ///< Workers that the placement advice approves.
    state::batch::Decision latest; ///< Of the latest pass.
    std::vector<double> decisionTimes; ///< Of each decision in milliseconds, on the machine's clock.
    std::vector<std::string> violations; ///< Descriptions of violated rules.

private:
    void step();
    void advanceRuns();
    void sendReports();
    void execute(const state::batch::StartOrder &order);
    void execute(const state::batch::StopOrder &order);
    void execute(const state::batch::PaceOrder &order);
    /// @return the response time of a run with a latency target, which best-effort runs on its worker raise; 0 of
    /// others
    std::int64_t responseTime(const SimulatedRun &run) const;
    /// Checks that no run with a latency target stays over it because of best-effort runs.
    void checkResponseTimes();
    /// @return whether the task fits on another worker, where it neither disturbs nor is disturbed
    bool fitsUndisturbed(const TaskId &task, const state::WorkerId &except) const;
    void endRun(std::size_t position, state::batch::EndKind kind);
    bool gangRunning(const SimulatedRun &run) const;
    double workOf(const TaskId &task);
    void dropRuns(const state::WorkerId &worker);

    state::batch::SchedulerSettings m_settings;
    std::unique_ptr<state::batch::Scheduler> m_scheduler;
    std::mt19937_64 m_random;
    state::Instant m_now{state::Duration(1'000'000)};
    std::map<std::string, state::batch::QueuePolicy> m_queues;
    std::map<state::WorkerId, SimulatedWorker> m_workers;
    std::map<state::JobId, state::batch::JobSpec> m_jobs;
    std::map<state::JobId, state::Duration> m_work;
    std::map<TaskId, double> m_taskWork;
    std::vector<SimulatedRun> m_runs;
    std::map<state::JobId, state::batch::JobState> m_states;
    std::map<state::JobId, state::Instant> m_ends;
    std::map<std::tuple<state::JobId, std::uint32_t, std::uint32_t>, state::batch::OccurrenceRecord> m_records;
    std::map<state::JobId, state::batch::ScheduleRecord> m_schedules;
    std::map<TaskId, std::uint32_t> m_starts;
    std::set<TaskId> m_done;
    std::set<state::JobId> m_cancelled;
    std::map<std::string, state::Instant> m_tickets; ///< Issued tickets with their expiry times.
    double m_wasted{};
};

} // namespace heatherquay::test
