#pragma once

#include "heatherquay/state/cluster.hpp"
#include "heatherquay/state/intents.hpp"
#include "heatherquay/state/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::coordination
{

/// The state of one object on which a plan is based. The plan is out of date if the object has another state now.
struct PlanBasis
{
    std::string object; ///< For example "setting/policy.reclaim_grace".
    std::string state; ///< For comparison and error messages only; not parsed.

    friend bool operator==(const PlanBasis &, const PlanBasis &) = default;
};

/// An operator's intent and its effects. A plan takes effect only after it has been confirmed.
struct Plan
{
    state::PlanId id;
    state::Intent intent;
    state::PlanOutcome outcome;
    std::vector<PlanBasis> basis;
    std::uint64_t journalNumber{}; ///< Last record applied when the plan was created.
    state::Instant expiresAt;
};

/// @return the states of the object that the intent changes and of each gang that it would preempt
std::vector<PlanBasis> collectBasis(const state::Cluster &cluster, const state::Intent &intent,
                                    const state::PlanOutcome &outcome);

/// @return the first difference, as a message for operators; empty if there is none
std::string describeDifference(const std::vector<PlanBasis> &planned, const std::vector<PlanBasis> &current);

/// @return the plan as the JSON that is stored in the table
std::string encodePlan(const Plan &plan);
/// @throws Error(BadInput) for a malformed plan
Plan decodePlan(std::string_view text);

/// @return the key of the row that stores a plan
std::string planKey(const state::PlanId &id);

} // namespace heatherquay::coordination
