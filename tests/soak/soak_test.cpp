#include "soak/soak.hpp"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace heatherquay::soak;

namespace
{

constexpr std::uint64_t plannedSeed = 1;
constexpr std::uint64_t mixedSeed = 2;

} // namespace

BOOST_AUTO_TEST_SUITE(soak)

// Guards against requests that are read and not answered, and jobs that are lost, around stops, reloads and
// configuration changes of nodes with a quarter of a processor.
BOOST_AUTO_TEST_CASE(planned_work_loses_no_request_and_no_job)
{
    SoakOptions options;
    options.seed = plannedSeed;
    options.share = 0.25;
    options.rate = 1.5;
    options.faults = plannedFaults();
    BOOST_TEST(runSoak(options) == 0U);
}

// Guards against jobs that are lost or run twice when crashes, pauses and faults of store, links and workers overlap.
BOOST_AUTO_TEST_CASE(overlapping_faults_lose_no_job)
{
    SoakOptions options;
    options.seed = mixedSeed;
    options.faults = plannedFaults();
    options.faults.insert(options.faults.end(), unplannedFaults().begin(), unplannedFaults().end());
    BOOST_TEST(runSoak(options) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
