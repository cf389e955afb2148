#include "baselines.hpp"
#include "bench_options.hpp"
#include "lower_bound.hpp"
#include "replay.hpp"

#include "heatherquay/state/cluster.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

using namespace heatherquay::benchmarks;
using namespace heatherquay::state;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned kThreads = 4;

struct Scenario
{
    const char *name{};
    Site site{};
    PolicySettings settings;
    Duration window{};
};

struct Case
{
    const Scenario *scenario{};
    int loadPercent{};
    std::uint64_t seed{};
};

struct Measures
{
    double mean{};
    double p99{};
    double fragmentation{};
    double utilisation{};
    double preemptions{};
    double unfinished{};
    double policyErrors{};
    std::string firstPolicyError;
};

struct CaseResult
{
    LowerBounds bounds;
    std::map<std::string, Measures> byPolicy;
};

Measures toMeasures(const ReplayResult &result)
{
    Measures measures;
    measures.mean = mean(result.completions);
    measures.p99 = percentile(result.completions, 0.99);
    measures.fragmentation = result.fragmentation;
    measures.utilisation = result.utilisation;
    measures.preemptions = static_cast<double>(result.preemptions);
    measures.unfinished = static_cast<double>(result.unfinished);
    measures.policyErrors = static_cast<double>(result.policyErrors);
    measures.firstPolicyError = result.firstPolicyError;
    return measures;
}

CaseResult runCase(const Case &one)
{
    const Workload workload
        = makeWorkload({one.scenario->site, one.loadPercent / 100.0, one.scenario->window, one.seed});
    CaseResult result;
    result.bounds = lowerBounds(workload, measuredJobFilter(workload));
    const std::map<std::string, QueueDiscipline> baselines{{"first_fit", QueueDiscipline::InOrder},
                                                           {"backfill", QueueDiscipline::InOrderBackfill},
                                                           {"best_fit", QueueDiscipline::BestFit}};
    for (const auto &[name, discipline] : baselines) {
        QueuePolicy policy(discipline);
        result.byPolicy[name] = toMeasures(replay(workload, policy));
    }
    Cluster cluster(one.scenario->settings, one.seed);
    result.byPolicy["heatherquay"] = toMeasures(replay(workload, cluster));
    return result;
}

std::vector<CaseResult> runAll(const std::vector<Case> &cases)
{
    std::vector<CaseResult> results(cases.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < kThreads; ++i) {
        threads.emplace_back([&] {
            for (std::size_t number = next++; number < cases.size(); number = next++) {
                results[number] = runCase(cases[number]);
            }
        });
    }
    threads.clear();
    return results;
}

/// Reports the median, the minimum and the maximum of @p values.
void addSpread(Report &report, const std::string &key, const std::vector<double> &values, const char *unit)
{
    report.add(key + ".median", percentile(values, 0.5), unit);
    report.add(key + ".min", *std::min_element(values.begin(), values.end()), unit);
    report.add(key + ".max", *std::max_element(values.begin(), values.end()), unit);
}

std::string joinKey(std::string prefix, const std::string &name)
{
    prefix += '.';
    prefix += name;
    return prefix;
}

void addGroup(Report &report, const std::string &prefix, const std::vector<const CaseResult *> &group)
{
    std::vector<double> bounds;
    bounds.reserve(group.size());
    for (const CaseResult *result : group) {
        bounds.push_back(result->bounds.meanCompletion);
    }
    addSpread(report, prefix + ".bound.mean_completion", bounds, "s");
    for (const auto &[policy, unused] : group.front()->byPolicy) {
        std::vector<double> mean;
        std::vector<double> p99;
        std::vector<double> fragmentation;
        std::vector<double> utilisation;
        std::vector<double> meanOverBound;
        double preemptions = 0.0;
        double unfinished = 0.0;
        double policyErrors = 0.0;
        for (const CaseResult *result : group) {
            const Measures &measures = result->byPolicy.at(policy);
            mean.push_back(measures.mean);
            p99.push_back(measures.p99);
            fragmentation.push_back(measures.fragmentation);
            utilisation.push_back(measures.utilisation);
            meanOverBound.push_back(measures.mean / result->bounds.meanCompletion);
            preemptions += measures.preemptions;
            unfinished += measures.unfinished;
            policyErrors += measures.policyErrors;
            if (!measures.firstPolicyError.empty()) {
                std::fprintf(stderr, "%s %s: %s\n", prefix.c_str(), policy.c_str(), measures.firstPolicyError.c_str());
            }
        }
        const std::string key = joinKey(prefix, policy);
        addSpread(report, key + ".mean_completion", mean, "s");
        addSpread(report, key + ".p99_completion", p99, "s");
        addSpread(report, key + ".fragmentation", fragmentation, "share");
        report.add(key + ".utilisation.median", percentile(utilisation, 0.5), "share");
        addSpread(report, key + ".mean_over_bound", meanOverBound, "ratio");
        report.add(key + ".preemptions", preemptions / static_cast<double>(group.size()), "jobs/run");
        report.add(key + ".unfinished", unfinished, "jobs");
        report.add(key + ".faults", policyErrors, "count");
    }
    for (const std::string baseline : {"first_fit", "backfill", "best_fit"}) {
        std::vector<double> completion;
        std::vector<double> fragmentation;
        for (const CaseResult *result : group) {
            const Measures &ours = result->byPolicy.at("heatherquay");
            const Measures &other = result->byPolicy.at(baseline);
            completion.push_back(ours.mean / other.mean);
            fragmentation.push_back(ours.fragmentation / std::max(1e-9, other.fragmentation));
        }
        const std::string key = joinKey(prefix, "heatherquay");
        addSpread(report, joinKey(key, "mean_completion_over_").append(baseline), completion, "ratio");
        addSpread(report, joinKey(key, "fragmentation_over_").append(baseline), fragmentation, "ratio");
    }
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(
        argc, argv,
        "Completion times and fragmentation of the policy, compared with three baselines and a lower bound");
    PolicySettings userTSettings;
    userTSettings.weightCompletion = 1.0;
    userTSettings.weightFragmentation = 0.5;
    PolicySettings userLSettings;
    userLSettings.weightCompletion = 0.5;
    userLSettings.weightFragmentation = 1.0;
    const std::vector<Scenario> scenarios{{"user_t", Site::UserT, userTSettings, options.quick ? 8h : 24h},
                                          {"user_l", Site::UserL, userLSettings, options.quick ? 24h : 72h}};
    const std::vector<int> loads{50, 80, 95};
    const std::uint64_t seeds = options.quick ? 2 : 10;
    std::vector<Case> cases;
    for (const Scenario &scenario : scenarios) {
        for (const int load : loads) {
            for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                cases.push_back({&scenario, load, options.seed + seed});
            }
        }
    }
    const std::vector<CaseResult> results = runAll(cases);
    Report report(options);
    for (std::size_t first = 0; first < cases.size(); first += seeds) {
        std::vector<const CaseResult *> group;
        for (std::size_t i = first; i < first + seeds; ++i) {
            group.push_back(&results[i]);
        }
        addGroup(report, std::string(cases[first].scenario->name) + ".load" + std::to_string(cases[first].loadPercent),
                 group);
    }
    report.finish();
    return 0;
}
