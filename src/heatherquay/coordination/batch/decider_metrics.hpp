#pragma once

#include "heatherquay/state/batch/scheduler.hpp"
#include "heatherquay/transport/metrics.hpp"

#include <string>

namespace heatherquay::coordination::batch
{

/// Counts what the decider does.
class DeciderMetrics
{
public:
    explicit DeciderMetrics(transport::MetricsRegistry &registry);

    void countDecision(const state::batch::Decision &decision);
    void countStart(state::batch::StartOutcome outcome);
    void countStop(bool answered);
    void countLook(bool answered);
    void countEnd(state::batch::EndKind kind);
    void countRecords(bool stored);

private:
    transport::MetricsRegistry &m_registry;
    transport::LatencyHistogram &m_untilStart;
    transport::LatencyHistogram &m_untilEnd;
};

/// @return the name of a job's state in logs and metrics, such as "running"
std::string stateName(state::batch::JobState state);
/// @return the name of an end in logs and metrics, such as "done"
std::string endName(state::batch::EndKind kind);

} // namespace heatherquay::coordination::batch
