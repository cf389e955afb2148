#include "state/history.hpp"

#include <iostream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace heatherquay::tests;

namespace rc
{

template<>
struct Arbitrary<Step>
{
    static Gen<Step> arbitrary()
    {
        const auto action = gen::weightedElement<Action>({{30, Action::Submit},
                                                          {25, Action::Advance},
                                                          {12, Action::Finish},
                                                          {5, Action::Cancel},
                                                          {2, Action::Fail},
                                                          {1, Action::FailNextStart},
                                                          {2, Action::LoseWorker},
                                                          {3, Action::ReturnWorker},
                                                          {1, Action::DrainWorker},
                                                          {2, Action::UndrainWorker},
                                                          {6, Action::GrantGuarantee},
                                                          {1, Action::WithdrawGuarantee},
                                                          {1, Action::ChangeQuota},
                                                          {2, Action::SendStaleReport},
                                                          {2, Action::ReportUsage},
                                                          {1, Action::RestoreSnapshot}});
        return gen::construct<Step>(action, gen::inRange<std::uint32_t>(0, 100'000),
                                    gen::inRange<std::uint32_t>(0, 100'000));
    }
};

} // namespace rc

BOOST_AUTO_TEST_SUITE(cluster_properties)

// Guards against sequences of events that make the decision core violate a rule of ClusterChecker. RapidCheck shrinks a
// failing history.
BOOST_AUTO_TEST_CASE(random_histories_of_any_events_keep_the_rules)
{
    rc::detail::TestParams parameters;
    parameters.seed = 1;
    parameters.maxSuccess = 60;
    parameters.maxSize = 120;
    const auto result = rc::detail::checkTestable(
        [](const std::vector<Step> &history) {
            const std::string violation = playHistory(smallSetup(), history, 1);
            if (!violation.empty()) {
                RC_FAIL(violation + "\n" + describe(history));
            }
        },
        rc::detail::TestMetadata(), parameters);
    const bool success = result.template is<rc::detail::SuccessResult>();
    if (!success) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    BOOST_TEST(success);
}

// Guards against guarantees that are not met in long histories. With even seeds the hardware does not change, so the
// stricter rules for guarantees apply.
BOOST_AUTO_TEST_CASE(long_random_histories_meet_every_claim)
{
    constexpr std::uint64_t seeds = 60;
    const HistorySetup setup = smallSetup();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<Step> history = randomHistory(seed, 150);
        const std::string violation = playHistory(setup, history, seed);
        if (!violation.empty()) {
            const std::vector<Step> shortest = shrinkHistory(setup, history, seed);
            BOOST_ERROR("seed " << seed << "; history: " << describe(shortest) << '\n'
                                << traceHistory(setup, shortest, seed));
            return;
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
