#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace heatherquay::transport
{

enum class LogLevel
{
    Debug,
    Info,
    Warn,
    Error
};

/// One key=value pair of a log line; values with spaces are quoted.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Sets up the log on standard output, written by a thread of its own. @param level "debug", "info", "warn" or "error"
/// @throws Error(BadInput) for another level
void configureLog(std::string_view level);

/// Writes one line: time, level, event name, fields. Never blocks: lines beyond a rate for each event and beyond a
/// bounded queue are left out and counted. @param event lower case with hyphens, such as "member-removed"
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace heatherquay::transport
