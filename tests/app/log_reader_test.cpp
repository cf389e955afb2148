#include "heatherquay/app/log_reader.hpp"

#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace heatherquay::app;

BOOST_AUTO_TEST_SUITE(log_reader)

// Guards against quoted values being cut at spaces or escaped quotes.
BOOST_AUTO_TEST_CASE(quoted_field_values_are_unescaped)
{
    const auto line
        = parseLogLine(R"(2026-03-08T17:11:48.012 WARN worker-silent worker=w1 error="a \"b\" c" n=2)", "f");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->level == "WARN");
    BOOST_TEST(line->event == "worker-silent");
    BOOST_TEST(line->field("error") == "a \"b\" c");
    BOOST_TEST(line->field("n") == "2");
    BOOST_TEST(line->source == "f");
}

// Guards against losing the process name in merged logs, where it precedes the time.
BOOST_AUTO_TEST_CASE(prefix_before_the_timestamp_is_the_source)
{
    const auto line = parseLogLine("  1.5 vm-3 2026-03-08T17:11:48.012 INFO started vm=vm-3", "f");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->source == "vm-3");
}

// Guards against other output of a process being taken for a log line.
BOOST_AUTO_TEST_CASE(text_that_is_not_a_log_line_is_rejected)
{
    BOOST_TEST(!parseLogLine("terminate called", "f").has_value());
    BOOST_TEST(!parseLogLine("", "f").has_value());
    BOOST_TEST(!parseLogLine("2026-03-08T17:11:48.012", "f").has_value());
}

// Guards against a history that lacks context events, or that contains unrelated workers, jobs with a similar id, or
// decider changes after the end of the job.
BOOST_AUTO_TEST_CASE(history_includes_the_job_its_workers_and_decider_changes)
{
    std::istringstream in("2026-01-01T00:00:05.000 INFO run-ended task=a.0.0.1 worker=w1 how=done\n"
                          "2026-01-01T00:00:01.000 INFO job-submitted job=a status=200\n"
                          "2026-01-01T00:00:02.000 INFO run-ordered task=a.0.0.1 worker=w1\n"
                          "2026-01-01T00:00:03.000 WARN worker-silent worker=w1\n"
                          "2026-01-01T00:00:03.000 WARN worker-silent worker=w2\n"
                          "2026-01-01T00:00:04.000 INFO decider-elected token=2\n"
                          "2026-01-01T00:00:04.000 INFO run-evicted task=b.0.0.0 for_job=a\n"
                          "2026-01-01T00:00:04.000 INFO run-ordered task=ab.0.0.1 worker=w1\n"
                          "2026-01-01T00:00:09.000 INFO decider-elected token=3\n");
    const auto history = jobHistory("a", readLog(in, "log"));
    BOOST_REQUIRE(history.size() == 6U);
    BOOST_TEST(history.front().event == "job-submitted");
    BOOST_TEST(history[2].event == "worker-silent");
    BOOST_TEST(history.back().event == "run-ended");
}

BOOST_AUTO_TEST_SUITE_END()
