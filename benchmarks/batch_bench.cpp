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
    report.finish();
}
