#pragma once

#include "heatherquay/state/batch/scheduler.hpp"
#include "heatherquay/transport/metrics.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace heatherquay::coordination::batch
{

/// Metrics of the decider: job states, orders, polls, ends of runs and writes of records.
class DeciderMetrics
{
public:
    explicit DeciderMetrics(transport::MetricsRegistry &registry);

    void countDecision(const state::batch::Decision &decision);
    void countStart(state::batch::StartOutcome outcome);
    void countStop(bool answered);
    void countPoll(bool answered);
    void countEnd(state::batch::EndKind kind);
    void countRecordWrite(bool stored);
    /// Publishes what is believed of the run times of each queue.
    void recordRunTimes(const std::vector<state::batch::RunKindView> &kinds);
    /// Logs and exports the use of each team, while it is divided between teams.
    void reportTeams(const state::batch::TeamShares &shares);
    /// @param time how long the scheduler took for one decision
    void recordDecisionTime(std::chrono::microseconds time);
    /// @param lag how late a timer of the decider fired
    void recordLag(std::chrono::microseconds lag);
    /// @param wait how long a poll that is answered at once waited to be sent
    void recordPollWait(std::chrono::microseconds wait);

private:
    transport::MetricsRegistry &m_registry;
    transport::LatencyHistogram &m_startLatency;
    transport::LatencyHistogram &m_completionLatency;
    transport::LatencyHistogram &m_decisionTime;
    transport::LatencyHistogram &m_lag;
    transport::LatencyHistogram &m_pollWait;
    /// Dominant share by team, shared with the gauges.
    std::map<state::TeamId, std::shared_ptr<std::atomic<double>>> m_teamShares;
};

/// @return the name of a job's state in logs and metrics, such as "running"
std::string jobStateName(state::batch::JobState state);
/// @return the name of a kind of run end in logs and metrics, such as "done"
std::string endKindName(state::batch::EndKind kind);
/// @return the name of the reason in logs and metrics, such as "lease-expired"
std::string releaseReasonName(state::batch::ReleaseReason reason);
/// @return the reason as used in log lines; empty for no reason
std::string stopReasonName(std::optional<state::batch::StopReason> reason);

} // namespace heatherquay::coordination::batch
