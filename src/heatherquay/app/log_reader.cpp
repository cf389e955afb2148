#include "heatherquay/app/log_reader.hpp"

#include <algorithm>
#include <cctype>
#include <set>

#include <boost/json.hpp>

namespace heatherquay::app
{

namespace detail
{

constexpr std::size_t timestampLength = 23; // For example 2026-03-08T17:11:48.012

bool isTimestamp(const std::string &text, std::size_t position)
{
    constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:dd.ddd";
    if (position + timestampLength > text.size()) {
        return false;
    }
    for (std::size_t i = 0; i < timestampLength; ++i) {
        const auto c = static_cast<unsigned char>(text[position + i]);
        const bool matches = pattern[i] == 'd' ? std::isdigit(c) != 0 : c == static_cast<unsigned char>(pattern[i]);
        if (!matches) {
            return false;
        }
    }
    return true;
}

/// Removes the next space-separated word from the front of @p rest. @return the word, empty at the end
std::string takeWord(std::string_view &rest)
{
    const std::size_t begin = std::min(rest.find_first_not_of(' '), rest.size());
    const std::size_t end = std::min(rest.find(' ', begin), rest.size());
    std::string word(rest.substr(begin, end - begin));
    rest.remove_prefix(end);
    return word;
}

/// Removes a value from the front of @p rest. @return the value without its quotes and escapes
std::string takeValue(std::string_view &rest)
{
    if (rest.empty() || rest.front() != '"') {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        std::string value(rest.substr(0, end));
        rest.remove_prefix(end);
        return value;
    }
    std::string value;
    std::size_t i = 1;
    for (; i < rest.size() && rest[i] != '"'; ++i) {
        if (rest[i] == '\\' && i + 1 < rest.size()) {
            ++i;
        }
        value += rest[i];
    }
    rest.remove_prefix(std::min(i + 1, rest.size()));
    return value;
}

/// @return whether the line is about the job, one of its tasks, or an action that was taken for it
bool concernsJob(const LogLine &line, const std::string &job)
{
    return line.field("job") == job || line.field("for_job") == job || line.field("task").starts_with(job + ".");
}

} // namespace detail

std::string LogLine::field(const std::string &key) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&key](const auto &entry) {
        return entry.first == key;
    });
    return found == fields.end() ? std::string() : found->second;
}

std::optional<LogLine> parseLogLine(const std::string &text, const std::string &source)
{
    std::size_t begin = 0;
    while (begin < text.size() && !detail::isTimestamp(text, begin)) {
        ++begin;
    }
    if (begin == text.size()) {
        return std::nullopt;
    }
    LogLine line;
    std::string_view prefix = std::string_view(text).substr(0, begin);
    std::string lastWord;
    for (std::string word = detail::takeWord(prefix); !word.empty(); word = detail::takeWord(prefix)) {
        lastWord = word;
    }
    line.source = lastWord.empty() ? source : lastWord;
    line.time = text.substr(begin, detail::timestampLength);
    std::string_view rest = std::string_view(text).substr(begin + detail::timestampLength);
    line.level = detail::takeWord(rest);
    line.event = detail::takeWord(rest);
    while (true) {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        const std::size_t equals = rest.find('=');
        if (rest.empty() || equals == std::string_view::npos) {
            break;
        }
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        line.fields.emplace_back(std::move(key), detail::takeValue(rest));
    }
    return line.event.empty() ? std::nullopt : std::optional(line);
}

std::vector<LogLine> readLog(std::istream &in, const std::string &source)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(in, text);) {
        if (auto line = parseLogLine(text, source)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

std::vector<LogLine> jobHistory(const std::string &job, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.time < right.time;
    });
    std::set<std::string> workers;
    std::string firstTime;
    std::string lastTime;
    for (const LogLine &line : lines) {
        if (detail::concernsJob(line, job)) {
            firstTime = firstTime.empty() ? line.time : firstTime;
            lastTime = line.time;
            if (const std::string worker = line.field("worker"); !worker.empty()) {
                workers.insert(worker);
            }
        }
    }
    std::vector<LogLine> history;
    for (LogLine &line : lines) {
        const bool duringJob = !firstTime.empty() && line.time >= firstTime && line.time <= lastTime;
        const bool isContext = duringJob
            && (line.event.starts_with("decider-")
                || (line.event.starts_with("worker-") && workers.contains(line.field("worker"))));
        if (isContext || detail::concernsJob(line, job)) {
            history.push_back(std::move(line));
        }
    }
    return history;
}

std::string toText(const LogLine &line)
{
    std::string text = line.time + " " + line.source + " " + line.event;
    for (const auto &[key, value] : line.fields) {
        text += " " + key + "=" + (value.find(' ') == std::string::npos ? value : "\"" + value + "\"");
    }
    return text;
}

std::string toJson(const std::vector<LogLine> &lines)
{
    boost::json::array array;
    for (const LogLine &line : lines) {
        boost::json::object object;
        object["time"] = line.time;
        object["source"] = line.source;
        object["level"] = line.level;
        object["event"] = line.event;
        boost::json::object fields;
        for (const auto &[key, value] : line.fields) {
            fields[key] = value;
        }
        object["fields"] = std::move(fields);
        array.push_back(std::move(object));
    }
    return boost::json::serialize(array);
}

} // namespace heatherquay::app
