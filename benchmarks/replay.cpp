#include "replay.hpp"

#include "free_accelerators.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <set>

namespace heatherquay::benchmarks
{

using namespace heatherquay::state;
using namespace std::chrono_literals;

namespace
{

constexpr Duration kStartDelay = 200ms;
constexpr Duration kStopDelay = 500ms;
constexpr Duration kFailureDelay = 30s; ///< Time from the start of a gang that fails until it fails.
constexpr Duration kTickInterval = 30s;
constexpr Duration kUsageReportInterval = 15min;
constexpr Duration kMaxTimeAfterWindow = std::chrono::hours{24 * 30}; ///< Limit of the replay after the window.

class Replay
{
public:
    Replay(const Workload &workload, const detail::Apply &apply)
        : m_workload(workload)
        , m_apply(apply)
        , m_isMeasured(measuredJobFilter(workload))
        , m_now(workload.begin)
    {
    }

    ReplayResult run();

private:
    enum class Phase
    {
        NotSubmitted,
        Waiting,
        Starting,
        Running,
        Ended
    };

    struct Job
    {
        const WorkloadJob *workloadJob{};
        Phase phase{Phase::NotSubmitted};
        Fence fence;
        std::vector<Placement> placements;
        Instant startedAt;
        double speed{1.0};
        double remaining{1.0}; ///< Share of the work that no checkpoint has saved, from 0 to 1.
        bool stopping{};
        std::optional<Instant> endedAt;
    };

    struct Action
    {
        Instant at;
        std::uint64_t sequence{};
        std::function<void()> run;

        bool operator<(const Action &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void schedule(Instant at, std::function<void()> run);
    void deliver(const Event &event);
    void handle(const StartGang &command);
    void handle(const CheckpointGang &command);
    void handle(const StopGang &command);
    void handle(const ParkJob &command);
    void handle(const NotifyOperator &) { }
    Job *findActive(const JobId &id, const Fence &fence);
    void finishStart(const JobId &id, const Fence &fence);
    void scheduleEnd(Job &job);
    void finishStop(const JobId &id, const Fence &fence, bool checkpointed);
    void release(Job &job);
    void reportUsage(const JobId &id, const Fence &fence);
    void applyDisturbance(const Event &event);
    void tick();
    void setPhase(Job &job, Phase phase);
    double progress(const Job &job) const;
    std::optional<WorkerId> workerIn(const std::vector<Placement> &placements,
                                     const std::function<bool(const WorkerId &)> &matches) const;
    void accumulateMeasures();
    ShapePart largestPart() const;
    void recordPolicyError(const std::string &text);

    const Workload &m_workload;
    const detail::Apply &m_apply;
    std::function<bool(const WorkloadJob &)> m_isMeasured;
    Instant m_now;
    std::priority_queue<Action> m_actions;
    std::uint64_t m_sequence{};
    std::map<JobId, Job> m_jobs;
    std::set<std::pair<std::uint32_t, JobId>> m_waiting; ///< Ordered by the size of the largest part.
    FreeAccelerators m_free;
    std::set<WorkerId> m_lost;
    std::set<WorkerId> m_draining;
    std::size_t m_unfinishedJobs{}; ///< Measured jobs that have not ended.
    Instant m_measuredUntil;
    double m_fragmentedSeconds{};
    double m_utilisedSeconds{};
    double m_unusableShare{};
    double m_utilisation{};
    double m_acceleratorCount{};
    ReplayResult m_result;
};

void Replay::schedule(Instant at, std::function<void()> run)
{
    m_actions.push({at, m_sequence++, std::move(run)});
}

void Replay::recordPolicyError(const std::string &text)
{
    ++m_result.policyErrors;
    if (m_result.firstPolicyError.empty()) {
        m_result.firstPolicyError = text;
    }
}

void Replay::deliver(const Event &event)
{
    std::vector<Command> commands;
    try {
        commands = m_apply(event, m_now);
    } catch (const Error &error) {
        recordPolicyError("rejected event of type " + std::to_string(event.index()) + ": " + error.what());
        return;
    }
    for (const Command &command : commands) {
        std::visit(
            [this](const auto &one) {
                handle(one);
            },
            command);
    }
}

void Replay::setPhase(Job &job, Phase phase)
{
    std::uint32_t size = 0;
    for (const ShapePart &part : job.workloadJob->spec.shape.parts) {
        size = std::max(size, part.count);
    }
    const std::pair<std::uint32_t, JobId> key{size, job.workloadJob->spec.id};
    if (phase == Phase::Waiting) {
        m_waiting.insert(key);
    } else {
        m_waiting.erase(key);
    }
    if (phase == Phase::Ended && job.phase != Phase::Ended && m_isMeasured(*job.workloadJob)) {
        --m_unfinishedJobs;
    }
    job.phase = phase;
}

Replay::Job *Replay::findActive(const JobId &id, const Fence &fence)
{
    Job &job = m_jobs.at(id);
    const bool active = job.phase == Phase::Starting || job.phase == Phase::Running;
    return active && job.fence == fence ? &job : nullptr;
}

void Replay::handle(const StartGang &command)
{
    Job &job = m_jobs.at(command.job);
    if (job.phase != Phase::Waiting || !m_free.isFree(command.placements)) {
        recordPolicyError("start of " + command.job.value
                          + ", which is not waiting or whose accelerators are not free");
        return;
    }
    m_free.take(command.placements);
    job.placements = command.placements;
    job.fence = command.fence;
    job.stopping = false;
    setPhase(job, Phase::Starting);
    schedule(m_now + kStartDelay, [this, id = command.job, fence = command.fence] {
        finishStart(id, fence);
    });
}

std::optional<WorkerId> Replay::workerIn(const std::vector<Placement> &placements,
                                         const std::function<bool(const WorkerId &)> &matches) const
{
    for (const Placement &placement : placements) {
        if (matches(placement.worker)) {
            return placement.worker;
        }
    }
    return std::nullopt;
}

void Replay::finishStart(const JobId &id, const Fence &fence)
{
    Job *job = findActive(id, fence);
    if (job == nullptr || job->stopping) {
        return;
    }
    setPhase(*job, Phase::Running);
    job->startedAt = m_now;
    scheduleEnd(*job);
    deliver(GangStarted{id, fence});
}

void Replay::scheduleEnd(Job &job)
{
    const JobId id = job.workloadJob->spec.id;
    const Fence fence = job.fence;
    const auto failedWorker = workerIn(job.placements, [this](const WorkerId &worker) {
        return std::any_of(m_workload.failingWorkers.begin(), m_workload.failingWorkers.end(),
                           [&](const FailingWorker &failing) {
                               return failing.worker == worker && failing.from <= m_now && m_now < failing.until;
                           });
    });
    job.speed = 1e9;
    for (const Placement &placement : job.placements) {
        const auto worker
            = std::find_if(m_workload.workers.begin(), m_workload.workers.end(), [&](const WorkerSpec &spec) {
                  return spec.id == placement.worker;
              });
        for (const std::uint16_t index : placement.accelerators) {
            job.speed = std::min(
                job.speed,
                m_workload.speeds.speed(job.workloadJob->spec.jobClass, worker->accelerators.at(index).kind));
        }
    }
    const bool fails = failedWorker || job.workloadJob->alwaysFails;
    const double seconds = std::chrono::duration<double>(job.workloadJob->work).count() * job.remaining / job.speed;
    const Duration runTime = Duration(std::max<std::int64_t>(1, static_cast<std::int64_t>(seconds * 1000.0)));
    schedule(m_now + (fails ? kFailureDelay : runTime), [this, id, fence, fails, failedWorker] {
        Job *ended = findActive(id, fence);
        if (ended == nullptr || ended->stopping) {
            return;
        }
        release(*ended);
        setPhase(*ended, fails ? Phase::Waiting : Phase::Ended);
        if (fails) {
            const std::size_t member = fence.value % ended->placements.size();
            const WorkerId reportedWorker = failedWorker ? *failedWorker : ended->placements[member].worker;
            deliver(TaskFailed{id, fence, reportedWorker});
        } else {
            ended->endedAt = m_now;
            deliver(JobFinished{id, fence});
        }
    });
    schedule(m_now + kUsageReportInterval, [this, id, fence] {
        reportUsage(id, fence);
    });
}

double Replay::progress(const Job &job) const
{
    const double seconds = std::chrono::duration<double>(m_now - job.startedAt).count();
    const double work = std::chrono::duration<double>(job.workloadJob->work).count();
    return std::min(1.0, 1.0 - job.remaining + seconds * job.speed / work);
}

void Replay::reportUsage(const JobId &id, const Fence &fence)
{
    const Job *job = findActive(id, fence);
    if (job == nullptr || job->stopping || m_unfinishedJobs == 0) {
        return;
    }
    // One job in eight cannot report its progress.
    const bool reportsProgress = std::hash<std::string>()(id.value) % 8 != 0;
    deliver(UsageReported{id, fence, reportsProgress ? progress(*job) : -1.0, m_now - job->startedAt});
    schedule(m_now + kUsageReportInterval, [this, id, fence] {
        reportUsage(id, fence);
    });
}

void Replay::release(Job &job)
{
    m_free.release(job.placements);
}

void Replay::handle(const CheckpointGang &command)
{
    Job *job = findActive(command.job, command.fence);
    if (job == nullptr) {
        recordPolicyError("checkpoint of " + command.job.value + " with a fence under which it does not run");
        return;
    }
    if (job->stopping) {
        return;
    }
    ++m_result.preemptions;
    job->stopping = true;
    const bool inTime = job->phase == Phase::Running && job->workloadJob->checkpointTime <= command.grace;
    if (inTime) {
        job->remaining = std::max(1e-6, 1.0 - progress(*job));
    }
    schedule(m_now + (inTime ? job->workloadJob->checkpointTime : command.grace),
             [this, id = command.job, fence = command.fence, inTime] {
                 finishStop(id, fence, inTime);
             });
    schedule(m_now + command.grace + 1ms, [this] {
        deliver(Tick{});
    });
}

void Replay::handle(const StopGang &command)
{
    Job *job = findActive(command.job, command.fence);
    if (job == nullptr) {
        return;
    }
    job->stopping = true;
    schedule(m_now + kStopDelay, [this, id = command.job, fence = command.fence] {
        finishStop(id, fence, false);
    });
}

void Replay::finishStop(const JobId &id, const Fence &fence, bool checkpointed)
{
    Job *job = findActive(id, fence);
    if (job == nullptr) {
        return;
    }
    release(*job);
    setPhase(*job, job->endedAt ? Phase::Ended : Phase::Waiting);
    deliver(TasksStopped{id, fence, checkpointed});
}

void Replay::handle(const ParkJob &command)
{
    Job &job = m_jobs.at(command.job);
    if (job.phase == Phase::Waiting) {
        setPhase(job, Phase::Ended);
    }
}

void Replay::applyDisturbance(const Event &event)
{
    if (const auto *cancelled = std::get_if<JobCancelled>(&event)) {
        Job &job = m_jobs.at(cancelled->job);
        if (job.phase == Phase::Ended || job.endedAt) {
            return;
        }
        job.endedAt = m_now;
        if (job.phase == Phase::Waiting) {
            setPhase(job, Phase::Ended);
        }
    } else if (const auto *lost = std::get_if<WorkerLost>(&event)) {
        m_lost.insert(lost->worker);
        m_free.setUsable(lost->worker, false);
    } else if (const auto *returned = std::get_if<WorkerReturned>(&event)) {
        m_lost.erase(returned->worker);
        m_free.setUsable(returned->worker, !m_draining.contains(returned->worker));
    } else if (const auto *draining = std::get_if<WorkerDraining>(&event)) {
        if (draining->draining) {
            m_draining.insert(draining->worker);
        } else {
            m_draining.erase(draining->worker);
        }
        m_free.setUsable(draining->worker, !draining->draining && !m_lost.contains(draining->worker));
    }
    deliver(event);
}

void Replay::tick()
{
    deliver(Tick{});
    if (m_unfinishedJobs > 0) {
        schedule(m_now + kTickInterval, [this] {
            tick();
        });
    }
}

ShapePart Replay::largestPart() const
{
    ShapePart largest;
    for (const GuaranteeSpec &guarantee : m_workload.guarantees) {
        for (const ShapePart &part : guarantee.shape.parts) {
            largest = part.count > largest.count ? part : largest;
        }
    }
    if (!m_waiting.empty() && m_waiting.rbegin()->first > largest.count) {
        for (const ShapePart &part : m_jobs.at(m_waiting.rbegin()->second).workloadJob->spec.shape.parts) {
            largest = part.count > largest.count ? part : largest;
        }
    }
    return largest;
}

void Replay::accumulateMeasures()
{
    const Instant until = std::min(m_now, m_workload.begin + m_workload.window);
    if (until > m_measuredUntil) {
        const double seconds = std::chrono::duration<double>(until - m_measuredUntil).count();
        m_fragmentedSeconds += seconds * m_unusableShare;
        m_utilisedSeconds += seconds * m_utilisation;
        m_measuredUntil = until;
    }
}

ReplayResult Replay::run()
{
    for (const WorkerSpec &worker : m_workload.workers) {
        m_free.addWorker(worker);
        m_acceleratorCount += static_cast<double>(worker.accelerators.size());
        deliver(WorkerAdded{worker});
    }
    for (const TeamSpec &team : m_workload.teams) {
        deliver(TeamDeclared{team});
    }
    for (const GuaranteeSpec &guarantee : m_workload.guarantees) {
        deliver(GuaranteeGranted{guarantee});
    }
    for (const WorkloadJob &job : m_workload.jobs) {
        m_jobs[job.spec.id].workloadJob = &job;
        m_unfinishedJobs += m_isMeasured(job) ? 1 : 0;
        schedule(job.submittedAt, [this, &job] {
            setPhase(m_jobs.at(job.spec.id), Phase::Waiting);
            deliver(JobSubmitted{job.spec});
        });
    }
    for (const TimedEvent &disturbance : m_workload.disturbances) {
        schedule(disturbance.at, [this, &disturbance] {
            applyDisturbance(disturbance.event);
        });
    }
    m_measuredUntil = m_workload.begin;
    const Instant deadline = m_workload.begin + m_workload.window + kMaxTimeAfterWindow;
    tick();
    while (!m_actions.empty() && m_unfinishedJobs > 0 && m_now < deadline) {
        const Action action = m_actions.top();
        m_actions.pop();
        m_now = std::max(m_now, action.at);
        accumulateMeasures();
        action.run();
        if (m_now < m_workload.begin + m_workload.window && (m_actions.empty() || m_actions.top().at > m_now)) {
            m_unusableShare = m_free.unusableShare(largestPart());
            m_utilisation = 1.0 - m_free.freeCount() / m_acceleratorCount;
        }
    }
    for (const auto &[id, job] : m_jobs) {
        if (!m_isMeasured(*job.workloadJob)) {
            continue;
        }
        const bool finished = job.endedAt.has_value();
        m_result.unfinished += finished ? 0 : 1;
        const Instant end = finished ? *job.endedAt : m_now;
        m_result.completions.push_back(std::chrono::duration<double>(end - job.workloadJob->submittedAt).count());
        m_result.makespan = std::max(m_result.makespan, std::chrono::duration<double>(end - m_workload.begin).count());
    }
    const double window = std::chrono::duration<double>(m_workload.window).count();
    m_result.fragmentation = m_fragmentedSeconds / window;
    m_result.utilisation = m_utilisedSeconds / window;
    return m_result;
}

} // namespace

std::function<bool(const WorkloadJob &)> measuredJobFilter(const Workload &workload)
{
    std::set<JobId> cancelled;
    for (const TimedEvent &disturbance : workload.disturbances) {
        if (const auto *event = std::get_if<JobCancelled>(&disturbance.event)) {
            cancelled.insert(event->job);
        }
    }
    return [cancelled](const WorkloadJob &job) {
        return !job.alwaysFails && !cancelled.contains(job.spec.id);
    };
}

ReplayResult detail::replay(const Workload &workload, const Apply &apply)
{
    return Replay(workload, apply).run();
}

} // namespace heatherquay::benchmarks
