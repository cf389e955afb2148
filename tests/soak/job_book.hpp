#pragma once

#include "emulator/fake_worker.hpp"
#include "soak/soak_report.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heatherquay::soak
{

/// A job as its client knows it.
struct SoakJob
{
    static constexpr std::int64_t taskMillicores = 2'000; ///< What each task requests.

    std::string id;
    std::vector<unsigned> steps; ///< Tasks of each step. Each step waits for the one before.
    std::optional<Clock::time_point> acceptedAt;
    bool rejectedOnly{true}; ///< All attempts to submit the job were answered with 429 or 503.
    bool cancelSent{};
    std::optional<Clock::time_point> cancelledAt; ///< When a cancellation was acknowledged.
    std::optional<Clock::time_point> completedAt; ///< When a client first saw the job completed.
};

/// All runs of one task on one worker.
struct SoakRun
{
    std::string worker;
    std::uint32_t number{};
    Clock::time_point start;
    std::optional<Clock::time_point> end;
    state::batch::EndKind how{};
    bool overloaded{}; ///< The start exceeded the worker's capacity.
    std::optional<Clock::time_point> confirmedAt; ///< Not set if the worker's lease has lapsed before.
};

/// The jobs of a round as clients and workers have seen them.
class JobBook
{
public:
    /// @param slots number of tasks that all workers can run together
    explicit JobBook(std::size_t slots)
        : m_slots(slots)
    {
    }
    /// Records a change on a worker. Thread-safe.
    /// @param overloaded whether the worker runs more tasks than it has room for
    void recordRun(const std::string &worker, const test::RunChange &change, bool overloaded);

    /// The following functions are for one thread.
    SoakJob &add(SoakJob job);
    /// @return the jobs that are accepted and neither completed nor cancelled
    const std::vector<SoakJob *> &live() const
    {
        return m_live;
    }
    /// @return all accepted jobs
    const std::vector<SoakJob *> &accepted() const
    {
        return m_accepted;
    }
    void accept(SoakJob &job);
    void complete(SoakJob &job);
    /// Notes that a cancellation is on its way, so that the job need not complete.
    void sendCancel(SoakJob &job);

    /// Reports the jobs that have had nothing running for a while in which half of the workers' room was free. Reports
    /// each once.
    void checkIdle(SoakReport &report);
    /// Checks the runs against what the clients have seen. Call it after the workers have stopped changing.
    void check(const Disturbances &disturbances, SoakReport &report) const;

private:
    using Runs = std::vector<SoakRun>;
    void checkTask(const state::batch::TaskId &task, const Runs &runs, const Disturbances &disturbances,
                   SoakReport &report) const;
    void checkJob(const SoakJob &job, SoakReport &report) const;
    /// @return when the task ended as done for the first time
    std::optional<Clock::time_point> doneAt(const state::batch::TaskId &task) const;
    void leaveLive(const SoakJob &job);

    /// What runs of a job at present.
    struct Activity
    {
        int running{};
        Clock::time_point lastChange;
    };

    std::size_t m_slots;
    std::map<std::string, SoakJob> m_jobs;
    std::vector<SoakJob *> m_live;
    std::vector<SoakJob *> m_accepted;
    std::set<std::string> m_idleJobs; ///< Those that were reported.
    mutable std::mutex m_mutex; ///< Guards the following members.
    std::map<std::string, Activity> m_activities;
    std::size_t m_running{};
    Clock::time_point m_busyAt; ///< When more than half of the room was last in use.
    std::map<state::batch::TaskId, Runs> m_runs;
};

} // namespace heatherquay::soak
