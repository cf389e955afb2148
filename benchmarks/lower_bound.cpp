#include "lower_bound.hpp"

#include <algorithm>
#include <queue>

namespace heatherquay::benchmarks
{

using namespace heatherquay::state;

namespace
{

constexpr int kPriceSearchRounds = 60;

struct BoundJob
{
    double submitted{}; ///< Seconds after the first submission.
    double accelerators{};
    double work{}; ///< Run time in seconds on accelerators of speed 1.
    std::vector<double> runTimes; ///< Seconds by kind; negative for kinds that the job does not accept.
    double shortest{}; ///< Minimum of the accepted run times.
};

struct BoundInput
{
    std::vector<double> acceleratorCounts; ///< By kind, slowest kind first.
    std::vector<double> fastestSpeeds; ///< Maximum over all job classes, by kind.
    std::vector<BoundJob> jobs;
    double end{}; ///< Time of the last submission.
};

BoundInput makeInput(const Workload &workload, const JobFilter &filter)
{
    BoundInput input;
    const std::vector<std::string> classes = workload.speeds.classes();
    std::vector<std::string> kinds;
    for (const auto &[kind, count] : acceleratorsByKind(workload.workers)) {
        kinds.push_back(kind);
    }
    std::sort(kinds.begin(), kinds.end(), [&](const std::string &left, const std::string &right) {
        return workload.speeds.speed(classes.front(), left) < workload.speeds.speed(classes.front(), right);
    });
    for (const std::string &kind : kinds) {
        input.acceleratorCounts.push_back(acceleratorsByKind(workload.workers).at(kind));
        double fastest = 0.0;
        for (const std::string &jobClass : classes) {
            fastest = std::max(fastest, workload.speeds.speed(jobClass, kind));
        }
        input.fastestSpeeds.push_back(fastest);
    }
    for (const WorkloadJob &job : workload.jobs) {
        if (!filter(job)) {
            continue;
        }
        BoundJob bound;
        bound.submitted = std::chrono::duration<double>(job.submittedAt - workload.jobs.front().submittedAt).count();
        bound.accelerators = acceleratorCount(job.spec.shape);
        bound.work = std::chrono::duration<double>(job.work).count();
        const std::vector<std::string> &accepted = job.spec.shape.parts.front().kinds;
        for (const std::string &kind : kinds) {
            const bool usable = accepted.empty() || std::find(accepted.begin(), accepted.end(), kind) != accepted.end();
            const double runTime = bound.work / workload.speeds.speed(job.spec.jobClass, kind);
            bound.runTimes.push_back(usable ? runTime : -1.0);
            if (usable && (bound.shortest == 0.0 || runTime < bound.shortest)) {
                bound.shortest = runTime;
            }
        }
        input.end = std::max(input.end, bound.submitted);
        input.jobs.push_back(bound);
    }
    return input;
}

/// Computes a Lagrangian lower bound on the sum of completion times. Each accelerator of kind k costs prices[k] a
/// second until the last submission and nothing afterwards. The bound is the sum of the cheapest choice of each job
/// minus the price of all hardware until the last submission. It holds for all prices that do not fall with the speed
/// of the kind.
double lagrangianBound(const BoundInput &input, const std::vector<double> &prices)
{
    double sum = 0.0;
    for (const BoundJob &job : input.jobs) {
        const double untilEnd = input.end - job.submitted;
        double cheapest = untilEnd + job.shortest;
        for (std::size_t kind = 0; kind < prices.size(); ++kind) {
            if (job.runTimes[kind] >= 0.0) {
                const double chargedTime = std::min(job.runTimes[kind], untilEnd);
                cheapest = std::min(cheapest, job.runTimes[kind] + job.accelerators * prices[kind] * chargedTime);
            }
        }
        sum += cheapest;
    }
    for (std::size_t kind = 0; kind < prices.size(); ++kind) {
        sum -= prices[kind] * input.acceleratorCounts[kind] * input.end;
    }
    return sum;
}

double bestLagrangianBound(const BoundInput &input)
{
    std::vector<double> prices(input.acceleratorCounts.size(), 0.0);
    double best = lagrangianBound(input, prices);
    double step = 0.5;
    for (int round = 0; round < kPriceSearchRounds; ++round) {
        bool improved = false;
        // Changes the prices of a kind and of all faster kinds together. Prices that no longer rise with the speed are
        // discarded below.
        for (std::size_t first = 0; first < prices.size(); ++first) {
            for (const double change : {step, -step}) {
                std::vector<double> candidate = prices;
                for (std::size_t kind = first; kind < candidate.size(); ++kind) {
                    candidate[kind] = std::max(0.0, candidate[kind] + change);
                }
                const double sum
                    = std::is_sorted(candidate.begin(), candidate.end()) ? lagrangianBound(input, candidate) : best;
                if (sum > best) {
                    best = sum;
                    prices = candidate;
                    improved = true;
                }
            }
        }
        step = improved ? step : step / 2.0;
    }
    return best;
}

/// Computes a lower bound on the sum of completion times: the sum on a single machine with the total speed of all
/// hardware under preemptive scheduling by shortest remaining processing time (SRPT).
double pooledMachineBound(const BoundInput &input)
{
    double capacity = 0.0;
    for (std::size_t kind = 0; kind < input.acceleratorCounts.size(); ++kind) {
        capacity += input.acceleratorCounts[kind] * input.fastestSpeeds[kind];
    }
    std::priority_queue<std::pair<double, double>, std::vector<std::pair<double, double>>, std::greater<>> remaining;
    double now = 0.0;
    double sum = 0.0;
    std::size_t next = 0;
    while (next < input.jobs.size() || !remaining.empty()) {
        if (remaining.empty()) {
            now = std::max(now, input.jobs[next].submitted);
        }
        while (next < input.jobs.size() && input.jobs[next].submitted <= now) {
            const BoundJob &job = input.jobs[next++];
            remaining.emplace(job.work * job.accelerators / capacity, job.submitted);
        }
        const auto [remainingTime, submitted] = remaining.top();
        remaining.pop();
        const double arrival = next < input.jobs.size() ? input.jobs[next].submitted : now + remainingTime;
        if (now + remainingTime <= arrival) {
            now += remainingTime;
            sum += now - submitted;
        } else {
            remaining.emplace(remainingTime - (arrival - now), submitted);
            now = arrival;
        }
    }
    return sum;
}

} // namespace

LowerBounds lowerBounds(const Workload &workload, const JobFilter &filter)
{
    const BoundInput input = makeInput(workload, filter);
    LowerBounds bounds;
    if (input.jobs.empty()) {
        return bounds;
    }
    const auto jobs = static_cast<double>(input.jobs.size());
    double work = 0.0;
    double capacity = 0.0;
    for (const BoundJob &job : input.jobs) {
        bounds.minimumRunTime += job.shortest / jobs;
        bounds.makespan = std::max(bounds.makespan, job.submitted + job.shortest);
        work += job.work * job.accelerators;
    }
    for (std::size_t kind = 0; kind < input.acceleratorCounts.size(); ++kind) {
        capacity += input.acceleratorCounts[kind] * input.fastestSpeeds[kind];
    }
    bounds.makespan = std::max(bounds.makespan, work / capacity);
    bounds.meanCompletion
        = std::max({bounds.minimumRunTime, bestLagrangianBound(input) / jobs, pooledMachineBound(input) / jobs});
    return bounds;
}

} // namespace heatherquay::benchmarks
