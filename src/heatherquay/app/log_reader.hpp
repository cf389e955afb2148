#pragma once

#include <istream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::app
{

/// One parsed line of a process log.
struct LogLine
{
    std::string time; ///< As written in the log; lexicographic order is chronological.
    std::string source; ///< The last word before the time, such as a VM name, or else the name of the log.
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// @return the value of @p key, empty if the line does not have the key
    std::string field(const std::string &key) const;
};

/// Parses one line in the format of transport::log(), with an optional prefix before the time.
/// @param source the source of lines without a prefix
/// @return nothing if the text is not a log line
std::optional<LogLine> parseLogLine(const std::string &text, const std::string &source);

/// Parses all log lines of a stream and skips other text.
std::vector<LogLine> readLog(std::istream &in, const std::string &source);

/// @return the history of a job, sorted by time: all lines about the job and, between the first and the last of them,
/// events of the workers that ran its tasks and of the decider
std::vector<LogLine> jobHistory(const std::string &job, std::vector<LogLine> lines);

std::string toText(const LogLine &line);
std::string toJson(const std::vector<LogLine> &lines);

} // namespace heatherquay::app
