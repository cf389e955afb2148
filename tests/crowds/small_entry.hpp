#pragma once

#include "crowds/small_process.hpp"
#include "standins/endpoints.hpp"
#include "standins/objects.hpp"
#include "standins/table.hpp"
#include "standins/vms.hpp"
#include "system/caller.hpp"

#include <boost/asio/executor_work_guard.hpp>

namespace heatherquay::crowds
{

// All bodies inside the limits together hold 32 MiB, or twice that while a string grows; an entry itself less than 20
// MB.
inline constexpr std::size_t connectionsMax = 128;
inline constexpr std::size_t entryMemoryMax = 120'000'000;
// SHA-256 of "caller-token" and "operator-token".
inline constexpr const char *callerTokenHash = "42759dabeaa13003b4a08844d414105fbbe66726b223dccb182613678f2c0d1a";
inline constexpr const char *operatorTokenHash = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";
inline const Target productTarget{
    "POST /services/hire-desk/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller-token\r\n",
    "GET /readyz HTTP/1.1\r\nHost: h\r\n"};

/// Additions to the settings of a SmallEntry.
struct EntryOptions
{
    std::string limits; ///< Lines of the section "limits".
    std::string service; ///< Lines of the section "service".
    std::vector<std::string> endpoints; ///< Addresses of endpoints in place of the stand-ins.
};

/// One entry with lowered limits, and stand-ins of what it needs in this process.
struct SmallEntry
{
    explicit SmallEntry(const EntryOptions &options = {})
        : ports(system_test::freePorts(3))
        , directory(std::filesystem::temp_directory_path() / ("heatherquay-crowds-entry-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(directory);
        std::vector<std::string> addresses = options.endpoints;
        if (addresses.empty()) {
            addresses = endpoints.addresses();
        } else {
            // Only a listed entry gets slots.
            vms.put({"e0", "127.0.0.1:" + std::to_string(ports[2]), "entry", "", "live"});
        }
        for (const std::string &address : addresses) {
            vms.put({address, address, "endpoint", endpoints.service(), "live"});
        }
        thread = std::jthread([this] {
            io.run();
        });
        process = std::make_unique<system_test::EntryProcess>("e0", settings(options), directory);
    }
    ~SmallEntry()
    {
        process.reset();
        io.stop();
        thread.join();
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }

    std::string settings(const EntryOptions &options) const
    {
        const auto address = [this](std::size_t port) {
            return "\"127.0.0.1:" + std::to_string(ports[port]) + "\"\n";
        };
        const std::string connections = std::to_string(connectionsMax);
        return "[entry]\nid = \"e0\"\nregion = \"viti\"\nfailure_domain = \"suva\"\npeer_secret = "
               "\"s\"\n[listen]\ncallers = "
            + address(0) + "operators = " + address(1) + "peers = " + address(2) + "[limits]\nbody = \"256KiB\"\n"
            + options.limits + "connections = " + connections + "\nconnections_per_caller = " + connections
            + "\n[table]\naddress = \"" + table.address() + "\"\n[object_store]\naddress = \"" + objects.address()
            + "\"\n[vm_list]\naddress = \"" + vms.address()
            + "\"\nevery = \"200ms\"\n[[team]]\nid = \"guitars\"\ntoken_sha256 = [\"" + callerTokenHash
            + "\"]\n[[operator]]\nname = \"o\"\ntoken_sha256 = [\"" + operatorTokenHash
            + "\"]\n[[service]]\nid = \"hire-desk\"\nrequest_timeout = \"4s\"\n" + options.service;
    }

    /// Repeats an ordinary request until it is served.
    bool answers() const
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (system_test::sendOnce(ports[0], "GET", "/readyz", "", "", "", 1s).status != 200) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(50ms);
        }
        return true;
    }

    /// Sends an ordinary request beside a crowd.
    bool answersWithRetries() const
    {
        return isAnsweredWithRetries([this] {
            return system_test::sendOnce(ports[0], "GET", "/readyz", "", "", "", 3s).status;
        });
    }

    /// Sends an operator's request beside a crowd.
    bool answersOperatorsWithRetries() const
    {
        return isAnsweredWithRetries([this] {
            return system_test::sendOnce(ports[1], "GET", "/healthz", "", "", "", 3s).status;
        });
    }

    /// Checks what the entry held beside a crowd that has left.
    void checkBounds(const ProcessPeak &peak) const
    {
        checkPeak(peak, entryMemoryMax, descriptorsMax);
        BOOST_TEST(!process->poll().has_value(), "the process has ended");
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard{io.get_executor()};
    standins::StandinTable table{io.get_executor()};
    standins::StandinObjects objects{io.get_executor()};
    standins::StandinVms vms{io.get_executor()};
    standins::StandinEndpoints endpoints{io.get_executor(), {.count = 2, .enforceLimits = false, .serviceTime = 10ms}};
    std::vector<std::uint16_t> ports; ///< For callers, operators and peers.
    std::filesystem::path directory;
    std::jthread thread;
    std::unique_ptr<system_test::EntryProcess> process;
};

} // namespace heatherquay::crowds
