#pragma once

#include "heatherquay/coordination/plan.hpp"
#include "heatherquay/state/cluster.hpp"

#include <boost/json/object.hpp>

namespace heatherquay::coordination
{

struct EntryStatus;

// Response bodies of the operator interface.

boost::json::object statusJson(const EntryStatus &status, const state::ClusterTotals &totals);
boost::json::object jobJson(const state::JobView &job);
boost::json::object teamJson(const state::TeamView &team);
boost::json::object workerJson(const state::WorkerView &worker);
boost::json::object planJson(const Plan &plan);

} // namespace heatherquay::coordination
