#pragma once

namespace heatherquay::app
{

/// Exit codes of the commands, documented in docs/commands.md. `serve` has exit statuses of its own, see runEntry().
enum class ExitCode
{
    Ok = 0,
    Refused = 1, ///< The entry rejected the request, or the settings are invalid; nothing changed.
    Usage = 2, ///< The command line is invalid.
    Unreachable = 3, ///< No entry responded, and nothing changed.
    OutcomeUnknown = 4 ///< The request was sent, but its outcome is unknown.
};

} // namespace heatherquay::app
