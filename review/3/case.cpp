// A runner with a clock that is 2% slow has been idle for a minute, gets a task and is cut off 0.7 s later.

#include "deployment.hpp"

using namespace review;

namespace
{

constexpr int runnerCount = 6; // One of them is 0.167 of all, within the share of 0.17.
constexpr double slowClock = 0.98; // "which may be 2% slow"
constexpr Millis idleTime{60'000};
constexpr Millis workBeforeCut{700};
constexpr Millis cutTime{5'500}; // for_s of node_cut with servers in the site file.
constexpr Millis observedTime{12'000};
constexpr const char *taskSpec = "ms=9000 cpu=4000 mem=1000 gpu=1";

} // namespace

int main(int, char **arguments)
{
    Deployment deployment(arguments[1]);
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < runnerCount; ++i) {
        RunnerSettings settings = runnerSettings(i);
        settings.clockRate = slowClock;
        runners.push_back(std::make_unique<Runner>(deployment.store, deployment.record, settings));
    }
    if (!deployment.begin()) {
        std::cout << "the deployment did not start\n";
        return 2;
    }
    deployment.record.line("the runners are idle from now on");
    std::this_thread::sleep_for(idleTime);
    const std::string id = jobId(0x5c0e7a21d94b36f8);
    if (deployment.submit(id, job(taskSpec, 1, 4'000, 1'000, 1, 9'000)) != 200) {
        std::cout << "the job was not accepted\n";
        return 2;
    }
    Runner *busy = nullptr;
    Deployment::waitFor(Millis(5'000), [&] {
        for (const auto &runner : runners) {
            busy = runner->runningTasks() > 0 ? runner.get() : busy;
        }
        return busy != nullptr;
    });
    if (busy == nullptr) {
        std::cout << "the task was not started\n";
        return 2;
    }
    const auto startedAt = Clock::now();
    if (troubleWanted()) {
        std::this_thread::sleep_for(workBeforeCut);
        busy->setCut(true);
        std::this_thread::sleep_for(cutTime);
        busy->setCut(false);
    }
    std::this_thread::sleep_until(startedAt + observedTime);
    deployment.record.line("client is shown " + deployment.state(id));
    std::vector<RunEvent> events;
    for (const auto &runner : runners) {
        const auto own = runner->events();
        events.insert(events.end(), own.begin(), own.end());
    }
    return finish(deployment.record, "TWICE", violationsOfTwice(events));
}
