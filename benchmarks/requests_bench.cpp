#include "bench_options.hpp"

#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "standins/endpoints.hpp"
#include "standins/objects.hpp"
#include "standins/table.hpp"
#include "standins/vms.hpp"
#include "system/entry_process.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <unistd.h>

// Measures the latency that one entry adds to a direct request to the endpoint, and the throughput of the entry per
// core. The endpoints respond at once, so that the difference is the time of the entry.

using namespace heatherquay;
using namespace heatherquay::benchmarks;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace
{

/// SHA-256 hash of the token "caller-token".
constexpr const char *callerTokenHash = "42759dabeaa13003b4a08844d414105fbbe66726b223dccb182613678f2c0d1a";
constexpr unsigned concurrentCallers = 32;
constexpr std::size_t blockCount = 10;

/// Runs the stand-ins in this process and one entry as a separate process.
struct Environment
{
    explicit Environment(std::uint64_t seed)
        : endpoints(io.get_executor(), {.count = 8, .serviceTime = 0ms, .seed = seed})
    {
        for (const std::string &address : endpoints.addresses()) {
            vms.put({address, address, "endpoint", endpoints.service(), "live"});
        }
        for (int thread = 0; thread < 2; ++thread) {
            threads.emplace_back([this] {
                io.run();
            });
        }
        std::string pattern = (std::filesystem::temp_directory_path() / "heatherquay-bench-XXXXXX").string();
        directory = ::mkdtemp(pattern.data());
        const auto ports = system_test::freePorts(3);
        const auto address = [&ports](std::size_t index) {
            return "\"127.0.0.1:" + std::to_string(ports[index]) + "\"\n";
        };
        entryPort = ports[0];
        const std::string settings
            = "[entry]\nid = \"e\"\nregion = \"r\"\nfailure_domain = \"d\"\npeer_secret = \"s\"\n"
              "log_level = \"warn\"\n[listen]\ncallers = "
            + address(0) + "operators = " + address(1) + "peers = " + address(2) + "[table]\naddress = \""
            + table.address() + "\"\n[object_store]\naddress = \"" + objects.address() + "\"\n[vm_list]\naddress = \""
            + vms.address() + "\"\n[[team]]\nid = \"t\"\ntoken_sha256 = [\"" + callerTokenHash
            + "\"]\n[[service]]\nid = \"hire-desk\"\n";
        entry = std::make_unique<system_test::EntryProcess>("entry", settings, directory);
    }
    ~Environment()
    {
        entry.reset();
        io.stop();
        threads.clear();
        std::filesystem::remove_all(directory);
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{io.get_executor()};
    standins::StandinTable table{io.get_executor()};
    standins::StandinObjects objects{io.get_executor()};
    standins::StandinVms vms{io.get_executor()};
    standins::StandinEndpoints endpoints;
    std::vector<std::jthread> threads;
    std::filesystem::path directory;
    std::uint16_t entryPort{};
    std::unique_ptr<system_test::EntryProcess> entry;
};

transport::HttpRequest makeRequest(bool throughEntry)
{
    transport::HttpRequest request{.method = "GET", .target = throughEntry ? "/services/hire-desk/a?ms=0" : "/a?ms=0"};
    request.fields.add("Authorization", "Bearer caller-token");
    return request;
}

/// Sends requests one after the other until @p done returns true for the number of requests sent.
/// @return the latencies of the successful requests in microseconds
asio::awaitable<std::vector<double>> sendUntil(std::string address, bool throughEntry,
                                               std::function<bool(std::size_t)> done, std::size_t &failures)
{
    const transport::HttpRequest request = makeRequest(throughEntry);
    transport::HttpClient client(co_await asio::this_coro::executor, transport::parseAddress(address), 1);
    std::vector<double> latencies;
    for (std::size_t sent = 0; !done(sent); ++sent) {
        const auto startedAt = Clock::now();
        const transport::ExchangeResult result = co_await client.send(request, 5s);
        const bool succeeded
            = result.progress == transport::ExchangeProgress::Answered && result.response.status == 200;
        failures += succeeded ? 0 : 1;
        if (succeeded) {
            latencies.push_back(std::chrono::duration<double, std::micro>(Clock::now() - startedAt).count());
        }
    }
    co_return latencies;
}

std::vector<double> sendBlock(const std::string &address, bool throughEntry, std::size_t count, std::size_t &failures)
{
    asio::io_context io;
    auto future = asio::co_spawn(io,
                                 sendUntil(
                                     address, throughEntry,
                                     [count](std::size_t sent) {
                                         return sent >= count;
                                     },
                                     failures),
                                 asio::use_future);
    io.run();
    return future.get();
}

/// @return CPU time in seconds that the process has used, in user and kernel mode
double cpuSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 0; field < 11; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

struct Throughput
{
    double perSecond{};
    double perCore{};
    std::size_t failures{};
};

Throughput measureThroughput(const Environment &environment, std::chrono::seconds length)
{
    asio::io_context io;
    std::vector<std::size_t> failures(concurrentCallers);
    std::vector<std::future<std::vector<double>>> results;
    const double cpuBefore = cpuSeconds(environment.entry->pid());
    const auto startedAt = Clock::now();
    const auto end = startedAt + length;
    for (unsigned caller = 0; caller < concurrentCallers; ++caller) {
        results.push_back(asio::co_spawn(io,
                                         sendUntil(
                                             "127.0.0.1:" + std::to_string(environment.entryPort), true,
                                             [end](std::size_t) {
                                                 return Clock::now() >= end;
                                             },
                                             failures[caller]),
                                         asio::use_future));
    }
    io.run();
    const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    const double cpu = cpuSeconds(environment.entry->pid()) - cpuBefore;
    std::size_t answered = 0;
    Throughput throughput;
    for (unsigned caller = 0; caller < concurrentCallers; ++caller) {
        answered += results[caller].get().size();
        throughput.failures += failures[caller];
    }
    throughput.perSecond = static_cast<double>(answered) / seconds;
    throughput.perCore = cpu > 0 ? static_cast<double>(answered) / cpu : 0;
    return throughput;
}

bool waitUntilReady(const std::string &address)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        std::size_t failures = 0;
        if (sendBlock(address, true, 1, failures).size() == 1) {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options
        = parseOptions(argc, argv, "Latency that an entry adds to a request, and requests per second and core");
    const std::filesystem::path self = std::filesystem::canonical("/proc/self/exe");
    ::setenv("HEATHERQUAY_BIN", (self.parent_path().parent_path() / "heatherquay").c_str(), 0);
    Environment environment(options.seed);
    const std::string entry = "127.0.0.1:" + std::to_string(environment.entryPort);
    const std::string direct = environment.endpoints.addresses().front();
    if (!waitUntilReady(entry)) {
        std::fputs("requests_bench: the entry did not respond with status 200 within 20 s\n", stderr);
        return 1;
    }
    // Alternates between direct and routed requests, so that other load on the machine affects both alike.
    const std::size_t requestsPerBlock = options.quick ? 100 : 1000;
    std::vector<double> directTimes;
    std::vector<double> entryTimes;
    std::size_t failures = 0;
    for (std::size_t block = 0; block < blockCount; ++block) {
        const auto directLatencies = sendBlock(direct, false, requestsPerBlock, failures);
        const auto routedLatencies = sendBlock(entry, true, requestsPerBlock, failures);
        directTimes.insert(directTimes.end(), directLatencies.begin(), directLatencies.end());
        entryTimes.insert(entryTimes.end(), routedLatencies.begin(), routedLatencies.end());
    }
    const Throughput throughput = measureThroughput(environment, options.quick ? 1s : 5s);
    Report report(options);
    for (const auto &[name, share] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
        const double directLatency = percentile(directTimes, share);
        const double routedLatency = percentile(entryTimes, share);
        report.add(std::string("direct_") + name, directLatency, "us");
        report.add(std::string("entry_") + name, routedLatency, "us");
        report.add(std::string("added_") + name, routedLatency - directLatency, "us");
        report.add(std::string("ratio_") + name, directLatency > 0 ? routedLatency / directLatency : 0, "ratio");
    }
    report.add("requests_per_second", throughput.perSecond, "1/s");
    report.add("requests_per_core", throughput.perCore, "1/s");
    report.add("failures", static_cast<double>(failures + throughput.failures), "requests");
    report.finish();
    return 0;
}
