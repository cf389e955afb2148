#pragma once

#include "heatherquay/protocol/batch/worker_calls.hpp"

#include <optional>
#include <string>

namespace heatherquay::coordination::batch
{

/// Who decides. The row's version is the condition of all that this decider writes.
struct TermRecord
{
    protocol::batch::FencingToken token; ///< Grows with each term.
    std::string owner; ///< Name of the VM; empty when the last decider has resigned.
    std::string life; ///< Random, drawn at each start of the process.
    std::string address; ///< Where other processes reach the owner.
};

std::string encodeTerm(const TermRecord &term);
/// @return nothing when @p text is not a term
std::optional<TermRecord> decodeTerm(const std::string &text);

} // namespace heatherquay::coordination::batch
