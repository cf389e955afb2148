#pragma once

#include "state/cluster_checker.hpp"

#include "heatherquay/state/cluster.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace heatherquay::tests
{

/// What a step does.
enum class Action
{
    Submit,
    Advance, ///< Advances the time.
    Finish,
    Cancel,
    Fail, ///< Reports a failed task of a running job.
    FailNextStart, ///< Makes the next start of a gang fail.
    LoseWorker,
    ReturnWorker,
    DrainWorker,
    UndrainWorker,
    GrantGuarantee,
    WithdrawGuarantee,
    ChangeQuota,
    SendStaleReport, ///< Sends a report about an earlier start of a job, which must be refused.
    ReportUsage,
    RestoreSnapshot ///< Replaces the cluster by one restored from its snapshot.
};
constexpr std::uint32_t actionCount = 16;

/// One step of a history.
///
/// The numbers select jobs, workers and so on, modulo the number of those that exist when the step is played. Therefore
/// a history stays valid when steps are removed from it, so it can be shrunk.
struct Step
{
    Action action{Action::Advance};
    std::uint32_t first{};
    std::uint32_t second{};
};
std::ostream &operator<<(std::ostream &out, const Step &step);

/// The hardware, teams and shapes that a history uses.
struct HistorySetup
{
    std::vector<state::WorkerSpec> workers;
    std::vector<state::TeamSpec> teams;
    std::vector<state::Shape> jobShapes;
    std::vector<state::Shape> guaranteeShapes;
};
/// @return six workers with four accelerators each, of two kinds, in three racks and two failure domains; three teams
HistorySetup smallSetup();
/// @return two workers with two accelerators each; two teams
HistorySetup tinySetup();

/// Plays a history on a cluster, simulates the workers' reports, and checks all rules of ClusterChecker.
class HistoryPlayer
{
public:
    HistoryPlayer(const HistorySetup &setup, std::uint64_t seed);

    /// Plays one step.
    /// @throws RuleViolation
    void play(const Step &step);
    /// Returns all workers to service and lets all jobs run to their end. A job that fits the cluster but never
    /// finishes violates a rule.
    /// @throws RuleViolation
    void finish();

    /// Writes all events except ticks and all commands as JSON to @p out, which must outlive the player.
    void setTrace(std::ostream &out);

    const ClusterChecker &checker() const;
    /// @return the number of events that the cluster has accepted so far
    std::uint64_t acceptedEvents() const;

private:
    /// A simulated worker report that is still to be delivered.
    struct PendingReport
    {
        state::Instant at;
        state::Event event;
    };

    /// Applies an event and checks the result.
    /// @param mustBeValid whether a refusal of the event violates a rule
    /// @return whether the cluster accepted the event
    bool applyEvent(const state::Event &event, bool mustBeValid);
    /// Schedules the workers' reports about the commands.
    void scheduleReports(const std::vector<state::Command> &commands);
    /// Advances the time and delivers the ticks and reports that are due.
    void advance(state::Duration time, state::Duration interval);
    void deliverReport(const state::Event &event);
    /// Checks that the cluster's views match the checker's model.
    void checkViews() const;
    void submit(std::uint32_t first, std::uint32_t second);
    void playOnJob(const Step &step);
    void playOnWorker(const Step &step);
    void playOnTeam(const Step &step);
    void playStaleReport(std::uint32_t first);
    void restoreSnapshot();
    std::vector<state::JobId> jobsIn(std::initializer_list<ObservedPhase> phases) const;
    /// @return whether the job would fit an empty cluster and its team's quota
    bool canRun(const ClusterChecker::Job &job) const;

    const HistorySetup *m_setup;
    state::Cluster m_cluster;
    ClusterChecker m_checker;
    state::Instant m_now;
    state::Instant m_nextTick;
    std::vector<PendingReport> m_pendingReports;
    std::vector<state::GuaranteeSpec> m_granted;
    std::set<state::WorkerId> m_lost;
    std::set<state::WorkerId> m_draining;
    std::uint32_t m_nextJob{};
    std::uint32_t m_nextGuarantee{};
    std::uint32_t m_startsToFail{};
    std::ostream *m_trace{};
    std::uint64_t m_acceptedEvents{};
};

/// @return a random history in which actions occur with different weights. With an even seed it contains no failures,
/// no lost or draining workers, no withdrawn guarantees and no changes of quotas.
std::vector<Step> randomHistory(std::uint64_t seed, std::size_t length);

/// Plays a whole history, followed by HistoryPlayer::finish().
/// @return the violated rule; empty if there is none
std::string playHistory(const HistorySetup &setup, const std::vector<Step> &history, std::uint64_t seed);

/// Shrinks a failing history: removes steps as long as it fails with the same message, apart from digits.
std::vector<Step> shrinkHistory(const HistorySetup &setup, std::vector<Step> history, std::uint64_t seed);

/// @return the events and commands of a history and the violated rule, one per line
std::string traceHistory(const HistorySetup &setup, const std::vector<Step> &history, std::uint64_t seed);

std::string describe(const std::vector<Step> &history);

} // namespace heatherquay::tests
