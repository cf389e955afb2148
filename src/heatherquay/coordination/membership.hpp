#pragma once

#include "heatherquay/coordination/authority.hpp"
#include "heatherquay/coordination/contacts.hpp"
#include "heatherquay/coordination/member_list.hpp"
#include "heatherquay/coordination/member_rows.hpp"
#include "heatherquay/coordination/membership_settings.hpp"
#include "heatherquay/coordination/removal_marks.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/peer_network.hpp"
#include "heatherquay/protocol/table.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/rcu_cell.hpp"

#include <atomic>
#include <functional>
#include <random>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

/// Membership protocol of one entry: joins the member list, renews the entry's lease, exchanges gossip with peers, and
/// removes members whose lease has expired.
/// Thread-safe. The executor must have stopped before the membership is destroyed.
/// @tparam T the table that holds the member list and the leases
/// @tparam P the calls to other entries
template<protocol::Table T, protocol::PeerNetwork P>
class Membership
{
public:
    using Clock = std::chrono::steady_clock;
    using GossipContributor = std::function<void(protocol::Gossip &)>;
    using GossipListener = std::function<void(const protocol::Gossip &)>;
    using ListListener = std::function<void(const std::shared_ptr<const MemberList> &)>;

    /// @param table should have its own connections, as a renewal that waits behind other requests lets the lease
    /// expire
    Membership(const boost::asio::any_io_executor &executor, MembershipOptions options, T table, P peers)
        : m_strand(boost::asio::make_strand(executor))
        , m_options(std::move(options))
        , m_table(std::move(table))
        , m_peers(std::move(peers))
        , m_list(std::make_shared<const MemberList>())
        , m_authority(m_options.timing.lease, m_options.pauseThreshold, m_options.clock())
        , m_marks(m_options.self, m_options.timing.lease, observationGapMax())
        , m_incarnation(newIncarnation())
    {
    }

    // Contributors and listeners must be added before start(). They are called on the membership's strand.

    /// Adds a function that adds its fields to the gossip that this entry sends.
    void addContributor(GossipContributor contributor)
    {
        m_contributors.push_back(std::move(contributor));
    }
    /// Adds a listener for the gossip of peers.
    void addListener(GossipListener listener)
    {
        m_gossipListeners.push_back(std::move(listener));
    }
    /// Adds a listener for new versions of the member list.
    void addListListener(ListListener listener)
    {
        m_listListeners.push_back(std::move(listener));
    }

    /// Starts the tick, poll, renewal and gossip loops, which run until stop().
    void start()
    {
        spawn(tickLoop());
        spawn(pollLoop());
        spawn(renewLoop());
        spawn(gossipLoop());
    }
    void stop()
    {
        m_stopped = true;
    }

    /// Announces in the gossip that this entry will leave. The entry stays a member until leave() succeeds.
    void announceLeaving()
    {
        m_leaving = true;
    }

    /// Leaves the member list, with retries for up to @p timeout. mayAct() is false from the call on.
    /// @return whether this entry is no longer in the list
    boost::asio::awaitable<bool> leave(std::chrono::milliseconds timeout)
    {
        co_return co_await boost::asio::co_spawn(m_strand, leaveOnStrand(timeout), boost::asio::use_awaitable);
    }

    std::shared_ptr<const MemberList> members() const
    {
        return m_list.read();
    }
    const state::EntryId &self() const
    {
        return m_options.self;
    }
    /// @return whether this entry may start new work now
    bool mayAct() const
    {
        return m_authority.mayAct(m_options.clock());
    }
    /// @return whether this entry is the first live member by id, which does the background work of the cluster
    bool active() const
    {
        return m_firstLive && mayAct();
    }
    /// @return whether this process is in the member list
    bool joined() const
    {
        return m_joined;
    }

    /// Sets the entries whose VM no longer exists.
    void setTerminated(std::set<state::EntryId> terminated)
    {
        boost::asio::post(m_strand, [this, terminated = std::move(terminated)] {
            m_contacts.setTerminated(terminated);
        });
    }

    /// Handles gossip from a peer. @return the gossip of this entry
    boost::asio::awaitable<protocol::Gossip> onGossip(protocol::Gossip gossip)
    {
        co_return co_await boost::asio::co_spawn(m_strand, handleGossipOnStrand(std::move(gossip)),
                                                 boost::asio::use_awaitable);
    }

    /// Renews the lease of a peer that does not reach the table.
    /// @return whether the renewal succeeded; false also if the outcome is unknown
    boost::asio::awaitable<bool> onRenewFor(protocol::RelayedRenewal renewal)
    {
        co_return co_await boost::asio::co_spawn(m_strand, renewForOnStrand(std::move(renewal)),
                                                 boost::asio::use_awaitable);
    }

private:
    using CommitStatus = protocol::CommitStatus;

    /// A replacement of all entries temporarily doubles the list.
    static constexpr std::uint32_t memberListFactorMax = 2;
    static constexpr int contactWindowRounds = 4;

    static std::uint64_t newIncarnation()
    {
        std::random_device device;
        // JSON implementations that store numbers as doubles keep integers of up to 53 bits exactly.
        constexpr std::uint64_t mask = (std::uint64_t{1} << 53U) - 1;
        return (((std::uint64_t{device()} << 32U) | device()) & mask) + 1;
    }

    /// @return how long an exchange with a peer counts as contact
    std::chrono::milliseconds contactWindow() const
    {
        return std::min(m_options.timing.margin, contactWindowRounds * m_options.timing.gossipInterval);
    }
    /// @return after which time without contact the table counts as unreachable; half a lease, because the entry's own
    /// lease remains valid for at least this long after the start of an outage
    std::chrono::milliseconds unreachableAfter() const
    {
        return m_options.timing.lease / 2;
    }
    /// @return the longest time between two reads of a lease row for which the row counts as observed throughout
    std::chrono::milliseconds observationGapMax() const
    {
        return m_options.pollInterval * 3;
    }

    template<typename R>
    void spawn(boost::asio::awaitable<R> work)
    {
        boost::asio::co_spawn(m_strand, std::move(work), boost::asio::detached);
    }

    /// @return the time since the last contact with the table, or 24 hours if there was none
    std::chrono::milliseconds tableAge() const
    {
        if (m_tableContact == Clock::time_point()) {
            return std::chrono::hours(24);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_options.clock() - m_tableContact);
    }

    // Loops.

    boost::asio::awaitable<void> tickLoop()
    {
        while (!m_stopped) {
            if (m_authority.tick(m_options.clock())) {
                transport::log(transport::LogLevel::Warn, "process-was-paused");
                spawn(renewOnce());
            }
            updateOutageAuthority();
            co_await protocol::waitFor(m_options.tickInterval);
        }
    }

    boost::asio::awaitable<void> pollLoop()
    {
        while (!m_stopped) {
            co_await poll();
            co_await protocol::waitFor(m_joined || m_left ? m_options.pollInterval : m_options.joinPollInterval);
        }
    }

    boost::asio::awaitable<void> renewLoop()
    {
        while (!m_stopped) {
            bool renewed = true;
            if (m_joined) {
                renewed = co_await renewOnce();
            }
            co_await protocol::waitFor(renewed ? m_options.timing.renewInterval : m_options.renewRetryDelay);
        }
    }

    boost::asio::awaitable<void> gossipLoop()
    {
        while (!m_stopped) {
            for (const std::string &address : gossipTargets()) {
                if (m_exchanging.insert(address).second) {
                    spawn(exchangeGossip(address));
                }
            }
            co_await protocol::waitFor(m_options.timing.gossipInterval);
        }
    }

    // Member list and removal.

    /// @return the member list, the entry's own lease, and the leases of members that this entry observes: of all
    /// members if it is the first live member, and otherwise of those that have a removal mark or do not respond
    std::vector<std::string> pollKeys(const MemberList &list) const
    {
        std::vector<std::string> keys{std::string(membersKey), memberLeaseKey(m_options.self)};
        const Clock::time_point since = m_options.clock() - contactWindow();
        for (const Member &member : list.members) {
            const bool observed
                = m_firstLive || m_marks.isMarked(member.id) || !m_contacts.contactedSince(member.id, since);
            if (member.id != m_options.self && observed) {
                keys.push_back(memberLeaseKey(member.id));
            }
        }
        return keys;
    }

    boost::asio::awaitable<void> poll()
    {
        const Clock::time_point sentAt = m_options.clock();
        std::vector<std::string> keys = pollKeys(*members());
        const protocol::ReadResult result = co_await m_table.read(keys);
        if (!result.ok) {
            co_return;
        }
        m_tableContact = m_options.clock();
        std::uint64_t listVersion = 0;
        MemberList list;
        try {
            for (const protocol::Row &row : result.rows) {
                if (row.key == membersKey) {
                    list = parseMembers(row.value);
                    listVersion = row.version;
                }
            }
        } catch (const Error &error) {
            transport::log(transport::LogLevel::Error, "members-unreadable", {{"reason", error.what()}});
            co_return;
        }
        adopt(list);
        if (list.version < members()->version) {
            co_return;
        }
        observe(list, keys, result.rows, sentAt);
        co_await removeExpired(list, listVersion);
        if (!m_left && findMember(list, m_options.self) == nullptr) {
            co_await join(list, listVersion, versionOf(result.rows, memberLeaseKey(m_options.self)));
        }
    }

    static std::uint64_t versionOf(const std::vector<protocol::Row> &rows, const std::string &key)
    {
        for (const protocol::Row &row : rows) {
            if (row.key == key) {
                return row.version;
            }
        }
        return 0;
    }

    void adopt(const MemberList &list)
    {
        if (list.version <= members()->version) {
            return;
        }
        const auto adopted = std::make_shared<const MemberList>(list);
        m_list.replace(adopted);
        m_marks.prune(list);
        const Member *self = findMember(list, m_options.self);
        const bool inList = self != nullptr && self->incarnation == m_incarnation;
        if (m_joined && !inList) {
            m_authority.revoke();
            m_incarnation = newIncarnation();
            m_leaseVersion.reset();
            transport::log(transport::LogLevel::Warn, "removed-from-members",
                           {{"version", std::to_string(list.version)}});
        }
        m_joined = inList;
        updateFirstLive();
        for (const ListListener &listener : m_listListeners) {
            listener(adopted);
        }
    }

    void observe(const MemberList &list, const std::vector<std::string> &keys, const std::vector<protocol::Row> &rows,
                 Clock::time_point sentAt)
    {
        for (const Member &member : list.members) {
            const std::string key = memberLeaseKey(member.id);
            const bool ownProcess = member.id == m_options.self && member.incarnation == m_incarnation;
            if (!ownProcess && std::find(keys.begin(), keys.end(), key) != keys.end()) {
                m_marks.observe(member, versionOf(rows, key), sentAt, m_options.clock());
            }
        }
    }

    /// Counts the entries that support the removal: this entry and those that have held its mark for a whole contact
    /// window. By then, exchanges between the marked member and these entries before the mark no longer count as
    /// contact.
    std::size_t supportersOf(const protocol::RemovalMark &mark, const MemberList &list) const
    {
        const Clock::time_point now = m_options.clock();
        std::size_t supporters = 1;
        for (const Member &member : list.members) {
            const auto acknowledged = m_acknowledged.find({mark.entry, member.id});
            const bool supports = member.id != m_options.self && member.id != mark.entry
                && !m_contacts.isTerminated(member.id) && acknowledged != m_acknowledged.end()
                && acknowledged->second.incarnation == mark.incarnation
                && now - acknowledged->second.since >= contactWindow()
                && m_contacts.contactedSince(member.id, now - contactWindow());
            supporters += supports ? 1 : 0;
        }
        return supporters;
    }

    /// Removes at most one member: one whose lease has expired, if a majority supports the removal.
    boost::asio::awaitable<void> removeExpired(MemberList list, std::uint64_t listVersion)
    {
        for (const protocol::RemovalMark &mark : m_marks.all()) {
            const std::optional<std::uint64_t> leaseVersion = m_marks.observedVersion(mark.entry);
            const bool expired = mark.origin == m_options.self && leaseVersion
                && m_marks.unchangedFor(mark.entry) >= m_options.timing.lease + m_options.timing.margin;
            if (!expired || supportersOf(mark, list) < m_contacts.majority(list)) {
                continue;
            }
            const MemberList next = withoutMember(list, mark.entry);
            protocol::Transaction transaction;
            transaction.conditions.push_back({.key = std::string(membersKey), .version = listVersion});
            transaction.conditions.push_back({.key = memberLeaseKey(mark.entry), .version = *leaseVersion});
            transaction.puts.push_back({.key = std::string(membersKey), .value = encodeMembers(next)});
            transaction.deletes.push_back(memberLeaseKey(mark.entry));
            const protocol::CommitResult result = co_await m_table.transact(std::move(transaction));
            // If the removal fails, the next poll reads the list again.
            if (result.status == CommitStatus::Committed) {
                transport::log(transport::LogLevel::Warn, "member-removed", {{"member", mark.entry.value}});
                adopt(next);
            }
            co_return;
        }
    }

    boost::asio::awaitable<void> join(MemberList list, std::uint64_t listVersion, std::uint64_t leaseVersion)
    {
        if (list.members.size() >= memberListFactorMax * m_options.timing.entriesMax) {
            transport::log(transport::LogLevel::Error, "member-list-full",
                           {{"members", std::to_string(list.members.size())}});
            co_return;
        }
        const MemberList next = withMember(
            list, {.id = m_options.self, .incarnation = m_incarnation, .peerAddress = m_options.peerAddress});
        protocol::Transaction transaction;
        transaction.conditions.push_back({.key = std::string(membersKey), .version = listVersion});
        transaction.conditions.push_back({.key = memberLeaseKey(m_options.self), .version = leaseVersion});
        transaction.puts.push_back({.key = std::string(membersKey), .value = encodeMembers(next)});
        transaction.puts.push_back({.key = memberLeaseKey(m_options.self),
                                    .value = encodeLease({.incarnation = m_incarnation, .sequence = ++m_sequence})});
        const Clock::time_point sentAt = m_options.clock();
        const protocol::CommitResult result = co_await m_table.transact(std::move(transaction));
        if (result.status == CommitStatus::Committed) {
            m_leaseVersion = result.version;
            adopt(next);
            recordRenewal(sentAt);
            transport::log(transport::LogLevel::Info, "member-joined", {{"version", std::to_string(next.version)}});
        }
    }

    boost::asio::awaitable<bool> leaveOnStrand(std::chrono::milliseconds timeout)
    {
        m_leaving = true;
        m_left = true;
        m_authority.revoke();
        const Clock::time_point deadline = Clock::now() + timeout;
        while (Clock::now() < deadline) {
            if (co_await leaveOnce()) {
                m_joined = false;
                co_return true;
            }
            co_await protocol::waitFor(m_options.renewRetryDelay);
        }
        co_return false;
    }

    boost::asio::awaitable<bool> leaveOnce()
    {
        const protocol::ReadResult result = co_await m_table.read(std::vector<std::string>(1, std::string(membersKey)));
        if (!result.ok) {
            co_return false;
        }
        if (result.rows.empty()) {
            co_return true;
        }
        MemberList next;
        try {
            const MemberList list = parseMembers(result.rows.front().value);
            const Member *self = findMember(list, m_options.self);
            if (self == nullptr || self->incarnation != m_incarnation) {
                co_return true;
            }
            next = withoutMember(list, m_options.self);
        } catch (const Error &error) {
            transport::log(transport::LogLevel::Error, "members-unreadable", {{"reason", error.what()}});
            co_return false;
        }
        protocol::Transaction transaction;
        transaction.conditions.push_back({.key = std::string(membersKey), .version = result.rows.front().version});
        transaction.puts.push_back({.key = std::string(membersKey), .value = encodeMembers(next)});
        transaction.deletes.push_back(memberLeaseKey(m_options.self));
        const protocol::CommitResult written = co_await m_table.transact(std::move(transaction));
        co_return written.status == CommitStatus::Committed;
    }

    // Lease.

    /// Extends the lease after a renewal that was sent at @p sentAt.
    /// @return false if the entry was removed, began to leave, or was paused in the meantime; the lease is then not
    /// extended
    bool recordRenewal(Clock::time_point sentAt)
    {
        const bool valid = m_joined && !m_left && sentAt >= m_authority.earliestSendTime();
        if (valid) {
            m_authority.extendLease(sentAt);
        }
        return valid;
    }

    /// Renews the lease in the table or, if that fails, through a peer.
    /// @return whether the renewal succeeded; true also if none is needed or another one is running
    boost::asio::awaitable<bool> renewOnce()
    {
        if (m_renewing || !m_joined || m_left) {
            co_return true;
        }
        m_renewing = true;
        bool renewed = co_await renewInTable();
        if (!renewed && m_joined && !m_left) {
            renewed = co_await renewThroughPeers();
        }
        m_renewing = false;
        co_return renewed;
    }

    boost::asio::awaitable<bool> renewInTable()
    {
        const std::uint64_t incarnation = m_incarnation;
        if (!m_leaseVersion && !co_await readLease(0, Clock::time_point())) {
            co_return false;
        }
        if (!m_leaseVersion) {
            co_return false;
        }
        const std::uint64_t sequence = ++m_sequence;
        protocol::Transaction transaction;
        transaction.conditions.push_back({.key = memberLeaseKey(m_options.self), .version = *m_leaseVersion});
        transaction.puts.push_back({.key = memberLeaseKey(m_options.self),
                                    .value = encodeLease({.incarnation = incarnation, .sequence = sequence})});
        const Clock::time_point sentAt = m_options.clock();
        const protocol::CommitResult result = co_await m_table.transact(std::move(transaction));
        if (incarnation != m_incarnation) {
            co_return false;
        }
        switch (result.status) {
        case CommitStatus::Committed:
            m_tableContact = m_options.clock();
            m_leaseVersion = result.version;
            co_return recordRenewal(sentAt);
        case CommitStatus::Conflict:
        case CommitStatus::Unknown:
            m_leaseVersion.reset();
            co_return co_await readLease(sequence, sentAt);
        case CommitStatus::NotCommitted:
            break;
        }
        co_return false;
    }

    /// Reads the lease row of this entry, to get its version or to find out whether a renewal took effect.
    /// @param sequence the sequence number of a renewal with an unknown outcome, or 0 if there is none
    /// @param sentAt when that renewal was sent
    /// @return whether the renewal took effect or, if @p sequence is 0, whether the row could be read
    boost::asio::awaitable<bool> readLease(std::uint64_t sequence, Clock::time_point sentAt)
    {
        const std::uint64_t incarnation = m_incarnation;
        const protocol::ReadResult result
            = co_await m_table.read(std::vector<std::string>(1, memberLeaseKey(m_options.self)));
        if (!result.ok || incarnation != m_incarnation || result.rows.empty()) {
            co_return false;
        }
        m_tableContact = m_options.clock();
        try {
            const MemberLease lease = parseLease(result.rows.front().value);
            if (lease.incarnation != incarnation) {
                co_return false;
            }
            m_leaseVersion = result.rows.front().version;
            if (sequence == 0) {
                co_return true;
            }
            if (lease.sequence == sequence) {
                co_return recordRenewal(sentAt);
            }
        } catch (const Error &error) {
            transport::log(transport::LogLevel::Error, "lease-unreadable", {{"reason", error.what()}});
        }
        co_return false;
    }

    boost::asio::awaitable<bool> renewThroughPeers()
    {
        const auto list = members();
        const std::uint64_t incarnation = m_incarnation;
        for (const Member &member : list->members) {
            const Contacts::Contact *contact = m_contacts.find(member.id);
            const bool reachesTable = contact != nullptr && contact->gossip.tableAge < unreachableAfter()
                && contact->startedAt >= m_options.clock() - contactWindow();
            if (member.id == m_options.self || !reachesTable) {
                continue;
            }
            const Clock::time_point sentAt = m_options.clock();
            const protocol::RelayedRenewal renewal{
                .entry = m_options.self, .incarnation = incarnation, .sequence = ++m_sequence};
            const bool renewed = co_await m_peers.renewFor(member.peerAddress, renewal);
            m_leaseVersion.reset();
            if (incarnation != m_incarnation) {
                co_return false;
            }
            if (renewed) {
                co_return recordRenewal(sentAt);
            }
        }
        co_return false;
    }

    boost::asio::awaitable<bool> renewForOnStrand(protocol::RelayedRenewal renewal)
    {
        const std::string key = memberLeaseKey(renewal.entry);
        const protocol::ReadResult result = co_await m_table.read(std::vector<std::string>(1, key));
        if (!result.ok || result.rows.empty()) {
            co_return false;
        }
        try {
            const MemberLease lease = parseLease(result.rows.front().value);
            if (lease.incarnation != renewal.incarnation || lease.sequence >= renewal.sequence) {
                co_return false;
            }
        } catch (const Error &) {
            co_return false;
        }
        protocol::Transaction transaction;
        transaction.conditions.push_back({.key = key, .version = result.rows.front().version});
        transaction.puts.push_back(
            {.key = key, .value = encodeLease({.incarnation = renewal.incarnation, .sequence = renewal.sequence})});
        const protocol::CommitResult written = co_await m_table.transact(std::move(transaction));
        co_return written.status == CommitStatus::Committed;
    }

    /// Grants or revokes the authority to act during an outage of the table.
    void updateOutageAuthority()
    {
        const auto list = members();
        const Member *self = findMember(*list, m_options.self);
        if (!m_joined || m_left || self == nullptr || tableAge() < unreachableAfter()) {
            m_authority.setOutageAuthorityUntil({});
            return;
        }
        const Contacts::OutageQuery query{.list = *list,
                                          .self = *self,
                                          .since = m_authority.earliestSendTime(),
                                          .window = contactWindow(),
                                          .unreachableAfter = unreachableAfter()};
        m_authority.setOutageAuthorityUntil(m_contacts.outageAuthorityUntil(query, m_options.clock()));
    }

    // Gossip.

    /// @return the addresses of the other members and, until this entry has joined, of the seeds
    std::set<std::string> gossipTargets() const
    {
        std::set<std::string> targets;
        const auto list = members();
        for (const Member &member : list->members) {
            if (member.id != m_options.self) {
                targets.insert(member.peerAddress);
            }
        }
        if (!m_joined) {
            for (const state::PeerSettings &seed : m_options.seeds) {
                if (seed.id != m_options.self) {
                    targets.insert(seed.address);
                }
            }
        }
        return targets;
    }

    boost::asio::awaitable<void> exchangeGossip(std::string address)
    {
        const Clock::time_point startedAt = m_options.clock();
        std::optional<protocol::Gossip> reply = co_await m_peers.gossip(address, makeGossip(m_knownVersions[address]));
        m_exchanging.erase(address);
        if (!reply || reply->from == m_options.self) {
            co_return;
        }
        m_knownVersions[address] = reply->memberVersion;
        updateAcknowledgements(*reply);
        handleGossip(*reply);
        m_contacts.recordExchange(startedAt, std::move(*reply));
        updateFirstLive();
        updateOutageAuthority();
    }

    /// @param knownVersion the version of the member list that the receiver has; a later list is included
    protocol::Gossip makeGossip(std::uint64_t knownVersion) const
    {
        protocol::Gossip gossip;
        const auto list = members();
        gossip.from = m_options.self;
        gossip.incarnation = m_incarnation;
        gossip.memberVersion = list->version;
        gossip.tableAge = tableAge();
        gossip.leaving = m_leaving;
        gossip.removing = m_marks.all();
        if (knownVersion < list->version) {
            gossip.members = encodeMembers(*list);
        }
        for (const GossipContributor &contributor : m_contributors) {
            contributor(gossip);
        }
        return gossip;
    }

    boost::asio::awaitable<protocol::Gossip> handleGossipOnStrand(protocol::Gossip gossip)
    {
        const std::uint64_t knownVersion = gossip.memberVersion;
        handleGossip(gossip);
        co_return makeGossip(knownVersion);
    }

    void handleGossip(const protocol::Gossip &gossip)
    {
        if (!gossip.members.empty() && gossip.memberVersion > members()->version) {
            try {
                adopt(parseMembers(gossip.members));
            } catch (const Error &error) {
                transport::log(transport::LogLevel::Error, "gossip-unreadable", {{"reason", error.what()}});
            }
        }
        m_marks.adopt(gossip, *members());
        for (const GossipListener &listener : m_gossipListeners) {
            listener(gossip);
        }
    }

    /// Records which removal marks of this entry the sender holds, and since when.
    void updateAcknowledgements(const protocol::Gossip &reply)
    {
        std::erase_if(m_acknowledged, [&](const auto &item) {
            const protocol::RemovalMark mark{item.first.first, item.second.incarnation, m_options.self};
            const bool held = std::find(reply.removing.begin(), reply.removing.end(), mark) != reply.removing.end();
            return item.first.second == reply.from && !held;
        });
        for (const protocol::RemovalMark &mark : reply.removing) {
            if (mark.origin == m_options.self) {
                m_acknowledged.try_emplace({mark.entry, reply.from},
                                           Acknowledgement{mark.incarnation, m_options.clock()});
            }
        }
    }

    /// Determines whether this entry is the first live member. Members that announce leaving do not count as live.
    void updateFirstLive()
    {
        const auto list = members();
        const Clock::time_point since = m_options.clock() - contactWindow();
        for (const Member &member : list->members) {
            const Contacts::Contact *contact = m_contacts.find(member.id);
            const bool live = contact != nullptr && contact->startedAt >= since && !contact->gossip.leaving
                && contact->gossip.incarnation == member.incarnation;
            if (member.id == m_options.self || live) {
                m_firstLive = member.id == m_options.self;
                return;
            }
        }
        m_firstLive = false;
    }

    /// A removal mark of this entry that a peer holds, and since when this entry knows that.
    struct Acknowledgement
    {
        std::uint64_t incarnation{};
        Clock::time_point since;
    };

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    MembershipOptions m_options;
    T m_table;
    P m_peers;
    transport::RcuCell<MemberList> m_list;
    Authority m_authority;
    Contacts m_contacts;
    RemovalMarks m_marks;
    std::vector<GossipContributor> m_contributors;
    std::vector<GossipListener> m_gossipListeners;
    std::vector<ListListener> m_listListeners;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence{};
    std::optional<std::uint64_t> m_leaseVersion; ///< Version of the lease row, if known.
    Clock::time_point m_tableContact;
    std::set<std::string> m_exchanging; ///< Addresses of peers with an exchange in progress.
    std::map<std::string, std::uint64_t> m_knownVersions; ///< Member list versions of the peers, by address.
    /// By marked entry and acknowledging peer.
    std::map<std::pair<state::EntryId, state::EntryId>, Acknowledgement> m_acknowledged;
    bool m_renewing{};
    std::atomic<bool> m_joined{};
    std::atomic<bool> m_firstLive{};
    std::atomic<bool> m_leaving{};
    std::atomic<bool> m_left{};
    std::atomic<bool> m_stopped{};
};

} // namespace heatherquay::coordination
