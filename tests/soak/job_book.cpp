#include "soak/job_book.hpp"

#include <algorithm>

namespace heatherquay::soak
{

using state::batch::EndKind;
using state::batch::TaskId;
using test::RunChange;

namespace detail
{

constexpr std::chrono::milliseconds cancelDelay{3'000}; // The platform's bound for tasks of a cancelled job.

constexpr std::chrono::milliseconds idleTime{3'000}; // The platform's bound for a job that could run.

} // namespace detail

void JobBook::recordRun(const std::string &worker, const RunChange &change, bool overloaded)
{
    const std::lock_guard lock(m_mutex);
    Runs &runs = m_runs[change.task];
    if (change.kind != RunChange::Kind::Confirmed) {
        const int difference = change.kind == RunChange::Kind::Started ? 1 : -1;
        Activity &activity = m_activities[change.task.job.value];
        activity.running += difference;
        activity.lastChange = Clock::now();
        if (m_running > m_slots / 2) {
            m_busyAt = Clock::now();
        }
        m_running += difference;
    }
    if (change.kind == RunChange::Kind::Started) {
        runs.push_back({worker, change.run, change.time, std::nullopt, {}, overloaded, std::nullopt});
        return;
    }
    const auto run = std::find_if(runs.rbegin(), runs.rend(), [&](const SoakRun &known) {
        return known.worker == worker && known.number == change.run;
    });
    if (run == runs.rend()) {
        return;
    }
    if (change.kind == RunChange::Kind::Ended) {
        run->end = change.time;
        run->how = change.end;
    } else if (!change.leaseLapsed) {
        run->confirmedAt = change.time;
    }
}

SoakJob &JobBook::add(SoakJob job)
{
    const std::string id = job.id;
    return m_jobs.emplace(id, std::move(job)).first->second;
}

void JobBook::accept(SoakJob &job)
{
    job.rejectedOnly = false;
    if (!job.acceptedAt) {
        job.acceptedAt = Clock::now();
        m_accepted.push_back(&job);
        if (!job.cancelSent) {
            m_live.push_back(&job);
        }
    }
}

void JobBook::complete(SoakJob &job)
{
    if (!job.completedAt) {
        job.completedAt = Clock::now();
        leaveLive(job);
    }
}

void JobBook::sendCancel(SoakJob &job)
{
    job.cancelSent = true;
    leaveLive(job);
}

void JobBook::leaveLive(const SoakJob &job)
{
    std::erase(m_live, &job);
}

std::optional<Clock::time_point> JobBook::doneAt(const TaskId &task) const
{
    std::optional<Clock::time_point> first;
    if (const auto found = m_runs.find(task); found != m_runs.end()) {
        for (const SoakRun &run : found->second) {
            if (run.end && run.how == EndKind::Done && (!first || *run.end < *first)) {
                first = run.end;
            }
        }
    }
    return first;
}

void JobBook::checkIdle(SoakReport &report)
{
    const std::lock_guard lock(m_mutex);
    const auto latest = Clock::now() - detail::idleTime;
    if (m_running > m_slots / 2 || m_busyAt > latest) {
        return;
    }
    for (const SoakJob *job : m_live) {
        const Activity &activity = m_activities[job->id];
        if (activity.running == 0 && std::max(*job->acceptedAt, activity.lastChange) < latest
            && m_idleJobs.insert(job->id).second) {
            report.violation(
                {Clock::now(), "IDLE", "", job->id, "nothing runs of the job for 3 s although workers are free"});
        }
    }
}

void JobBook::checkTask(const TaskId &task, const Runs &runs, const Disturbances &disturbances,
                        SoakReport &report) const
{
    const std::string &id = task.job.value;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.rejectedOnly) {
        report.violation({runs.front().start, "REFUSED", "", id, "a task of a rejected or unknown job started"});
        return;
    }
    for (const SoakRun &run : runs) {
        const std::string text = toString(task) + " run " + std::to_string(run.number) + " on " + run.worker;
        if (run.overloaded) {
            report.violation({run.start, "LIMIT", "", id, text + " started beyond the worker's capacity"});
        }
        for (const SoakRun &other : runs) {
            if (&run == &other || other.start > run.start) {
                continue;
            }
            const bool beside = !other.end || *other.end > run.start;
            if (beside || (other.how == EndKind::Done && other.confirmedAt)) {
                std::string violation = text;
                violation += beside ? " started beside run " : " started after the end of run ";
                violation += std::to_string(other.number);
                violation += " on " + other.worker;
                report.violation({run.start, "TWICE", "", id, violation});
            }
        }
        for (unsigned index = 0; task.step > 0 && index < found->second.steps[task.step - 1]; ++index) {
            const auto done = doneAt({task.job, task.occurrence, task.step - 1, index});
            if (!done || *done > run.start) {
                report.violation({run.start, "ORDER", "", id, text + " started before the step before was done"});
            }
        }
        const auto &cancelledAt = found->second.cancelledAt;
        if (cancelledAt && run.start > *cancelledAt + detail::cancelDelay) {
            report.count("starts-after-cancel");
            if (disturbances.calmBefore(run.start)) {
                report.violation({run.start, "UNASKED", "", id, text + " started after the cancellation"});
            }
        }
    }
}

void JobBook::checkJob(const SoakJob &job, SoakReport &report) const
{
    for (unsigned step = 0; job.completedAt && step < job.steps.size(); ++step) {
        for (unsigned index = 0; index < job.steps[step]; ++index) {
            const auto done = doneAt({{job.id}, 0, step, index});
            if (!done || *done > *job.completedAt) {
                report.violation({*job.completedAt, "MIXED", "", job.id,
                                  "shown as completed while task " + std::to_string(step) + "." + std::to_string(index)
                                      + " was not done"});
            }
        }
    }
}

void JobBook::check(const Disturbances &disturbances, SoakReport &report) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[task, runs] : m_runs) {
        if (!runs.empty()) {
            checkTask(task, runs, disturbances, report);
        }
        report.count("runs", runs.size());
        report.count("reruns", runs.size() - std::min<std::size_t>(runs.size(), 1));
    }
    for (const auto &[id, job] : m_jobs) {
        checkJob(job, report);
    }
    // The history of the jobs concerned, for the trace of the violations.
    std::map<std::string, bool> written;
    for (const Violation &violation : std::vector<Violation>(report.violations())) {
        const auto first = m_runs.lower_bound({{violation.job}, 0, 0, 0});
        for (auto runs = first; runs != m_runs.end() && !violation.job.empty() && !written[violation.job]
             && runs->first.job.value == violation.job;
             ++runs) {
            for (const SoakRun &run : runs->second) {
                const std::string text
                    = "task " + toString(runs->first) + " run " + std::to_string(run.number) + " on " + run.worker;
                report.note(text + " started", run.start);
                if (run.end) {
                    report.note(text + " ended, kind " + std::to_string(static_cast<int>(run.how)), *run.end);
                }
                if (run.confirmedAt) {
                    report.note(text + " end confirmed", *run.confirmedAt);
                }
            }
        }
        written[violation.job] = true;
    }
}

} // namespace heatherquay::soak
