#include "emulator/platform_emulator.hpp"
#include "heatherquay/app/log_reader.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "system/entry_process.hpp"

#include <filesystem>
#include <fstream>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

using namespace heatherquay;
using namespace std::chrono_literals;

namespace
{

constexpr const char *key = "secret";
constexpr const char *host = "jobs.example";

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
        ports = system_test::freePorts(3);
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

    void startProcess(int i)
    {
        const std::string settings = "node = \"vm-" + std::to_string(i) + "\"\nzone = \"z\"\nseeds = [\""
            + address(0, 2) + "\"]\nnews = 1\n[listen]\nfront = \"" + address(i, 0) + "\"\nready = \"" + address(i, 1)
            + "\"\ncontrol = \"" + address(i, 2) + "\"\n[platform]\naddress = \"" + platform.storeAddress()
            + "\"\n[limits]\ncpuShare = " + std::to_string(0.2 + 0.3 * i)
            + "\n[bounds]\nmaxHoldMs = 6000\ngraceS = 6\n";
        processes[i] = std::make_unique<system_test::EntryProcess>("vm-" + std::to_string(i), settings, directory,
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
    std::map<int, std::unique_ptr<system_test::EntryProcess>> processes;
};

struct SlowWorkFixture : PlatformFixture
{
    SlowWorkFixture()
        : PlatformFixture(1'500ms)
    {
    }
};

const std::string jobA = "00000000000000aa";
const std::string jobB = "00000000000000bb";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_system)

// Guards against processes that reject callers because they are not the decider, and against tasks that start twice
// when a job is submitted twice.
BOOST_FIXTURE_TEST_CASE(every_process_accepts_jobs_and_each_task_starts_once, PlatformFixture)
{
    BOOST_TEST(submit(0, jobA, 6) == 200U);
    BOOST_TEST(submit(1, jobA, 6) == 200U);
    BOOST_TEST(submit(2, jobB, 3) == 200U);
    BOOST_TEST(completes(jobA, 1, 10s));
    BOOST_TEST(completes(jobB, 0, 10s));
    for (const auto &[task, count] : platform.startCounts()) {
        BOOST_TEST(count == 1, task);
    }
    BOOST_TEST(call(0, "GET", "/batch/00000000000000cc", "").status == 410U);
    BOOST_TEST(call(0, "DELETE", "/batch/00000000000000cc", "").status == 410U);
    BOOST_TEST(call(1, "GET", "/other/" + jobA, "").status == 404U);
    BOOST_TEST(call(1, "GET", "/batch/" + jobA, "", "wrong").status == 401U);
    BOOST_TEST(call(1, "POST", "/batch/nonsense", "{}").status == 400U);
    BOOST_TEST(call(2, "GET", "/batch/", "").body == R"({"waiting":0})");
}

// Guards against a new decider that restarts tasks whose workers are still running them.
BOOST_FIXTURE_TEST_CASE(killing_the_decider_restarts_no_task, SlowWorkFixture)
{
    BOOST_TEST(submit(0, jobA, 6) == 200U);
    std::this_thread::sleep_for(300ms);
    const int killed = decider();
    BOOST_REQUIRE(killed >= 0);
    processes[killed]->signal(SIGKILL);
    processes[killed]->wait(2s);
    const int other = (killed + 1) % 3;
    BOOST_TEST(submit(other, jobB, 2) == 200U);
    BOOST_TEST(completes(jobA, other, 10s));
    BOOST_TEST(completes(jobB, other, 10s));
    for (const auto &[task, count] : platform.startCounts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against accepted jobs that exist only in memory.
BOOST_FIXTURE_TEST_CASE(accepted_jobs_survive_a_crash_of_all_processes, SlowWorkFixture)
{
    BOOST_TEST(submit(0, jobA, 4) == 200U);
    for (auto &[i, process] : processes) {
        process->signal(SIGKILL);
        process->wait(2s);
    }
    for (int i = 0; i < 3; ++i) {
        startProcess(i);
    }
    BOOST_TEST(completes(jobA, 2, 12s));
    for (const auto &[task, count] : platform.startCounts()) {
        BOOST_TEST(count == 1, task);
    }
}

// Guards against rejected callers and a delayed failover during a planned stop.
BOOST_FIXTURE_TEST_CASE(a_stopping_decider_hands_over_at_once_and_serves_until_it_exits, PlatformFixture)
{
    const int stopped = decider();
    processes[stopped]->signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(submit(stopped, jobA, 2) == 200U);
    BOOST_TEST(waitFor(
        [&] {
            return decider() >= 0 && decider() != stopped;
        },
        2s));
    BOOST_TEST(processes[stopped]->wait(7s).value_or(-1) == 0);
    BOOST_TEST(completes(jobA, (stopped + 1) % 3, 10s));
}

// The next three tests guard against logs from which an operator cannot explain a failed request by its job id. They
// cover the three cases of docs/OPERATIONS.md.
BOOST_FIXTURE_TEST_CASE(logs_show_why_a_job_was_not_accepted, PlatformFixture)
{
    platform.runOnEmulatorThread([](test::PlatformEmulator &emulator) {
        return emulator.store().down = true;
    });
    BOOST_TEST(submit(0, jobA, 1) == 503U);
    BOOST_TEST(waitFor(
        [&] {
            return historyContainsInOrder(jobA, {{"job-submitted", "status=503"}});
        },
        3s));
    BOOST_TEST(waitFor(
        [&] {
            const auto lines = logs();
            return std::any_of(lines.begin(), lines.end(), [](const app::LogLine &line) {
                return line.event == "table-lost" && line.field("table") == "hq-board";
            });
        },
        3s));
}

BOOST_FIXTURE_TEST_CASE(logs_show_why_a_job_was_late, PlatformFixture)
{
    processes[decider()]->signal(SIGKILL);
    const int alive = (decider() + 1) % 3;
    BOOST_TEST(submit(alive, jobA, 1) == 200U);
    BOOST_TEST(completes(jobA, alive, 10s));
    BOOST_TEST(waitFor(
        [&] {
            return historyContainsInOrder(jobA,
                                          {{"job-submitted", "status=200"},
                                           {"decider-elected", "token=2"},
                                           {"job-state", "state=running"},
                                           {"run-ordered", "outcome=started"},
                                           {"run-ended", "how=done"}});
        },
        3s));
}

BOOST_FIXTURE_TEST_CASE(logs_show_why_a_task_was_restarted, SlowWorkFixture)
{
    BOOST_TEST(submit(0, jobA, 1) == 200U);
    BOOST_REQUIRE(waitFor(
        [&] {
            return !platform.startCounts().empty();
        },
        5s));
    platform.runOnEmulatorThread([](test::PlatformEmulator &emulator) {
        for (const auto &worker : emulator.workers()) {
            if (worker->running() > 0) {
                worker->unreachable = true;
                emulator.store().remove({"servers", "", worker->spec.id.value});
            }
        }
        return true;
    });
    BOOST_TEST(completes(jobA, 0, 20s));
    BOOST_TEST(waitFor(
        [&] {
            return historyContainsInOrder(jobA,
                                          {{"run-ordered", "run=1"},
                                           {"worker-silent", "worker="},
                                           {"run-ordered", "run=2"},
                                           {"run-ended", "how=done"}});
        },
        3s));
}

BOOST_AUTO_TEST_SUITE_END()
