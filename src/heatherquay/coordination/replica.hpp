#pragma once

#include "heatherquay/coordination/journal_record.hpp"
#include "heatherquay/coordination/recent_ids.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/json_access.hpp"
#include "heatherquay/state/commands.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

/// A deterministic state machine to which the journal applies events, for example state::Cluster.
template<typename M>
concept StateMachine
    = requires(M machine, const M &constMachine, const state::Event &event, state::Instant now, const std::string &text)
{
    {
        machine.apply(event, now)
        } -> std::same_as<std::vector<state::Command>>;
    {
        constMachine.serialize()
        } -> std::same_as<std::string>;
    {
        M::deserialize(text)
        } -> std::same_as<M>;
};

/// Result of applying one record.
struct AppliedRecord
{
    RecordContent record;
    bool own{}; ///< Whether this process wrote the record; it then has to dispatch the commands.
    std::vector<state::Command> commands;
    /// Errors of the events that were not valid in the state to which the record was applied.
    std::vector<std::string> refusals;
};

/// A state machine and the number of the last record applied to it. Thread-safe. The number never decreases.
/// @tparam M the state machine
template<StateMachine M>
class Replica
{
public:
    explicit Replica(M initial)
        : m_machine(std::move(initial))
    {
    }

    /// Applies the next record. Invalid events are skipped.
    /// @return nothing if @p record is not the next one
    std::optional<AppliedRecord> apply(RecordContent record)
    {
        const std::unique_lock lock(m_mutex);
        if (record.number != m_number + 1) {
            return std::nullopt;
        }
        m_at = std::max(m_at, record.at);
        AppliedRecord applied;
        for (const state::Event &event : record.events) {
            applyEvent(event, applied);
        }
        m_number = record.number;
        m_ids.add(record.id, record.number, m_at);
        applied.record = std::move(record);
        return applied;
    }

    /// Calls @p reader with the state machine; no record is applied during the call.
    template<typename F>
    auto read(F &&reader) const
    {
        const std::shared_lock lock(m_mutex);
        return std::forward<F>(reader)(m_machine);
    }

    /// @return the number of the last record applied
    std::uint64_t number() const
    {
        const std::shared_lock lock(m_mutex);
        return m_number;
    }
    /// @return the time of the last record applied
    state::Instant at() const
    {
        const std::shared_lock lock(m_mutex);
        return m_at;
    }
    /// @return the number of the record with the proposal id @p id, if it is among the recent ids
    std::optional<std::uint64_t> find(const std::string &id) const
    {
        const std::shared_lock lock(m_mutex);
        return m_ids.find(id);
    }

    /// @return the number of the last record applied, and the state as JSON
    std::pair<std::uint64_t, std::string> snapshot() const
    {
        const std::shared_lock lock(m_mutex);
        boost::json::object object;
        object["number"] = m_number;
        object["at_ms"] = m_at.time_since_epoch().count();
        object["ids"] = m_ids.encode();
        object["machine"] = m_machine.serialize();
        return {m_number, boost::json::serialize(object)};
    }

    /// Replaces the state by that of a snapshot if the snapshot is newer.
    /// @return whether the snapshot was newer
    /// @throws Error(BadInput) for a malformed snapshot
    bool restore(const std::string &text)
    {
        const boost::json::value value = protocol::parseJson(text, "snapshot");
        const boost::json::object &object = protocol::jsonObject(value, "snapshot");
        const std::uint64_t number = protocol::jsonNumber(object, "number");
        if (number <= this->number()) {
            return false;
        }
        M machine = M::deserialize(protocol::jsonString(object, "machine"));
        RecentIds ids = RecentIds::decode(boost::json::value(protocol::jsonArray(object, "ids")));
        const std::unique_lock lock(m_mutex);
        m_machine = std::move(machine);
        m_ids = std::move(ids);
        m_at = state::Instant(state::Duration(protocol::jsonNumber(object, "at_ms")));
        m_number = number;
        return true;
    }

private:
    /// Applies one event, or skips it if it is invalid. All replicas skip the same events, as the state machine is
    /// deterministic.
    void applyEvent(const state::Event &event, AppliedRecord &applied)
    {
        try {
            std::vector<state::Command> commands = m_machine.apply(event, m_at);
            std::move(commands.begin(), commands.end(), std::back_inserter(applied.commands));
        } catch (const Error &error) {
            applied.refusals.emplace_back(error.what());
        }
    }

    mutable std::shared_mutex m_mutex;
    M m_machine;
    std::uint64_t m_number{};
    state::Instant m_at;
    RecentIds m_ids;
};

} // namespace heatherquay::coordination
