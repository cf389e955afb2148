#include "heatherquay/state/batch/worker_pool.hpp"

#include <algorithm>

namespace heatherquay::state::batch
{

bool isHeartbeat(const WorkerSpec &known, WorkerSpec registration)
{
    registration.incarnation = std::max(registration.incarnation, known.incarnation);
    registration.coldRemaining = known.coldRemaining;
    return registration == known;
}

bool Worker::hasLabel(const std::string &label) const
{
    return std::find(spec.labels.begin(), spec.labels.end(), label) != spec.labels.end();
}

WorkerPool::WorkerPool(WorkerPoolSettings settings)
    : m_settings(settings)
{
}

bool WorkerPool::registerWorker(const WorkerSpec &spec, Instant leaseUntil)
{
    Worker &worker = findOrCreate(spec.id, leaseUntil);
    const Incarnation before = worker.spec.incarnation;
    // A registration may be older than the worker's own answers, or lack the incarnation.
    const bool restarted = before.value != 0 && before < spec.incarnation;
    if (restarted) {
        worker.fenced = false;
        worker.consecutiveFailures = 0;
        worker.suspectedBy.reset();
        worker.quarantine = Duration::zero();
        worker.quarantinedUntil = {};
        worker.slowness = 1;
        worker.speed = {};
        worker.slownessMeasured = false;
        worker.sharingPace = 0;
        worker.strayRuns = 0;
    }
    worker.spec = spec;
    worker.spec.incarnation = std::max(before, spec.incarnation);
    worker.registered = true;
    worker.evacuated = m_evacuatedDomains.contains(spec.failureDomain);
    return restarted;
}

std::vector<WorkerId> WorkerPool::setEvacuatedDomains(const std::set<FailureDomainId> &domains, Instant now)
{
    m_evacuatedDomains = domains;
    std::vector<WorkerId> changed;
    std::vector<Worker *> returning;
    for (auto &[id, worker] : m_workers) {
        const bool evacuated = domains.contains(worker.spec.failureDomain);
        if (evacuated != worker.evacuated) {
            worker.evacuated = evacuated;
            changed.push_back(id);
            if (!evacuated) {
                returning.push_back(&worker);
            }
        }
    }
    const auto firstCold = std::stable_partition(returning.begin(), returning.end(), [now](const Worker *worker) {
        return !worker->isCold(now);
    });
    spreadReturns({returning.begin(), firstCold}, now);
    spreadReturns({firstCold, returning.end()}, firstCold == returning.begin() ? now : now + m_settings.returnTime);
    return changed;
}

void WorkerPool::spreadReturns(const std::vector<Worker *> &workers, Instant from) const
{
    const auto count = static_cast<Duration::rep>(workers.size());
    for (Duration::rep i = 0; i < count; ++i) {
        workers[static_cast<std::size_t>(i)]->returnsAt = from + m_settings.returnTime * i / count;
    }
}

void WorkerPool::setColdRemaining(const WorkerId &id, Duration remaining, Instant now)
{
    if (Worker *worker = find(id)) {
        worker->spec.coldRemaining = remaining;
        worker->coldUntil = now + remaining;
    }
}

std::size_t WorkerPool::coldCount(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(), [now](const auto &entry) {
        return entry.second.registered && entry.second.isCold(now);
    }));
}

std::size_t WorkerPool::countIn(const FailureDomainId &domain) const
{
    return static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(), [&domain](const auto &entry) {
        return entry.second.registered && entry.second.spec.failureDomain == domain;
    }));
}

std::size_t WorkerPool::evacuatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(), [](const auto &entry) {
        return entry.second.registered && entry.second.evacuated;
    }));
}

void WorkerPool::unregister(const WorkerId &id)
{
    if (Worker *worker = find(id)) {
        worker->registered = false;
    }
}

Worker &WorkerPool::findOrCreate(const WorkerId &id, Instant leaseUntil)
{
    const auto [position, added] = m_workers.try_emplace(id);
    if (added) {
        position->second.spec.id = id;
        position->second.leaseUntil = leaseUntil;
    }
    return position->second;
}

Worker *WorkerPool::find(const WorkerId &id)
{
    const auto position = m_workers.find(id);
    return position == m_workers.end() ? nullptr : &position->second;
}

const Worker *WorkerPool::find(const WorkerId &id) const
{
    const auto position = m_workers.find(id);
    return position == m_workers.end() ? nullptr : &position->second;
}

void WorkerPool::removeIfUnused(const WorkerId &id)
{
    const Worker *worker = find(id);
    if (worker != nullptr && !worker->registered && worker->runs == 0) {
        m_workers.erase(id);
    }
}

void WorkerPool::noteAnswer(Worker &worker, Instant now)
{
    worker.answeredAt = now;
    worker.unreachable = false;
    worker.fenced = true;
}

void WorkerPool::noteSuccess(Worker &worker)
{
    worker.consecutiveFailures = 0;
    worker.suspectedBy.reset();
    worker.quarantine = Duration::zero();
}

void WorkerPool::noteFailure(Worker &worker, Instant now)
{
    if (++worker.consecutiveFailures < m_settings.quarantineFailures) {
        return;
    }
    worker.quarantine = worker.quarantine.count() == 0 ? m_settings.quarantineInitial
                                                       : std::min(worker.quarantine * 2, m_settings.quarantineMax);
    // After a quarantine, one more failure starts the next one.
    worker.consecutiveFailures = m_settings.quarantineFailures - 1;
    suspendPlacement(worker, now, worker.quarantine);
}

void WorkerPool::suspendPlacement(Worker &worker, Instant now, Duration pause)
{
    worker.quarantinedUntil = std::max(worker.quarantinedUntil, now + pause);
}

double WorkerPool::fencedShare() const
{
    std::size_t registered = 0;
    std::size_t fenced = 0;
    for (const auto &[id, worker] : m_workers) {
        registered += worker.registered ? 1 : 0;
        fenced += worker.registered && worker.fenced ? 1 : 0;
    }
    return registered == 0 ? 1 : static_cast<double>(fenced) / static_cast<double>(registered);
}

bool WorkerPool::acceptsRuns(const Worker &worker, Instant now) const
{
    return isUsable(worker) && now >= worker.quarantinedUntil && now >= worker.returnsAt;
}

} // namespace heatherquay::state::batch
