#include "heatherquay/app/job_account.hpp"
#include "heatherquay/app/text_table.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace heatherquay::app
{

namespace detail
{

constexpr std::array<JobResult, 5> results{JobResult::Met, JobResult::Late, JobResult::Failed, JobResult::Cancelled,
                                           JobResult::Unserved};

struct Group
{
    std::string name;
    std::vector<const JobAccount *> jobs;
};

/// @param nameOf returns the name of a job's group
template<typename Name>
std::vector<Group> groupJobs(const Account &account, Name nameOf)
{
    std::map<std::string, Group> groups;
    for (const JobAccount &job : account.jobs) {
        Group &group = groups[nameOf(job)];
        group.name = nameOf(job);
        group.jobs.push_back(&job);
    }
    std::vector<Group> sorted;
    sorted.reserve(groups.size());
    for (auto &[name, group] : groups) {
        sorted.push_back(std::move(group));
    }
    return sorted;
}

std::vector<Group> groupByQueue(const Account &account)
{
    return groupJobs(account, [](const JobAccount &job) {
        return job.queue;
    });
}

std::vector<Group> groupByTeam(const Account &account)
{
    return groupJobs(account, [](const JobAccount &job) {
        return job.team.empty() ? std::string("-") : job.team;
    });
}

std::size_t count(const Group &group, JobResult result)
{
    return static_cast<std::size_t>(
        std::count_if(group.jobs.begin(), group.jobs.end(), [result](const JobAccount *job) {
            return job->result == result;
        }));
}

std::size_t count(const Group &group, JobResult result, JobSpan cause)
{
    return static_cast<std::size_t>(std::count_if(group.jobs.begin(), group.jobs.end(), [&](const JobAccount *job) {
        return job->result == result && job->cause == cause;
    }));
}

struct SpanSummary
{
    JobSpan span{};
    std::chrono::milliseconds median{};
    std::chrono::milliseconds p95{};
};

SpanSummary summarize(const Group &group, JobSpan span)
{
    std::vector<std::chrono::milliseconds> values;
    values.reserve(group.jobs.size());
    for (const JobAccount *job : group.jobs) {
        values.push_back(job->spans[static_cast<std::size_t>(span)]);
    }
    std::sort(values.begin(), values.end());
    return {span, values[(values.size() - 1) / 2], values[(values.size() - 1) * 95 / 100]};
}

void printResults(const char *heading, const std::vector<Group> &groups, std::ostream &out)
{
    TextTable table({heading, "JOBS", "MET", "LATE", "FAILED", "CANCELLED", "UNSERVED"});
    for (const Group &group : groups) {
        std::vector<std::string> row{group.name, std::to_string(group.jobs.size())};
        for (const JobResult result : results) {
            row.push_back(std::to_string(count(group, result)));
        }
        table.addRow(std::move(row));
    }
    table.print(out);
    out << '\n';
}

void printSpans(const char *heading, const std::vector<Group> &groups, std::ostream &out)
{
    TextTable table({heading, "SPAN", "MEDIAN_MS", "P95_MS", "LATE_BY", "FAILED_BY", "UNSERVED_BY"});
    for (const Group &group : groups) {
        for (std::size_t i = 0; i < jobSpanCount; ++i) {
            const SpanSummary summary = summarize(group, static_cast<JobSpan>(i));
            const std::size_t late = count(group, JobResult::Late, summary.span);
            const std::size_t failed = count(group, JobResult::Failed, summary.span);
            const std::size_t unserved = count(group, JobResult::Unserved, summary.span);
            if (summary.p95.count() == 0 && late + failed + unserved == 0) {
                continue;
            }
            table.addRow({group.name, toString(summary.span), std::to_string(summary.median.count()),
                          std::to_string(summary.p95.count()), std::to_string(late), std::to_string(failed),
                          std::to_string(unserved)});
        }
    }
    table.print(out);
    out << '\n';
}

/// @return the lost work by cause and queues, without the teams
std::vector<LostWork> withoutTeams(const std::vector<LostWork> &lost)
{
    std::vector<LostWork> merged;
    for (const LostWork &entry : lost) {
        const auto same = std::find_if(merged.begin(), merged.end(), [&entry](const LostWork &other) {
            return other.cause == entry.cause && other.queue == entry.queue && other.forQueue == entry.forQueue;
        });
        if (same == merged.end()) {
            merged.push_back(entry);
            continue;
        }
        same->runs += entry.runs;
        same->coreSeconds += entry.coreSeconds;
        same->coreSecondsMet += entry.coreSecondsMet;
    }
    std::stable_sort(merged.begin(), merged.end(), [](const LostWork &left, const LostWork &right) {
        return left.coreSeconds > right.coreSeconds;
    });
    return merged;
}

boost::json::array groupsToJson(const std::vector<Group> &groups)
{
    boost::json::array array;
    for (const Group &group : groups) {
        boost::json::object object{{"name", group.name}, {"jobs", group.jobs.size()}};
        constexpr std::array<const char *, results.size()> names{"met", "late", "failed", "cancelled", "unserved"};
        for (std::size_t i = 0; i < results.size(); ++i) {
            object[names[i]] = count(group, results[i]);
        }
        boost::json::object spans;
        for (std::size_t i = 0; i < jobSpanCount; ++i) {
            const SpanSummary summary = summarize(group, static_cast<JobSpan>(i));
            spans[toString(summary.span)] = {{"median_ms", summary.median.count()},
                                             {"p95_ms", summary.p95.count()},
                                             {"late_by", count(group, JobResult::Late, summary.span)},
                                             {"failed_by", count(group, JobResult::Failed, summary.span)},
                                             {"unserved_by", count(group, JobResult::Unserved, summary.span)}};
        }
        object["spans"] = std::move(spans);
        array.push_back(std::move(object));
    }
    return array;
}

} // namespace detail

std::string toString(JobSpan span)
{
    constexpr std::array<const char *, jobSpanCount> names{
        "acceptance", "store",       "hand-over",   "room",   "victims", "start",       "gang-start",
        "evicted",    "gang-broken", "worker-lost", "failed", "run",     "slow-worker", "long-run"};
    return names.at(static_cast<std::size_t>(span));
}

void printAccount(const Account &account, std::ostream &out)
{
    detail::printResults("QUEUE", detail::groupByQueue(account), out);
    detail::printResults("TEAM", detail::groupByTeam(account), out);
    detail::printSpans("QUEUE", detail::groupByQueue(account), out);
    detail::printSpans("TEAM", detail::groupByTeam(account), out);
    TextTable lost({"LOST_BY", "QUEUE", "FOR_QUEUE", "RUNS", "CORE_S", "CORE_S_MET"});
    for (const LostWork &entry : detail::withoutTeams(account.lost)) {
        lost.addRow({entry.cause, entry.queue, entry.forQueue, std::to_string(entry.runs),
                     formatNumber(entry.coreSeconds, 0), formatNumber(entry.coreSecondsMet, 0)});
    }
    lost.print(out);
    if (account.linesLeftOut > 0) {
        out << "\nThe processes suppressed " << account.linesLeftOut << " lines; the figures lack what they said.\n";
    }
}

std::string toJson(const Account &account)
{
    boost::json::array lost;
    for (const LostWork &entry : account.lost) {
        lost.push_back({{"cause", entry.cause},
                        {"queue", entry.queue},
                        {"team", entry.team},
                        {"for_queue", entry.forQueue},
                        {"for_team", entry.forTeam},
                        {"runs", entry.runs},
                        {"core_s", entry.coreSeconds},
                        {"core_s_met", entry.coreSecondsMet}});
    }
    const boost::json::object object{{"queues", detail::groupsToJson(detail::groupByQueue(account))},
                                     {"teams", detail::groupsToJson(detail::groupByTeam(account))},
                                     {"lost", std::move(lost)},
                                     {"lines_left_out", account.linesLeftOut}};
    return boost::json::serialize(object);
}

} // namespace heatherquay::app
