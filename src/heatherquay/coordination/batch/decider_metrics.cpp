#include "heatherquay/coordination/batch/decider_metrics.hpp"

#include <array>

namespace heatherquay::coordination::batch
{

namespace detail
{

std::string outcomeName(state::batch::StartOutcome outcome)
{
    constexpr std::array<const char *, 5> names{"started", "refused", "no-room", "no-ticket", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace detail

std::string stateName(state::batch::JobState state)
{
    constexpr std::array<const char *, 5> names{"queued", "running", "completed", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(state));
}

std::string endName(state::batch::EndKind kind)
{
    constexpr std::array<const char *, 6> names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(kind));
}

DeciderMetrics::DeciderMetrics(transport::MetricsRegistry &registry)
    : m_registry(registry)
    , m_untilStart(registry.histogram("heatherquay_job_start_seconds", "From acceptance to the first start"))
    , m_untilEnd(registry.histogram("heatherquay_job_end_seconds", "From acceptance to completion"))
{
}

void DeciderMetrics::countDecision(const state::batch::Decision &decision)
{
    for (const state::batch::JobStatus &status : decision.statuses) {
        m_registry
            .counter("heatherquay_jobs_total", "Jobs by the state that they came into",
                     {{"queue", status.queue}, {"state", stateName(status.state)}})
            .add();
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(status.age);
        if (status.state == state::batch::JobState::Running) {
            m_untilStart.record(age);
        } else if (status.state == state::batch::JobState::Completed) {
            m_untilEnd.record(age);
        }
    }
    m_registry.counter("heatherquay_evictions_total", "Runs stopped for more urgent jobs")
        .add(decision.evictions.size());
    m_registry.counter("heatherquay_hung_total", "Runs given up for want of progress").add(decision.hung.size());
}

void DeciderMetrics::countStart(state::batch::StartOutcome outcome)
{
    m_registry
        .counter("heatherquay_starts_total", "Start orders by outcome", {{"outcome", detail::outcomeName(outcome)}})
        .add();
}

void DeciderMetrics::countStop(bool answered)
{
    m_registry.counter("heatherquay_stops_total", "Stop orders", {{"answered", answered ? "true" : "false"}}).add();
}

void DeciderMetrics::countLook(bool answered)
{
    m_registry.counter("heatherquay_looks_total", "Looks at workers", {{"answered", answered ? "true" : "false"}})
        .add();
}

void DeciderMetrics::countEnd(state::batch::EndKind kind)
{
    m_registry.counter("heatherquay_ends_total", "Ends of runs by kind", {{"kind", endName(kind)}}).add();
}

void DeciderMetrics::countRecords(bool stored)
{
    m_registry.counter("heatherquay_record_writes_total", "Writes of records", {{"stored", stored ? "true" : "false"}})
        .add();
}

} // namespace heatherquay::coordination::batch
