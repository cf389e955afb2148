#pragma once

#include "heatherquay/protocol/table.hpp"
#include "heatherquay/state/commands.hpp"
#include "heatherquay/state/events.hpp"
#include "heatherquay/state/ids.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::coordination
{

struct JournalSettings
{
    state::EntryId self;
    std::vector<std::string> seedPeers; ///< Addresses of peers to load the state from when the stores are down.
    std::chrono::milliseconds commitTimeout{3'000};
    std::chrono::milliseconds pollInterval{1'000};
    std::uint64_t recordsPerSnapshot{1'000}; ///< Number of records between two snapshots.
    /// Records kept before the last snapshot, so that entries slightly behind need no snapshot.
    std::uint64_t retainedRecords{200};
    std::uint32_t truncateBatchSize{20}; ///< Rows deleted per poll, which bounds the write load of a poll.
};

/// Callbacks of the journal; called on the journal's strand.
struct JournalHooks
{
    std::function<bool()> mayAct; ///< Whether this entry may commit records and write snapshots.
    std::function<bool()> active; ///< Whether this entry writes snapshots and truncates the journal.
    std::function<std::vector<std::string>()> peers; ///< Peer addresses of the other members.
    std::function<std::string(const state::EntryId &)> peerAddress; ///< Empty for an unknown entry.
};

/// Events to commit as one record.
struct Proposal
{
    std::string id; ///< Idempotency key: a proposal with the same id is committed only once.
    /// If set, the proposal conflicts unless it becomes the record right after this one.
    std::optional<std::uint64_t> basedOn;
    std::vector<state::Event> events;
};

struct CommitOutcome
{
    protocol::CommitStatus status{protocol::CommitStatus::NotCommitted};
    std::uint64_t number{}; ///< Number of the record, if committed.
    std::vector<state::Command> commands; ///< Empty if repeated.
    /// Errors of the events that were not valid in the state to which the record was applied.
    std::vector<std::string> refusals;
    bool repeated{}; ///< The proposal had already been committed.
    std::string reason; ///< Why the proposal is not committed, or why the outcome is unknown.
};

} // namespace heatherquay::coordination
