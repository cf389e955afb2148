#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/log_rate_limiter.hpp"

#include <chrono>
#include <csignal>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

using namespace heatherquay::transport;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(log_rate_limiter)

// Guards against one event exceeding its rate, against its limiting other events, and against losing the count of the
// suppressed lines.
BOOST_AUTO_TEST_CASE(lines_above_the_rate_are_suppressed_and_counted)
{
    LogRateLimiter limiter(2);
    const LogRateLimiter::Clock::time_point now{100s};
    BOOST_TEST(limiter.admit("a", now).value() == 0U);
    BOOST_TEST(limiter.admit("a", now).value() == 0U);
    BOOST_TEST(!limiter.admit("a", now).has_value());
    BOOST_TEST(!limiter.admit("a", now + 900ms).has_value());
    BOOST_TEST(limiter.admit("b", now).value() == 0U);
    BOOST_TEST(limiter.admit("a", now + 1s).value() == 2U);
}

// Guards against log() blocking the scheduler when nothing reads standard output. The child process writes to a pipe
// that is never read.
BOOST_AUTO_TEST_CASE(full_output_pipe_does_not_block_logging)
{
    int pipes[2];
    BOOST_REQUIRE(::pipe(pipes) == 0);
    const pid_t child = ::fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(pipes[1], STDOUT_FILENO);
        configureLog("info");
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < 20'000; ++i) {
            log(LogLevel::Info, "event-" + std::to_string(i % 100), {{"text", std::string(200, 'x')}});
        }
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        ::_exit(elapsed < 5s ? 0 : 1);
    }
    int status = 0;
    pid_t ended = 0;
    for (int i = 0; i < 1'000 && ended == 0; ++i) {
        ended = ::waitpid(child, &status, WNOHANG);
        ::usleep(10'000);
    }
    if (ended == 0) {
        ::kill(child, SIGKILL);
        ::waitpid(child, &status, 0);
    }
    ::close(pipes[0]);
    ::close(pipes[1]);
    BOOST_TEST(ended == child);
    BOOST_TEST(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
