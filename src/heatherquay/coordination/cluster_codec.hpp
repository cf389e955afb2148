#pragma once

#include "heatherquay/coordination/journal_record.hpp"

namespace heatherquay::coordination
{

/// @return the JSON codec for the events of state::Cluster
EventCodec clusterEventCodec();

} // namespace heatherquay::coordination
