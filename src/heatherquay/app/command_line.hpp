#pragma once

#include <functional>
#include <ostream>
#include <string>

namespace heatherquay::app
{

/// Entry point for a platform that starts the program with a settings file in its own format.
struct PlatformService
{
    std::string settingsPath; ///< Empty when the process was not started by the platform.
    std::function<int(const std::string &)> run; ///< Runs until SIGTERM. @return the exit status of the process
};

/// Parses the arguments and runs the selected command.
/// @param out receives results, @param err error messages
/// @param platform used by `serve` when no --config is given
/// @return the exit code of the process, see ExitCode; `serve` returns the exit status of the entry
int runCommandLine(int argc, const char *const *argv, std::ostream &out, std::ostream &err,
                   const PlatformService &platform = {});

} // namespace heatherquay::app
