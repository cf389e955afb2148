#include "batch/pool_simulation.hpp"
#include "bench_options.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace heatherquay;
using namespace heatherquay::benchmarks;
using namespace std::chrono_literals;
using state::batch::JobSpec;
using state::batch::QueuePolicy;

namespace
{

/// Work of one queue, for a pool of a given size.
struct Class
{
    const char *queue;
    QueuePolicy policy;
    double jobsPerSecond; ///< At 1,100 workers.
    double meanTasks;
    std::uint32_t tasksMax;
    state::batch::Resources need;
    state::Duration work;
    bool gang;
};

const std::vector<Class> &classes()
{
    static const std::vector<Class> all{
        {"urgent", {"service", 0, 3, 1.5, 250ms}, 20, 7.6, 46, {15'000, 22'000, 4}, 2'500ms, true},
        {"middle", {"service", 1, 4, 3.0, 1'000ms}, 4.3, 26, 160, {52'000, 75'000, 4}, 6'800ms, true},
        {"wide", {"service", 2, 3, 3.0, 3'000ms}, 3.4, 100, 470, {11'000, 16'000, 1}, 7'600ms, false}};
    return all;
}

/// Plays a stream of jobs at a multiple of the pool's capacity and measures each decision.
void measure(Report &report, std::uint32_t workers, double load, std::uint64_t seed, state::Duration length)
{
    constexpr double sizeOfRates = 1'100;
    constexpr std::uint32_t workersPerRack = 20;
    test::PoolSimulation pool({}, seed);
    std::mt19937_64 random(seed);
    for (const Class &work : classes()) {
        pool.setQueue(work.queue, work.policy);
    }
    for (const state::WorkerId &id : pool.addWorkers(workers, workersPerRack, {128'000, 262'144, 8})) {
        pool.worker(id).speed = random() % 4 == 0 ? 0.55 : 1.2;
    }
    std::uint64_t number = 0;
    for (state::Duration passed{}; passed < length; passed += 10ms) {
        for (const Class &work : classes()) {
            std::poisson_distribution<int> arrivals(work.jobsPerSecond * load * workers / sizeOfRates / 100);
            for (int i = arrivals(random); i > 0; --i) {
                std::geometric_distribution<std::uint32_t> tasks(1 / work.meanTasks);
                JobSpec job = test::makeJob(std::to_string(1'000'000 + ++number),
                                            std::clamp(tasks(random), 1U, work.tasksMax), work.need, work.work);
                job.queue = work.queue;
                job.steps.front().gang = work.gang;
                job.steps.front().sameRack = work.gang && random() % 5 != 0;
                job.steps.front().savesProgress = random() % 100 < 45;
                pool.submit(job);
            }
        }
        pool.advance(10ms);
    }
    const std::string name = std::to_string(workers) + "_workers_load_" + std::to_string(std::lround(load * 100));
    report.add(name + "_p50", percentile(pool.decisionTimes, 0.5), "ms");
    report.add(name + "_p99", percentile(pool.decisionTimes, 0.99), "ms");
    report.add(name + "_longest", percentile(pool.decisionTimes, 1), "ms");
    report.add(name + "_jobs_left", static_cast<double>(pool.scheduler().liveJobs()), "jobs");
}

/// Plays the work of 350 workers beside one job of many declared tasks and measures each decision.
/// @param steps number of steps; all but the first wait for the one before
/// @param need of each task of the large job; a task that fits on no worker keeps the job waiting
void measureBesideLargeJob(Report &report, const std::string &name, std::uint32_t steps, std::uint32_t tasksPerStep,
                           const state::batch::Resources &need, state::Duration length)
{
    constexpr std::uint32_t workers = 350;
    constexpr std::uint32_t workersPerRack = 20;
    test::PoolSimulation pool({}, 1);
    for (const Class &work : classes()) {
        pool.setQueue(work.queue, work.policy);
    }
    pool.addWorkers(workers, workersPerRack, {128'000, 262'144, 8});
    JobSpec large = test::makeJob("large", tasksPerStep, need, 200ms);
    large.queue = "wide";
    for (std::uint32_t step = 1; step < steps; ++step) {
        state::batch::StepSpec next = large.steps.front();
        next.dependsOn = {step - 1};
        large.steps.push_back(next);
    }
    pool.submit(large);
    std::uint64_t number = 0;
    for (state::Duration passed{}; passed < length; passed += 10ms) {
        if (passed % 100ms == 0ms) {
            JobSpec small = test::makeJob("small" + std::to_string(++number), 8, {1'000, 1'000, 0}, 500ms);
            small.queue = "urgent";
            pool.submit(small);
        }
        pool.advance(10ms);
    }
    report.add("beside_" + name + "_p50", percentile(pool.decisionTimes, 0.5), "ms");
    report.add("beside_" + name + "_p99", percentile(pool.decisionTimes, 0.99), "ms");
    report.add("beside_" + name + "_longest", percentile(pool.decisionTimes, 1), "ms");
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options
        = parseOptions(argc, argv, "time of one batch decision by pool size and load, on simulated workers");
    Report report(options);
    const state::Duration length = options.quick ? state::Duration(6s) : state::Duration(20s);
    for (const std::uint32_t workers : {48U, 350U, 1'100U, 3'300U}) {
        for (const double load : {0.9, 1.5}) {
            if (options.quick && (workers > 1'100 || load < 1)) {
                continue;
            }
            measure(report, workers, load, options.seed, length);
        }
    }
    const state::batch::Resources fits{500, 500, 0};
    const state::batch::Resources tooLarge{1'000'000, 1'000, 0};
    const state::Duration lengthBesideLarge = 1s;
    for (const auto &[kind, need] : {std::pair("running", fits), std::pair("waiting", tooLarge)}) {
        const std::string suffix = std::string("_tasks_") + kind;
        measureBesideLargeJob(report, "1" + suffix, 1, 1, need, lengthBesideLarge);
        measureBesideLargeJob(report, "1000" + suffix, 1, 1'000, need, lengthBesideLarge);
        measureBesideLargeJob(report, "10000" + suffix, 10, 1'000, need, lengthBesideLarge);
        measureBesideLargeJob(report, "100000" + suffix, 100, 1'000, need, lengthBesideLarge);
    }
    report.finish();
}
