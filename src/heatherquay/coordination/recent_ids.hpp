#pragma once

#include "heatherquay/state/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/json/fwd.hpp>

namespace heatherquay::coordination
{

/// Ids of recent journal records, used to commit a repeated proposal only once. The contents depend only on the records
/// and are therefore equal on all replicas.
class RecentIds
{
public:
    /// Adds the id of record @p number and removes ids that are too old or too many. Ignores a known id.
    /// @param at time of the record
    void add(const std::string &id, std::uint64_t number, state::Instant at);
    /// @return the number of the record with @p id, or nothing if the id is not known or was removed
    std::optional<std::uint64_t> find(const std::string &id) const;

    boost::json::value encode() const;
    /// @throws Error(BadInput) if the value is malformed
    static RecentIds decode(const boost::json::value &value);

private:
    struct Item
    {
        std::string id;
        std::uint64_t number{};
        state::Instant at;
    };

    std::deque<Item> m_items;
    std::unordered_map<std::string, std::uint64_t> m_numbers;
};

} // namespace heatherquay::coordination
