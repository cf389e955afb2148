#include "coordination/fake_peers.hpp"
#include "coordination/fake_table.hpp"
#include "coordination/log_machine.hpp"
#include "heatherquay/coordination/journal.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

// The namespace is named because the data test cases of Boost.Test are templates, which must not use types from an
// unnamed namespace.
namespace heatherquay::testing
{

using coordination::CommitOutcome;
using coordination::JournalSettings;
using coordination::Proposal;
using protocol::CommitStatus;

using TestJournal = coordination::Journal<FakeTable, FakeObjects, FakePeers, SettingLogMachine>;

/// An entry with a journal, and what its hooks return.
struct JournalTestEntry
{
    std::string address;
    bool mayAct{true};
    bool active{};
    std::shared_ptr<TableFaults> faults = std::make_shared<TableFaults>();
    std::unique_ptr<TestJournal> journal;
    int ownRecords{}; ///< Number of applied records that this entry wrote.
};

/// Entries that share a table and a network. All run in the thread of the test.
struct JournalFixture
{
    boost::asio::io_context io;
    std::shared_ptr<TableRows> rows = std::make_shared<TableRows>();
    std::shared_ptr<FakeNetwork> network = std::make_shared<FakeNetwork>();
    std::vector<std::unique_ptr<JournalTestEntry>> entries;

    /// Creates an entry without starting it.
    JournalTestEntry &add(JournalSettings settings = {})
    {
        auto entry = std::make_unique<JournalTestEntry>();
        JournalTestEntry *raw = entry.get();
        entry->address = "e" + std::to_string(entries.size());
        settings.self = {entry->address};
        settings.pollInterval = 20ms;
        settings.commitTimeout = 400ms;
        coordination::JournalHooks hooks;
        hooks.mayAct = [raw] {
            return raw->mayAct;
        };
        hooks.active = [raw] {
            return raw->active;
        };
        hooks.peers = [this, raw] {
            return network->others(raw->address);
        };
        hooks.peerAddress = [](const state::EntryId &id) {
            return id.value;
        };
        entry->journal = std::make_unique<TestJournal>(io.get_executor(), settings, FakeTable(rows, entry->faults),
                                                       FakeObjects(rows), FakePeers(network, entry->address),
                                                       settingLogCodec(), hooks, SettingLogMachine{});
        entry->journal->addListener([raw](const coordination::AppliedRecord &applied) {
            raw->ownRecords += applied.own ? 1 : 0;
        });
        network->handlers[entry->address].append = [raw](std::vector<protocol::JournalRecord> records) {
            return raw->journal->onAppend(std::move(records));
        };
        network->handlers[entry->address].fetch = [raw](std::uint64_t from) {
            return raw->journal->onFetch(from);
        };
        entries.push_back(std::move(entry));
        return *raw;
    }

    /// Creates an entry and runs its journal until it has loaded the state.
    JournalTestEntry &start(JournalSettings settings = {})
    {
        JournalTestEntry &entry = add(std::move(settings));
        boost::asio::co_spawn(io, entry.journal->run(), boost::asio::detached);
        runUntil([&] {
            return entry.journal->ready();
        });
        return entry;
    }

    /// Runs the event loop until @p done returns true. @return whether it did within @p timeout
    template<typename F>
    bool runUntil(F done, std::chrono::milliseconds timeout = 2s)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!done() && std::chrono::steady_clock::now() < deadline) {
            io.restart();
            io.run_for(1ms);
        }
        return done();
    }

    /// Starts a commit. @return the outcome, set when the commit has completed
    std::shared_ptr<std::optional<CommitOutcome>> startCommit(JournalTestEntry &entry, const std::string &id,
                                                              std::optional<std::uint64_t> basedOn = {})
    {
        Proposal proposal{.id = id, .basedOn = basedOn, .events = {state::SettingChanged{{"k", id}}}};
        auto outcome = std::make_shared<std::optional<CommitOutcome>>();
        boost::asio::co_spawn(io, entry.journal->commit(std::move(proposal)),
                              [outcome](std::exception_ptr error, CommitOutcome result) {
                                  if (!error) {
                                      *outcome = std::move(result);
                                  }
                              });
        return outcome;
    }

    CommitOutcome commit(JournalTestEntry &entry, const std::string &id, std::optional<std::uint64_t> basedOn = {})
    {
        const auto outcome = startCommit(entry, id, basedOn);
        BOOST_REQUIRE(runUntil([&] {
            return outcome->has_value();
        }));
        return **outcome;
    }

    static std::string log(const JournalTestEntry &entry)
    {
        return entry.journal->read([](const SettingLogMachine &machine) {
            return machine.log;
        });
    }

    /// @return whether all entries reach the log @p expected
    bool converged(const std::string &expected)
    {
        return runUntil([&] {
            return std::all_of(entries.begin(), entries.end(), [&](const auto &entry) {
                return log(*entry) == expected;
            });
        });
    }
};

} // namespace heatherquay::testing

using namespace heatherquay;
using namespace heatherquay::testing;
namespace data = boost::unit_test::data;

// Guards against a committed record that some entries do not apply, or whose commands more than one entry dispatches.
BOOST_FIXTURE_TEST_CASE(journal_committed_record_reaches_every_entry, JournalFixture)
{
    JournalTestEntry &writer = start();
    start();
    start();
    const CommitOutcome outcome = commit(writer, "a");
    BOOST_TEST((outcome.status == CommitStatus::Committed));
    BOOST_TEST(outcome.number == 1u);
    BOOST_TEST(outcome.commands.size() == 1u);
    BOOST_TEST(converged("a;"));
    BOOST_TEST(writer.ownRecords == 1);
    BOOST_TEST(entries[1]->ownRecords == 0);
}

// Guards against a record that is lost, committed twice or reported with a wrong outcome when up to two writes have
// faults, with and without a concurrent commit of another entry.
BOOST_DATA_TEST_CASE_F(JournalFixture, journal_commit_outcome_matches_the_table,
                       data::make(allFaults) * data::make(allFaults) * data::make({false, true}), first, second, race)
{
    JournalTestEntry &writer = start();
    JournalTestEntry &other = start();
    writer.faults->writes = {first, second};
    const auto outcome = startCommit(writer, "a");
    const auto otherOutcome = race ? startCommit(other, "b") : nullptr;
    BOOST_REQUIRE(runUntil([&] {
        return outcome->has_value() && (!race || otherOutcome->has_value());
    }));
    BOOST_TEST((commit(other, "end").status == CommitStatus::Committed));
    runUntil(
        [] {
            return false;
        },
        40ms);
    const std::string finalLog = log(other);
    const bool written = finalLog.find("a;") != std::string::npos;
    BOOST_TEST(((*outcome)->status == CommitStatus::Committed) == written);
    BOOST_TEST(((*outcome)->status != CommitStatus::Unknown));
    BOOST_TEST(finalLog.find("a;") == finalLog.rfind("a;"));
    BOOST_TEST(writer.ownRecords == (written ? 1 : 0));
    BOOST_TEST(converged(finalLog));
}

// Guards against a second record for a proposal that is repeated by the same or another entry.
BOOST_DATA_TEST_CASE_F(JournalFixture, journal_repeated_proposal_gets_the_first_result, data::make({0, 1}), repeater)
{
    start();
    start();
    BOOST_TEST(commit(*entries[0], "a").number == 1u);
    BOOST_TEST(commit(*entries[0], "b").number == 2u);
    const CommitOutcome again = commit(*entries[repeater], "a");
    BOOST_TEST((again.status == CommitStatus::Committed));
    BOOST_TEST(again.repeated);
    BOOST_TEST(again.number == 1u);
    BOOST_TEST(converged("a;b;"));
}

// Guards against a proposal that is committed although other records follow the one that it is based on.
BOOST_FIXTURE_TEST_CASE(journal_proposal_based_on_an_older_record_conflicts, JournalFixture)
{
    start();
    start();
    commit(*entries[0], "a");
    BOOST_TEST((commit(*entries[1], "late", 0).status == CommitStatus::Conflict));
    BOOST_TEST((commit(*entries[1], "b", 1).status == CommitStatus::Committed));
    const auto one = startCommit(*entries[0], "c", 2);
    const auto two = startCommit(*entries[1], "d", 2);
    BOOST_REQUIRE(runUntil([&] {
        return one->has_value() && two->has_value();
    }));
    const bool oneWon = (*one)->status == CommitStatus::Committed;
    BOOST_TEST(((oneWon ? *two : *one)->status == CommitStatus::Conflict));
    BOOST_TEST(converged(oneWon ? "a;b;c;" : "a;b;d;"));
}

// Guards against commits by an entry whose lease has expired.
BOOST_FIXTURE_TEST_CASE(journal_commits_nothing_while_the_entry_may_not_act, JournalFixture)
{
    JournalTestEntry &writer = start();
    writer.mayAct = false;
    BOOST_TEST((commit(writer, "a").status == CommitStatus::NotCommitted));
    BOOST_TEST(rows->rows.empty());
}

// Guards against an entry that, while it does not reach the table, commits records or lacks those that its peers have.
BOOST_FIXTURE_TEST_CASE(journal_outage_fails_commits_and_peers_still_replicate_records, JournalFixture)
{
    JournalTestEntry &writer = start();
    JournalTestEntry &reader = start();
    reader.faults->down = true;
    commit(writer, "a");
    BOOST_TEST(converged("a;"));
    network->dropAppends = true;
    commit(writer, "b");
    reader.journal->onGossip({.from = {writer.address}, .journalNumber = 2});
    BOOST_TEST(converged("a;b;"));
    BOOST_TEST((commit(reader, "c").status == CommitStatus::NotCommitted));
}

// Guards against an entry that starts with an old state or does not start while the table, the object store or both are
// down.
BOOST_DATA_TEST_CASE_F(JournalFixture, journal_entry_starts_from_snapshot_rows_or_peers,
                       data::make({false, true}) * data::make({false, true}) * data::make({false, true}), tableDown,
                       objectsDown, peerCut)
{
    JournalTestEntry &writer = start({.recordsPerSnapshot = 10, .retainedRecords = 2, .truncateBatchSize = 100});
    std::string expected;
    for (int i = 0; i < 25; ++i) {
        commit(writer, "r" + std::to_string(i));
        expected += "r" + std::to_string(i) + ";";
    }
    writer.active = true;
    BOOST_REQUIRE(runUntil([&] {
        return rows->objects.size() == 1 && !rows->rows.contains(coordination::recordKey(1));
    }));
    JournalTestEntry &joiner = add({.seedPeers = {"e0"}});
    joiner.faults->down = tableDown;
    rows->objectsDown = objectsDown;
    if (peerCut) {
        network->cut("e0", "e1");
    }
    boost::asio::co_spawn(io, joiner.journal->run(), boost::asio::detached);
    const bool expectReady = !peerCut || (!tableDown && !objectsDown);
    const bool reached = runUntil(
        [&] {
            return joiner.journal->ready();
        },
        expectReady ? 2'000ms : 100ms);
    BOOST_TEST(reached == expectReady);
    BOOST_TEST(log(joiner) == (expectReady ? expected : ""));
    if (expectReady && !tableDown) {
        BOOST_TEST((commit(joiner, "next").status == CommitStatus::Committed));
        BOOST_TEST(converged(expected + "next;"));
    }
}

// Guards against lost records or a stopped journal after faults in the writes of snapshots and truncations.
BOOST_DATA_TEST_CASE_F(JournalFixture, journal_snapshot_faults_lose_no_records,
                       data::make(allFaults) * data::make(allFaults), first, second)
{
    JournalTestEntry &writer = start({.recordsPerSnapshot = 10, .retainedRecords = 2, .truncateBatchSize = 3});
    for (int i = 0; i < 15; ++i) {
        commit(writer, "r" + std::to_string(i));
    }
    const std::string expected = log(writer);
    writer.faults->writes = {first, second};
    writer.active = true;
    BOOST_REQUIRE(runUntil([&] {
        return rows->objects.contains("snapshot/15") && !rows->rows.contains(coordination::recordKey(12));
    }));
    start();
    BOOST_TEST(converged(expected));
    BOOST_TEST(rows->rows.contains(coordination::recordKey(13)));
}

// Guards against a replica that stops advancing because its next records were truncated while it did not reach the
// table.
BOOST_FIXTURE_TEST_CASE(journal_entry_behind_a_truncation_restores_the_snapshot, JournalFixture)
{
    JournalTestEntry &writer = start({.recordsPerSnapshot = 10, .retainedRecords = 2, .truncateBatchSize = 100});
    JournalTestEntry &behind = start();
    network->dropAppends = true;
    commit(writer, "first");
    BOOST_REQUIRE(converged("first;"));
    behind.faults->down = true;
    for (int i = 0; i < 20; ++i) {
        commit(writer, "r" + std::to_string(i));
    }
    writer.active = true;
    BOOST_REQUIRE(runUntil([&] {
        return !rows->rows.contains(coordination::recordKey(2));
    }));
    behind.faults->down = false;
    BOOST_TEST(converged(log(writer)));
}

// Guards against a crash, or a skipped record, caused by a row that another program wrote.
BOOST_DATA_TEST_CASE_F(JournalFixture, journal_stops_at_unreadable_rows_without_a_crash,
                       data::make({"", "{", "[]", "{\"number\":9}",
                                   R"({"number":1,"at_ms":1,"plan":"p","by":"x","events":[7]})"}),
                       text)
{
    JournalTestEntry &entry = start();
    rows->apply({.puts = {{coordination::recordKey(1), text}, {"journal/head", "{\"number\":1}"}}});
    BOOST_TEST((commit(entry, "a").status == CommitStatus::NotCommitted));
    BOOST_TEST(entry.journal->number() == 0u);
}

// Guards against replicas that diverge after an invalid event.
BOOST_FIXTURE_TEST_CASE(journal_invalid_event_is_skipped_everywhere, JournalFixture)
{
    JournalTestEntry &writer = start();
    start();
    auto outcome = std::make_shared<std::optional<CommitOutcome>>();
    Proposal proposal{.id = "p", .events = {state::Tick{}, state::SettingChanged{{"k", "v"}}}};
    boost::asio::co_spawn(io, writer.journal->commit(proposal), [outcome](std::exception_ptr, CommitOutcome result) {
        *outcome = std::move(result);
    });
    BOOST_TEST(converged("v;"));
    BOOST_REQUIRE(outcome->has_value());
    BOOST_TEST((*outcome)->refusals.size() == 1u);
}
