#include "heatherquay/app/entry.hpp"

#include "heatherquay/app/entry_process.hpp"
#include "heatherquay/transport/log.hpp"

#include <atomic>
#include <csignal>
#include <cstdlib>

#include <pthread.h>
#include <unistd.h>

namespace heatherquay::app
{

namespace detail
{

/// The process exits with this status when it did not stop gracefully.
constexpr int forcedExitStatus = 3;

std::atomic<int> signalCount{0};

/// The first signal starts a graceful stop; the second one ends the process at once.
extern "C" void handleStopSignal(int)
{
    if (signalCount.fetch_add(1) > 0) {
        ::_exit(forcedExitStatus);
    }
}

/// Unblocks all signals while it waits; the caller has to block the stop signals.
void waitForFirstSignal()
{
    sigset_t none;
    sigemptyset(&none);
    while (signalCount.load() == 0) {
        sigsuspend(&none);
    }
}

} // namespace detail

int runEntry(const state::EntrySettings &settings)
{
    transport::configureLog(settings.logLevel);
    // Threads inherit the mask, so only the main thread receives the stop signals, in waitForFirstSignal().
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGTERM, detail::handleStopSignal);
    std::signal(SIGINT, detail::handleStopSignal);
    std::signal(SIGPIPE, SIG_IGN);

    EntryProcess entry(settings);
    entry.start();
    detail::waitForFirstSignal();
    pthread_sigmask(SIG_UNBLOCK, &stopSignals, nullptr);
    transport::log(transport::LogLevel::Info, "stopping", {{"entry", settings.id.value}});
    const bool stoppedInTime = entry.stop();
    transport::log(transport::LogLevel::Info, "stopped", {{"in_time", stoppedInTime ? "true" : "false"}});
    if (!stoppedInTime) {
        transport::closeLog();
        ::_exit(detail::forcedExitStatus);
    }
    return EXIT_SUCCESS;
}

} // namespace heatherquay::app
