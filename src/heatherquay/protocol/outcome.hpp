#pragma once

#include <string_view>

namespace heatherquay::protocol
{

/// Outcome of a request as reported to the caller.
enum class Outcome
{
    Ran,
    NotRun,
    Unknown ///< The request may have run.
};

/// Name of the HTTP header field with the outcome.
inline constexpr std::string_view outcomeField = "Heatherquay-Outcome";

/// @return "ran", "not-run" or "unknown"
std::string_view toString(Outcome outcome);

} // namespace heatherquay::protocol
