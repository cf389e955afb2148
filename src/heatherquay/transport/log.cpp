#include "heatherquay/transport/log.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/log_rate_limiter.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace heatherquay::transport
{

namespace detail
{

// Ten times the rate of the most frequent event on a day with 50 workers.
constexpr std::uint32_t linesPerSecondPerEventMax = 500;
constexpr int queuedLinesMax = 2'000; // About 0.5 MB while standard output is blocked.

LogRateLimiter &rateLimiter()
{
    static LogRateLimiter instance(linesPerSecondPerEventMax);
    return instance;
}

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("heatherquay");
    return instance;
}

void appendQuoted(std::string &line, const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        const bool control = static_cast<unsigned char>(c) < ' ';
        line += control ? ' ' : c;
    }
    line += '"';
}

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace detail

void configureLog(std::string_view level)
{
    log4cxx::LevelPtr threshold;
    if (level == "debug") {
        threshold = log4cxx::Level::getDebug();
    } else if (level == "info") {
        threshold = log4cxx::Level::getInfo();
    } else if (level == "warn") {
        threshold = log4cxx::Level::getWarn();
    } else if (level == "error") {
        threshold = log4cxx::Level::getError();
    } else {
        throw Error(ErrorKind::BadInput, "unknown log level \"" + std::string(level) + "\"",
                    "use debug, info, warn or error");
    }
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    // A separate thread writes the lines, so that a blocked standard output does not delay scheduling decisions. When
    // the queue is full, lines are discarded; their number is logged once there is room again.
    const auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->setBufferSize(detail::queuedLinesMax);
    appender->setBlocking(false);
    appender->addAppender(console);
    detail::logger()->removeAllAppenders();
    detail::logger()->setAdditivity(false);
    detail::logger()->addAppender(appender);
    detail::logger()->setLevel(threshold);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const log4cxx::LevelPtr log4cxxLevel = detail::toLog4cxx(level);
    const log4cxx::LoggerPtr &target = detail::logger();
    if (!target->isEnabledFor(log4cxxLevel)) {
        return;
    }
    const auto suppressed = detail::rateLimiter().admit(event);
    if (!suppressed) {
        return;
    }
    std::string line(event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        detail::appendQuoted(line, field.value);
    }
    if (*suppressed > 0) {
        line += " left_out=" + std::to_string(*suppressed);
    }
    target->forcedLog(log4cxxLevel, line, LOG4CXX_LOCATION);
}

void closeLog()
{
    log4cxx::LogManager::shutdown();
}

} // namespace heatherquay::transport
