// A poll with the number of an end of a runner's earlier life makes the new life forget an end unseen, and a task that
// is done runs again.
#include "standin-2/world.hpp"

using namespace review;

int main(int, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    Deployment deployment(arguments[1]);
    deployment.configure({{"desk", "/desk/", 1}});
    std::mutex mutex;
    std::map<std::string, std::string> doneOn; // Tasks with a run whose end `done` was taken note of.
    std::atomic<int> broken = 0;
    const auto watch = [&](Runner &runner) {
        runner.observe = [&, id = runner.spec().id](const std::string &task, std::uint32_t run,
                                                    const std::string &how) {
            const std::lock_guard lock(mutex);
            if (how == "noted done") {
                doneOn[task] = id + " run " + std::to_string(run);
                deployment.record.line("taken note of: " + task + " run " + std::to_string(run) + " done on " + id);
            } else if (how == "started" && doneOn.contains(task)) {
                ++broken;
                deployment.record.line("TWICE: " + task + " run " + std::to_string(run) + " starts on " + id
                                       + " after it was done on " + doneOn[task]);
            }
        };
    };
    for (int i = 1; i <= 8; ++i) {
        watch(deployment.addRunner("w" + std::to_string(i), i == 8 ? "b" : "a", i <= 4 ? "r1" : "r2"));
    }
    if (!deployment.startEntries()) {
        return 2;
    }
    auto &runner = deployment.runners.back();
    std::vector<std::unique_ptr<Runner>> ended;
    int number = 0;
    const auto submit = [&](int count, int milliseconds) {
        const json::object step{
            {"count", count},     {"cpu", 16'000}, {"memMb", 16'384}, {"gpu", 1}, {"estimateMs", milliseconds},
            {"requirements", "b"}};
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++number);
        return deployment.submit("/desk/", id, {{"spec", "short"}, {"steps", json::array{step}}});
    };
    for (int round = 0; round < 6; ++round) {
        // Short tasks end on the runner, a longer one is at work there.
        submit(4, 20);
        submit(1, 1'500);
        std::this_thread::sleep_for(Ms(500));
        if (trouble()) {
            deployment.record.line("the store is slow");
            deployment.store.answerTime = Ms(240);
        }
        submit(4, 20);
        std::this_thread::sleep_for(Ms(135 + round % 4 * 10));
        if (trouble()) {
            RunnerSpec spec = runner->spec();
            spec.port = runner->port();
            runner->crash(true);
            ended.push_back(std::move(runner));
            std::this_thread::sleep_for(Ms(60));
            runner = std::make_unique<Runner>(spec, deployment.store, deployment.jobs, deployment.record);
            watch(*runner);
            deployment.record.line(spec.id + " starts again");
        }
        std::this_thread::sleep_for(Ms(2'000));
        deployment.store.answerTime = Ms(3);
        std::this_thread::sleep_for(Ms(3'500));
    }
    std::this_thread::sleep_for(Ms(1'000));
    deployment.record.line(std::to_string(broken) + " starts after a run that was done and taken note of");
    return deployment.finish(broken > 0);
}
