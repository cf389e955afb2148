#pragma once

#include "heatherquay/state/cluster.hpp"

#include <string>
#include <string_view>

namespace heatherquay::protocol
{

// Conversion of the scheduler's events, intents, commands, plans and views to and from JSON. Times are integers in
// milliseconds; their keys end in "_ms". Every decode function throws Error(BadInput), which names the key and the
// remedy, if the text is not JSON or if a key is unknown, missing or of the wrong type.

/// @return for example {"event":"worker_lost","worker":"w1"}
std::string encode(const state::Event &event);
state::Event decodeEvent(std::string_view text);

/// @return for example {"kind":"cancel","job":"j1"}
std::string encode(const state::Intent &intent);
state::Intent decodeIntent(std::string_view text);

/// @return for example {"command":"stop_gang","job":"j1","fence":4}
std::string encode(const state::Command &command);
state::Command decodeCommand(std::string_view text);

std::string encode(const state::PlanOutcome &outcome);
state::PlanOutcome decodePlanOutcome(std::string_view text);

std::string encode(const state::JobView &view);
std::string encode(const state::TeamView &view);
std::string encode(const state::WorkerView &view);
std::string encode(const state::ClusterTotals &totals);

} // namespace heatherquay::protocol
