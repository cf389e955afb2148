#include "baselines.hpp"

#include <algorithm>

namespace heatherquay::benchmarks
{

using namespace heatherquay::state;

namespace
{

constexpr std::size_t kFailedWorkersBeforeParking = 3;

bool overlaps(const std::vector<Placement> &left, const std::vector<Placement> &right)
{
    for (const Placement &one : left) {
        for (const Placement &other : right) {
            if (one.worker == other.worker
                && std::find_first_of(one.accelerators.begin(), one.accelerators.end(), other.accelerators.begin(),
                                      other.accelerators.end())
                    != one.accelerators.end()) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

QueuePolicy::QueuePolicy(QueueDiscipline discipline)
    : m_discipline(discipline)
    , m_fit(discipline == QueueDiscipline::BestFit ? Fit::Best : Fit::First)
{
}

std::vector<Command> QueuePolicy::apply(const Event &event, Instant now)
{
    m_commands.clear();
    handle(event);
    schedule(now);
    return std::move(m_commands);
}

void QueuePolicy::handle(const Event &event)
{
    if (const auto *added = std::get_if<WorkerAdded>(&event)) {
        m_free.addWorker(added->worker);
        m_hardware.addWorker(added->worker);
    } else if (const auto *lost = std::get_if<WorkerLost>(&event)) {
        handleWorkerLoss(lost->worker);
    } else if (const auto *returned = std::get_if<WorkerReturned>(&event)) {
        m_lost[returned->worker] = false;
        setUsable(returned->worker, true);
    } else if (const auto *draining = std::get_if<WorkerDraining>(&event)) {
        m_draining[draining->worker] = draining->draining;
        setUsable(draining->worker, true);
    } else if (const auto *submitted = std::get_if<JobSubmitted>(&event)) {
        submit(submitted->job);
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&event)) {
        cancel(cancelled->job);
    } else if (const auto *startFailed = std::get_if<GangStartFailed>(&event)) {
        handleFailure(startFailed->job, startFailed->fence, startFailed->failedWorker);
    } else if (const auto *taskFailed = std::get_if<TaskFailed>(&event)) {
        handleFailure(taskFailed->job, taskFailed->fence, taskFailed->failedWorker);
    } else if (const auto *finished = std::get_if<JobFinished>(&event)) {
        release(finished->job, finished->fence, true);
    } else if (const auto *stopped = std::get_if<TasksStopped>(&event)) {
        release(stopped->job, stopped->fence, false);
    }
}

void QueuePolicy::submit(const JobSpec &spec)
{
    QueuedJob job;
    job.spec = spec;
    job.order = m_nextOrder++;
    m_waiting[job.order] = spec.id;
    m_jobs[spec.id] = job;
}

void QueuePolicy::cancel(const JobId &id)
{
    QueuedJob &job = m_jobs.at(id);
    job.cancelled = true;
    if (m_running.contains(id)) {
        stop(job);
    } else {
        m_waiting.erase(job.order);
    }
}

void QueuePolicy::stop(QueuedJob &job)
{
    if (!job.stopping) {
        job.stopping = true;
        m_commands.push_back(StopGang{job.spec.id, job.fence});
    }
}

void QueuePolicy::handleWorkerLoss(const WorkerId &id)
{
    m_lost[id] = true;
    m_free.setUsable(id, false);
    for (const JobId &running : m_running) {
        QueuedJob &job = m_jobs.at(running);
        if (std::any_of(job.placements.begin(), job.placements.end(), [&](const Placement &placement) {
                return placement.worker == id;
            })) {
            stop(job);
        }
    }
}

void QueuePolicy::release(const JobId &id, const Fence &fence, bool finished)
{
    QueuedJob &job = m_jobs.at(id);
    if (!m_running.contains(id) || job.fence != fence) {
        return;
    }
    m_running.erase(id);
    m_free.release(job.placements);
    job.placements.clear();
    job.stopping = false;
    if (finished || job.cancelled) {
        return;
    }
    if (job.failedOn.size() >= kFailedWorkersBeforeParking) {
        m_commands.push_back(ParkJob{id, "failed on several workers"});
        return;
    }
    m_waiting[job.order] = id;
}

void QueuePolicy::handleFailure(const JobId &id, const Fence &fence, const std::optional<WorkerId> &failedWorker)
{
    if (failedWorker) {
        m_jobs.at(id).failedOn.insert(*failedWorker);
    }
    release(id, fence, false);
}

void QueuePolicy::setUsable(const WorkerId &worker, bool usable)
{
    m_free.setUsable(worker, usable && !m_lost[worker] && !m_draining[worker]);
}

std::optional<std::vector<Placement>> QueuePolicy::findPlacement(const QueuedJob &job)
{
    for (const WorkerId &worker : job.failedOn) {
        setUsable(worker, false);
        m_hardware.setUsable(worker, false);
    }
    auto placements = m_free.find(job.spec.shape, m_fit);
    // A large gang may not fit on the hardware without the workers on which it has failed. It may then use them again.
    const bool canAvoid = job.failedOn.empty() || placements || m_hardware.find(job.spec.shape, m_fit);
    for (const WorkerId &worker : job.failedOn) {
        setUsable(worker, true);
        m_hardware.setUsable(worker, true);
    }
    return canAvoid ? placements : m_free.find(job.spec.shape, m_fit);
}

void QueuePolicy::start(QueuedJob &job, std::vector<Placement> placements, Instant now)
{
    m_free.take(placements);
    job.placements = placements;
    job.fence = Fence{m_nextFence++};
    job.startedAt = now;
    m_waiting.erase(job.order);
    m_running.insert(job.spec.id);
    m_commands.push_back(StartGang{job.spec.id, job.fence, std::move(placements)});
}

void QueuePolicy::schedule(Instant now)
{
    std::vector<std::uint64_t> orders;
    for (const auto &[order, id] : m_waiting) {
        orders.push_back(order);
    }
    std::vector<Shape> unplaceableShapes;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        QueuedJob &job = m_jobs.at(m_waiting.at(orders[i]));
        const bool canUseAllWorkers = job.failedOn.empty();
        if (canUseAllWorkers
            && std::find(unplaceableShapes.begin(), unplaceableShapes.end(), job.spec.shape)
                != unplaceableShapes.end()) {
            continue;
        }
        auto placements = findPlacement(job);
        if (placements) {
            start(job, std::move(*placements), now);
            continue;
        }
        if (m_discipline == QueueDiscipline::BestFit) {
            if (canUseAllWorkers) {
                unplaceableShapes.push_back(job.spec.shape);
            }
            continue;
        }
        if (m_discipline == QueueDiscipline::InOrderBackfill) {
            std::vector<std::uint64_t> laterOrders(orders.begin() + static_cast<std::ptrdiff_t>(i) + 1, orders.end());
            backfill(job, laterOrders, now);
        }
        return;
    }
}

void QueuePolicy::backfill(const QueuedJob &head, std::vector<std::uint64_t> &laterOrders, Instant now)
{
    // Finds the expected start of the first job: releases the running jobs in the order of their declared ends until
    // the first job fits.
    std::vector<std::pair<Instant, const QueuedJob *>> expectedEnds;
    for (const JobId &id : m_running) {
        const QueuedJob &job = m_jobs.at(id);
        expectedEnds.emplace_back(std::max(now, job.startedAt + job.spec.declaredRunTime), &job);
    }
    std::sort(expectedEnds.begin(), expectedEnds.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::vector<Placement> headPlacements;
    Instant headStartsAt = Instant::max();
    std::size_t released = 0;
    while (released < expectedEnds.size() && headPlacements.empty()) {
        m_free.release(expectedEnds[released].second->placements);
        headStartsAt = expectedEnds[released].first;
        ++released;
        const bool last = released == expectedEnds.size() || expectedEnds[released].first > headStartsAt;
        if (last) {
            headPlacements = findPlacement(head).value_or(std::vector<Placement>{});
        }
    }
    for (std::size_t i = 0; i < released; ++i) {
        m_free.take(expectedEnds[i].second->placements);
    }
    std::vector<Shape> unplaceableShapes;
    for (const std::uint64_t order : laterOrders) {
        QueuedJob &job = m_jobs.at(m_waiting.at(order));
        const bool canUseAllWorkers = job.failedOn.empty();
        if (canUseAllWorkers
            && std::find(unplaceableShapes.begin(), unplaceableShapes.end(), job.spec.shape)
                != unplaceableShapes.end()) {
            continue;
        }
        auto placements = findPlacement(job);
        if (!placements && canUseAllWorkers) {
            unplaceableShapes.push_back(job.spec.shape);
        }
        if (!placements) {
            continue;
        }
        const bool delaysHead = !headPlacements.empty() && now + job.spec.declaredRunTime > headStartsAt
            && overlaps(*placements, headPlacements);
        if (!delaysHead) {
            start(job, std::move(*placements), now);
        }
    }
}

} // namespace heatherquay::benchmarks
