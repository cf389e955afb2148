#include "emulator/memory_store.hpp"
#include "heatherquay/coordination/batch/election.hpp"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;

namespace
{

/// A process that takes part in elections.
struct Candidate
{
    Candidate(boost::asio::io_context &io, test::MemoryStore &store, const std::string &vm, const std::string &life)
        : context(io)
        , board(store, boardTable, {intakePart, deciderPart, membersPart},
                [this](const protocol::batch::StoredRow &row) {
                    if (row.key.key.starts_with('!')) {
                        election.take(row);
                    }
                })
        , election(store, {{}, vm, life, "127.0.0.1:1"}, 1.0,
                   {[this](protocol::batch::FencingToken token) {
                        tokens.push_back(token.value);
                    },
                    [this](const std::string &) {
                        ++deposals;
                    },
                    [this]() -> const TableMirror<test::MemoryStore> & {
                        return board;
                    }},
                   times())
    {
    }

    static ElectionTimes times()
    {
        return {.pulseEvery = 20ms, .takeoverAfter = 100ms, .check = 5ms, .call = 50ms, .rankSpread = 10ms};
    }

    void start()
    {
        boost::asio::co_spawn(context, board.run(), boost::asio::detached);
        boost::asio::co_spawn(context, election.run(), boost::asio::detached);
    }

    boost::asio::io_context &context;
    TableMirror<test::MemoryStore> board;
    Election<test::MemoryStore> election;
    std::vector<std::uint64_t> tokens;
    int deposals{};
};

struct ElectionFixture
{
    boost::asio::io_context context;
    test::MemoryStore store;

    void runFor(std::chrono::milliseconds time)
    {
        context.run_for(time);
        context.restart();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_election, ElectionFixture)

BOOST_AUTO_TEST_CASE(one_of_two_candidates_leads)
{
    Candidate first(context, store, "vm-1", "a");
    Candidate second(context, store, "vm-2", "b");
    first.start();
    second.start();
    runFor(400ms);
    BOOST_TEST(first.election.leading() != second.election.leading());
    BOOST_TEST(first.tokens.size() + second.tokens.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_leader_is_replaced_and_deposed_when_it_returns)
{
    auto first = std::make_unique<Candidate>(context, store, "vm-1", "a");
    first->start();
    runFor(200ms);
    BOOST_REQUIRE(first->election.leading());
    TermRecord taken;
    taken.token.value = 2;
    taken.owner = "vm-9";
    store.put({boardTable, deciderPart, termKey}, encodeTerm(taken));
    runFor(100ms);
    BOOST_TEST(!first->election.leading());
    BOOST_TEST(first->deposals == 1);
    runFor(400ms);
    BOOST_TEST(first->election.leading());
    BOOST_TEST(first->tokens.back() == 3U);
}

BOOST_AUTO_TEST_CASE(a_vacant_term_and_an_own_earlier_life_are_taken_at_once)
{
    TermRecord earlier;
    earlier.token.value = 7;
    earlier.owner = "vm-1";
    earlier.life = "before";
    store.put({boardTable, deciderPart, termKey}, encodeTerm(earlier));
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(60ms);
    BOOST_TEST(first.election.leading());
    BOOST_TEST(first.tokens.back() == 8U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_to_a_campaign_leads_all_the_same)
{
    store.loseAnswers = 1;
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(200ms);
    BOOST_TEST(first.election.leading());
    BOOST_TEST(first.tokens.size() == 1U);
}

// The store turned the decider away and served the others; nothing started until its pulse was missed.
BOOST_AUTO_TEST_CASE(an_invited_process_takes_over_before_the_pulse_is_missed)
{
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(60ms);
    Candidate second(context, store, "vm-2", "b");
    second.start();
    runFor(60ms);
    BOOST_REQUIRE(first.election.leading());
    BOOST_TEST(!second.election.invite({17}));
    BOOST_TEST(second.election.invite(first.election.term().token));
    runFor(40ms);
    BOOST_TEST(second.election.leading());
    BOOST_TEST(!first.election.leading());
}

BOOST_AUTO_TEST_CASE(nobody_campaigns_while_the_store_is_away)
{
    Candidate first(context, store, "vm-1", "a");
    store.down = true;
    first.start();
    runFor(300ms);
    BOOST_TEST(!first.election.leading());
    BOOST_TEST(!first.election.invite({0}));
}

BOOST_AUTO_TEST_SUITE_END()
