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

/// A process that takes part in the election.
struct Candidate
{
    Candidate(boost::asio::io_context &io, test::MemoryStore &store, const std::string &vm,
              const std::string &incarnationId)
        : context(io)
        , board(store, boardTable, {intakePart, deciderPart, membersPart},
                [this](const protocol::batch::StoredRow &row) {
                    if (row.key.key.starts_with('!') && !(missesHeartbeats && row.key.key == heartbeatKey)) {
                        election.applyRow(row);
                    }
                })
        , election(store, {{}, vm, incarnationId, "127.0.0.1:1"}, 1.0,
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
        return {.heartbeatInterval = 20ms,
                .heartbeatTimeout = 100ms,
                .silentLeaderTimeout = 60ms,
                .endedLeaderTimeout = 20ms,
                .checkInterval = 5ms,
                .callTimeout = 50ms,
                .rankDelayMax = 10ms};
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
    bool missesHeartbeats{}; ///< The mirror has fallen behind.
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

// Guards against two concurrent leaders, or none, when processes start together.
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

// Guards against a leader that does not notice its replacement, or does not campaign again when the new leader sends no
// heartbeats.
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

// Guards against a restarted leader that waits for the heartbeat timeout of its own earlier incarnation.
BOOST_AUTO_TEST_CASE(the_term_of_an_earlier_incarnation_on_the_same_vm_is_taken_over_at_once)
{
    TermRecord earlier;
    earlier.token.value = 7;
    earlier.owner = "vm-1";
    earlier.incarnationId = "before";
    store.put({boardTable, deciderPart, termKey}, encodeTerm(earlier));
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(60ms);
    BOOST_TEST(first.election.leading());
    BOOST_TEST(first.tokens.back() == 8U);
}

// Guards against a term without a leader when the answer to a successful campaign is lost.
BOOST_AUTO_TEST_CASE(a_candidate_leads_although_the_answer_to_its_campaign_is_lost)
{
    store.loseResponses = 1;
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(200ms);
    BOOST_TEST(first.election.leading());
    BOOST_TEST(first.tokens.size() == 1U);
}

// Guards against authority that outlasts its bound: a campaign whose answer is lost counts from when it was sent, not
// from when this process learns that it succeeded.
BOOST_AUTO_TEST_CASE(the_authority_of_a_late_campaign_counts_from_its_sending)
{
    store.deferTransactions = 1'000'000;
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(330ms);
    BOOST_REQUIRE(!first.election.leading());
    const auto appliedAt = std::chrono::steady_clock::now();
    store.applyDeferred();
    first.election.applyRow(store.row({boardTable, deciderPart, termKey}));
    BOOST_REQUIRE(first.election.leading());
    BOOST_TEST((first.election.confirmedAt() < appliedAt - 200ms));
}

// Guards against waiting for heartbeats of a leader whose process has ended, and against replacing one that only does
// not answer its peers.
BOOST_AUTO_TEST_CASE(a_leader_known_to_have_ended_is_replaced_early)
{
    TermRecord other;
    other.token.value = 4;
    other.owner = "vm-9";
    store.put({boardTable, deciderPart, termKey}, encodeTerm(other));
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(20ms);
    first.election.noteLeaderHealth({3}, LeaderHealth::Ended); // Of an earlier term.
    runFor(30ms);
    BOOST_TEST(!first.election.leading());
    store.put({boardTable, deciderPart, heartbeatKey}, "1");
    runFor(10ms);
    first.election.noteLeaderHealth({4}, LeaderHealth::Silent);
    for (int i = 0; i < 10; ++i) {
        store.put({boardTable, deciderPart, heartbeatKey}, std::to_string(i));
        runFor(20ms);
    }
    BOOST_TEST(!first.election.leading());
    first.election.noteLeaderHealth({4}, LeaderHealth::Ended);
    runFor(60ms);
    BOOST_TEST(first.election.leading());
}

// Guards against a term that nobody takes over until heartbeats time out, after a leader has stopped on request.
BOOST_AUTO_TEST_CASE(a_leader_that_resigns_leaves_the_term_vacant)
{
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(60ms);
    BOOST_REQUIRE(first.election.leading());
    Candidate second(context, store, "vm-2", "b");
    second.start();
    runFor(40ms);
    boost::asio::co_spawn(context, first.election.resign(), boost::asio::detached);
    runFor(60ms);
    BOOST_TEST(!first.election.leading());
    BOOST_TEST(second.election.leading());
    BOOST_TEST(second.tokens.back() == 2U);
    runFor(200ms);
    BOOST_TEST(!first.election.leading());
    BOOST_TEST(first.deposals == 1);
}

// Guards against waiting for the heartbeat timeout when the store rejects only the leader, which then asks another
// process to take over.
BOOST_AUTO_TEST_CASE(an_invited_process_takes_over_before_the_heartbeat_times_out)
{
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(60ms);
    Candidate second(context, store, "vm-2", "b");
    second.start();
    runFor(60ms);
    BOOST_REQUIRE(first.election.leading());
    BOOST_TEST(!second.election.handleTakeoverRequest({17}));
    BOOST_TEST(second.election.handleTakeoverRequest(first.election.term().token));
    runFor(40ms);
    BOOST_TEST(second.election.leading());
    BOOST_TEST(!first.election.leading());
}

// Guards against a healthy leader that is replaced by a process whose mirror of the store has fallen behind.
BOOST_AUTO_TEST_CASE(a_candidate_that_has_missed_heartbeats_does_not_take_over)
{
    Candidate first(context, store, "vm-1", "a");
    first.start();
    runFor(60ms);
    Candidate second(context, store, "vm-2", "b");
    second.start();
    runFor(60ms);
    BOOST_REQUIRE(first.election.leading());
    second.missesHeartbeats = true;
    runFor(500ms);
    BOOST_TEST(first.election.leading());
    BOOST_TEST(first.deposals == 0);
    BOOST_TEST(second.tokens.empty());
}

// Guards against a campaign on stale data while the store is unreachable.
BOOST_AUTO_TEST_CASE(nobody_campaigns_while_the_store_is_down)
{
    Candidate first(context, store, "vm-1", "a");
    store.down = true;
    first.start();
    runFor(300ms);
    BOOST_TEST(!first.election.leading());
    BOOST_TEST(!first.election.handleTakeoverRequest({0}));
}

BOOST_AUTO_TEST_SUITE_END()
