#pragma once

#include <istream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::app
{

/// One line of a process's log.
struct LogLine
{
    std::string time; ///< As written; sorts as text.
    std::string source; ///< File that it was read from, or what stood before the time.
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// @return the value of @p key; empty when the line has none
    std::string field(const std::string &key) const;
};

/// Reads one line as the log writes it, with anything before its time.
/// @return nothing for text that is no log line
std::optional<LogLine> parseLogLine(const std::string &text, const std::string &source);

/// Reads all log lines of a stream; other text is left out.
std::vector<LogLine> readLog(std::istream &in, const std::string &source);

/// @return the lines that tell the history of a job, in order: its own, those of workers that ran its tasks, and
/// changes of the decider while it was alive
std::vector<LogLine> historyOf(const std::string &job, std::vector<LogLine> lines);

std::string toText(const LogLine &line);
std::string toJson(const std::vector<LogLine> &lines);

} // namespace heatherquay::app
