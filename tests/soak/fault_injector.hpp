#pragma once

#include "emulator/platform_emulator.hpp"
#include "soak/soak_node.hpp"
#include "soak/soak_options.hpp"
#include "soak/soak_report.hpp"
#include "soak/tcp_proxy.hpp"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace heatherquay::soak
{

/// What the faults of a round act on.
struct FaultTargets
{
    boost::asio::io_context *io{};
    std::vector<SoakNode *> nodes;
    std::vector<TcpProxy *> storeLinks; ///< One for each node.
    test::PlatformEmulator *platform{};
    SoakReport *report{};
    Disturbances *disturbances{};
    std::uint64_t *configurationVersion{}; ///< Version of the newest configuration.
};

/// @param version version of the configuration; it selects settings that do not affect the jobs
std::string soakConfiguration(std::uint64_t version);

/// Draws series of faults and carries them out, several series at the same time.
class FaultInjector
{
public:
    FaultInjector(FaultTargets targets, std::vector<std::string> faults, std::uint64_t seed);
    /// Runs one series after the other until @p end. All faults are repaired when it returns.
    boost::asio::awaitable<void> run(Clock::time_point end);

private:
    std::chrono::milliseconds between(std::chrono::milliseconds low, std::chrono::milliseconds high);
    std::size_t drawIndex(std::size_t size);
    bool draws(double probability);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    boost::asio::awaitable<void> inject(std::string fault);
    boost::asio::awaitable<void> stopAndStart();
    boost::asio::awaitable<void> kill(std::vector<SoakNode *> nodes);
    boost::asio::awaitable<void> freeze();
    boost::asio::awaitable<void> harmWorker(std::string fault);
    boost::asio::awaitable<void> harmStore(std::string fault);
    boost::asio::awaitable<void> harmLinks(std::string fault);
    /// Waits until the process is gone, and starts the node unless another series has done so.
    /// @param starts number of the node's starts before
    boost::asio::awaitable<void> startAgain(SoakNode &node, unsigned starts, std::chrono::milliseconds delay);

    FaultTargets m_targets;
    std::vector<std::string> m_faults;
    std::mt19937_64 m_random;
};

} // namespace heatherquay::soak
