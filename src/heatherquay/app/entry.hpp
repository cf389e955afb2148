#pragma once

namespace heatherquay::state
{
struct EntrySettings;
}

namespace heatherquay::app
{

/// Runs an entry until SIGTERM or SIGINT. Ends the process with status 3 on a second signal or when requests are still
/// in progress after the configured stop timeout.
/// @return exit status 0 after a graceful stop
/// @throws Error(BadInput) when an address is malformed or cannot be bound
int runEntry(const state::EntrySettings &settings);

} // namespace heatherquay::app
