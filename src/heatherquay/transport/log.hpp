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

/// One key=value pair of a log line. An empty value, or one with white space, quotes or "=", is quoted.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Configures logging to standard output by a separate thread.
/// @param level "debug", "info", "warn" or "error"
/// @throws Error(BadInput) for another level
void configureLog(std::string_view level);

/// Logs one line: time, level, event name and fields. Never blocks: lines above the rate limit of their event, and
/// lines that find the queue full, are discarded and counted.
/// @param event name in lower case with hyphens, such as "member-removed"
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes the lines in the queue and ends the thread; for a process that ends without the destructors of static
/// objects.
void closeLog();

} // namespace heatherquay::transport
