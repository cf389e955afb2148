#pragma once

#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <optional>
#include <string>

namespace heatherquay::coordination::batch
{

/// The leader of a term. All writes of that leader's decider are conditional on the version of this row.
struct TermRecord
{
    protocol::batch::FencingToken token; ///< Increases with each term.
    std::string owner; ///< Name of the VM; empty when the last leader has resigned.
    std::string incarnationId; ///< Random id of this start of the process; stored as "life".
    std::string address; ///< Address at which other processes reach the owner.
};

/// @return the record as JSON text for the term row
std::string encodeTerm(const TermRecord &term);
/// @return the decoded record; nothing when @p text is not a term record
std::optional<TermRecord> decodeTerm(const std::string &text);

} // namespace heatherquay::coordination::batch
