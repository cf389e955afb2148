// One job whose schedule lies in the past, beside ordinary jobs.

#include "deployment.hpp"

using namespace review;

namespace
{

constexpr int runnerCount = 6;
constexpr Millis observedTime{30'000};
constexpr Millis idleTime{3'000}; // "for 3 s, a job has nothing running"
constexpr int taskCpu = 8'000;
constexpr Millis jobGap{500};
constexpr Millis restartDelay{1'000};
constexpr const char *taskSpec = "ms=500 cpu=8000 mem=1000 gpu=1";
/// Once a minute for a year from a time in seconds, where the protocol asks for milliseconds.
constexpr const char *scheduledJob = R"({"spec":"ms=500 cpu=1000 mem=100 gpu=0","steps":[{"count":1,"cpu":1000,)"
                                     R"("memMb":100,"estimateMs":500}],"repetitions":525600,)"
                                     R"("firstRunMs":1764921600,"intervalMs":60000})";

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
    // The platform's part: it kills a process that exceeds its memory, and starts processes that have ended again.
    std::atomic<bool> ended{false};
    std::map<std::string, int> ends;
    std::thread platform([&] {
        std::map<std::string, Clock::time_point> endedAt;
        std::map<std::string, std::int64_t> peak;
        while (!ended) {
            for (const auto &node : deployment.nodes) {
                const std::int64_t memory = node->memoryMb();
                if (memory > peak[node->name()] + 20) {
                    peak[node->name()] = memory;
                    deployment.record.line("node " + node->name() + " uses " + std::to_string(memory) + " MB");
                }
                const bool tooLarge = memory > node->memoryLimitMb();
                if (tooLarge) {
                    node->end();
                }
                if (tooLarge || node->hasEnded()) {
                    ++ends[node->name()];
                    peak[node->name()] = 0;
                    deployment.record.line(
                        "node " + node->name() + " ended by itself"
                        + (tooLarge ? ", over " + std::to_string(node->memoryLimitMb()) + " MB" : ""));
                    endedAt[node->name()] = Clock::now();
                }
                const auto due = endedAt.find(node->name());
                if (due != endedAt.end() && Clock::now() >= due->second + restartDelay) {
                    endedAt.erase(due);
                    node->begin();
                }
            }
            std::this_thread::sleep_for(Millis(5));
        }
    });
    std::this_thread::sleep_for(Millis(3'000));
    if (troubleWanted()) {
        const int status = deployment.submit(jobId(0xfeed000000000001), scheduledJob);
        deployment.record.line("the scheduled job got " + std::to_string(status));
    }
    const auto until = Clock::now() + observedTime;
    std::vector<std::string> accepted;
    for (std::uint64_t number = 1; Clock::now() < until; ++number) {
        const std::string id = jobId(0x5c0e7a2100000000 + number);
        if (deployment.submit(id, job(taskSpec, 1, 8'000, 1'000, 1, 500)) == 200) {
            accepted.push_back(id);
        }
        std::this_thread::sleep_for(jobGap);
    }
    // finish_s after the end of the traffic, jobs are asked for. Until then, the room in use is looked at.
    std::int64_t roomTaken = 0;
    const auto askedAt = Clock::now() + finishTime;
    while (Clock::now() < askedAt) {
        if (askedAt - Clock::now() <= idleTime) {
            std::size_t tasks = 0;
            for (const auto &runner : runners) {
                tasks += runner->runningTasks();
            }
            roomTaken = std::max(roomTaken, static_cast<std::int64_t>(tasks) * taskCpu);
        }
        std::this_thread::sleep_for(Millis(10));
    }
    std::set<std::string> started;
    for (const auto &runner : runners) {
        for (const RunEvent &event : runner->events()) {
            started.insert(event.task.substr(0, event.task.find('.')));
        }
    }
    deployment.record.line("of " + std::to_string(runnerCount * runnerCpu) + " thousandths of a core, "
                           + std::to_string(roomTaken) + " at most were in use in the last 3 s");
    std::vector<std::string> violations;
    for (const std::string &id : accepted) {
        const std::string state = deployment.state(id);
        deployment.record.line("client asks for " + id + ": " + state);
        if (!started.contains(id) && state != "completed" && roomTaken * 2 < runnerCount * runnerCpu) {
            violations.push_back(id + " was accepted, nothing of it has ever run, and it is shown as " + state);
        }
    }
    ended = true;
    platform.join();
    for (const auto &[name, count] : ends) {
        deployment.record.line("node " + name + " ended by itself " + std::to_string(count) + " times");
    }
    deployment.record.line(std::to_string(accepted.size()) + " jobs accepted, " + std::to_string(violations.size())
                           + " of them lost");
    return finish(deployment.record, "LOST", violations);
}
