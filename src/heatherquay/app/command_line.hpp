#pragma once

#include <functional>
#include <ostream>
#include <string>

namespace heatherquay::app
{

/// How the program serves on a platform that starts it with a settings file of its own format.
struct PlatformService
{
    std::string settingsPath; ///< Empty when the platform has not started this process.
    std::function<int(const std::string &)> run; ///< Serves until SIGTERM. @return the program's exit status
};

/// Runs the program with the given arguments.
/// @return the exit code; see ExitCode
int runCommandLine(int argc, const char *const *argv, std::ostream &out, std::ostream &err,
                   const PlatformService &platform = {});

} // namespace heatherquay::app
