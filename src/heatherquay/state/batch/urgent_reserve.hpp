#pragma once

#include "heatherquay/state/batch/worker_pool.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace heatherquay::state::batch
{

/// Limits of the room that is kept for urgent jobs.
struct UrgentReserveSettings
{
    bool enabled{true};
    /// Room is kept for the largest demand of this time.
    Duration demandWindow{8'000};
    /// Room beyond the largest demand of this time is lent to gangs of other jobs.
    Duration lendingWindow{3'000};
    double headroom{1.2}; ///< Room kept per accelerator of that demand; covers what gangs cannot use of their racks.
    Duration demandInterval{500}; ///< Resolution of the demand over time.
    double capacityShareMax{0.5}; ///< Largest share of a service's accelerators that is kept.
    /// Until the first demand is known, room is kept for the guarantees, up to this share.
    double initialShareMax{0.2};
    double slownessMax{1.08}; ///< Slower workers are kept only where faster ones do not suffice.
    double keptSlownessFactor{1.1}; ///< Kept workers stay kept up to this multiple, as estimates vary from run to run.
    Duration refreshInterval{1'000}; ///< Between two choices of the workers.
};

/// Keeps workers free of other work for urgent jobs, so that they start without evicting anything. The room follows the
/// recent demand: it is the largest number of accelerators that urgent tasks have used or waited for at one time. What
/// only an earlier burst has needed is lent to gangs, which seldom find room elsewhere; single tasks would fill it at
/// once.
class UrgentReserve
{
public:
    explicit UrgentReserve(UrgentReserveSettings settings = {});

    /// Notes the demand of one service at a time.
    /// @param accelerators that urgent tasks use or wait for
    void noteDemand(const std::string &service, std::int64_t accelerators, Instant now);
    /// Chooses the workers to keep and marks them in the pool. Workers stay chosen while they are needed.
    /// @param guaranteed accelerators that teams can claim at any time
    void choose(WorkerPool &pool, std::int64_t guaranteed, Instant now);
    /// @param since time from which the demand counts; all that is known by default
    /// @return accelerators that the recent demand of the service asks to keep
    std::int64_t target(const std::string &service, Instant since = {}) const;

private:
    struct Sample
    {
        Instant at;
        std::int64_t accelerators{};
    };
    /// @return the workers of the service that can be kept, the most suitable ones first
    std::vector<Worker *> rankedWorkers(WorkerPool &pool, const std::string &service) const;

    UrgentReserveSettings m_settings;
    std::map<std::string, std::deque<Sample>> m_demand; ///< By service; one sample an interval, its largest value.
    Instant m_chosenAt; ///< Zero before the first choice.
    Instant m_startedAt; ///< Time of the first choice.
};

} // namespace heatherquay::state::batch
