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
using state::batch::RunTimeUses;

namespace
{

/// What the scheduler expects of run times.
struct Arm
{
    const char *name;
    RunTimeUses uses;
    bool declaresTruth{}; ///< Declared times are the true ones: the bound of what can be learned.
};

/// @return uses in which only declared times count, whatever is observed
RunTimeUses declaredOnly()
{
    constexpr double never = 1e12;
    RunTimeUses uses;
    uses.expected = true;
    uses.model.coarserWeight = never;
    uses.model.contradictionRuns = never;
    return uses;
}

const std::vector<Arm> &arms()
{
    static const std::vector<Arm> all{
        {"declared", declaredOnly()},
        {"mean", {}},
        {"expected", {.expected = true, .model = {}}},
        {"eviction", {.eviction = true, .model = {}}},
        {"hangs", {.hangs = true, .model = {}}},
        {"lateness", {.lateness = true, .model = {}}},
        {"learned", {.expected = true, .eviction = true, .hangs = true, .lateness = true, .model = {}}},
        {"truth", declaredOnly(), true},
    };
    return all;
}

struct Outcome
{
    std::uint32_t jobs{};
    std::uint32_t missed{};
    double wasted{}; ///< Core-seconds.
};

struct Submission
{
    JobSpec job;
    state::Duration work;
    state::Duration objective;
};

/// @return the jobs that arrive within 10 ms
std::vector<Submission> arrivals(std::mt19937_64 &random, double load, std::uint64_t &number)
{
    struct Class
    {
        const char *queue;
        QueuePolicy policy;
        double jobsPerSecond;
        std::uint32_t tasks;
        state::batch::Resources need;
        double milliseconds;
        bool gang;
    };
    static const std::vector<Class> classes{
        {"urgent", {"service", 0, 3, 1.5, 250ms}, 1.5, 4, {15'000, 22'000, 4}, 2'500, true},
        {"middle", {"service", 1, 4, 3.0, 1'000ms}, 0.4, 12, {30'000, 40'000, 2}, 5'000, true},
        {"wide", {"service", 2, 3, 3.0, 3'000ms}, 0.5, 30, {11'000, 16'000, 1}, 6'000, false}};
    std::vector<Submission> result;
    for (const Class &kind : classes) {
        for (int i = std::poisson_distribution<int>(kind.jobsPerSecond * load / 100)(random); i > 0; --i) {
            constexpr int images = 4;
            const int image = std::uniform_int_distribution(0, images - 1)(random);
            const bool outlier = std::uniform_real_distribution(0.0, 1.0)(random) < 0.03;
            const double work = kind.milliseconds * std::exp2(image - 1.5) * (outlier ? 7 : 1)
                * std::exp(std::normal_distribution(0.0, 0.3)(random));
            const double declared = work * std::uniform_real_distribution(0.1, 1.9)(random);
            Submission &next = result.emplace_back();
            next.job = test::makeJob(std::to_string(1'000'000 + ++number), kind.tasks, kind.need,
                                     state::Duration(static_cast<state::Duration::rep>(declared)));
            next.job.queue = kind.queue;
            next.job.steps.front().gang = kind.gang;
            next.job.steps.front().image = "image-" + std::to_string(image);
            next.job.steps.front().savesProgress = random() % 100 < 45;
            next.work = state::Duration(static_cast<state::Duration::rep>(work));
            next.objective = state::Duration(static_cast<state::Duration::rep>(kind.policy.stretch * work))
                + kind.policy.latencyTarget;
        }
    }
    return result;
}

Outcome play(const Arm &arm, double load, std::uint64_t seed, state::Duration length)
{
    state::batch::SchedulerSettings settings;
    settings.runTimes = arm.uses;
    test::PoolSimulation pool(settings, seed);
    std::mt19937_64 random(seed);
    pool.setQueue("urgent", {"service", 0, 3, 1.5, 250ms});
    pool.setQueue("middle", {"service", 1, 4, 3.0, 1'000ms});
    pool.setQueue("wide", {"service", 2, 3, 3.0, 3'000ms});
    for (const state::WorkerId &id : pool.addWorkers(24, 12, {128'000, 262'144, 8})) {
        pool.worker(id).speed = random() % 4 == 0 ? 0.55 : 1.15;
    }
    std::vector<std::pair<state::JobId, state::Duration>> objectives;
    std::uint64_t number = 0;
    for (state::Duration passed{}; passed < length; passed += 10ms) {
        for (Submission &next : arrivals(random, load, number)) {
            if (arm.declaresTruth) {
                next.job.steps.front().estimate = next.work;
            }
            objectives.emplace_back(next.job.id, next.objective);
            pool.submit(next.job, next.work);
        }
        pool.advance(10ms);
    }
    pool.advance(length / 2); // Jobs that have not ended by then have missed their objectives.
    Outcome outcome;
    for (const auto &[job, objective] : objectives) {
        const auto end = pool.endOf(job);
        ++outcome.jobs;
        outcome.missed += !end || *end > objective ? 1 : 0;
    }
    outcome.wasted = pool.wasted();
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(
        argc, argv, "missed objectives and lost work with declared, mean, learned and true run times, over 20 seeds");
    Report report(options);
    const std::uint64_t seeds = options.quick ? 4 : 20;
    const state::Duration length = options.quick ? state::Duration(20s) : state::Duration(40s);
    constexpr double load = 0.5;
    for (const Arm &arm : arms()) {
        Outcome sum;
        for (std::uint64_t seed = options.seed; seed < options.seed + seeds; ++seed) {
            const Outcome outcome = play(arm, load, seed, length);
            sum.jobs += outcome.jobs;
            sum.missed += outcome.missed;
            sum.wasted += outcome.wasted;
        }
        report.add(std::string(arm.name) + "_missed", 100.0 * sum.missed / std::max(sum.jobs, 1U), "%");
        report.add(std::string(arm.name) + "_lost", sum.wasted / static_cast<double>(seeds), "core-s");
    }
    report.finish();
}
