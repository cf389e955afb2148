#include "soak/soak.hpp"

#include "soak/fault_injector.hpp"
#include "soak/soak_client.hpp"

#include <array>
#include <iostream>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::soak
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace detail
{

constexpr std::uint32_t workerCount = 12;
constexpr std::array workerSpeeds{0.6, 1.0, 1.6};
constexpr std::size_t tasksPerWorker = 4; // Few, so that all workers are busy and faults of workers hit runs.
constexpr auto taskDuration = 500ms;
constexpr auto gracePeriod = 6'000ms;
constexpr auto startTime = 15'000ms;
constexpr auto checkInterval = 10ms;
constexpr auto jobCheckInterval = 200ms;
constexpr auto calmBeforeIdleJob = 7'000ms; // The time without progress, and the platform's span before it.
constexpr auto stallTime = 10'000ms; // Without any completed job, after the faults.
constexpr auto settleTime = 120'000ms;
constexpr std::size_t seriesAtOnce = 3;
constexpr unsigned callerPort = 20'001;
constexpr unsigned readinessPort = 20'002;
constexpr unsigned peerPort = 20'003;

/// @return the loopback address of a node, which no other soak on this machine uses
std::string nodeAddress(std::size_t index)
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "."
        + std::to_string(2 + index);
}

std::string nodeSettings(std::size_t index, double share, const std::string &store)
{
    const auto address = [](std::size_t node, unsigned port) {
        return "\"" + nodeAddress(node) + ":" + std::to_string(port) + "\"";
    };
    return "node = \"vm-" + std::to_string(index) + "\"\nzone = \"z\"\nseeds = [" + address(0, peerPort) + ", "
        + address(1, peerPort) + "]\n[listen]\nfront = " + address(index, callerPort)
        + "\nready = " + address(index, readinessPort) + "\ncontrol = " + address(index, peerPort)
        + "\n[platform]\naddress = \"" + store + "\"\n[limits]\ncpuShare = " + std::to_string(share)
        + "\nfileDescriptors = 4100\n[bounds]\nmaxHoldMs = 6000\ngraceS = "
        + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(gracePeriod).count()) + "\n";
}

asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace detail

namespace
{

/// One round of a soak.
class Round
{
public:
    Round(const SoakOptions &options, std::uint64_t seed, const std::filesystem::path &directory);
    ~Round();
    SoakReport play();

private:
    void observeWorkers();
    asio::awaitable<void> run();
    asio::awaitable<void> runClient(unsigned number);
    asio::awaitable<void> injectFaults(std::size_t series, Clock::time_point end);
    /// Waits until each node answers state queries.
    asio::awaitable<bool> started();
    asio::awaitable<void> settle();
    asio::awaitable<void> stopAll();
    /// Looks for jobs that wait without need, while no unplanned fault is near.
    asio::awaitable<void> watchJobs();
    /// Notices ended processes, and those that exceed their grace period.
    asio::awaitable<void> watchProcesses();
    void judgeExit(const SoakNode &node, const SoakNode::Exit &exit, std::chrono::milliseconds stopTime);

    const SoakOptions &m_options;
    std::uint64_t m_seed;
    SoakReport m_report;
    Disturbances m_disturbances;
    std::uint64_t m_configurationVersion{1};
    JobBook m_book{detail::workerCount * detail::tasksPerWorker};
    asio::io_context m_io;
    asio::io_context m_proxyIo;
    asio::executor_work_guard<asio::io_context::executor_type> m_proxyWork;
    test::PlatformEmulator m_platform;
    std::vector<std::unique_ptr<TcpProxy>> m_proxies;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    ClientContext m_clients;
    FaultTargets m_targets;
    std::unique_ptr<DutyCycle> m_dutyCycle;
    std::size_t m_activeSeries{};
    std::size_t m_activeClients{};
    bool m_watching{true};
    std::jthread m_proxyThread;
};

Round::Round(const SoakOptions &options, std::uint64_t seed, const std::filesystem::path &directory)
    : m_options(options)
    , m_seed(seed)
    , m_report(seed, directory / "timeline.log")
    , m_proxyWork(m_proxyIo.get_executor())
    , m_platform(detail::workerCount, detail::taskDuration)
{
    observeWorkers();
    m_platform.configure(soakConfiguration(m_configurationVersion));
    const std::size_t colon = m_platform.storeAddress().rfind(':');
    const asio::ip::tcp::endpoint store(
        asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(std::stoul(m_platform.storeAddress().substr(colon + 1))));
    for (std::size_t i = 0; i < options.processes; ++i) {
        m_proxies.push_back(std::make_unique<TcpProxy>(m_proxyIo, store));
        m_targets.storeLinks.push_back(m_proxies.back().get());
        m_nodes.push_back(std::make_unique<SoakNode>(
            "vm-" + std::to_string(i), detail::nodeAddress(i) + ":" + std::to_string(detail::callerPort),
            detail::nodeSettings(i, options.share, m_proxies.back()->address()), directory));
        m_targets.nodes.push_back(m_nodes.back().get());
    }
    m_targets.io = &m_io;
    m_targets.platform = &m_platform;
    m_targets.report = &m_report;
    m_targets.disturbances = &m_disturbances;
    m_targets.configurationVersion = &m_configurationVersion;
    m_clients = {&m_io, &options, m_targets.nodes, &m_book, &m_report, &m_disturbances};
    m_proxyThread = std::jthread([this] {
        m_proxyIo.run();
    });
}

Round::~Round()
{
    m_dutyCycle.reset();
    m_proxyIo.stop();
    m_proxyThread.join();
}

void Round::observeWorkers()
{
    m_platform.runOnEmulatorThread([this](test::PlatformEmulator &emulator) {
        for (std::size_t i = 0; i < emulator.workers().size(); ++i) {
            test::FakeWorker &worker = *emulator.workers()[i];
            const double speed = detail::workerSpeeds[i % detail::workerSpeeds.size()];
            worker.taskDuration = std::chrono::duration_cast<std::chrono::milliseconds>(detail::taskDuration / speed);
            worker.leaseMax = 6'000ms;
            worker.spec.capacity.cpuMillicores = detail::tasksPerWorker * SoakJob::taskMillicores;
            emulator.registerWorker(i);
            worker.observer = [this, &worker](const test::RunChange &change) {
                m_book.recordRun(worker.spec.id.value, change, worker.running() > detail::tasksPerWorker);
            };
        }
        return true;
    });
}

SoakReport Round::play()
{
    for (const auto &node : m_nodes) {
        node->start();
    }
    if (m_options.share < 1) {
        m_dutyCycle = std::make_unique<DutyCycle>(m_targets.nodes, m_options.share);
    }
    asio::co_spawn(m_io, run(), asio::detached);
    asio::co_spawn(m_io, watchProcesses(), asio::detached);
    asio::co_spawn(m_io, watchJobs(), asio::detached);
    m_io.run();
    m_platform.runOnEmulatorThread([](test::PlatformEmulator &emulator) {
        for (const auto &worker : emulator.workers()) {
            worker->endDueRuns();
            worker->observer = nullptr;
        }
        return true;
    });
    m_book.check(m_disturbances, m_report);
    return std::move(m_report);
}

asio::awaitable<void> Round::run()
{
    if (co_await started()) {
        m_report.note("traffic begins");
        for (unsigned number = 0; number < m_options.clients; ++number) {
            ++m_activeClients;
            asio::co_spawn(m_io, runClient(number), asio::detached);
        }
        const auto end = Clock::now() + m_options.duration;
        for (std::size_t series = 0; series < detail::seriesAtOnce; ++series) {
            ++m_activeSeries;
            asio::co_spawn(m_io, injectFaults(series, end), asio::detached);
        }
        while (Clock::now() < end || m_activeSeries > 0) {
            co_await detail::pause(detail::checkInterval);
        }
        co_await settle();
        m_clients.running = false;
        while (m_activeClients > 0) {
            co_await detail::pause(detail::checkInterval);
        }
    } else {
        m_report.violation({Clock::now(), "START", "", "", "the processes do not serve"});
    }
    co_await stopAll();
    m_watching = false;
}

asio::awaitable<void> Round::runClient(unsigned number)
{
    SoakClient client(m_clients, m_seed * 10'000 + number);
    co_await client.run();
    --m_activeClients;
}

asio::awaitable<void> Round::injectFaults(std::size_t series, Clock::time_point end)
{
    FaultInjector injector(m_targets, m_options.faults, m_seed * 10 + series);
    co_await injector.run(end);
    --m_activeSeries;
}

asio::awaitable<bool> Round::started()
{
    const auto deadline = Clock::now() + detail::startTime;
    while (Clock::now() < deadline) {
        std::size_t ready = 0;
        for (const auto &node : m_nodes) {
            ready += co_await SoakClient::ready(m_io, *node) ? 1 : 0;
        }
        if (ready == m_nodes.size()) {
            co_return true;
        }
        co_await detail::pause(100ms);
    }
    co_return false;
}

asio::awaitable<void> Round::settle()
{
    m_report.note("traffic ends, " + std::to_string(m_book.live().size()) + " jobs live");
    m_clients.submitting = false;
    const auto begin = Clock::now();
    auto lastProgress = begin;
    std::size_t left = m_book.live().size();
    while (!m_book.live().empty() && Clock::now() < lastProgress + detail::stallTime
           && Clock::now() < begin + detail::settleTime) {
        co_await detail::pause(detail::checkInterval);
        if (m_book.live().size() < left) {
            lastProgress = Clock::now();
        }
        left = m_book.live().size();
    }
    m_report.count("settle-ms",
                   static_cast<std::uint64_t>(
                       std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin).count()));
    m_report.count("accepted", m_book.accepted().size());
    for (const SoakJob *job : m_book.live()) {
        m_report.violation({Clock::now(), "LOST", "", job->id, "an accepted job does not complete"});
    }
}

asio::awaitable<void> Round::stopAll()
{
    m_report.note("stop all");
    for (const auto &node : m_nodes) {
        if (node->state() == SoakNode::State::Running) {
            node->terminate();
        }
    }
    for (const auto &node : m_nodes) {
        while (node->processPresent()) {
            co_await detail::pause(detail::checkInterval);
        }
    }
}

asio::awaitable<void> Round::watchJobs()
{
    while (m_watching) {
        co_await detail::pause(detail::jobCheckInterval);
        if (m_disturbances.calmSince(Clock::now(), detail::calmBeforeIdleJob)) {
            m_book.checkIdle(m_report);
        }
    }
}

asio::awaitable<void> Round::watchProcesses()
{
    while (m_watching) {
        for (const auto &node : m_nodes) {
            const auto stopTime = node->stoppingFor();
            if (const auto exit = node->reap()) {
                judgeExit(*node, *exit, stopTime);
                if (exit->stateBefore == SoakNode::State::Running) {
                    node->start();
                }
            } else if (stopTime > detail::gracePeriod) {
                m_report.note("grace period exceeded " + node->name());
                if (m_disturbances.calmSince(Clock::now() - stopTime)) {
                    m_report.violation({Clock::now(), "GRACE", node->name(), "", "does not end after SIGTERM"});
                }
                node->kill();
            }
        }
        co_await detail::pause(detail::checkInterval);
    }
}

void Round::judgeExit(const SoakNode &node, const SoakNode::Exit &exit, std::chrono::milliseconds stopTime)
{
    const std::string status = "wait status " + std::to_string(exit.status);
    m_report.note("ended " + node.name() + " " + status + " " + std::to_string(stopTime.count()) + " ms after SIGTERM");
    if (exit.stateBefore == SoakNode::State::Running) {
        m_report.violation({Clock::now(), "EXIT", node.name(), "", "ended by itself, " + status});
    } else if (exit.stateBefore == SoakNode::State::Stopping) {
        m_report.count("stops");
        if (!WIFEXITED(exit.status) || WEXITSTATUS(exit.status) != 0) {
            m_report.violation({Clock::now(), "EXIT", node.name(), "", "ended after SIGTERM with " + status});
        }
    }
}

} // namespace

SoakReport runRound(const SoakOptions &options, std::uint64_t seed, const std::filesystem::path &directory)
{
    std::filesystem::create_directories(directory);
    return Round(options, seed, directory).play();
}

std::size_t runSoak(const SoakOptions &options)
{
    const bool keepAll = !options.logs.empty();
    const auto base = keepAll ? options.logs : std::filesystem::temp_directory_path() / "heatherquay-soak";
    std::size_t violations = 0;
    for (std::uint64_t seed = options.seed; seed < options.seed + options.rounds; ++seed) {
        const auto directory = base / ("seed-" + std::to_string(seed) + "-process-" + std::to_string(::getpid()));
        const SoakReport report = runRound(options, seed, directory);
        report.print(std::cout);
        violations += report.violations().size();
        if (!report.violations().empty()) {
            std::cout << "logs: " << directory.string() << std::endl;
        } else if (!keepAll) {
            std::error_code ignored;
            std::filesystem::remove_all(directory, ignored);
        }
    }
    return violations;
}

} // namespace heatherquay::soak
