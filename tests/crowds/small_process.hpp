#pragma once

#include "crowds/crowd.hpp"
#include "crowds/crowd_samples.hpp"
#include "crowds/staying_crowd.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "system/entry_process.hpp"

#include <chrono>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

namespace heatherquay::crowds
{

using namespace std::chrono_literals;

// The bounds are the limits in the settings of the test, which are half of the smallest VM's memory and a sixth of its
// descriptors.
inline constexpr std::size_t memoryMb = 64;
inline constexpr std::size_t memoryMax = memoryMb * 1'000'000;
inline constexpr std::size_t descriptorsMax = 500;
inline constexpr const char *serverAddress = "127.0.0.21";
inline const Target platformTarget{
    "POST /batch/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer secret\r\n",
    "GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer secret\r\n"};

inline constexpr const char *platformConfiguration
    = R"({"version":1,"routes":[{"name":"batch","host":"jobs.example","prefix":"/batch/",)"
      R"("service":"service","priority":1,"maxAttempts":3,"stretch":3,"latencyTargetMs":1000,)"
      R"("timeoutMs":3000}],"tenants":[{"name":"t","apiKeys":["secret"]}]})";
inline constexpr std::size_t workers = 8;

/// @param memoryBound bytes
inline void checkPeak(const ProcessPeak &peak, std::size_t memoryBound, std::size_t descriptorsBound)
{
    constexpr std::size_t megabyte = 1'000'000;
    std::cout << "resident " << peak.resident / megabyte << " MB, unread " << peak.unread / megabyte << " MB, together "
              << peak.memory / megabyte << " MB, descriptors " << peak.descriptors << '\n';
    BOOST_TEST(peak.resident > 0U);
    BOOST_TEST(peak.memory <= memoryBound);
    BOOST_TEST(peak.descriptors <= descriptorsBound);
}

/// Sends a request as a client of the platform does: with up to four retries, each after the time that a refusal names.
/// @param request sends it once, and returns the status of the response or 0
/// @return whether it was answered with 200
inline bool isAnsweredWithRetries(const std::function<unsigned()> &request)
{
    constexpr int retries = 4;
    constexpr std::chrono::seconds retryAfter{1};
    bool answered = request() == 200;
    for (int retry = 0; retry < retries && !answered; ++retry) {
        std::this_thread::sleep_for(retryAfter);
        answered = request() == 200;
    }
    return answered;
}

/// Limits in the settings of a process, which are also the bounds that a test checks.
struct ProcessLimits
{
    std::size_t memoryMb{crowds::memoryMb};
    std::size_t descriptors{descriptorsMax};
};

/// One process of the system with lowered limits.
struct SmallProcess
{
    explicit SmallProcess(const std::string &storeAddress, ProcessLimits processLimits = {})
        : limits(processLimits)
        , ports(system_test::freePorts(3))
        , directory(std::filesystem::temp_directory_path() / ("heatherquay-crowds-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(directory);
        const auto address = [this](std::size_t port) {
            return std::string("\"") + serverAddress + ":" + std::to_string(ports[port]) + "\"\n";
        };
        process = std::make_unique<system_test::EntryProcess>(
            "vm-0",
            "node = \"vm-0\"\nzone = \"z\"\nseeds = []\n[listen]\nfront = " + address(0) + "ready = " + address(1)
                + "control = " + address(2) + "[platform]\naddress = \"" + storeAddress
                + "\"\n[limits]\ncpuShare = 0.5\nmemoryMb = " + std::to_string(limits.memoryMb)
                + "\nfileDescriptors = " + std::to_string(limits.descriptors) + "\n[bounds]\nmaxHoldMs = 6000\n",
            directory, "HEATHERQUAY_NODE_FILE");
    }
    ~SmallProcess()
    {
        process.reset();
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }

    /// @return the status of the response to an ordinary request; 0 without one
    unsigned request() const
    {
        return send(ports[0], "/batch/");
    }

    /// Repeats an ordinary request until it is answered as expected.
    bool answers(unsigned status) const
    {
        return repeatUntil(status, [this] {
            return request();
        });
    }

    /// Sends an ordinary request beside a crowd.
    bool answersWithRetries() const
    {
        return isAnsweredWithRetries([this] {
            return request();
        });
    }

    /// Sends a readiness check beside a crowd.
    bool isReadyWithRetries() const
    {
        return isAnsweredWithRetries([this] {
            return send(ports[1], "/v1/readiness");
        });
    }

    void checkBounds(std::size_t descriptors) const
    {
        const std::size_t memory = peakMemory(process->pid());
        std::cout << "peak memory " << memory / 1'000'000 << " MB, descriptors " << descriptors << '\n';
        BOOST_TEST(!process->poll().has_value(), "the process has ended");
        BOOST_TEST(memory > 0U);
        BOOST_TEST(memory <= memoryMax);
        BOOST_TEST(descriptors <= descriptorsMax);
    }

    /// Checks what the process held beside a crowd that has left.
    void checkBounds(const ProcessPeak &peak) const
    {
        checkPeak(peak, limits.memoryMb * 1'000'000, limits.descriptors);
        BOOST_TEST(!process->poll().has_value(), "the process has ended");
    }

    unsigned send(std::uint16_t port, const std::string &target) const
    {
        boost::asio::io_context context;
        transport::HttpRequest request;
        request.method = "GET";
        request.target = target;
        request.fields.set("Host", "jobs.example");
        request.fields.set("Authorization", "Bearer secret");
        transport::HttpClient client(context.get_executor(),
                                     transport::parseAddress(serverAddress + (":" + std::to_string(port))), 1);
        auto result = boost::asio::co_spawn(context, client.send(request, 3s), boost::asio::use_future);
        context.run();
        const auto exchange = result.get();
        return exchange.progress == transport::ExchangeProgress::Answered ? exchange.response.status : 0;
    }

    static bool repeatUntil(unsigned status, const std::function<unsigned()> &request)
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (request() != status) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(50ms);
        }
        return true;
    }

    ProcessLimits limits;
    std::vector<std::uint16_t> ports; ///< For callers, readiness checks and peers.
    std::filesystem::path directory;
    std::unique_ptr<system_test::EntryProcess> process;
};

} // namespace heatherquay::crowds
