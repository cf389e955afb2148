#include "heatherquay/transport/metrics.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

using namespace heatherquay::transport;
using namespace std::chrono_literals;

// Guards against output that a Prometheus server rejects: buckets that are not cumulative, or labels that are not
// escaped.
BOOST_AUTO_TEST_CASE(metrics_text_has_counters_gauges_and_cumulative_buckets)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests.", {{"team", "a\"b"}}).add(3);
    registry.gauge("ready", "Ready.", [] {
        return 1.0;
    });
    LatencyHistogram &latency = registry.histogram("latency_seconds", "Latency.");
    latency.record(500us);
    latency.record(60s);
    const std::string text = registry.text();
    for (const char *line :
         {"# TYPE requests_total counter\n", "requests_total{team=\"a\\\"b\"} 3\n", "ready 1\n",
          "latency_seconds_bucket{le=\"0.001\"} 1\n", "latency_seconds_bucket{le=\"30\"} 1\n",
          "latency_seconds_bucket{le=\"+Inf\"} 2\n", "latency_seconds_sum 60.0005\n", "latency_seconds_count 2\n"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line << " is missing in\n" << text);
    }
}

// Guards against updates lost when several threads count at the same time.
BOOST_AUTO_TEST_CASE(metrics_count_concurrent_updates)
{
    MetricsRegistry registry;
    Counter &counter = registry.counter("n", "N.");
    LatencyHistogram &latency = registry.histogram("l", "L.");
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int count = 0; count < 10'000; ++count) {
                counter.add();
                latency.record(1ms);
            }
        });
    }
    threads.clear();
    BOOST_TEST(counter.value() == 40'000u);
    BOOST_TEST(registry.text().find("l_count 40000\n") != std::string::npos);
}
