#include "heatherquay/state/batch/urgent_reserve.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace heatherquay::state::batch
{

UrgentReserve::UrgentReserve(UrgentReserveSettings settings)
    : m_settings(settings)
{
}

void UrgentReserve::noteDemand(const std::string &service, std::int64_t accelerators, Instant now)
{
    std::deque<Sample> &samples = m_demand[service];
    if (samples.empty() || now >= samples.back().at + m_settings.demandInterval) {
        samples.push_back({now, accelerators});
    } else {
        samples.back().accelerators = std::max(samples.back().accelerators, accelerators);
    }
    while (samples.front().at + m_settings.demandWindow < now) {
        samples.pop_front();
    }
}

std::int64_t UrgentReserve::target(const std::string &service, Instant since) const
{
    const auto found = m_demand.find(service);
    std::int64_t largest = 0;
    if (found != m_demand.end()) {
        for (const Sample &sample : found->second) {
            largest = sample.at >= since ? std::max(largest, sample.accelerators) : largest;
        }
    }
    return static_cast<std::int64_t>(m_settings.headroom * static_cast<double>(largest));
}

std::vector<Worker *> UrgentReserve::rankedWorkers(WorkerPool &pool, const std::string &service) const
{
    std::vector<Worker *> workers;
    std::map<std::string, int> fastInRack;
    std::map<std::string, int> keptInRack;
    const auto isFast = [this](const Worker &worker) {
        return worker.slowness <= m_settings.slownessMax * (worker.keptForUrgent ? m_settings.keptSlownessFactor : 1);
    };
    for (auto &[id, worker] : pool.all()) {
        if (worker.spec.service == service && WorkerPool::isUsable(worker) && worker.spec.capacity.accelerators > 0) {
            workers.push_back(&worker);
            fastInRack[worker.spec.rack] += isFast(worker) ? 1 : 0;
            keptInRack[worker.spec.rack] += worker.keptForUrgent ? 1 : 0;
        }
    }
    // Gangs need many workers of one rack, so racks are kept one after the other. Those that are kept already come
    // first, then those with most fast workers.
    const auto rank = [&](const Worker *worker) {
        const std::string &rack = worker->spec.rack;
        return std::tuple(!isFast(*worker), -keptInRack[rack], -fastInRack[rack], rack, !worker->keptForUrgent,
                          worker->spec.id);
    };
    std::sort(workers.begin(), workers.end(), [&rank](const Worker *left, const Worker *right) {
        return rank(left) < rank(right);
    });
    return workers;
}

void UrgentReserve::choose(WorkerPool &pool, std::int64_t guaranteed, Instant now)
{
    if (!m_settings.enabled || now < m_chosenAt + m_settings.refreshInterval) {
        return;
    }
    m_startedAt = m_chosenAt == Instant{} ? now : m_startedAt;
    m_chosenAt = now;
    const bool demandUnknown = now - m_startedAt < m_settings.demandWindow;
    std::set<const Worker *> kept;
    for (const auto &[service, samples] : m_demand) {
        std::int64_t capacity = 0;
        const std::vector<Worker *> workers = rankedWorkers(pool, service);
        for (const Worker *worker : workers) {
            capacity += worker->spec.capacity.accelerators;
        }
        const auto share = [capacity](double part) {
            return static_cast<std::int64_t>(part * static_cast<double>(capacity));
        };
        const std::int64_t initial = demandUnknown ? std::min(guaranteed, share(m_settings.initialShareMax)) : 0;
        const std::int64_t wanted = std::max(target(service), initial);
        const std::int64_t wantedNow = target(service, now - m_settings.lendingWindow);
        std::int64_t chosen = 0;
        for (Worker *worker : workers) {
            const std::int64_t with = chosen + worker->spec.capacity.accelerators;
            if (chosen >= wanted || with > share(m_settings.capacityShareMax)) {
                break;
            }
            kept.insert(worker);
            worker->lentToGangs = chosen >= wantedNow;
            chosen = with;
        }
    }
    for (auto &[id, worker] : pool.all()) {
        worker.keptForUrgent = kept.contains(&worker);
        worker.lentToGangs = worker.lentToGangs && worker.keptForUrgent;
    }
}

} // namespace heatherquay::state::batch
