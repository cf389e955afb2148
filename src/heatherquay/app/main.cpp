#include "heatherquay/app/command_line.hpp"
#include "platform/node.hpp"

#include <iostream>

int main(int argc, char **argv)
{
    const heatherquay::app::PlatformService platform{heatherquay::platform::settingsPath(),
                                                     heatherquay::platform::runNode};
    return heatherquay::app::runCommandLine(argc, argv, std::cout, std::cerr, platform);
}
