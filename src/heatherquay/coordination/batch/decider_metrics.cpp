#include "heatherquay/coordination/batch/decider_metrics.hpp"

#include "heatherquay/transport/log.hpp"

#include <array>
#include <cmath>

namespace heatherquay::coordination::batch
{

namespace detail
{

std::string startOutcomeName(state::batch::StartOutcome outcome)
{
    constexpr std::array<const char *, 6> names{"started", "refused", "no-room", "no-ticket", "not-sent", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace detail

std::string jobStateName(state::batch::JobState state)
{
    constexpr std::array<const char *, 5> names{"queued", "running", "completed", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(state));
}

std::string endKindName(state::batch::EndKind kind)
{
    constexpr std::array<const char *, 6> names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string releaseReasonName(state::batch::ReleaseReason reason)
{
    constexpr std::array<const char *, 4> names{"lease-expired", "worker-restarted", "worker-replaced", "not-listed"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string stopReasonName(std::optional<state::batch::StopReason> reason)
{
    constexpr std::array<const char *, 10> names{"evicted",      "gang-incomplete", "member-ended", "worker-lost",
                                                 "hung",         "cancelled",       "job-failed",   "superseded",
                                                 "start-failed", "withdrawn"};
    return reason ? names.at(static_cast<std::size_t>(*reason)) : std::string();
}

DeciderMetrics::DeciderMetrics(transport::MetricsRegistry &registry)
    : m_registry(registry)
    , m_startLatency(
          registry.histogram("heatherquay_job_start_seconds", "Time from acceptance of a job to its first start"))
    , m_completionLatency(
          registry.histogram("heatherquay_job_end_seconds", "Time from acceptance of a job to its completion"))
    , m_decisionTime(registry.histogram("heatherquay_decision_seconds", "Time of one scheduling decision"))
    , m_lag(registry.histogram("heatherquay_decider_lag_seconds", "Delay of the decider's timers"))
    , m_pollWait(registry.histogram("heatherquay_poll_wait_seconds", "Wait of polls that are answered at once"))
{
}

void DeciderMetrics::recordRunTimes(const std::vector<state::batch::RunKindView> &kinds)
{
    for (const state::batch::RunKindView &kind : kinds) {
        if (!kind.image.empty() || !kind.shape.empty()) {
            continue; // Images and shapes are too many for labels.
        }
        const auto publish = [&](const char *name, const char *help, double value) {
            m_registry.gauge(name, help,
                             [value] {
                                 return value;
                             },
                             {{"queue", kind.queue}});
        };
        publish("heatherquay_run_time_observations", "Runs that the learned run times of a queue rest on",
                static_cast<double>(kind.runs));
        publish("heatherquay_run_time_censored", "Those of them that ended before their work was done",
                static_cast<double>(kind.censored));
        publish("heatherquay_run_time_median_seconds", "Learned median run time at normal worker speed",
                std::chrono::duration<double>(kind.median).count());
        publish("heatherquay_run_time_bound_seconds", "Learned run time that 90 % of the runs stay within",
                std::chrono::duration<double>(kind.bound).count());
        publish("heatherquay_run_time_to_declared_ratio", "Learned median relative to the mean declared time",
                kind.medianToDeclared);
        publish("heatherquay_run_time_coverage_ratio", "Completed runs that stayed within the bound", kind.coverage);
    }
}

void DeciderMetrics::countDecision(const state::batch::Decision &decision)
{
    for (const state::batch::JobStatus &status : decision.statuses) {
        m_registry
            .counter("heatherquay_jobs_total", "Job state transitions by queue and new state",
                     {{"queue", status.queue}, {"state", jobStateName(status.state)}})
            .add();
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(status.age);
        if (status.state == state::batch::JobState::Running) {
            m_startLatency.record(age);
        } else if (status.state == state::batch::JobState::Completed) {
            m_completionLatency.record(age);
        }
    }
    m_registry.counter("heatherquay_evictions_total", "Runs preempted by more urgent jobs")
        .add(decision.evictions.size());
    m_registry.counter("heatherquay_hung_total", "Runs aborted because they made no progress")
        .add(decision.hung.size());
    for (const state::batch::Release &release : decision.releases) {
        m_registry
            .counter("heatherquay_releases_total", "Runs given up without a reported end, by reason",
                     {{"reason", releaseReasonName(release.reason)}})
            .add();
    }
}

void DeciderMetrics::recordDecisionTime(std::chrono::microseconds time)
{
    m_decisionTime.record(time);
}

void DeciderMetrics::recordLag(std::chrono::microseconds lag)
{
    m_lag.record(lag);
}

void DeciderMetrics::recordPollWait(std::chrono::microseconds wait)
{
    m_pollWait.record(wait);
}

void DeciderMetrics::countStart(state::batch::StartOutcome outcome)
{
    m_registry
        .counter("heatherquay_starts_total", "Start orders by outcome",
                 {{"outcome", detail::startOutcomeName(outcome)}})
        .add();
}

void DeciderMetrics::countStop(bool answered)
{
    m_registry
        .counter("heatherquay_stops_total", "Stop orders by whether the worker answered",
                 {{"answered", answered ? "true" : "false"}})
        .add();
}

void DeciderMetrics::countPoll(bool answered)
{
    m_registry
        .counter("heatherquay_looks_total", "Polls of workers by whether the worker answered",
                 {{"answered", answered ? "true" : "false"}})
        .add();
}

void DeciderMetrics::countEnd(state::batch::EndKind kind)
{
    m_registry.counter("heatherquay_ends_total", "Ended runs by kind of end", {{"kind", endKindName(kind)}}).add();
}

void DeciderMetrics::reportTeams(const state::batch::TeamShares &shares)
{
    if (!shares.enabled()) {
        return;
    }
    std::string uses;
    for (auto &[team, value] : m_teamShares) {
        *value = shares.use(team);
    }
    for (const state::batch::TeamUse &use : shares.uses()) {
        auto &value = m_teamShares[use.team];
        if (value == nullptr) {
            value = std::make_shared<std::atomic<double>>(shares.use(use.team));
            m_registry.gauge("heatherquay_team_dominant_share", "Averaged share of the team's dominant resource",
                             [value] {
                                 return value->load();
                             },
                             {{"team", use.team.value}});
        }
        const auto percent = [](double share) {
            return std::to_string(std::lround(share * 100));
        };
        uses += (uses.empty() ? "" : " ") + use.team.value + ":" + percent(shares.use(use.team)) + "/"
            + percent(shares.fairShare(use.team)) + ":" + std::to_string(shares.rank(use.team));
    }
    transport::log(transport::LogLevel::Info, "team-shares", {{"use_percent", uses}});
}

void DeciderMetrics::countRecordWrite(bool stored)
{
    m_registry
        .counter("heatherquay_record_writes_total", "Writes of scheduler records by whether they were stored",
                 {{"stored", stored ? "true" : "false"}})
        .add();
}

} // namespace heatherquay::coordination::batch
