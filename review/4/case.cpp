// Runners go down and up by turns while short tasks come steadily.

#include "deployment.hpp"

using namespace review;

namespace
{

constexpr int runnerCount = 30;
constexpr int flappingCount = 3; // The share of 0.1 that srv_flap has in the site file.
constexpr Millis flapPeriod{1'400}; // gap_s of srv_flap.
constexpr Millis downTime{100}; // A process that is started again at once.
constexpr Millis flapTime{6'500}; // for_s of srv_flap.
constexpr int flapRounds = 8; // One after the other.
constexpr int clientCount = 6;
constexpr Millis jobGap{150};
constexpr const char *taskSpec = "ms=120 cpu=8000 mem=1000 gpu=8"; // A whole runner for each task.

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
    std::atomic<bool> ended{false};
    std::atomic<int> accepted{0};
    std::atomic<std::uint64_t> number{0x5c0e7a2100000000};
    const auto handInJobs = [&] {
        while (!ended) {
            if (deployment.submit(jobId(++number), job(taskSpec, 1, 8'000, 1'000, 8, 120)) == 200) {
                ++accepted;
            }
            std::this_thread::sleep_for(jobGap);
        }
    };
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back(handInJobs);
    }
    std::this_thread::sleep_for(Millis(3'000));
    for (int round = 0; round < flapRounds; ++round) {
        const auto roundEnd = Clock::now() + flapTime;
        while (Clock::now() < roundEnd) {
            for (int i = 0; troubleWanted() && i < flappingCount; ++i) {
                runners[static_cast<std::size_t>(i)]->crash();
            }
            std::this_thread::sleep_for(downTime);
            for (int i = 0; troubleWanted() && i < flappingCount; ++i) {
                runners[static_cast<std::size_t>(i)]->startAgain();
            }
            std::this_thread::sleep_for(flapPeriod - downTime);
        }
    }
    ended = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::this_thread::sleep_for(Millis(8'000));
    std::vector<RunEvent> events;
    for (const auto &runner : runners) {
        const auto own = runner->events();
        events.insert(events.end(), own.begin(), own.end());
    }
    if (accepted == 0) {
        std::cout << "no job was accepted\n";
        return 2;
    }
    return finish(deployment.record, "TWICE", violationsOfTwice(events));
}
