#pragma once

#include "heatherquay/protocol/table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::protocol
{

// Encoding of requests to the table service and decoding of its responses, which are JSON.

std::string encodeTransaction(const Transaction &transaction);
std::string encodeRead(const std::vector<std::string> &keys);
std::string encodeScan(std::string_view from, std::string_view to, std::uint32_t limit);

/// @return the version of the committed rows
/// @throws Error(BadInput) for a malformed response
std::uint64_t parseCommitVersion(std::string_view body);
/// @return the current versions of the rows whose conditions did not hold
/// @throws Error(BadInput) for a malformed response
std::vector<Condition> parseConflicts(std::string_view body);
/// @throws Error(BadInput) for a malformed response
std::vector<Row> parseRows(std::string_view body);

} // namespace heatherquay::protocol
