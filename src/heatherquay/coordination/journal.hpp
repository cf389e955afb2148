#pragma once

#include "heatherquay/coordination/async_mutex.hpp"
#include "heatherquay/coordination/journal_record.hpp"
#include "heatherquay/coordination/journal_settings.hpp"
#include "heatherquay/coordination/replica.hpp"
#include "heatherquay/protocol/backoff.hpp"
#include "heatherquay/protocol/object_store.hpp"
#include "heatherquay/protocol/peer_network.hpp"
#include "heatherquay/protocol/table.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

/// Replicated log: commits proposals as records in the table and applies all records in order to a state machine.
/// Thread-safe. The executor must have stopped before the journal is destroyed.
/// @tparam T the table that holds the records
/// @tparam S the object store that holds the snapshots
/// @tparam P the calls to the journals of other entries
/// @tparam M the state machine
template<protocol::Table T, protocol::ObjectStore S, protocol::PeerNetwork P, StateMachine M>
class Journal
{
public:
    using Listener = std::function<void(const AppliedRecord &)>;

    Journal(const boost::asio::any_io_executor &executor, JournalSettings settings, T table, S objects, P peers,
            EventCodec codec, JournalHooks hooks, M initial)
        : m_strand(boost::asio::make_strand(executor))
        , m_settings(std::move(settings))
        , m_table(std::move(table))
        , m_objects(std::move(objects))
        , m_peers(std::move(peers))
        , m_codec(std::move(codec))
        , m_hooks(std::move(hooks))
        , m_replica(std::move(initial))
        , m_pollTimer(m_strand)
    {
    }

    /// Adds a listener that is called for each applied record, in order, on the journal's strand. Must be called before
    /// run().
    void addListener(Listener listener)
    {
        m_listeners.push_back(std::move(listener));
    }

    /// Loads the state, then applies new records and writes snapshots until stop().
    boost::asio::awaitable<void> run()
    {
        co_await boost::asio::co_spawn(m_strand, runOnStrand(), boost::asio::use_awaitable);
    }

    /// Makes run() return and ends the retries of pending commits.
    void stop()
    {
        m_stopped = true;
        boost::asio::post(m_strand, [this] {
            m_pollTimer.cancel();
        });
    }

    /// Commits the proposal as the next record, waiting up to the commit timeout of the settings.
    boost::asio::awaitable<CommitOutcome> commit(Proposal proposal)
    {
        co_return co_await boost::asio::co_spawn(m_strand, commitOnStrand(std::move(proposal)),
                                                 boost::asio::use_awaitable);
    }

    /// Calls @p reader with the state machine; no record is applied during the call.
    template<typename F>
    auto read(F &&reader) const
    {
        return m_replica.read(std::forward<F>(reader));
    }

    /// @return the number of the last record applied
    std::uint64_t number() const
    {
        return m_replica.number();
    }
    /// @return whether the state has been loaded
    bool ready() const
    {
        return m_ready;
    }
    /// @return the number of the record with the proposal id @p id, if it is among the recent ids
    std::optional<std::uint64_t> find(const std::string &id) const
    {
        return m_replica.find(id);
    }

    /// Applies records pushed by a peer. @return the number of the last record applied
    boost::asio::awaitable<std::uint64_t> onAppend(std::vector<protocol::JournalRecord> records)
    {
        co_return co_await boost::asio::co_spawn(m_strand, appendOnStrand(std::move(records)),
                                                 boost::asio::use_awaitable);
    }

    /// Handles a peer's request for the records from @p from on.
    /// @return the records, or a snapshot if some of them are no longer in memory; empty if there are none
    boost::asio::awaitable<protocol::FetchReply> onFetch(std::uint64_t from)
    {
        co_return co_await boost::asio::co_spawn(m_strand, fetchOnStrand(from), boost::asio::use_awaitable);
    }

    /// Fetches records from a peer that has later ones, which keeps the state up to date while the table is down.
    void onGossip(const protocol::Gossip &gossip)
    {
        if (!m_ready || gossip.journalNumber <= number()) {
            return;
        }
        boost::asio::co_spawn(m_strand, fetchFrom(gossip.from, gossip.journalNumber), boost::asio::detached);
    }

private:
    using Clock = std::chrono::steady_clock;
    using CommitStatus = protocol::CommitStatus;

    static constexpr std::uint32_t scanRowsMax = 200;
    static constexpr std::size_t recentRecordsMax = 1'024;
    static constexpr std::size_t fetchBytesMax = 4 * 1024 * 1024;
    static constexpr std::size_t recordBytesMax = 60 * 1024; ///< The table limits values to 64 KB.
    static constexpr int pushRoundsMax = 3;

    // Start-up and catch-up.

    boost::asio::awaitable<void> runOnStrand()
    {
        protocol::Backoff backoff(std::chrono::milliseconds(100), m_settings.pollInterval, std::random_device{}());
        while (!m_stopped && !co_await load()) {
            co_await waitForPoll(backoff.next());
        }
        m_ready = !m_stopped;
        transport::log(transport::LogLevel::Info, "journal-ready", {{"number", std::to_string(number())}});
        while (!m_stopped) {
            co_await catchUp();
            if (m_hooks.active()) {
                co_await maintain();
            }
            co_await waitForPoll(m_settings.pollInterval);
        }
    }

    /// Waits until @p duration has passed or stop() is called.
    boost::asio::awaitable<void> waitForPoll(std::chrono::milliseconds duration)
    {
        if (m_stopped) {
            co_return;
        }
        m_pollTimer.expires_after(duration);
        co_await m_pollTimer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    /// Loads the state from the stores or, if they fail, from a seed peer. @return whether it succeeded
    boost::asio::awaitable<bool> load()
    {
        if (co_await loadSnapshot()) {
            if (co_await catchUp()) {
                co_return true;
            }
        }
        for (const std::string &address : m_settings.seedPeers) {
            if (co_await fetchFromAddress(address)) {
                co_return true;
            }
        }
        co_return false;
    }

    /// Restores the latest snapshot if it is newer than the state.
    /// @return false if the table or the object store fails, or the snapshot is unreadable
    boost::asio::awaitable<bool> loadSnapshot()
    {
        const protocol::ReadResult rows = co_await readRow(journalSnapshotKey);
        if (!rows.ok) {
            co_return false;
        }
        if (rows.rows.empty()) {
            co_return true;
        }
        try {
            const std::uint64_t snapshotNumber = decodeNumberRow(rows.rows.front().value);
            if (snapshotNumber <= number()) {
                co_return true;
            }
            const protocol::ObjectResult object = co_await m_objects.get(snapshotKey(snapshotNumber));
            if (!object.ok || !object.body) {
                co_return false;
            }
            restore(*object.body);
            co_return true;
        } catch (const Error &error) {
            logError("snapshot-unreadable", error.what());
        }
        co_return false;
    }

    void restore(const std::string &text)
    {
        if (m_replica.restore(text)) {
            m_headVersion.reset();
            m_recent.clear();
        }
    }

    /// Applies all later records of the table. @return whether the end of the journal was reached
    boost::asio::awaitable<bool> catchUp()
    {
        while (!m_stopped) {
            const std::uint64_t from = number() + 1;
            const protocol::ReadResult result
                = co_await m_table.scan(recordKey(from), std::string(journalRecordsEnd), scanRowsMax);
            if (!result.ok) {
                co_return false;
            }
            if (result.rows.empty()) {
                co_return true;
            }
            if (!applyRows(result.rows)) {
                // The next records may have been truncated since the last scan; the snapshot covers them.
                if (!co_await loadSnapshot() || number() + 1 < from) {
                    co_return false;
                }
                if (number() + 1 == from) {
                    co_return false;
                }
                continue;
            }
            if (result.rows.size() < scanRowsMax) {
                co_return true;
            }
        }
        co_return false;
    }

    /// @return false if a record is missing or unreadable
    bool applyRows(const std::vector<protocol::Row> &rows)
    {
        for (const protocol::Row &row : rows) {
            if (!applyRecord({.number = parseRecordKey(row.key), .text = row.value, .version = row.version})) {
                return false;
            }
        }
        return true;
    }

    boost::asio::awaitable<protocol::ReadResult> readRow(std::string_view key)
    {
        return m_table.read(std::vector<std::string>(1, std::string(key)));
    }

    /// @return the record number in the key, or 0 if the key is malformed
    static std::uint64_t parseRecordKey(const std::string &key)
    {
        try {
            return recordNumber(key);
        } catch (const Error &error) {
            logError("journal-key-unreadable", error.what());
            return 0;
        }
    }

    /// Applies a committed record, unless it was applied before.
    /// @return false if the record does not follow the last one or is unreadable
    bool applyRecord(protocol::JournalRecord record)
    {
        if (record.number <= number()) {
            return record.number != 0;
        }
        try {
            RecordContent content = decodeRecord(record.text, m_codec);
            if (content.number != record.number) {
                throw Error(ErrorKind::BadInput,
                            "the row of journal record " + std::to_string(record.number)
                                + " contains another record number",
                            "restore the row from the copy of another entry");
            }
            std::optional<AppliedRecord> applied = m_replica.apply(std::move(content));
            if (!applied) {
                return false;
            }
            handleApplied(std::move(record), *applied);
            return true;
        } catch (const Error &error) {
            logError("record-unreadable", error.what());
            return false;
        }
    }

    /// Keeps the record for peers, sets the outcome of a pending proposal and calls the listeners.
    void handleApplied(protocol::JournalRecord record, AppliedRecord &applied)
    {
        m_headVersion = record.version == 0 ? std::nullopt : std::optional(record.version);
        m_recent.push_back(std::move(record));
        if (m_recent.size() > recentRecordsMax) {
            m_recent.pop_front();
        }
        const auto pending = m_pending.find(applied.record.id);
        applied.own = pending != m_pending.end() && applied.record.by == m_settings.self;
        if (pending != m_pending.end()) {
            pending->second = committedOutcome(applied);
        }
        for (const Listener &listener : m_listeners) {
            listener(applied);
        }
    }

    static CommitOutcome committedOutcome(const AppliedRecord &applied)
    {
        CommitOutcome outcome;
        outcome.status = CommitStatus::Committed;
        outcome.number = applied.record.number;
        outcome.repeated = !applied.own;
        outcome.refusals = applied.refusals;
        if (applied.own) {
            outcome.commands = applied.commands;
        }
        return outcome;
    }

    // Committing.

    boost::asio::awaitable<CommitOutcome> commitOnStrand(Proposal proposal)
    {
        const Clock::time_point deadline = Clock::now() + m_settings.commitTimeout;
        const AsyncMutex::Guard hold = co_await m_commitMutex.acquire(m_settings.commitTimeout);
        if (!hold) {
            co_return failedOutcome(CommitStatus::NotCommitted, "the commit timed out waiting for earlier commits");
        }
        if (!m_ready) {
            co_return failedOutcome(CommitStatus::NotCommitted, "the journal has not loaded the state yet");
        }
        if (const auto earlier = m_replica.find(proposal.id)) {
            CommitOutcome outcome;
            outcome.status = CommitStatus::Committed;
            outcome.number = *earlier;
            outcome.repeated = true;
            co_return outcome;
        }
        m_pending.emplace(proposal.id, std::nullopt);
        CommitOutcome outcome = co_await tryCommit(proposal, deadline);
        const auto resolved = m_pending.find(proposal.id);
        if (resolved->second) {
            outcome = std::move(*resolved->second);
        }
        if (outcome.status != CommitStatus::Unknown) {
            m_pending.erase(resolved);
        }
        co_return outcome;
    }

    static CommitOutcome failedOutcome(CommitStatus status, std::string reason)
    {
        CommitOutcome outcome;
        outcome.status = status;
        outcome.reason = std::move(reason);
        return outcome;
    }

    /// A write without a response may still take effect as long as the head has the version that the write requires.
    /// The write is therefore repeated until the head is seen to advance; after that, the earlier attempt cannot
    /// succeed.
    boost::asio::awaitable<CommitOutcome> tryCommit(const Proposal &proposal, Clock::time_point deadline)
    {
        std::optional<std::uint64_t> uncertainHead; // The head on which a write has an unknown outcome.
        std::string reason = "the table did not respond within the commit timeout";
        protocol::Backoff backoff(std::chrono::milliseconds(20), std::chrono::milliseconds(500),
                                  std::random_device{}());
        while (Clock::now() < deadline && !m_stopped) {
            if (m_pending.at(proposal.id)) {
                co_return *m_pending.at(proposal.id);
            }
            if (uncertainHead && number() > *uncertainHead) {
                uncertainHead.reset();
            }
            if (proposal.basedOn && *proposal.basedOn != number()) {
                co_return failedOutcome(CommitStatus::Conflict,
                                        "the last record is " + std::to_string(number())
                                            + ", but the proposal is based on record "
                                            + std::to_string(*proposal.basedOn));
            }
            if (!m_headVersion && !co_await refreshHead()) {
                co_await protocol::waitFor(backoff.next());
                continue;
            }
            if (!m_headVersion || m_pending.at(proposal.id)) {
                continue;
            }
            if (!m_hooks.mayAct()) {
                reason = "this entry may not commit because it has no valid membership lease";
                break;
            }
            if (proposal.basedOn && *proposal.basedOn != number()) {
                continue;
            }
            RecordContent content = nextRecord(proposal);
            std::string text = encodeRecord(content, m_codec);
            if (text.size() > recordBytesMax) {
                co_return failedOutcome(CommitStatus::NotCommitted,
                                        "the record is larger than 60 KB; split the proposal into smaller ones");
            }
            const std::uint64_t number = content.number;
            const protocol::CommitResult result = co_await m_table.transact(recordTransaction(number, text));
            switch (result.status) {
            case CommitStatus::Committed:
                handleCommitted({.number = number, .text = std::move(text), .version = result.version});
                break;
            case CommitStatus::Conflict:
                m_headVersion.reset();
                co_await catchUp();
                break;
            case CommitStatus::NotCommitted:
                reason = result.failure;
                if (!uncertainHead) {
                    co_return failedOutcome(CommitStatus::NotCommitted, reason);
                }
                co_await protocol::waitFor(backoff.next());
                break;
            case CommitStatus::Unknown:
                reason = result.failure;
                uncertainHead = number - 1;
                co_await catchUp();
                break;
            }
        }
        co_return failedOutcome(uncertainHead ? CommitStatus::Unknown : CommitStatus::NotCommitted, reason);
    }

    RecordContent nextRecord(const Proposal &proposal) const
    {
        RecordContent content;
        content.number = number() + 1;
        const auto now = std::chrono::time_point_cast<state::Duration>(std::chrono::system_clock::now());
        content.at = std::max(now, m_replica.at());
        content.id = proposal.id;
        content.by = m_settings.self;
        content.events = proposal.events;
        return content;
    }

    protocol::Transaction recordTransaction(std::uint64_t number, const std::string &text) const
    {
        protocol::Transaction transaction;
        transaction.conditions.push_back({.key = std::string(journalHeadKey), .version = *m_headVersion});
        transaction.puts.push_back({.key = recordKey(number), .value = text});
        transaction.puts.push_back({.key = std::string(journalHeadKey), .value = encodeNumberRow(number)});
        return transaction;
    }

    /// Applies a record of this entry and sends it to the peers.
    void handleCommitted(protocol::JournalRecord record)
    {
        // A poll may have applied the record before the response of the table arrived.
        if (record.number > number()) {
            applyRecord(record);
        }
        for (const std::string &address : m_hooks.peers()) {
            boost::asio::co_spawn(m_strand, push(address, record), boost::asio::detached);
        }
    }

    /// Reads the version of the head row and catches up if the head is later than the state.
    /// @return false if the table does not respond, its head is unreadable, or its head is older than the state
    boost::asio::awaitable<bool> refreshHead()
    {
        const protocol::ReadResult result = co_await readRow(journalHeadKey);
        if (!result.ok) {
            co_return false;
        }
        std::uint64_t headNumber = 0;
        std::uint64_t headVersion = 0;
        try {
            if (!result.rows.empty()) {
                headNumber = decodeNumberRow(result.rows.front().value);
                headVersion = result.rows.front().version;
            }
        } catch (const Error &error) {
            logError("head-unreadable", error.what());
            co_return false;
        }
        if (headNumber == number()) {
            m_headVersion = headVersion;
            co_return true;
        }
        if (headNumber < number()) {
            logError("head-older-than-state", "the head of the table is at record " + std::to_string(headNumber));
            co_return false;
        }
        co_return co_await catchUp();
    }

    // Peers.

    /// Sends a record to a peer, and the earlier ones too if the peer lacks them.
    boost::asio::awaitable<void> push(std::string address, protocol::JournalRecord record)
    {
        const std::uint64_t last = record.number;
        std::vector<protocol::JournalRecord> records;
        records.push_back(record);
        for (int round = 0; round < pushRoundsMax && !records.empty(); ++round) {
            const std::optional<std::uint64_t> reached = co_await m_peers.append(address, records);
            if (!reached || *reached >= last) {
                co_return;
            }
            records = recentFrom(*reached + 1);
        }
    }

    /// @return the records in memory from @p from on, up to fetchBytesMax; none if record @p from is no longer in
    /// memory
    std::vector<protocol::JournalRecord> recentFrom(std::uint64_t from) const
    {
        std::vector<protocol::JournalRecord> records;
        if (m_recent.empty() || m_recent.front().number > from) {
            return records;
        }
        std::size_t bytes = 0;
        for (const protocol::JournalRecord &record : m_recent) {
            if (record.number >= from && bytes < fetchBytesMax) {
                bytes += record.text.size();
                records.push_back(record);
            }
        }
        return records;
    }

    boost::asio::awaitable<std::uint64_t> appendOnStrand(std::vector<protocol::JournalRecord> records)
    {
        if (m_ready) {
            for (protocol::JournalRecord &record : records) {
                if (!applyRecord(std::move(record))) {
                    break;
                }
            }
        }
        co_return number();
    }

    boost::asio::awaitable<protocol::FetchReply> fetchOnStrand(std::uint64_t from)
    {
        protocol::FetchReply reply;
        if (!m_ready || from > number()) {
            co_return reply;
        }
        reply.records = recentFrom(from);
        if (reply.records.empty()) {
            std::tie(reply.snapshotNumber, reply.snapshot) = m_replica.snapshot();
        }
        co_return reply;
    }

    /// Fetches records from @p entry until record @p target, unless another fetch is running.
    boost::asio::awaitable<void> fetchFrom(state::EntryId entry, std::uint64_t target)
    {
        if (m_fetching || number() >= target) {
            co_return;
        }
        m_fetching = true;
        const std::string address = m_hooks.peerAddress(entry);
        if (!address.empty()) {
            co_await fetchFromAddress(address);
        }
        m_fetching = false;
    }

    /// Applies the snapshot and the records of a peer.
    /// @return whether the peer responded with a state or records that could be applied
    boost::asio::awaitable<bool> fetchFromAddress(std::string address)
    {
        std::optional<protocol::FetchReply> reply = co_await m_peers.fetch(address, number() + 1);
        if (!reply || (reply->snapshotNumber == 0 && reply->records.empty())) {
            co_return false;
        }
        try {
            if (reply->snapshotNumber > number()) {
                restore(reply->snapshot);
            }
        } catch (const Error &error) {
            logError("peer-snapshot-unreadable", error.what());
            co_return false;
        }
        for (protocol::JournalRecord &record : reply->records) {
            if (!applyRecord(std::move(record))) {
                co_return false;
            }
        }
        co_return true;
    }

    // Snapshots and truncation.

    /// Writes a snapshot and truncates the journal if they are due.
    boost::asio::awaitable<void> maintain()
    {
        if (number() >= m_snapshotNumber + m_settings.recordsPerSnapshot) {
            co_await writeSnapshot();
        }
        if (m_snapshotNumber > m_settings.retainedRecords) {
            co_await truncate(m_snapshotNumber - m_settings.retainedRecords);
        }
    }

    static std::string snapshotKey(std::uint64_t number)
    {
        return "snapshot/" + std::to_string(number);
    }

    boost::asio::awaitable<void> writeSnapshot()
    {
        const protocol::ReadResult rows = co_await readRow(journalSnapshotKey);
        if (!rows.ok) {
            co_return;
        }
        std::uint64_t version = 0;
        std::uint64_t previous = 0;
        try {
            if (!rows.rows.empty()) {
                version = rows.rows.front().version;
                previous = decodeNumberRow(rows.rows.front().value);
            }
        } catch (const Error &error) {
            logError("snapshot-row-unreadable", error.what());
        }
        m_snapshotNumber = std::max(m_snapshotNumber, previous);
        if (number() < m_snapshotNumber + m_settings.recordsPerSnapshot || !m_hooks.mayAct()) {
            co_return;
        }
        auto [snapshotNumber, text] = m_replica.snapshot();
        if (!co_await m_objects.put(snapshotKey(snapshotNumber), std::move(text))) {
            co_return;
        }
        protocol::Transaction transaction;
        transaction.conditions.push_back({.key = std::string(journalSnapshotKey), .version = version});
        transaction.puts.push_back({.key = std::string(journalSnapshotKey), .value = encodeNumberRow(snapshotNumber)});
        const protocol::CommitResult result = co_await m_table.transact(std::move(transaction));
        // If the outcome is unknown, the next round reads the row again.
        if (result.status == CommitStatus::Committed) {
            m_snapshotNumber = snapshotNumber;
            if (previous != 0) {
                co_await m_objects.remove(snapshotKey(previous));
            }
        }
    }

    /// Deletes one batch of the records below number @p below.
    boost::asio::awaitable<void> truncate(std::uint64_t below)
    {
        if (m_truncatedBelow >= below) {
            co_return;
        }
        const protocol::ReadResult rows
            = co_await m_table.scan(recordKey(0), recordKey(below), m_settings.truncateBatchSize);
        if (!rows.ok) {
            co_return;
        }
        if (rows.rows.empty()) {
            m_truncatedBelow = below;
            co_return;
        }
        protocol::Transaction transaction;
        for (const protocol::Row &row : rows.rows) {
            transaction.deletes.push_back(row.key);
        }
        co_await m_table.transact(std::move(transaction));
    }

    static void logError(std::string_view event, const std::string &reason)
    {
        transport::log(transport::LogLevel::Error, event, {{"reason", reason}});
    }

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    JournalSettings m_settings;
    T m_table;
    S m_objects;
    P m_peers;
    EventCodec m_codec;
    JournalHooks m_hooks;
    std::vector<Listener> m_listeners;
    Replica<M> m_replica;
    AsyncMutex m_commitMutex;
    boost::asio::steady_timer m_pollTimer;
    std::atomic<bool> m_ready{};
    std::atomic<bool> m_stopped{};
    std::optional<std::uint64_t> m_headVersion; ///< Version of the head row at the last applied record, if known.
    std::deque<protocol::JournalRecord> m_recent; ///< The latest records, kept in memory for peers.
    /// Proposals of this process that are in progress or have an unknown outcome; the value is set once the record has
    /// been applied.
    std::map<std::string, std::optional<CommitOutcome>> m_pending;
    bool m_fetching{};
    std::uint64_t m_snapshotNumber{};
    std::uint64_t m_truncatedBelow{};
};

} // namespace heatherquay::coordination
