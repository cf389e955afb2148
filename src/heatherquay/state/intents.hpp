#pragma once

#include "heatherquay/state/events.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heatherquay::state
{

// Requests of operators. Each intent becomes a plan; confirming the plan commits its events.

/// Declares a team or changes its share or quota.
struct TeamIntent
{
    TeamSpec team;
};
/// Grants or withdraws a guarantee.
struct GuaranteeIntent
{
    GuaranteeSpec guarantee;
    bool withdraw{};
};
/// Submits a job.
struct JobIntent
{
    JobSpec job;
};
/// Cancels a job.
struct CancelIntent
{
    JobId job;
};
/// Drains or readmits either a worker or an endpoint.
struct DrainIntent
{
    std::optional<WorkerId> worker;
    std::optional<ServiceId> service; ///< The service of the endpoint; set if and only if worker is not.
    std::string endpoint; ///< IP address and port of the endpoint.
    bool draining{true};
};
/// Changes a setting at run time.
struct SettingIntent
{
    SettingValue setting;
};

using Intent = std::variant<TeamIntent, GuaranteeIntent, JobIntent, CancelIntent, DrainIntent, SettingIntent>;

/// One change that a plan would make.
struct PlannedChange
{
    std::string object; ///< The changed object, for example "job/fit-17" or "worker/w3".
    std::string text; ///< Description of the change for operators.
};

/// A running gang that the plan would stop.
struct PlannedPreemption
{
    JobId job;
    TeamId team;
    Duration lostWork{}; ///< Expected run time lost by a stop after a checkpoint, including the restart.
};

/// The effects that an intent would have.
struct PlanOutcome
{
    bool admitted{};
    std::string refusal; ///< The reason and the remedy; empty if admitted.
    std::vector<Event> events; ///< Events that a confirmation commits.
    std::vector<PlannedChange> changes; ///< In the order in which they happen.
    std::vector<PlannedPreemption> preemptions;
    /// Objects on which the plan depends, for example "guarantees" or "worker/w3". A change of one makes it obsolete.
    std::vector<std::string> basedOn;
};

} // namespace heatherquay::state
