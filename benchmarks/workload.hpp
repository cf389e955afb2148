#pragma once

#include "heatherquay/state/events.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heatherquay::benchmarks
{

enum class Site
{
    UserT, ///< 50 workers of 8 accelerators; mixed jobs, many of them small.
    UserL, ///< The same hardware with large batch gangs.
    Large ///< 1,100 workers, 2,200 accelerators, 230 teams.
};

struct WorkloadSettings
{
    Site site{Site::UserT};
    double load{0.8}; ///< Submitted work as a share of the capacity over the window.
    state::Duration window{std::chrono::hours{24}}; ///< Period in which jobs arrive.
    std::uint64_t seed{1};
    bool disturbances{true}; ///< Adds cancellations, drained, lost and failing workers, and failing jobs.
};

/// A job with its actual behaviour. The policy sees only @p spec.
struct WorkloadJob
{
    state::JobSpec spec;
    state::Instant submittedAt;
    state::Duration work{}; ///< Run time on accelerators of speed 1.
    state::Duration checkpointTime{};
    bool alwaysFails{}; ///< Fails on every worker.
};

struct TimedEvent
{
    state::Instant at;
    state::Event event;
};

/// A worker on which each task that starts in the given period fails soon afterwards.
struct FailingWorker
{
    state::WorkerId worker;
    state::Instant from;
    state::Instant until;
};

/// Holds the speed of each accelerator kind for each job class. The kinds have the same order by speed in all classes.
class SpeedTable
{
public:
    void set(const std::string &jobClass, const std::string &kind, double speed);
    double speed(const std::string &jobClass, const std::string &kind) const;
    std::vector<std::string> classes() const;

private:
    std::map<std::string, std::map<std::string, double>> m_speeds;
};

struct Workload
{
    std::vector<state::WorkerSpec> workers;
    std::vector<state::TeamSpec> teams;
    std::vector<state::GuaranteeSpec> guarantees;
    std::vector<WorkloadJob> jobs; ///< Ordered by submission.
    std::vector<TimedEvent> disturbances; ///< Ordered by time.
    std::vector<FailingWorker> failingWorkers;
    SpeedTable speeds;
    state::Instant begin;
    state::Duration window{};
};

/// Generates a random workload. Equal settings give equal workloads.
Workload makeWorkload(const WorkloadSettings &settings);

/// Creates the hardware, teams and guarantees of a site, without jobs.
/// @param workers number of workers; 0 selects the default of the site
/// @param teams number of teams; 0 selects the default of the site
Workload makeSite(Site site, std::uint32_t workers = 0, std::uint32_t teams = 0);

/// @return the number of accelerators of each kind
std::map<std::string, double> acceleratorsByKind(const std::vector<state::WorkerSpec> &workers);

} // namespace heatherquay::benchmarks
