#include "heatherquay/coordination/burn_recorder.hpp"

#include "heatherquay/error.hpp"

#include <random>
#include <thread>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination;
using namespace std::chrono_literals;

namespace
{

std::vector<state::ServiceSettings> services()
{
    state::ServiceSettings service;
    service.id.value = "hire-desk";
    service.objectives.push_back({{}, 300ms, 0.99, 0.999});
    service.objectives.push_back({{"guitars"}, 300ms, 0.9, 0.9});
    return {service};
}

RequestRecord request(std::chrono::milliseconds latency, unsigned status = 200, const char *team = "guitars")
{
    return {{"hire-desk"}, {team}, latency, status, protocol::Outcome::Ran};
}

/// @return the number @p key of a window and objective in the JSON report
double reportedNumber(const BurnSnapshot &snapshot, std::size_t objective, std::size_t window, const char *key)
{
    const auto report = boost::json::parse(burnJson(snapshot, services()));
    return report.at("objectives").at(objective).at("windows").at(window).at(key).to_number<double>();
}

} // namespace

// Guards against wrong burn rates, for example because client errors count as failures or teams are mixed up.
BOOST_AUTO_TEST_CASE(burn_rate_is_the_share_of_bad_requests_divided_by_the_error_budget)
{
    BurnRecorder recorder(services());
    for (int count = 0; count < 90; ++count) {
        recorder.record(request(10ms), 100s);
    }
    for (int count = 0; count < 8; ++count) {
        recorder.record(request(300ms), 100s);
    }
    recorder.record(request(10ms, 503), 100s);
    recorder.record(request(10ms, 404), 100s);
    recorder.record(request(10ms, 200, "drums"), 100s);
    const BurnSnapshot snapshot = recorder.snapshot(100s);
    BOOST_TEST(reportedNumber(snapshot, 0, 0, "requests") == 101);
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "requests") == 100);
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "slow") == 8);
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "failed") == 1);
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "latency_burn") == 8.0 / 99 / 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "success_burn") == 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "p50_ms") == 20);
    BOOST_TEST(reportedNumber(snapshot, 1, 0, "p99_ms") == 500);
}

// Guards against expired requests that still count in a window, and against recent ones that are dropped with them.
BOOST_AUTO_TEST_CASE(burn_window_drops_requests_older_than_its_length)
{
    for (std::size_t window = 0; window < state::burnWindows.size(); ++window) {
        const auto length = state::burnWindows[window].length();
        BurnRecorder recorder(services());
        recorder.record(request(10ms, 500), 7s);
        const auto beforeExpiry = 7s + length - state::burnWindows[window].slice;
        BOOST_TEST(reportedNumber(recorder.snapshot(beforeExpiry), 0, window, "requests") == 1);
        recorder.record(request(10ms), beforeExpiry);
        BOOST_TEST(reportedNumber(recorder.snapshot(7s + length), 0, window, "requests") == 1);
        BOOST_TEST(reportedNumber(recorder.snapshot(7s + length), 0, window, "failed") == 0);
        BOOST_TEST(reportedNumber(recorder.snapshot(beforeExpiry + 2 * length), 0, window, "requests") == 0);
    }
}

// Guards against requests that are lost or counted twice when the counts of entries with different bin edges are
// merged.
BOOST_AUTO_TEST_CASE(merged_burn_counts_of_two_entries_add_up)
{
    BurnRecorder one(services());
    auto changed = services();
    changed.front().objectives.front().latencyTarget = 700ms;
    BurnRecorder other(changed);
    for (int count = 0; count < 1000; ++count) {
        one.record(request(std::chrono::milliseconds(count)), 1s);
        other.record(request(std::chrono::milliseconds(count), count % 10 == 0 ? 500 : 200, "drums"), 1s);
        other.record(request(std::chrono::milliseconds(count)), 1s);
    }
    BurnSnapshot whole = decodeBurn(encodeBurn(one.snapshot(1s)));
    merge(whole, decodeBurn(encodeBurn(other.snapshot(1s))));
    BOOST_TEST(whole.series.size() == 2u);
    BOOST_TEST(reportedNumber(whole, 0, 3, "requests") == 3000);
    BOOST_TEST(reportedNumber(whole, 0, 3, "failed") == 100);
    BOOST_TEST(reportedNumber(whole, 1, 3, "requests") == 2000);
    // A lower bound, because a bin that extends beyond the latency target may count as slow as a whole.
    BOOST_TEST(reportedNumber(whole, 1, 3, "slow") >= 1400);
    BOOST_TEST(burnMetrics(whole, services()).find("team=\"guitars\",window=\"3d\",objective=\"latency\"")
               != std::string::npos);
}

// Guards against counts lost when several threads record at once.
BOOST_AUTO_TEST_CASE(burn_recorder_counts_requests_of_all_threads)
{
    BurnRecorder recorder(services());
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&recorder, thread] {
            for (int count = 0; count < 20'000; ++count) {
                recorder.record(request(5ms, 200, thread % 2 == 0 ? "guitars" : "drums"),
                                std::chrono::seconds(count / 1000));
            }
        });
    }
    threads.clear();
    BOOST_TEST(reportedNumber(recorder.snapshot(20s), 0, 0, "requests") == 80'000);
}

// Guards against a corrupted message of a peer that crashes the process or makes it allocate much memory.
BOOST_AUTO_TEST_CASE(burn_decoder_rejects_or_reads_corrupted_bytes)
{
    BurnRecorder recorder(services());
    recorder.record(request(5ms), 1s);
    const std::string whole = encodeBurn(recorder.snapshot(1s));
    BOOST_CHECK_THROW(decodeBurn(whole.substr(0, whole.size() - 1)), Error);
    BOOST_CHECK_THROW(decodeBurn(whole + "x"), Error);
    std::mt19937 random(20261204);
    int refused = 0;
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = whole;
        bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        try {
            burnJson(decodeBurn(bytes), services());
        } catch (const Error &error) {
            ++refused;
            BOOST_TEST((error.kind() == ErrorKind::BadInput));
        }
    }
    BOOST_TEST(refused > 0);
}
