#include "system/platform_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::system_test;
using namespace std::chrono_literals;

namespace
{

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
                                           {"run-ordered", "outcome=started"},
                                           {"job-state", "state=running"},
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
