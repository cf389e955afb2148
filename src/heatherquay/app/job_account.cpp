#include "heatherquay/app/job_account.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <tuple>

namespace heatherquay::app
{

namespace detail
{

using std::chrono::milliseconds;

struct Interval
{
    milliseconds begin{};
    milliseconds end{};
};

struct RunFacts
{
    std::optional<milliseconds> started; ///< When the worker answered the start order.
    std::optional<milliseconds> ended;
    bool done{};
    std::string how; ///< As reported by the worker, or why the run was given up.
    std::string stopReason;
    std::string forJob;
    std::string worker;
    std::int64_t members{1};
    double lostCoreSeconds{};
};

using Runs = std::map<std::int64_t, RunFacts>; // By the number of the run.

struct JobFacts
{
    std::string queue;
    std::string team;
    bool seen{}; ///< Submitted or decided about; other jobs are only mentioned.
    std::optional<milliseconds> answeredAt; ///< When the caller was told that the job is accepted.
    std::optional<milliseconds> submittedAt; ///< When the caller was first answered.
    std::optional<milliseconds> acceptedAt;
    milliseconds firstStart{};
    milliseconds age{};
    milliseconds objective{};
    milliseconds expected{};
    std::string finalState;
    std::vector<milliseconds> evictions; ///< When runs were evicted for the job.
    std::map<std::string, Runs> tasks;
};

milliseconds timeOf(const LogLine &line)
{
    const auto number = [&line](std::size_t position, std::size_t length) {
        int value = 0;
        std::from_chars(line.time.data() + position, line.time.data() + position + length, value);
        return value;
    };
    const std::chrono::year_month_day day{std::chrono::year(number(0, 4)),
                                          std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                          std::chrono::day(static_cast<unsigned>(number(8, 2)))};
    return std::chrono::sys_days(day).time_since_epoch() + std::chrono::hours(number(11, 2))
        + std::chrono::minutes(number(14, 2)) + std::chrono::seconds(number(17, 2)) + milliseconds(number(20, 3));
}

std::int64_t integer(const LogLine &line, const std::string &key)
{
    const std::string text = line.field(key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// @return the job of a task, the text before its last three dots
std::string jobOf(const std::string &task)
{
    std::size_t end = task.size();
    for (int i = 0; i < 3 && end != std::string::npos && end > 0; ++i) {
        end = task.rfind('.', end - 1);
    }
    return end == std::string::npos ? std::string() : task.substr(0, end);
}

/// @return the step of a task, the text before its last dot
std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

milliseconds overlap(const std::vector<Interval> &intervals, milliseconds begin, milliseconds end)
{
    milliseconds sum{};
    for (const Interval &interval : intervals) {
        sum += std::max(milliseconds{}, std::min(end, interval.end) - std::max(begin, interval.begin));
    }
    return sum;
}

std::string causeOf(const RunFacts &run)
{
    const std::string &reason = run.stopReason.empty() ? run.how : run.stopReason;
    // Members that are ended by their workers, and those that the decider stops because of them.
    const bool broken = reason == "member-ended" || reason == "broken" || reason == "alone";
    return broken ? "gang-broken" : reason;
}

JobSpan spanOf(const RunFacts &run)
{
    const std::string cause = causeOf(run);
    if (cause == "evicted") {
        return JobSpan::Evicted;
    }
    if (cause == "gang-broken" || cause == "gang-incomplete" || cause == "start-failed") {
        return JobSpan::GangBroken;
    }
    return cause == "failed" || cause == "hung" ? JobSpan::Failed : JobSpan::WorkerLost;
}

JobResult resultOf(const JobFacts &facts)
{
    if (facts.finalState == "completed") {
        return facts.age <= facts.objective ? JobResult::Met : JobResult::Late;
    }
    if (facts.finalState == "failed") {
        return JobResult::Failed;
    }
    return facts.finalState == "cancelled" ? JobResult::Cancelled : JobResult::Unserved;
}

/// Collects what the lines say about each job.
class Collector
{
public:
    void add(const LogLine &line);

    std::map<std::string, JobFacts> m_jobs;
    std::vector<Interval> m_handOvers;
    std::vector<Interval> m_storeOutages;
    std::map<std::string, std::int64_t> m_slowness; ///< Latest learned run time by worker, in percent of the usual.
    milliseconds m_end{};
    std::uint64_t m_leftOut{};

private:
    void addDecider(const LogLine &line, milliseconds time);
    void addJob(const LogLine &line, milliseconds time);
    void addRun(const LogLine &line, milliseconds time);

    milliseconds m_decidedAt{}; ///< Last line of a decider about a decision.
    bool m_handOver{};
    bool m_outage{};
};

void Collector::add(const LogLine &line)
{
    const milliseconds time = timeOf(line);
    m_end = time;
    m_leftOut += static_cast<std::uint64_t>(integer(line, "left_out"));
    addDecider(line, time);
    addJob(line, time);
    addRun(line, time);
}

void Collector::addDecider(const LogLine &line, milliseconds time)
{
    if (line.event == "decider-elected" && !m_handOver) {
        m_handOvers.push_back({m_decidedAt == milliseconds{} ? time : m_decidedAt, milliseconds::max()});
        m_handOver = true;
    } else if (line.event == "decider-recovered" && m_handOver) {
        m_handOvers.back().end = time;
        m_handOver = false;
    } else if (line.event == "records-not-stored" && !m_outage) {
        m_storeOutages.push_back({time, milliseconds::max()});
        m_outage = true;
    } else if (line.event == "run-ordered" && m_outage && line.field("outcome") == "started") {
        m_storeOutages.back().end = time; // Starts are sent only after their records are stored.
        m_outage = false;
    }
    if (line.event == "run-ordered" || line.event == "run-ended" || line.event == "job-state"
        || line.event == "decider-load") {
        m_decidedAt = time;
    }
}

void Collector::addJob(const LogLine &line, milliseconds time)
{
    if (line.event != "job-submitted" && line.event != "job-state") {
        return;
    }
    JobFacts &job = m_jobs[line.field("job")];
    job.seen = true;
    job.queue = line.field("queue");
    job.team = line.field("team").empty() ? job.team : line.field("team");
    if (line.event == "job-submitted") {
        job.submittedAt = job.submittedAt ? job.submittedAt : time;
        if (line.field("status") == "200" && !job.answeredAt) {
            job.answeredAt = time;
        }
        return;
    }
    if (!job.finalState.empty()) {
        return; // A successor reports it again.
    }
    job.age = milliseconds(integer(line, "age_ms"));
    job.objective = milliseconds(integer(line, "objective_ms"));
    job.expected = milliseconds(integer(line, "expected_ms"));
    job.acceptedAt = job.acceptedAt ? job.acceptedAt : time - job.age;
    job.firstStart = job.firstStart != milliseconds{} ? job.firstStart : milliseconds(integer(line, "first_start_ms"));
    const std::string state = line.field("state");
    job.finalState = state == "running" || state == "queued" ? std::string() : state;
}

void Collector::addRun(const LogLine &line, milliseconds time)
{
    const std::string task = line.field("task");
    if (line.event == "run-evicted") {
        m_jobs[line.field("for_job")].evictions.push_back(time);
    }
    if (task.empty() || line.field("run").empty()) {
        return;
    }
    RunFacts &run = m_jobs[jobOf(task)].tasks[task][integer(line, "run")];
    if (line.event == "run-ordered" && line.field("outcome") == "started" && !run.started) {
        run.started = time;
        run.worker = line.field("worker");
        m_slowness[run.worker] = integer(line, "slowness_percent");
        run.members = std::max<std::int64_t>(integer(line, "members"), 1);
    } else if (line.event == "stop-ordered" && run.stopReason.empty()) {
        run.stopReason = line.field("reason");
        run.forJob = line.field("for_job");
    } else if ((line.event == "run-ended" || line.event == "run-given-up") && !run.ended) {
        run.ended = time;
        run.how = line.event == "run-ended" ? line.field("how") : line.field("reason");
        run.done = run.how == "done";
        run.lostCoreSeconds = static_cast<double>(integer(line, "lost_core_s"));
    }
}

/// Divides the time of one job.
class SpanFinder
{
public:
    SpanFinder(const Collector &logs, const JobFacts &job)
        : m_logs(logs)
        , m_job(job)
    {
    }
    JobSpans find();

private:
    milliseconds &span(JobSpan span)
    {
        return m_spans[static_cast<std::size_t>(span)];
    }
    /// @return the task before @p until that ended last, and when; or else one that did not end
    std::optional<std::pair<std::string, milliseconds>> lastTask(const std::string &beforeStep) const;
    /// @return the learned run time on the worker of the run, in percent of the usual one; at least 100
    std::int64_t slownessOf(const RunFacts &run) const
    {
        const auto found = m_logs.m_slowness.find(run.worker);
        return found == m_logs.m_slowness.end() ? 100 : std::max<std::int64_t>(found->second, 100);
    }
    void addTask(const std::string &task, milliseconds end);
    void addWait(milliseconds begin, milliseconds end);

    const Collector &m_logs;
    const JobFacts &m_job;
    milliseconds m_accepted{};
    milliseconds m_ran{};
    milliseconds m_ranSlowly{}; ///< Part of m_ran that workers of usual speed would have saved.
    JobSpans m_spans{};
};

std::optional<std::pair<std::string, milliseconds>> SpanFinder::lastTask(const std::string &beforeStep) const
{
    std::optional<std::pair<std::string, milliseconds>> last;
    for (const auto &[task, runs] : m_job.tasks) {
        if (!beforeStep.empty() && stepOf(task) >= beforeStep) {
            continue;
        }
        const milliseconds ended = runs.rbegin()->second.ended.value_or(m_logs.m_end);
        if (!last || ended > last->second) {
            last = std::pair(task, ended);
        }
    }
    return last;
}

JobSpans SpanFinder::find()
{
    const milliseconds answered = m_job.answeredAt.value_or(m_job.submittedAt.value_or(m_logs.m_end));
    m_accepted = m_job.acceptedAt.value_or(answered);
    if (!m_job.answeredAt && !m_job.acceptedAt) {
        span(JobSpan::Acceptance) = m_logs.m_end - m_accepted;
        return m_spans;
    }
    const auto last = lastTask({});
    if (!last) {
        addWait(m_accepted, m_job.finalState.empty() ? m_logs.m_end : m_accepted + m_job.age);
        return m_spans;
    }
    addTask(last->first, last->second);
    const milliseconds expected = m_job.expected == milliseconds{} ? m_ran : m_job.expected;
    span(JobSpan::Run) = std::min(m_ran, expected);
    const milliseconds excess = m_ran - span(JobSpan::Run);
    span(JobSpan::SlowWorker) = std::min(m_ranSlowly, excess);
    span(JobSpan::LongRun) = excess - span(JobSpan::SlowWorker);
    return m_spans;
}

void SpanFinder::addTask(const std::string &task, milliseconds end)
{
    milliseconds readyAt = m_accepted;
    const std::string step = stepOf(task);
    if (const auto before = lastTask(step)) {
        addTask(before->first, before->second); // Steps depend on earlier ones.
        readyAt = before->second;
    }
    const Runs &runs = m_job.tasks.at(task);
    std::optional<milliseconds> lostSince;
    std::optional<JobSpan> lostBy;
    for (const auto &[number, run] : runs) {
        const milliseconds started = run.started.value_or(run.ended.value_or(end));
        if (lostBy) {
            span(*lostBy) += std::max(started - *lostSince, milliseconds{});
        } else {
            addWait(readyAt, started);
        }
        const bool last = number == runs.rbegin()->first;
        if (!last || (run.ended && !run.done)) {
            lostSince = started;
            lostBy = spanOf(run);
            if (last) {
                span(*lostBy) += *run.ended - started;
            }
            continue;
        }
        milliseconds complete = started;
        std::int64_t slowness = slownessOf(run);
        for (const auto &[other, otherRuns] : m_job.tasks) {
            const auto found = otherRuns.find(number);
            if (run.members > 1 && stepOf(other) == step && found != otherRuns.end() && found->second.started) {
                complete = std::max(complete, *found->second.started);
                slowness = std::max(slowness, slownessOf(found->second)); // The slowest member delays all.
            }
        }
        complete = std::min(complete, end);
        span(JobSpan::Gang) += complete - started;
        m_ran += end - complete;
        m_ranSlowly += (end - complete) * (slowness - 100) / slowness;
    }
}

void SpanFinder::addWait(milliseconds begin, milliseconds end)
{
    if (end <= begin) {
        return;
    }
    if (begin == m_accepted && m_job.answeredAt) {
        const milliseconds answered = std::clamp(*m_job.answeredAt, begin, end);
        const milliseconds planned = m_accepted + m_job.firstStart;
        const bool startedBefore = m_job.firstStart != milliseconds{} && planned < answered;
        span(JobSpan::Acceptance) += (startedBefore ? planned : answered) - begin;
        begin = startedBefore ? planned : answered;
    }
    milliseconds planned = end;
    const milliseconds firstPlanned = m_accepted + m_job.firstStart;
    // Only the first planned start of a job is logged; a task that starts much later was planned later.
    if (m_job.firstStart != milliseconds{} && firstPlanned >= begin && end - firstPlanned < std::chrono::seconds(1)) {
        planned = std::min(firstPlanned, end);
        span(JobSpan::Start) += end - planned;
    }
    const auto evicted = std::find_if(m_job.evictions.begin(), m_job.evictions.end(), [&](milliseconds time) {
        return time >= begin && time <= planned;
    });
    const milliseconds placed = evicted == m_job.evictions.end() ? planned : *evicted;
    span(JobSpan::Victims) += planned - placed;
    const milliseconds handOver = overlap(m_logs.m_handOvers, begin, placed);
    const milliseconds store = std::min(overlap(m_logs.m_storeOutages, begin, placed), placed - begin - handOver);
    span(JobSpan::HandOver) += handOver;
    span(JobSpan::Store) += store;
    span(JobSpan::Room) += placed - begin - handOver - store;
}

JobSpan longestSpan(const JobSpans &spans)
{
    auto cause = JobSpan::Run;
    milliseconds longest{};
    for (std::size_t i = 0; i < jobSpanCount; ++i) {
        if (i != static_cast<std::size_t>(JobSpan::Run) && spans[i] > longest) {
            longest = spans[i];
            cause = static_cast<JobSpan>(i);
        }
    }
    return cause;
}

std::vector<LostWork> lostWork(const std::map<std::string, JobFacts> &jobs)
{
    std::map<std::tuple<std::string, std::string, std::string, std::string, std::string>, LostWork> groups;
    for (const auto &[id, job] : jobs) {
        for (const auto &[task, runs] : job.tasks) {
            for (const auto &[number, run] : runs) {
                if (run.done || run.lostCoreSeconds <= 0) {
                    continue;
                }
                const auto gainer = jobs.find(run.forJob);
                const JobFacts none;
                const JobFacts &forJob = gainer == jobs.end() || run.forJob.empty() ? none : gainer->second;
                const std::string cause = causeOf(run);
                LostWork &group = groups[{cause, job.queue, job.team, forJob.queue, forJob.team}];
                group.cause = cause;
                group.queue = job.queue;
                group.team = job.team;
                group.forQueue = forJob.queue;
                group.forTeam = forJob.team;
                ++group.runs;
                group.coreSeconds += run.lostCoreSeconds;
                group.coreSecondsMet
                    += !run.forJob.empty() && resultOf(forJob) == JobResult::Met ? run.lostCoreSeconds : 0;
            }
        }
    }
    std::vector<LostWork> sorted;
    sorted.reserve(groups.size());
    for (auto &[key, group] : groups) {
        sorted.push_back(std::move(group));
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const LostWork &left, const LostWork &right) {
        return left.coreSeconds > right.coreSeconds;
    });
    return sorted;
}

} // namespace detail

Account accountJobs(std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.time < right.time;
    });
    detail::Collector logs;
    for (const LogLine &line : lines) {
        logs.add(line);
    }
    Account account;
    account.linesLeftOut = logs.m_leftOut;
    for (const auto &[id, facts] : logs.m_jobs) {
        if (!facts.seen) {
            continue;
        }
        JobAccount job{id, facts.queue, facts.team, detail::resultOf(facts)};
        job.accepted = facts.answeredAt || facts.acceptedAt;
        job.spans = detail::SpanFinder(logs, facts).find();
        job.cause = detail::longestSpan(job.spans);
        account.jobs.push_back(std::move(job));
    }
    account.lost = detail::lostWork(logs.m_jobs);
    return account;
}

} // namespace heatherquay::app
