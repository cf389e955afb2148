// A job of many small tasks fills a runner. They end while the store is down, so that no end can be taken note of.
// Other jobs come all the time.

#include "deployment.hpp"

using namespace review;

namespace
{

constexpr int runnerCount = 2;
constexpr int taskCount = 620; // Of 0.2 cores each, on a runner of 128 cores.
constexpr Millis taskTime{9'000};
constexpr Millis downTime{4'500}; // for_s of platform_down in the site file.
constexpr const char *taskSpec = "ms=9000 cpu=200 mem=100 gpu=0";
constexpr Millis otherJobGap{500};
constexpr const char *otherTaskSpec = "ms=400 cpu=70000 mem=1000 gpu=1"; // A runner has room for one of them.

} // namespace

int main(int, char **arguments)
{
    Deployment deployment(arguments[1]);
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        runners.push_back(std::make_unique<Runner>(deployment.store, deployment.record, runnerSettings(i)));
    }
    if (!deployment.begin()) {
        std::cout << "the deployment did not start\n";
        return 2;
    }
    const std::string id = jobId(0x5c0e7a21d94b36f8);
    if (deployment.submit(id, job(taskSpec, taskCount, 200, 100, 0, 9'000)) != 200) {
        std::cout << "the job was not accepted\n";
        return 2;
    }
    const auto running = [&] {
        std::size_t tasks = 0;
        for (const auto &runner : runners) {
            tasks += runner->runningTasks();
        }
        return tasks;
    };
    if (!Deployment::waitFor(Millis(8'000), [&] {
            return running() == taskCount;
        })) {
        std::cout << "only " << running() << " tasks ran at the same time\n";
        return 2;
    }
    deployment.record.line("all tasks run");
    const auto allRunAt = Clock::now();
    std::atomic<bool> ended{false};
    std::thread client([&] {
        for (std::uint64_t number = 1; !ended; ++number) {
            deployment.submit(jobId(0x5c0e7a2100000000 + number), job(otherTaskSpec, 2, 70'000, 1'000, 1, 400));
            std::this_thread::sleep_for(otherJobGap);
        }
    });
    // The first task ends at the earliest one task time after its start; the store is down around that moment.
    std::this_thread::sleep_until(allRunAt + taskTime - Millis(3'500));
    if (troubleWanted()) {
        deployment.record.line("the store is down");
        deployment.store.setDown(true);
        std::this_thread::sleep_for(downTime);
        deployment.store.setDown(false);
        deployment.record.line("the store is up");
    }
    std::this_thread::sleep_until(allRunAt + taskTime + Millis(12'000));
    ended = true;
    client.join();
    deployment.record.line("client is shown " + deployment.state(id));
    std::vector<RunEvent> events;
    for (const auto &runner : runners) {
        const auto own = runner->events();
        events.insert(events.end(), own.begin(), own.end());
    }
    return finish(deployment.record, "TWICE", violationsOfTwice(events));
}
