#include "soak/soak.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    using namespace heatherquay::soak;
    SoakOptions options;
    std::int64_t durationSeconds = options.duration.count();
    std::vector<std::string> faults{"planned", "unplanned"};
    CLI::App app("Runs real heatherquay processes beside an emulated platform, injects faults, and checks what clients "
                 "and workers see. HEATHERQUAY_BIN names the executable.");
    app.add_option("--seed", options.seed, "Seed of the first round")->capture_default_str();
    app.add_option("--rounds", options.rounds, "Number of rounds")->capture_default_str();
    app.add_option("--duration", durationSeconds, "Seconds of traffic and faults in a round")->capture_default_str();
    app.add_option("--processes", options.processes, "Number of nodes")
        ->check(CLI::Range(2, 200))
        ->capture_default_str();
    app.add_option("--clients", options.clients, "Number of clients")->capture_default_str();
    app.add_option("--rate", options.rate, "Requests of a client in a second")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--submissions", options.submissions, "Part of the requests that submit a job")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--share", options.share, "Part of the time in which a process runs")
        ->check(CLI::Range(0.05, 1.0))
        ->capture_default_str();
    app.add_option("--faults", faults, "Comma-separated names of faults, or \"planned\" or \"unplanned\" for a group")
        ->delimiter(',');
    app.add_option("--keep", options.logs, "Folder that keeps the logs of all rounds");
    CLI11_PARSE(app, argc, argv);
    options.duration = std::chrono::seconds(durationSeconds);
    for (const std::string &name : faults) {
        const std::vector<std::string> one{name};
        const auto &group = name == "planned" ? plannedFaults() : name == "unplanned" ? unplannedFaults() : one;
        options.faults.insert(options.faults.end(), group.begin(), group.end());
    }
    try {
        return runSoak(options) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "heatherquay-soak: " << error.what() << std::endl;
        return EXIT_FAILURE;
    }
}
