#include "heatherquay/app/operator_views.hpp"

#include "heatherquay/app/text_table.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/state/units.hpp"

#include <boost/json.hpp>

namespace heatherquay::app
{

namespace json = boost::json;

namespace detail
{

json::object parseResponse(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        throw Error(ErrorKind::Internal, "the entry's response is not a JSON object",
                    "check that --operator is the address of the operator interface of an entry of the same version");
    }
    return std::move(value.as_object());
}

std::string textOf(const json::value &value)
{
    if (value.is_string()) {
        return std::string(value.as_string());
    }
    if (value.is_double()) {
        return formatNumber(value.as_double(), 2);
    }
    if (value.is_bool()) {
        return value.as_bool() ? "yes" : "no";
    }
    return value.is_null() ? std::string() : json::serialize(value);
}

std::string textOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value ? textOf(*value) : std::string();
}

double numberOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : 0.0;
}

std::string percentOf(const json::object &object, const char *key)
{
    return formatNumber(100.0 * numberOf(object, key), 1) + "%";
}

const json::array &listOf(const json::object &object, const char *key)
{
    static const json::array empty;
    const json::value *value = object.if_contains(key);
    return value && value->is_array() ? value->get_array() : empty;
}

std::string joinedTexts(const json::array &list)
{
    std::string joined;
    for (const json::value &item : list) {
        const json::object *object = item.if_object();
        const std::string text = object ? textOf(*object, "id") : textOf(item);
        joined += (joined.empty() ? "" : " ") + text;
    }
    return joined;
}

/// @return workers with the indices of their accelerators, for example "w3:0,1 w4:0"
std::string placementsText(const json::object &job)
{
    std::string text;
    for (const json::value &item : listOf(job, "placements")) {
        const json::object *placement = item.if_object();
        if (!placement) {
            continue;
        }
        text += (text.empty() ? "" : " ") + textOf(*placement, "worker") + ":";
        std::string indices;
        for (const json::value &index : listOf(*placement, "accelerators")) {
            indices += (indices.empty() ? "" : ",") + textOf(index);
        }
        text += indices;
    }
    return text;
}

std::string durationText(double milliseconds)
{
    const auto seconds = std::chrono::seconds(static_cast<std::int64_t>(milliseconds / 1000.0));
    return seconds.count() > 0 ? state::formatDuration(seconds) : formatNumber(milliseconds, 0) + "ms";
}

/// Adds a row to the table for each object in a list.
template<typename Row>
void addRows(TextTable &table, const json::array &list, Row row)
{
    for (const json::value &item : list) {
        if (const json::object *object = item.if_object()) {
            table.addRow(row(*object));
        }
    }
}

} // namespace detail

void printStatus(const std::string &text, std::ostream &out)
{
    const json::object response = detail::parseResponse(text);
    out << "entry " << detail::textOf(response, "entry") << ", version " << detail::textOf(response, "version")
        << ", ready " << detail::textOf(response, "ready") << ", journal " << detail::textOf(response, "journal_number")
        << '\n';
    const json::value *totalsValue = response.if_contains("totals");
    if (const json::object *totals = totalsValue ? totalsValue->if_object() : nullptr) {
        out << "accelerators " << detail::textOf(*totals, "accelerators") << ", free "
            << detail::textOf(*totals, "free") << ", waiting jobs " << detail::textOf(*totals, "waiting_jobs")
            << ", running jobs " << detail::textOf(*totals, "running_jobs") << ", fragmentation "
            << detail::percentOf(*totals, "fragmentation") << '\n';
    }
    TextTable table({"MEMBER", "ADDRESS"});
    detail::addRows(table, detail::listOf(response, "members"), [](const json::object &member) {
        return std::vector<std::string>{detail::textOf(member, "id"), detail::textOf(member, "address")};
    });
    table.print(out);
}

void printJobs(const std::string &text, std::ostream &out)
{
    const json::object response = detail::parseResponse(text);
    TextTable table({"JOB", "TEAM", "PHASE", "URGENT", "ACCEL", "PROGRESS", "REASON"});
    detail::addRows(table, detail::listOf(response, "jobs"), [](const json::object &job) {
        return std::vector<std::string>{detail::textOf(job, "id"),           detail::textOf(job, "team"),
                                        detail::textOf(job, "phase"),        detail::textOf(job, "urgent"),
                                        detail::textOf(job, "accelerators"), detail::percentOf(job, "progress"),
                                        detail::textOf(job, "reason")};
    });
    table.print(out);
}

void printJob(const std::string &text, std::ostream &out)
{
    const json::object job = detail::parseResponse(text);
    for (const char *key : {"id", "team", "phase", "urgent", "accelerators", "reason"}) {
        out << key << ": " << detail::textOf(job, key) << '\n';
    }
    out << "progress: " << detail::percentOf(job, "progress") << '\n'
        << "placements: " << detail::placementsText(job) << '\n';
}

void printTeams(const std::string &text, std::ostream &out)
{
    const json::object response = detail::parseResponse(text);
    TextTable table({"TEAM", "SHARE", "QUOTA", "HELD", "BORROWED", "WAITING", "GUARANTEES", "DEGRADED"});
    detail::addRows(table, detail::listOf(response, "teams"), [](const json::object &team) {
        const std::string quota = detail::textOf(team, "quota");
        return std::vector<std::string>{detail::textOf(team, "id"),
                                        detail::textOf(team, "share"),
                                        quota == "0" ? "-" : quota,
                                        detail::textOf(team, "held"),
                                        detail::textOf(team, "borrowed"),
                                        detail::textOf(team, "waiting"),
                                        detail::joinedTexts(detail::listOf(team, "guarantees")),
                                        detail::joinedTexts(detail::listOf(team, "degraded"))};
    });
    table.print(out);
}

void printWorkers(const std::string &text, std::ostream &out)
{
    const json::object response = detail::parseResponse(text);
    TextTable table({"WORKER", "FAILURE DOMAIN", "RACK", "PHASE", "ACCEL", "BUSY"});
    detail::addRows(table, detail::listOf(response, "workers"), [](const json::object &worker) {
        return std::vector<std::string>{
            detail::textOf(worker, "id"),    detail::textOf(worker, "failure_domain"), detail::textOf(worker, "rack"),
            detail::textOf(worker, "phase"), detail::textOf(worker, "accelerators"),   detail::textOf(worker, "busy")};
    });
    table.print(out);
}

void printPlan(const std::string &text, std::ostream &out)
{
    const json::object plan = detail::parseResponse(text);
    const json::value *admitted = plan.if_contains("admitted");
    if (!admitted || !admitted->is_bool() || !admitted->get_bool()) {
        out << "not admitted: " << detail::textOf(plan, "refusal") << '\n';
        return;
    }
    out << "plan " << detail::textOf(plan, "id") << '\n';
    TextTable changes({"ORDER", "OBJECT", "CHANGE"});
    std::size_t order = 0;
    detail::addRows(changes, detail::listOf(plan, "changes"), [&order](const json::object &change) {
        return std::vector<std::string>{std::to_string(++order), detail::textOf(change, "object"),
                                        detail::textOf(change, "text")};
    });
    changes.print(out);
    if (!detail::listOf(plan, "preemptions").empty()) {
        TextTable preemptions({"PREEMPTED JOB", "TEAM", "LOST WORK"});
        detail::addRows(preemptions, detail::listOf(plan, "preemptions"), [](const json::object &item) {
            return std::vector<std::string>{detail::textOf(item, "job"), detail::textOf(item, "team"),
                                            detail::durationText(detail::numberOf(item, "lost_work_ms"))};
        });
        preemptions.print(out);
    }
    out << "nothing has changed yet; to commit: heatherquay confirm " << detail::textOf(plan, "id") << '\n';
}

void printConfirmation(const std::string &text, std::ostream &out)
{
    const json::object response = detail::parseResponse(text);
    out << "plan " << detail::textOf(response, "id") << " committed as journal record "
        << detail::textOf(response, "journal_number") << ' ' << detail::textOf(response, "result") << '\n';
}

void printBurn(const std::string &text, std::ostream &out)
{
    const json::object response = detail::parseResponse(text);
    TextTable table({"SERVICE", "TEAM", "WINDOW", "REQUESTS", "P50 MS", "P99 MS", "SLOW", "FAILED", "LATENCY BURN",
                     "SUCCESS BURN"});
    for (const json::value &item : detail::listOf(response, "objectives")) {
        const json::object *objective = item.if_object();
        if (!objective) {
            continue;
        }
        detail::addRows(table, detail::listOf(*objective, "windows"), [objective](const json::object &window) {
            const std::string team = detail::textOf(*objective, "team");
            return std::vector<std::string>{detail::textOf(*objective, "service"),
                                            team.empty() ? "(all)" : team,
                                            detail::textOf(window, "window"),
                                            detail::textOf(window, "requests"),
                                            formatNumber(detail::numberOf(window, "p50_ms"), 0),
                                            formatNumber(detail::numberOf(window, "p99_ms"), 0),
                                            detail::textOf(window, "slow"),
                                            detail::textOf(window, "failed"),
                                            formatNumber(detail::numberOf(window, "latency_burn"), 2),
                                            formatNumber(detail::numberOf(window, "success_burn"), 2)};
        });
    }
    table.print(out);
    const json::array &missing = detail::listOf(response, "missing_entries");
    if (!missing.empty()) {
        out << "not included: " << detail::joinedTexts(missing) << '\n';
    }
}

std::string describeProblem(const std::string &text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    const json::object *problem = error ? nullptr : value.if_object();
    if (!problem || !problem->contains("title")) {
        return text;
    }
    const std::string detail = detail::textOf(*problem, "detail");
    return detail::textOf(*problem, "title") + (detail.empty() ? "" : ": " + detail);
}

} // namespace heatherquay::app
