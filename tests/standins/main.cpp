#include "standins/control.hpp"
#include "standins/endpoints.hpp"
#include "standins/objects.hpp"
#include "standins/table.hpp"
#include "standins/vms.hpp"
#include "standins/workers.hpp"

#include "heatherquay/error.hpp"

#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <CLI/CLI.hpp>

using namespace heatherquay;
using namespace heatherquay::standins;

namespace
{

struct Options
{
    std::string control{"127.0.0.1:0"};
    std::string table{"127.0.0.1:0"};
    std::string objects{"127.0.0.1:0"};
    std::string vms{"127.0.0.1:0"};
    std::int64_t vmLag{0};
    std::int64_t serviceTime{20};
    std::int64_t checkpointTime{50};
    unsigned threads{2};
    bool ignoreLimits{};
    bool continueOnDisconnect{};
    WorkersOptions workers;
    EndpointsOptions endpoints;
};

void addWorkerOptions(CLI::App &app, Options &options)
{
    app.add_option("--workers", options.workers.count, "Number of workers");
    app.add_option("--accelerators", options.workers.accelerators, "Accelerators per worker");
    app.add_option("--region", options.workers.region, "Region of the workers");
    app.add_option("--failure-domains", options.workers.failureDomains, "Failure domains, comma-separated")
        ->delimiter(',');
    app.add_option("--kinds", options.workers.kinds,
                   "Accelerator kinds, comma-separated, assigned to the workers round-robin")
        ->delimiter(',');
    app.add_option("--workers-per-rack", options.workers.workersPerRack, "Workers per rack")
        ->check(CLI::PositiveNumber);
    app.add_option("--checkpoint-ms", options.checkpointTime,
                   "Time in milliseconds that a task takes to write a checkpoint");
    app.add_option("--worker-port", options.workers.firstPort, "Port of the first worker; 0 selects free ports");
}

void addEndpointOptions(CLI::App &app, Options &options)
{
    app.add_option("--service", options.endpoints.service, "Name of the service");
    app.add_option("--endpoints", options.endpoints.count, "Number of endpoints");
    app.add_option("--slots", options.endpoints.slots, "Maximum number of concurrent requests per endpoint");
    app.add_option("--connections", options.endpoints.connections, "Maximum number of open connections per endpoint");
    app.add_option("--service-ms", options.serviceTime, "Mean service time in milliseconds");
    app.add_option("--speeds", options.endpoints.speedFactors,
                   "Speed factors, comma-separated, assigned to the endpoints round-robin")
        ->delimiter(',');
    app.add_flag("--no-guard", options.ignoreLimits,
                 "Endpoints only count requests and connections beyond their limits instead of refusing them");
    app.add_flag("--run-on", options.continueOnDisconnect,
                 "Runs continue after their caller has closed the connection");
    app.add_option("--seed", options.endpoints.seed, "Seed of the random service times");
    app.add_option("--endpoint-port", options.endpoints.firstPort, "Port of the first endpoint; 0 selects free ports");
}

/// Owns the stand-ins of this process and runs them.
struct StandinHost
{
    boost::asio::io_context io;
    std::unique_ptr<StandinTable> table;
    std::unique_ptr<StandinObjects> objects;
    std::unique_ptr<StandinVms> vms;
    std::unique_ptr<StandinWorkers> workers;
    std::unique_ptr<StandinEndpoints> endpoints;
    std::unique_ptr<ControlServer> control;

    void start(const Options &options, bool wantTable, bool wantObjects, bool wantVms, bool wantWorkers,
               bool wantEndpoints);
    /// Adds the endpoints and workers of this process to its VM list.
    void registerVms() const;
    void printAddresses() const;
    void run(unsigned threads);
};

void StandinHost::start(const Options &options, bool wantTable, bool wantObjects, bool wantVms, bool wantWorkers,
                        bool wantEndpoints)
{
    const auto executor = io.get_executor();
    std::vector<Standin *> startedStandins;
    const auto addStandin = [&startedStandins](auto &slot, auto standin) {
        slot = std::move(standin);
        startedStandins.push_back(slot.get());
    };
    if (wantTable) {
        addStandin(table, std::make_unique<StandinTable>(executor, options.table));
    }
    if (wantObjects) {
        addStandin(objects, std::make_unique<StandinObjects>(executor, options.objects));
    }
    if (wantVms) {
        addStandin(vms, std::make_unique<StandinVms>(executor, options.vms));
    }
    if (wantWorkers) {
        addStandin(workers, std::make_unique<StandinWorkers>(executor, options.workers));
    }
    if (wantEndpoints) {
        addStandin(endpoints, std::make_unique<StandinEndpoints>(executor, options.endpoints));
    }
    control = std::make_unique<ControlServer>(executor, startedStandins, options.control);
    registerVms();
    if (vms) {
        vms->control("", {{"lag_ms", options.vmLag}});
    }
}

void StandinHost::registerVms() const
{
    if (vms && endpoints) {
        std::size_t number = 0;
        for (const std::string &address : endpoints->addresses()) {
            vms->put({"e" + std::to_string(number++), address, "endpoint", endpoints->service(), "live"});
        }
    }
    if (vms && workers) {
        for (const auto &worker : workers->workers()) {
            vms->put({worker.id, worker.address, "worker", "", "live"});
        }
    }
}

void StandinHost::printAddresses() const
{
    std::cout << "control=" << control->address() << '\n';
    if (table) {
        std::cout << "table=" << table->address() << '\n';
    }
    if (objects) {
        std::cout << "objects=" << objects->address() << '\n';
    }
    if (vms) {
        std::cout << "vms=" << vms->address() << '\n';
    }
    if (workers) {
        for (const auto &worker : workers->workers()) {
            std::cout << "worker." << worker.id << '=' << worker.address << '\n';
        }
    }
    if (endpoints) {
        std::size_t number = 0;
        for (const std::string &address : endpoints->addresses()) {
            std::cout << "endpoint.e" << number++ << '=' << address << '\n';
        }
    }
    std::cout << "ready=1" << std::endl;
}

void StandinHost::run(unsigned threads)
{
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code &, int) {
        io.stop();
    });
    std::vector<std::jthread> pool;
    for (unsigned thread = 1; thread < threads; ++thread) {
        pool.emplace_back([this] {
            io.run();
        });
    }
    io.run();
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{
        "Stand-ins for the platform that heatherquay runs on. Prints the addresses of all listeners, one name=value"
        " per line, then ready=1. Stops on SIGTERM or SIGINT."};
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--control", options.control, "Address of the control interface");
    app.add_option("--threads", options.threads, "Threads")->check(CLI::Range(1, 64));
    const auto *all = app.add_subcommand("all", "All stand-ins in one process");
    const auto *table = app.add_subcommand("table", "Transactional table service");
    const auto *objects = app.add_subcommand("objects", "Object store");
    const auto *vms = app.add_subcommand("vms", "List of VMs");
    const auto *workers = app.add_subcommand("workers", "Workers, one port each");
    const auto *endpoints = app.add_subcommand("endpoints", "Endpoints, one port each");
    app.add_option("--table", options.table, "Address of the table service");
    app.add_option("--objects", options.objects, "Address of the object store");
    app.add_option("--vms", options.vms, "Address of the VM list");
    app.add_option("--vm-lag-ms", options.vmLag, "Time in milliseconds until a change is visible in the VM list");
    addWorkerOptions(app, options);
    addEndpointOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    options.endpoints.serviceTime = std::chrono::milliseconds(options.serviceTime);
    options.endpoints.enforceLimits = !options.ignoreLimits;
    options.endpoints.cancelOnDisconnect = !options.continueOnDisconnect;
    options.workers.checkpointTime = std::chrono::milliseconds(options.checkpointTime);
    try {
        StandinHost host;
        const bool startAll = all->parsed();
        host.start(options, startAll || table->parsed(), startAll || objects->parsed(), startAll || vms->parsed(),
                   startAll || workers->parsed(), startAll || endpoints->parsed());
        host.printAddresses();
        host.run(options.threads);
    } catch (const std::exception &error) {
        std::cerr << "heatherquay-standins: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
