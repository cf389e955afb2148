#include "bench_options.hpp"

#include "state/history.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

using namespace heatherquay::benchmarks;
using namespace heatherquay::tests;

namespace
{

constexpr unsigned kThreads = 4;
constexpr std::size_t kHistoryLength = 200;
constexpr std::size_t kMaxPrintedViolations = 5;

struct SeedResult
{
    std::string violation;
    std::string shortest;
    std::uint64_t jobs{};
    std::uint64_t claims{};
    std::uint64_t claimsAfterStops{};
};

SeedResult runSeed(const HistorySetup &setup, std::uint64_t seed)
{
    SeedResult result;
    const std::vector<Step> history = randomHistory(seed, kHistoryLength);
    HistoryPlayer player(setup, seed);
    try {
        for (const Step &step : history) {
            player.play(step);
        }
        player.finish();
    } catch (const RuleViolation &violation) {
        result.violation = violation.what();
    }
    result.jobs = player.checker().jobs().size();
    result.claims = player.checker().claimsMet();
    result.claimsAfterStops = player.checker().claimsMetAfterStops();
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options
        = parseOptions(argc, argv, "Random event histories of the decision core, verified by an independent checker");
    const std::uint64_t seeds = options.quick ? 100 : 1'000;
    const HistorySetup setup = smallSetup();
    std::vector<SeedResult> results(seeds);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < kThreads; ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t number = next++; number < seeds; number = next++) {
                results[number] = runSeed(setup, options.seed + number);
            }
        });
    }
    threads.clear();
    SeedResult sum;
    std::size_t violations = 0;
    for (std::uint64_t number = 0; number < seeds; ++number) {
        const SeedResult &result = results[number];
        sum.jobs += result.jobs;
        sum.claims += result.claims;
        sum.claimsAfterStops += result.claimsAfterStops;
        if (result.violation.empty()) {
            continue;
        }
        if (++violations <= kMaxPrintedViolations) {
            const std::uint64_t seed = options.seed + number;
            const std::vector<Step> shortest = shrinkHistory(setup, randomHistory(seed, kHistoryLength), seed);
            std::fprintf(stderr, "seed %llu: %s\nshortest history: %s\n%s\n", static_cast<unsigned long long>(seed),
                         result.violation.c_str(), describe(shortest).c_str(),
                         traceHistory(setup, shortest, seed).c_str());
        }
    }
    Report report(options);
    report.add("histories", static_cast<double>(seeds), "count");
    report.add("events_per_history", static_cast<double>(kHistoryLength), "steps");
    report.add("jobs", static_cast<double>(sum.jobs), "count");
    report.add("claims_met", static_cast<double>(sum.claims), "count");
    report.add("claims_met_after_stops", static_cast<double>(sum.claimsAfterStops), "count");
    report.add("histories_with_violations", static_cast<double>(violations), "count");
    report.finish();
    return violations == 0 ? 0 : 1;
}
