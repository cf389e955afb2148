#include "coordination/fake_peers.hpp"
#include "coordination/fake_table.hpp"
#include "heatherquay/coordination/membership.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace heatherquay::testing
{

using TestMembership = coordination::Membership<FakeTable, FakePeers>;
using coordination::MembershipOptions;

/// An entry with a membership and a clock that a test can shift.
struct MembershipTestEntry
{
    std::string address;
    std::chrono::steady_clock::duration clockOffset{};

    std::shared_ptr<TableFaults> faults = std::make_shared<TableFaults>();
    std::unique_ptr<TestMembership> membership;
    int listsAdopted{};

    bool mayAct() const
    {
        return membership->mayAct();
    }
};

/// Entries that share a table and a network. All run in the thread of the test, with times of about a twentieth of the
/// defaults.
struct MembershipFixture
{
    boost::asio::io_context io;
    std::shared_ptr<TableRows> rows = std::make_shared<TableRows>();
    std::shared_ptr<FakeNetwork> network = std::make_shared<FakeNetwork>();
    std::vector<std::unique_ptr<MembershipTestEntry>> entries;
    /// The clock of the entries. It advances by at most 3 ms per step, so that the entries do not take a stall of the
    /// test process for a pause of their own.
    std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();

    /// Creates an entry without starting it; the earlier entries are its seeds.
    MembershipTestEntry &add(const std::string &id)
    {
        auto entry = std::make_unique<MembershipTestEntry>();
        MembershipTestEntry *raw = entry.get();
        entry->address = id;
        MembershipOptions options;
        options.self = {id};
        options.peerAddress = id;
        options.timing
            = {.renewInterval = 100ms, .lease = 300ms, .margin = 100ms, .gossipInterval = 25ms, .entriesMax = 5};
        options.pollInterval = 50ms;
        options.joinPollInterval = 12ms;
        options.renewRetryDelay = 12ms;
        options.tickInterval = 5ms;
        options.pauseThreshold = 80ms;
        options.clock = [this, raw] {
            return now + raw->clockOffset;
        };
        for (const auto &other : entries) {
            options.seeds.push_back({.id = {other->address}, .address = other->address});
        }
        entry->membership = std::make_unique<TestMembership>(io.get_executor(), options, FakeTable(rows, entry->faults),
                                                             FakePeers(network, id));
        entry->membership->addListListener([raw](const auto &) {
            ++raw->listsAdopted;
        });
        network->handlers[id].gossip = [raw](protocol::Gossip gossip) {
            return raw->membership->onGossip(std::move(gossip));
        };
        network->handlers[id].renewFor = [raw](protocol::RelayedRenewal renewal) {
            return raw->membership->onRenewFor(std::move(renewal));
        };
        entries.push_back(std::move(entry));
        return *raw;
    }

    MembershipTestEntry &start(const std::string &id)
    {
        MembershipTestEntry &entry = add(id);
        entry.membership->start();
        return entry;
    }

    /// Runs the event loop until @p done returns true. @return whether it did within @p timeout of the entries' clock
    template<typename F>
    bool runUntil(F done, std::chrono::milliseconds timeout = 2s)
    {
        const auto deadline = now + timeout;
        auto real = std::chrono::steady_clock::now();
        while (!done() && now < deadline) {
            io.restart();
            io.run_for(1ms);
            const auto reached = std::chrono::steady_clock::now();
            now += std::min<std::chrono::steady_clock::duration>(reached - real, 3ms);
            real = reached;
        }
        return done();
    }
    void runFor(std::chrono::milliseconds duration)
    {
        runUntil(
            [] {
                return false;
            },
            duration);
    }

    /// Starts three entries and waits until all of them are members and have exchanged gossip.
    void startThreeEntries()
    {
        start("e0");
        start("e1");
        start("e2");
        BOOST_REQUIRE(waitForMembers(3));
        runFor(60ms);
    }

    /// @return whether all entries may act and have a list of @p members members within the default timeout
    bool waitForMembers(std::size_t members)
    {
        return runUntil([&] {
            return std::all_of(entries.begin(), entries.end(), [&](const auto &entry) {
                return entry->membership->members()->members.size() == members && entry->mayAct();
            });
        });
    }

    std::size_t listSize(std::size_t entry) const
    {
        return entries[entry]->membership->members()->members.size();
    }

    /// Cuts the links of an entry to the table and to all other entries.
    void isolate(MembershipTestEntry &entry)
    {
        entry.faults->dropsRequests = true;
        for (const std::string &other : network->others(entry.address)) {
            network->cut(entry.address, other);
        }
    }
    /// Restores the access of an entry to the table, and all links between entries.
    void heal(MembershipTestEntry &entry)
    {
        entry.faults->dropsRequests = false;
        network->cutLinks.clear();
    }
};

} // namespace heatherquay::testing

using namespace heatherquay;
using namespace heatherquay::testing;
namespace data = boost::unit_test::data;

// Guards against entries that adopt different lists, and against two active entries.
BOOST_FIXTURE_TEST_CASE(membership_entries_join_and_agree_on_the_list, MembershipFixture)
{
    startThreeEntries();
    BOOST_TEST(entries[0]->membership->active());
    BOOST_TEST(!entries[1]->membership->active());
    BOOST_TEST(entries[2]->membership->members()->version == entries[0]->membership->members()->version);
}

// Guards against an entry that does not join, or joins twice, after faults in its write to the member list.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_join_survives_faults,
                       data::make(allFaults) * data::make(allFaults), first, second)
{
    start("e0");
    BOOST_REQUIRE(waitForMembers(1));
    MembershipTestEntry &joiner = add("e1");
    joiner.faults->writes = {first, second};
    joiner.membership->start();
    BOOST_TEST(waitForMembers(2));
    // The second fault may affect the first renewal instead of the join.
    BOOST_TEST(runUntil([&] {
        return joiner.faults->faultsInjected == 2;
    }));
    runFor(60ms);
    BOOST_TEST(listSize(0) == 2u);
}

// Guards against a lease that expires, or counts as renewed without being so, after faults in the renewals.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_renewal_survives_faults,
                       data::make(allFaults) * data::make(allFaults), first, second)
{
    startThreeEntries();
    entries[1]->faults->writes = {first, second};
    const std::uint64_t version = entries[0]->membership->members()->version;
    bool alwaysMayAct = true;
    runUntil(
        [&] {
            alwaysMayAct = alwaysMayAct && entries[1]->mayAct();
            return false;
        },
        350ms);
    BOOST_TEST(entries[1]->faults->faultsInjected == 2);
    BOOST_TEST(alwaysMayAct);
    BOOST_TEST(entries[0]->membership->members()->version == version);
}

// Guards against a member that may still act after its removal, which would let two entries use the same capacity, and
// against an unreachable member that is never removed.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_removal_survives_faults,
                       data::make(allFaults) * data::make(allFaults), first, second)
{
    startThreeEntries();
    isolate(*entries[2]);
    for (int i = 0; i < 2; ++i) {
        entries[i]->faults->keyPrefix = "members";
        entries[i]->faults->writes = {first, second};
    }
    bool overlapped = false;
    BOOST_TEST(runUntil([&] {
        overlapped = overlapped || (listSize(0) == 2 && entries[2]->mayAct());
        return listSize(0) == 2 && listSize(1) == 2;
    }));
    BOOST_TEST(!overlapped);
    heal(*entries[2]);
    BOOST_TEST(waitForMembers(3));
}

// Guards against a member that stays in the list after it has left, when its writes to the list have faults.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_leave_survives_faults,
                       data::make(allFaults) * data::make(allFaults), first, second)
{
    startThreeEntries();
    entries[1]->faults->keyPrefix = "members";
    entries[1]->faults->writes = {first, second};
    std::optional<bool> left;
    boost::asio::co_spawn(io, entries[1]->membership->leave(1s), [&](std::exception_ptr, bool result) {
        left = result;
    });
    BOOST_TEST(runUntil([&] {
        return left.has_value();
    }));
    BOOST_TEST(left.value_or(false));
    BOOST_TEST(!entries[1]->mayAct());
    runFor(60ms);
    BOOST_TEST(listSize(0) == 2u);
    BOOST_TEST(!rows->rows.contains("member/e1"));
}

// Guards against work that a process starts directly after a pause, before it has detected the pause.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_paused_entry_may_not_act_until_renewed, data::make({false, true}),
                       tableDown)
{
    startThreeEntries();
    if (tableDown) {
        for (const auto &entry : entries) {
            entry->faults->down = true;
        }
        runFor(400ms);
        BOOST_REQUIRE(entries[1]->mayAct());
    }
    entries[1]->clockOffset += 90ms;
    BOOST_TEST(!entries[1]->mayAct());
    network->cut("e1", "e0");
    network->cut("e1", "e2");
    entries[1]->faults->down = true;
    runFor(60ms);
    BOOST_TEST(!entries[1]->mayAct());
    network->cutLinks.clear();
    entries[1]->faults->down = tableDown;
    BOOST_TEST(runUntil(
        [&] {
            return entries[1]->mayAct();
        },
        300ms));
}

// Guards against an entry that may act after a pause because of a renewal that was sent before the pause.
BOOST_AUTO_TEST_CASE(authority_ignores_a_renewal_sent_before_a_pause)
{
    using Clock = coordination::Authority::Clock;
    const Clock::time_point begin = Clock::now();
    coordination::Authority authority(6'000ms, 1'000ms, begin);
    authority.extendLease(begin);
    BOOST_TEST(authority.mayAct(begin + 900ms));
    BOOST_TEST(!authority.mayAct(begin + 1'500ms));
    BOOST_TEST(authority.tick(begin + 1'500ms));
    authority.extendLease(begin + 800ms);
    BOOST_TEST(!authority.mayAct(begin + 1'600ms));
    authority.extendLease(begin + 1'500ms);
    BOOST_TEST(authority.mayAct(begin + 1'600ms));
}

// Guards against entries that stop acting, or remove members, during an outage of the table.
BOOST_FIXTURE_TEST_CASE(membership_majority_keeps_acting_during_an_outage, MembershipFixture)
{
    startThreeEntries();
    for (const auto &entry : entries) {
        entry->faults->down = true;
    }
    bool stopped = false;
    runUntil(
        [&] {
            for (const auto &entry : entries) {
                stopped = stopped || !entry->mayAct();
            }
            return stopped;
        },
        800ms);
    BOOST_TEST(!stopped);
    network->cut("e2", "e0");
    network->cut("e2", "e1");
    runFor(150ms);
    BOOST_TEST(!entries[2]->mayAct());
    BOOST_TEST((entries[0]->mayAct() && entries[1]->mayAct()));
    network->cutLinks.clear();
    for (const auto &entry : entries) {
        entry->faults->down = false;
    }
    runFor(500ms);
    BOOST_TEST(listSize(0) == 3u);
    BOOST_TEST(waitForMembers(3));
}

// Guards against an entry that acts without a lease while its peers reach the table; one of them has to renew the lease
// for it.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_entry_without_the_table_acts_only_on_relayed_renewals,
                       data::make({false, true}), relayWorks)
{
    startThreeEntries();
    entries[2]->faults->dropsRequests = true;
    if (!relayWorks) {
        for (auto &[address, handler] : network->handlers) {
            handler.renewFor = nullptr;
        }
    }
    runFor(600ms);
    BOOST_TEST(entries[2]->mayAct() == relayWorks);
    BOOST_TEST((entries[0]->mayAct() && entries[1]->mayAct()));
}

// Guards against the removal of members by a minority that still reaches the table.
BOOST_FIXTURE_TEST_CASE(membership_minority_with_the_table_removes_nobody, MembershipFixture)
{
    startThreeEntries();
    for (int i = 1; i < 3; ++i) {
        entries[i]->faults->dropsRequests = true;
    }
    network->cut("e0", "e1");
    network->cut("e0", "e2");
    runFor(900ms);
    BOOST_TEST(listSize(0) == 3u);
    BOOST_TEST(entries[1]->mayAct());
    BOOST_TEST(entries[2]->mayAct());
}

// Guards against a removed member that acts without the table, supported by a majority that does not know of its
// removal. The entry that removes it loses its links to the others at various times around the removal.
BOOST_DATA_TEST_CASE_F(MembershipFixture, membership_removed_entry_never_acts_after_the_removal,
                       data::xrange(300, 560, 20), cutAfterMs)
{
    startThreeEntries();
    // e2 reaches only e1, e1 does not reach the table, and e0 reaches the table and observes that the lease of e2
    // expires.
    entries[2]->faults->dropsRequests = true;
    entries[1]->faults->dropsRequests = true;
    network->cut("e2", "e0");
    for (auto &[address, handler] : network->handlers) {
        handler.renewFor = nullptr;
    }
    runFor(std::chrono::milliseconds(cutAfterMs));
    network->cut("e0", "e1");
    bool overlapped = false;
    runUntil(
        [&] {
            const bool removed = coordination::parseMembers(rows->rows.at("members").value).members.size() == 2;
            overlapped = overlapped || (removed && entries[2]->mayAct());
            return overlapped;
        },
        700ms);
    BOOST_TEST(!overlapped);
}

// Guards against a cluster that does not form again after all its processes crashed without leaving.
BOOST_FIXTURE_TEST_CASE(membership_restarted_entries_replace_their_old_incarnations, MembershipFixture)
{
    coordination::MemberList previous{.version = 7, .members = {}};
    for (const char *id : {"e0", "e1", "e2"}) {
        previous.members.push_back({.id = {id}, .incarnation = 1, .peerAddress = id});
        rows->apply({.puts = {{coordination::memberLeaseKey({id}), coordination::encodeLease({1, 9})}}});
    }
    rows->apply({.puts = {{"members", coordination::encodeMembers(previous)}}});
    start("e0");
    start("e1");
    start("e2");
    runFor(300ms);
    BOOST_TEST(!entries[0]->mayAct());
    BOOST_TEST(waitForMembers(3));
}

// Guards against a majority that counts entries whose VM no longer exists.
BOOST_FIXTURE_TEST_CASE(membership_terminated_vms_do_not_count_in_the_majority, MembershipFixture)
{
    startThreeEntries();
    isolate(*entries[1]);
    isolate(*entries[2]);
    runFor(600ms);
    BOOST_TEST(listSize(0) == 3u);
    entries[0]->membership->setTerminated({{"e1"}, {"e2"}});
    BOOST_TEST(runUntil([&] {
        return listSize(0) == 1;
    }));
}

// Guards against a cluster without an active entry after the first member has become unreachable.
BOOST_FIXTURE_TEST_CASE(membership_next_live_member_becomes_active, MembershipFixture)
{
    startThreeEntries();
    isolate(*entries[0]);
    BOOST_TEST(runUntil(
        [&] {
            return entries[1]->membership->active();
        },
        200ms));
    BOOST_TEST(!entries[2]->membership->active());
}

// Guards against malformed rows that are parsed without an error.
BOOST_DATA_TEST_CASE(member_rows_that_are_malformed_are_errors,
                     data::make({"", "[]", "{}", R"({"version":-1,"members":[]})", R"({"version":1,"members":[{}]})"}),
                     text)
{
    BOOST_CHECK_THROW(coordination::parseMembers(text), Error);
    BOOST_CHECK_THROW(coordination::parseLease(text), Error);
}
