#pragma once

#include "emulator/platform_emulator.hpp"
#include "heatherquay/app/log_reader.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "system/entry_process.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

namespace heatherquay::system_test
{

using namespace std::chrono_literals;

inline constexpr const char *key = "secret";
inline constexpr const char *host = "jobs.example";

/// Three processes of the system on separate loopback addresses, connected to an emulated platform.
struct PlatformFixture
{
    explicit PlatformFixture(std::chrono::milliseconds taskDuration = 400ms)
        : platform(8, taskDuration)
        , directory(std::filesystem::temp_directory_path() / ("heatherquay-platform-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(directory);
        platform.configure(R"({"version":1,"routes":[{"name":"batch","host":"jobs.example","prefix":"/batch/",)"
                           R"("service":"service","priority":1,"maxAttempts":3,"stretch":3,"latencyTargetMs":1000,)"
                           R"("timeoutMs":3000}],"tenants":[{"name":"t","apiKeys":["secret"]}]})");
        ports = freePorts(3);
        for (int i = 0; i < 3; ++i) {
            startProcess(i);
        }
        BOOST_REQUIRE(waitFor(
            [this] {
                bool ready = decider() >= 0;
                for (int i = 0; i < 3; ++i) {
                    ready = ready && call(i, "GET", "/batch/", "").status == 200;
                }
                return ready;
            },
            10s));
    }

    ~PlatformFixture()
    {
        processes.clear();
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }

    std::string address(int i, std::size_t port) const
    {
        return "127.0.0." + std::to_string(i + 2) + ":" + std::to_string(ports[port]);
    }

    std::string settingsOf(int i) const
    {
        return "node = \"vm-" + std::to_string(i) + "\"\nzone = \"z\"\nseeds = [\"" + address(0, 2)
            + "\"]\nnews = 1\n[listen]\nfront = \"" + address(i, 0) + "\"\nready = \"" + address(i, 1)
            + "\"\ncontrol = \"" + address(i, 2) + "\"\n[platform]\naddress = \"" + platform.storeAddress()
            + "\"\n[limits]\ncpuShare = " + std::to_string(0.2 + 0.3 * i)
            + "\n[bounds]\nmaxHoldMs = 6000\ngraceS = 6\n";
    }

    void startProcess(int i)
    {
        processes[i] = std::make_unique<EntryProcess>("vm-" + std::to_string(i), settingsOf(i), directory,
                                                      "HEATHERQUAY_NODE_FILE");
    }

    transport::HttpResponse call(int i, const std::string &method, const std::string &path, const std::string &body,
                                 const std::string &bearer = key)
    {
        boost::asio::io_context context;
        transport::HttpRequest request;
        request.method = method;
        request.target = path;
        request.fields.set("Host", host);
        request.fields.set("Authorization", "Bearer " + bearer);
        request.body = body;
        transport::HttpClient client(context.get_executor(), transport::parseAddress(address(i, 0)), 1);
        auto result = boost::asio::co_spawn(context, client.send(request, 3s), boost::asio::use_future);
        context.run();
        auto exchange = result.get();
        if (exchange.progress != transport::ExchangeProgress::Answered) {
            exchange.response.status = 0;
        }
        return exchange.response;
    }

    template<typename Condition>
    static bool waitFor(Condition condition, std::chrono::seconds timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(50ms);
        }
        return true;
    }

    unsigned submit(int i, const std::string &id, int tasks)
    {
        return call(i, "POST", "/batch/" + id,
                    R"({"spec":"x","steps":[{"count":)" + std::to_string(tasks)
                        + R"(,"cpu":1000,"memMb":10,"gpu":1,"estimateMs":300}]})")
            .status;
    }

    bool completes(const std::string &id, int i, std::chrono::seconds timeout)
    {
        return waitFor(
            [&] {
                return call(i, "GET", "/batch/" + id, "").body.find("completed") != std::string::npos;
            },
            timeout);
    }

    /// @return the index of the process that is the decider; -1 for none
    int decider()
    {
        const std::string term = platform.runOnEmulatorThread([](test::PlatformEmulator &emulator) {
            return emulator.store().value({"hq-board", "decider", "!term"});
        });
        for (int i = 0; i < 3; ++i) {
            if (term.find("\"vm-" + std::to_string(i) + "\"") != std::string::npos) {
                return i;
            }
        }
        return -1;
    }

    std::vector<app::LogLine> logs() const
    {
        std::vector<app::LogLine> lines;
        for (int i = 0; i < 3; ++i) {
            std::ifstream file(directory / ("vm-" + std::to_string(i) + ".log"));
            const auto read = app::readLog(file, "vm-" + std::to_string(i));
            lines.insert(lines.end(), read.begin(), read.end());
        }
        return lines;
    }

    /// @return whether the job's history contains @p events, pairs of event name and log text, in this order
    bool historyContainsInOrder(const std::string &id,
                                const std::vector<std::pair<std::string, std::string>> &events) const
    {
        std::size_t next = 0;
        const auto history = app::jobHistory(id, logs());
        for (const app::LogLine &line : history) {
            if (next < events.size() && line.event == events[next].first
                && app::toText(line).find(events[next].second) != std::string::npos) {
                ++next;
            }
        }
        if (next < events.size()) {
            return false;
        }
        for (const app::LogLine &line : history) {
            BOOST_TEST_MESSAGE(app::toText(line));
        }
        return true;
    }

    test::PlatformEmulator platform;
    std::filesystem::path directory;
    std::vector<std::uint16_t> ports;
    std::map<int, std::unique_ptr<EntryProcess>> processes;
};

} // namespace heatherquay::system_test
