#include "crowds/small_entry.hpp"

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::crowds;

BOOST_AUTO_TEST_SUITE(product_crowds)

// Guards against callers that exhaust the memory or the descriptors of an entry with requests that never end.
BOOST_DATA_TEST_CASE(a_crowd_of_callers_stays_within_the_limits, crowdSamples)
{
    const SmallEntry entry;
    BOOST_REQUIRE(entry.answers());
    {
        Crowd crowd("127.0.0.1", entry.ports[0]);
        for (const auto &[script, clients] : sample.clients) {
            crowd.add(script(productTarget), clients);
        }
        crowd.run(entry.process->pid());
        const std::size_t memory = peakMemory(entry.process->pid());
        std::cout << "peak memory " << memory / 1'000'000 << " MB, descriptors " << crowd.descriptorsMax() << '\n';
        BOOST_TEST(!entry.process->poll().has_value(), "the process has ended");
        BOOST_TEST(memory > 0U);
        BOOST_TEST(memory <= entryMemoryMax);
        BOOST_TEST(crowd.descriptorsMax() <= descriptorsMax);
    }
    BOOST_TEST(entry.answers());
}

BOOST_AUTO_TEST_SUITE_END()
