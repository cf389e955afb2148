#include "heatherquay/coordination/recent_ids.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/json_access.hpp"

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;

namespace detail
{

/// Longer than the five minutes during which a plan can be confirmed, plus the time for retries of the confirmation.
constexpr state::Duration idRetention{15 * 60 * 1'000};
/// Limits the memory and the size in snapshots to a few megabytes.
constexpr std::size_t idsMax = 65'536;

} // namespace detail

void RecentIds::add(const std::string &id, std::uint64_t number, state::Instant at)
{
    if (!m_numbers.emplace(id, number).second) {
        return;
    }
    m_items.push_back({id, number, at});
    while (m_items.size() > detail::idsMax || m_items.front().at + detail::idRetention < at) {
        m_numbers.erase(m_items.front().id);
        m_items.pop_front();
    }
}

std::optional<std::uint64_t> RecentIds::find(const std::string &id) const
{
    const auto found = m_numbers.find(id);
    return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
}

json::value RecentIds::encode() const
{
    json::array items;
    for (const Item &item : m_items) {
        items.push_back(
            json::object{{"id", item.id}, {"number", item.number}, {"at_ms", item.at.time_since_epoch().count()}});
    }
    return items;
}

RecentIds RecentIds::decode(const json::value &value)
{
    RecentIds ids;
    if (!value.is_array()) {
        throw Error(ErrorKind::BadInput, "the record ids of the snapshot are not a JSON array",
                    "use a snapshot written by this version");
    }
    for (const json::value &item : value.get_array()) {
        const json::object &object = protocol::jsonObject(item, "record id");
        ids.add(protocol::jsonString(object, "id"), protocol::jsonNumber(object, "number"),
                state::Instant(state::Duration(protocol::jsonNumber(object, "at_ms"))));
    }
    return ids;
}

} // namespace heatherquay::coordination
