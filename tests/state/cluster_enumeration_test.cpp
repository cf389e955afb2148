#include "state/history.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay::tests;

namespace
{

/// Steps for tinySetup(): two workers with two accelerators each, two teams, guarantees of one whole worker.
const std::vector<Step> &enumeratedSteps()
{
    // For Submit, first % 2 selects the team and second the shape; a job with first / 8 % 4 == 0 only borrows.
    static const std::vector<Step> steps{
        {Action::Submit, 40, 3}, // Team a claims a whole worker.
        {Action::Submit, 41, 3}, // Team b claims a whole worker.
        {Action::Submit, 33, 5}, // Team b borrows all accelerators.
        {Action::Submit, 40, 1}, // Team a claims one accelerator.
        {Action::GrantGuarantee, 0, 0}, {Action::GrantGuarantee, 1, 0}, {Action::Advance, 199, 0},
        {Action::Advance, 11'499, 0},   {Action::Finish, 0, 0},         {Action::Cancel, 0, 0},
        {Action::Fail, 0, 0},           {Action::LoseWorker, 0, 0},     {Action::ReturnWorker, 0, 0}};
    return steps;
}

/// Plays all histories of a given length, up to the first violation.
struct Enumeration
{
    std::size_t histories{};
    std::vector<Step> failing;
    std::string violation;

    /// Plays all continuations of @p history by @p depth steps that have an effect.
    /// @param played the player after @p history
    void extend(const HistoryPlayer &played, std::vector<Step> &history, std::size_t depth)
    {
        for (const Step &step : enumeratedSteps()) {
            history.push_back(step);
            HistoryPlayer player = played;
            try {
                player.play(step);
                if (player.acceptedEvents() == played.acceptedEvents()) {
                    // The step had no effect, so the history is equivalent to a shorter one.
                    history.pop_back();
                    continue;
                }
                if (depth > 1) {
                    extend(player, history, depth - 1);
                } else {
                    ++histories;
                    player.finish();
                }
            } catch (const RuleViolation &rule) {
                violation = rule.what();
                failing = history;
            }
            if (!violation.empty()) {
                return;
            }
            history.pop_back();
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(cluster_enumeration)

// Guards against rule violations that need a rare order of a few events, which random histories may miss.
BOOST_AUTO_TEST_CASE(all_short_histories_of_a_tiny_cluster_keep_the_rules)
{
    constexpr std::size_t depth = 5;
    const HistorySetup setup = tinySetup();
    Enumeration enumeration;
    std::vector<Step> history;
    enumeration.extend(HistoryPlayer(setup, 1), history, depth);
    if (!enumeration.violation.empty()) {
        BOOST_ERROR(enumeration.violation << "; history: " << describe(enumeration.failing) << '\n'
                                          << traceHistory(setup, enumeration.failing, 1));
    }
    BOOST_TEST_MESSAGE(enumeration.histories << " histories");
    BOOST_TEST(enumeration.histories > 50'000U);
}

BOOST_AUTO_TEST_SUITE_END()
