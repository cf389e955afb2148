#include "batch/pool_simulation.hpp"

#include <algorithm>

namespace heatherquay::test
{

using namespace state::batch;
using state::Duration;
using state::Instant;
using state::JobId;
using state::WorkerId;

namespace detail
{

constexpr Duration stepDuration{10};
constexpr Duration reportInterval{500};
constexpr Duration stopDuration{200};
constexpr Duration lease{5'000};
constexpr Duration predecessorLease{8'810}; // What a decider assumes of its predecessor's leases.
constexpr Duration checkpointInterval{1'000};
constexpr double workMillisecondsPerStep = 10;
constexpr double failureProgress = 0.1;
constexpr double remoteDataSlowdown = 3;
constexpr double coresPerAccelerator = 8;
constexpr Duration harmMax{4'000}; // Longest time over the target because of best-effort runs.

bool disturbs(const StepSpec &step, const StepSpec &other)
{
    return (other.bestEffort && step.tailLatencyTarget.count() > 0)
        || (step.bestEffort && other.tailLatencyTarget.count() > 0);
}

} // namespace detail

PoolSimulation::PoolSimulation(SchedulerSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_scheduler(std::make_unique<Scheduler>(settings))
    , m_random(seed)
{
    setQueue("batch", {"service", 1, 3, 3.0, Duration(1'000)});
}

void PoolSimulation::setQueue(const std::string &name, const QueuePolicy &policy)
{
    m_queues[name] = policy;
    m_scheduler->setQueues(m_queues);
}

std::vector<WorkerId> PoolSimulation::addWorkers(std::uint32_t count, std::uint32_t perRack, const Resources &capacity)
{
    std::vector<WorkerId> ids;
    for (std::uint32_t i = 0; i < count; ++i) {
        SimulatedWorker worker;
        worker.spec.id.value = "w" + std::to_string(m_workers.size());
        worker.spec.incarnation.value = 1;
        worker.spec.service = "service";
        worker.spec.rack = "r" + std::to_string(m_workers.size() / perRack);
        worker.spec.labels = {"a", worker.spec.rack};
        worker.spec.capacity = capacity;
        m_scheduler->registerWorker(worker.spec, m_now, m_now);
        ids.push_back(worker.spec.id);
        m_workers[worker.spec.id] = worker;
    }
    sendReports();
    return ids;
}

void PoolSimulation::submit(JobSpec job, std::optional<Duration> work)
{
    job.acceptedAt = m_now;
    job.policy = m_queues[job.queue];
    m_work[job.id] = work.value_or(job.steps.front().estimate);
    m_jobs[job.id] = job;
    m_scheduler->submit(job, m_now);
}

void PoolSimulation::cancel(const JobId &job)
{
    m_cancelled.insert(job);
    m_scheduler->cancel(job);
}

void PoolSimulation::drain(const WorkerId &worker)
{
    m_workers.at(worker).spec.draining = true;
    m_scheduler->registerWorker(m_workers.at(worker).spec, m_now, m_now);
}

void PoolSimulation::dropRuns(const WorkerId &worker)
{
    std::erase_if(m_runs, [&worker](const SimulatedRun &run) {
        return run.worker == worker;
    });
    m_workers.at(worker).ended.clear();
}

void PoolSimulation::remove(const WorkerId &worker)
{
    dropRuns(worker);
    m_workers.at(worker).gone = true;
    m_workers.at(worker).unreachable = true;
    m_scheduler->unregisterWorker(worker);
}

void PoolSimulation::restart(const WorkerId &worker)
{
    dropRuns(worker);
    SimulatedWorker &restarted = m_workers.at(worker);
    restarted.lastEnd = 0;
    restarted.unreachable = false;
    ++restarted.spec.incarnation.value;
    m_scheduler->registerWorker(restarted.spec, m_now, m_now);
}

bool PoolSimulation::runs(const TaskId &task) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&task](const SimulatedRun &run) {
        return run.task == task;
    });
}

bool PoolSimulation::done(const JobId &job, std::uint32_t step) const
{
    for (std::uint32_t index = 0; index < m_jobs.at(job).steps.at(step).taskCount; ++index) {
        if (!m_done.contains({job, 0, step, index})) {
            return false;
        }
    }
    return true;
}

void PoolSimulation::failRun(const TaskId &task)
{
    for (std::size_t i = m_runs.size(); i-- > 0;) {
        if (m_runs[i].task == task) {
            endRun(i, EndKind::Failed);
        }
    }
}

void PoolSimulation::cancelUnnoticed(const JobId &job)
{
    m_cancelled.insert(job);
}

JobState PoolSimulation::stateOf(const JobId &job) const
{
    const auto found = m_states.find(job);
    return found == m_states.end() ? JobState::Queued : found->second;
}

std::optional<Duration> PoolSimulation::endOf(const JobId &job) const
{
    const auto found = m_ends.find(job);
    return found == m_ends.end() ? std::nullopt : std::optional(found->second - m_jobs.at(job).acceptedAt);
}

std::uint32_t PoolSimulation::startsOf(const TaskId &task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second;
}

std::uint32_t PoolSimulation::paceOf(const TaskId &task) const
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&task](const SimulatedRun &run) {
        return run.task == task;
    });
    return found == m_runs.end() ? 0 : found->pace;
}

const StepSpec &PoolSimulation::stepOf(const TaskId &task) const
{
    return m_jobs.at(task.job).steps.at(task.step);
}

double PoolSimulation::workOf(const TaskId &task)
{
    return static_cast<double>(m_work.at(task.job).count());
}

void PoolSimulation::advance(Duration time)
{
    for (Duration passed{}; passed < time; passed += detail::stepDuration) {
        step();
    }
}

void PoolSimulation::advanceWithoutScheduler(Duration time)
{
    for (Duration passed{}; passed < time; passed += detail::stepDuration) {
        m_now += detail::stepDuration;
        advanceRuns();
    }
}

void PoolSimulation::step()
{
    m_now += detail::stepDuration;
    advanceRuns();
    checkResponseTimes();
    sendReports();
    const auto begunAt = std::chrono::steady_clock::now();
    latest = m_scheduler->decide(m_now, m_now);
    const Decision &decision = latest;
    decisionTimes.push_back(
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begunAt).count());
    for (const OccurrenceRecord &record : decision.records) {
        m_records[{record.job, record.occurrence, record.block}] = record;
    }
    for (const ScheduleChange &change : decision.schedules) {
        const JobId &job = change.record.job;
        m_schedules[job] = change.record;
        m_records.erase(m_records.lower_bound({job, change.discardedFrom, 0}),
                        m_records.lower_bound({job, change.record.finishedBefore, 0}));
    }
    for (const JobStatus &status : decision.statuses) {
        m_states[status.job] = status.state;
        if (isFinal(status.state)) {
            m_ends[status.job] = m_now;
        }
    }
    for (auto &[id, worker] : m_workers) {
        if (!worker.unreachable && confirmEnds) {
            worker.ended.clear();
        }
    }
    for (const AdviceOrder &order : decision.advice) {
        std::map<WorkerId, std::string> tickets;
        const Duration validity = m_queues.at(m_jobs.at(order.step.job).queue).advice->validity;
        for (const WorkerId &id : order.workers) {
            if (advised.contains(id)) {
                tickets[id] = toString(order.step) + "/" + id.value;
                m_tickets[tickets[id]] = m_now + validity;
            }
        }
        m_scheduler->adviceAnswered(order.step, std::move(tickets), validity, m_now);
    }
    for (const StopOrder &order : decision.stops) {
        execute(order);
    }
    for (const StartOrder &order : decision.starts) {
        execute(order);
    }
    for (const PaceOrder &order : decision.paces) {
        execute(order);
    }
}

std::int64_t PoolSimulation::responseTime(const SimulatedRun &run) const
{
    double pressure = ownPressure;
    for (const SimulatedRun &other : m_runs) {
        if (other.worker == run.worker && stepOf(other.task).bestEffort) {
            pressure += pressurePerBestEffortRun * other.pace / 100;
        }
    }
    return static_cast<std::int64_t>(pressure * static_cast<double>(stepOf(run.task).tailLatencyTarget.count()));
}

void PoolSimulation::checkResponseTimes()
{
    for (SimulatedRun &run : m_runs) {
        const Duration target = stepOf(run.task).tailLatencyTarget;
        if (target.count() == 0) {
            continue;
        }
        const bool over = ownPressure <= 1 && responseTime(run) > target.count();
        if (!over) {
            run.overTargetSince = {};
        } else if (run.overTargetSince == Instant{}) {
            run.overTargetSince = m_now;
        } else if (m_now - run.overTargetSince == detail::harmMax) {
            violations.push_back("over the latency target because of best-effort tasks: " + toString(run.task));
        }
    }
}

bool PoolSimulation::fitsUndisturbed(const TaskId &task, const WorkerId &except) const
{
    const StepSpec &step = stepOf(task);
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        const SimulatedWorker &worker = entry.second;
        Resources used = allocationOf(step);
        const bool failed = worker.failedAt != Instant{} && m_now - worker.failedAt < m_settings.workers.quarantineMax;
        bool disturbed = entry.first == except || worker.unreachable || worker.spec.draining || failed;
        for (const SimulatedRun &run : m_runs) {
            if (run.worker == entry.first) {
                used += allocationOf(stepOf(run.task));
                disturbed = disturbed || detail::disturbs(step, stepOf(run.task));
            }
        }
        const auto &labels = worker.spec.labels;
        const bool labelled
            = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        return !disturbed && labelled && step.tasksPerWorkerMax == 0 && used.fitsIn(worker.spec.capacity);
    });
}

bool PoolSimulation::gangRunning(const SimulatedRun &run) const
{
    const StepSpec &step = stepOf(run.task);
    if (!step.gang) {
        return true;
    }
    const auto members = std::count_if(m_runs.begin(), m_runs.end(), [&](const SimulatedRun &other) {
        return other.task.job == run.task.job && other.task.occurrence == run.task.occurrence
            && other.task.step == run.task.step && other.run == run.run;
    });
    return static_cast<std::uint32_t>(members) == step.taskCount;
}

void PoolSimulation::advanceRuns()
{
    for (std::size_t i = m_runs.size(); i-- > 0;) {
        SimulatedRun &run = m_runs[i];
        SimulatedWorker &worker = m_workers.at(run.worker);
        if (worker.unreachable && m_now >= worker.leaseUntil) {
            endRun(i, EndKind::LeaseExpired);
            continue;
        }
        if (run.stopping && m_now >= run.stopsAt) {
            endRun(i, EndKind::Stopped);
            continue;
        }
        const bool advances = !worker.hangs && !run.stopping && gangRunning(run);
        if (!advances) {
            continue;
        }
        const StepSpec &step = stepOf(run.task);
        const bool remoteData = !step.dataRack.empty() && worker.spec.rack != step.dataRack;
        run.done += detail::workMillisecondsPerStep * worker.speed / (remoteData ? detail::remoteDataSlowdown : 1)
            * run.pace / 100;
        if (worker.failsRuns && run.done >= run.work * detail::failureProgress) {
            endRun(i, EndKind::Failed);
        }
    }
    // Gang members end together when all have completed their work.
    for (std::size_t i = m_runs.size(); i-- > 0;) {
        if (i >= m_runs.size()) {
            continue;
        }
        const SimulatedRun run = m_runs[i];
        const bool gangDone = std::all_of(m_runs.begin(), m_runs.end(), [&](const SimulatedRun &other) {
            const bool same = other.task.job == run.task.job && other.task.occurrence == run.task.occurrence
                && other.task.step == run.task.step && other.run == run.run;
            const bool together = same && stepOf(run.task).gang;
            return !together || other.done >= other.work;
        });
        if (run.done >= run.work && !run.stopping && gangDone && gangRunning(run)) {
            const auto position = i;
            if (stepOf(run.task).gang) {
                for (std::size_t other = m_runs.size(); other-- > 0;) {
                    if (m_runs[other].task.job == run.task.job && m_runs[other].task.occurrence == run.task.occurrence
                        && m_runs[other].task.step == run.task.step && m_runs[other].run == run.run) {
                        endRun(other, EndKind::Done);
                    }
                }
            } else {
                endRun(position, EndKind::Done);
            }
        }
    }
}

void PoolSimulation::endRun(std::size_t position, EndKind kind)
{
    const SimulatedRun run = m_runs[position];
    m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(position));
    SimulatedWorker &worker = m_workers.at(run.worker);
    EndReport report;
    report.number = ++worker.lastEnd;
    report.task = run.task;
    report.run = run.run;
    report.kind = kind;
    const StepSpec &step = stepOf(run.task);
    if (kind == EndKind::Failed) {
        worker.failedAt = m_now;
    }
    if (kind != EndKind::Done) {
        const double saved = step.savesProgress ? run.done : 0;
        report.checkpoint = step.savesProgress ? std::to_string(run.done) : std::string();
        const double cores = static_cast<double>(step.need.cpuMillicores) / 1'000
            + detail::coresPerAccelerator * static_cast<double>(step.need.accelerators);
        m_wasted += cores * (run.done - saved) / 1'000;
    }
    worker.ended.push_back(report);
}

void PoolSimulation::sendReports()
{
    for (auto &[id, worker] : m_workers) {
        if (worker.unreachable) {
            m_scheduler->workerUnreachable(id);
            continue;
        }
        const bool due = (m_now.time_since_epoch() % detail::reportInterval).count() == 0;
        const state::batch::Worker *known = m_scheduler->workers().find(id);
        const bool pollDue = known != nullptr && (!known->fenced || known->unreachable);
        if (!due && !pollDue && worker.ended.empty()) {
            continue;
        }
        WorkerReport answer;
        answer.incarnation = worker.spec.incarnation;
        answer.askedAt = m_now;
        answer.ended = worker.ended;
        for (const EndReport &end : worker.ended) {
            // A task counts as done only when its end is reported: the lease may expire before that.
            // A perpetual task is restarted whenever it ends.
            const StepSpec &step = stepOf(end.task);
            if (end.kind == EndKind::Done && !step.perpetual) {
                m_done.insert(end.task);
                // The members of a gang end together, so that one end stands for all.
                for (std::uint32_t index = 0; step.gang && index < step.taskCount; ++index) {
                    m_done.insert({end.task.job, end.task.occurrence, end.task.step, index});
                }
            }
        }
        for (const SimulatedRun &run : m_runs) {
            if (run.worker == id) {
                const auto percent = static_cast<std::uint32_t>(std::min(100.0, run.done / run.work * 100));
                const bool saves = stepOf(run.task).savesProgress
                    && run.done >= static_cast<double>(detail::checkpointInterval.count());
                const std::int64_t usage = stepOf(run.task).tailLatencyTarget.count() > 0 ? responseTime(run) : 0;
                answer.running.push_back(
                    {run.task, run.run, saves ? std::to_string(run.done) : std::string(), percent, usage});
            }
        }
        worker.leaseUntil = m_now + detail::lease;
        m_scheduler->leaseExtended(id, m_now + detail::lease + detail::stepDuration * 2);
        m_scheduler->workerAnswered(id, answer, m_now);
    }
}

void PoolSimulation::execute(const StartOrder &order)
{
    if (!m_scheduler->beginStart(order.task, order.run)) {
        return;
    }
    SimulatedWorker &worker = m_workers.at(order.worker);
    if (worker.unreachable) {
        m_scheduler->startAnswered(order.task, order.run, StartOutcome::Unknown, m_now);
        return;
    }
    const auto addViolation = [&](const std::string &rule) {
        violations.push_back(rule + ": " + toString(order.task) + " run " + std::to_string(order.run));
    };
    const StepSpec &step = stepOf(order.task);
    Resources used;
    bool alreadyRunning = false;
    std::uint32_t sameStep = 0;
    for (const SimulatedRun &run : m_runs) {
        alreadyRunning
            = alreadyRunning || (run.task == order.task && run.run == order.run && run.worker == order.worker);
        if (run.task == order.task && !alreadyRunning) {
            addViolation("two runs of a task at the same time");
        }
        if (run.worker == order.worker) {
            used += allocationOf(stepOf(run.task));
            const bool same = run.task.job == order.task.job && run.task.occurrence == order.task.occurrence
                && run.task.step == order.task.step;
            sameStep += same ? 1 : 0;
        }
    }
    if (!alreadyRunning) {
        if (m_done.contains(order.task)) {
            addViolation("start of a completed task");
        }
        if (m_cancelled.contains(order.task.job)) {
            addViolation("start of a task of a cancelled job");
        }
        if (!step.requiredLabel.empty()
            && std::find(worker.spec.labels.begin(), worker.spec.labels.end(), step.requiredLabel)
                == worker.spec.labels.end()) {
            addViolation("start on a worker without the required label");
        }
        if (step.tasksPerWorkerMax > 0 && sameStep >= step.tasksPerWorkerMax) {
            addViolation("more than tasksPerWorkerMax tasks of a step on one worker");
        }
        for (const std::uint32_t before : step.dependsOn) {
            for (std::uint32_t index = 0; index < m_jobs.at(order.task.job).steps[before].taskCount; ++index) {
                if (!m_done.contains({order.task.job, order.task.occurrence, before, index})) {
                    addViolation("start of a step before its dependencies are done");
                }
            }
        }
        if (m_queues.at(m_jobs.at(order.task.job).queue).advice) {
            const auto ticket = m_tickets.find(order.ticket);
            if (ticket == m_tickets.end() || ticket->second < m_now
                || !order.ticket.ends_with("/" + order.worker.value)) {
                addViolation("start without a valid ticket");
            }
        }
        for (const SimulatedRun &run : m_runs) {
            const bool conflict = run.worker == order.worker && detail::disturbs(step, stepOf(run.task));
            if (conflict && fitsUndisturbed(order.task, order.worker)) {
                addViolation("best-effort task on the same worker as a task with a latency bound, beside free ones");
            }
        }
        used += allocationOf(step);
        if (!used.fitsIn(worker.spec.capacity)) {
            addViolation("worker capacity exceeded");
        }
        ++m_starts[order.task];
        const double saved = order.checkpoint.empty() ? 0 : std::stod(order.checkpoint);
        m_runs.push_back({order.task, order.run, order.worker, saved, workOf(order.task)});
    }
    const bool lost = answerLost && answerLost(order);
    m_scheduler->startAnswered(order.task, order.run, lost ? StartOutcome::Unknown : StartOutcome::Started, m_now);
}

void PoolSimulation::execute(const StopOrder &order)
{
    SimulatedWorker &worker = m_workers.at(order.worker);
    if (worker.unreachable) {
        m_scheduler->stopUnanswered(order.task, order.run, m_now);
        return;
    }
    for (SimulatedRun &run : m_runs) {
        if (run.task == order.task && run.run == order.run && run.worker == order.worker && !run.stopping) {
            run.stopping = true;
            run.stopsAt = m_now + detail::stopDuration;
        }
    }
    m_scheduler->stopAnswered(order.task, order.run, m_now);
}

void PoolSimulation::execute(const PaceOrder &order)
{
    const bool reachable = !m_workers.at(order.worker).unreachable;
    for (SimulatedRun &run : m_runs) {
        if (reachable && run.task == order.task && run.run == order.run && run.worker == order.worker) {
            run.pace = order.percent;
        }
    }
    m_scheduler->paceAnswered(order, reachable, m_now);
}

void PoolSimulation::replaceScheduler()
{
    m_scheduler = std::make_unique<Scheduler>(m_settings);
    m_scheduler->setQueues(m_queues);
    const Instant leaseUntil = m_now + detail::predecessorLease;
    for (const auto &[id, job] : m_jobs) {
        if (!isFinal(stateOf(id))) {
            m_scheduler->submit(job, m_now, stateOf(id) == JobState::Running);
            if (m_cancelled.contains(id)) {
                m_scheduler->cancel(id);
            }
        }
    }
    for (const auto &[job, record] : m_schedules) {
        m_scheduler->restore(record);
    }
    for (const auto &[key, record] : m_records) {
        m_scheduler->restore(record, m_now, leaseUntil);
    }
    for (const auto &[id, worker] : m_workers) {
        m_scheduler->registerWorker(worker.spec, m_now, leaseUntil);
    }
}

} // namespace heatherquay::test
