#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/log_budget.hpp"

#include <chrono>
#include <csignal>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

using namespace heatherquay::transport;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(log_budget)

BOOST_AUTO_TEST_CASE(lines_beyond_the_rate_are_left_out_and_counted)
{
    LogBudget budget(2);
    const LogBudget::Clock::time_point now{100s};
    BOOST_TEST(budget.admit("a", now).value() == 0U);
    BOOST_TEST(budget.admit("a", now).value() == 0U);
    BOOST_TEST(!budget.admit("a", now).has_value());
    BOOST_TEST(!budget.admit("a", now + 900ms).has_value());
    BOOST_TEST(budget.admit("b", now).value() == 0U);
    BOOST_TEST(budget.admit("a", now + 1s).value() == 2U);
}

// A log that waits for its reader would hold up decisions.
BOOST_AUTO_TEST_CASE(output_that_nobody_reads_holds_nothing_up)
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
        const auto passed = std::chrono::steady_clock::now() - begin;
        ::_exit(passed < 5s ? 0 : 1);
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
