#include "heatherquay/coordination/journal_record.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/json_access.hpp"

#include <charconv>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;
using protocol::jsonArray;
using protocol::jsonNumber;
using protocol::jsonObject;
using protocol::jsonString;
using protocol::parseJson;

namespace detail
{

constexpr std::string_view recordPrefix = "journal/";
constexpr std::size_t recordDigits = 20;

} // namespace detail

std::string encodeRecord(const RecordContent &record, const EventCodec &codec)
{
    json::array events;
    for (const state::Event &event : record.events) {
        events.push_back(codec.encode(event));
    }
    return json::serialize(json::object{{"number", record.number},
                                        {"at_ms", record.at.time_since_epoch().count()},
                                        {"plan", record.id},
                                        {"events", std::move(events)},
                                        {"by", record.by.value}});
}

RecordContent decodeRecord(std::string_view text, const EventCodec &codec)
{
    const json::value value = parseJson(text, "journal record");
    const json::object &object = jsonObject(value, "journal record");
    RecordContent record;
    record.number = jsonNumber(object, "number");
    record.at = state::Instant(state::Duration(jsonNumber(object, "at_ms")));
    record.id = jsonString(object, "plan");
    record.by.value = jsonString(object, "by");
    for (const json::value &event : jsonArray(object, "events")) {
        record.events.push_back(codec.decode(event));
    }
    return record;
}

std::string recordKey(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, detail::recordDigits - digits.size(), '0');
    return std::string(detail::recordPrefix) + digits;
}

std::uint64_t recordNumber(std::string_view key)
{
    std::uint64_t number = 0;
    const bool wellFormed
        = key.size() == detail::recordPrefix.size() + detail::recordDigits && key.starts_with(detail::recordPrefix);
    if (wellFormed) {
        const char *begin = key.data() + detail::recordPrefix.size();
        const char *end = key.data() + key.size();
        const auto [stop, error] = std::from_chars(begin, end, number);
        if (error == std::errc() && stop == end) {
            return number;
        }
    }
    throw Error(ErrorKind::BadInput, "row " + std::string(key) + " is not a journal record",
                "remove the row; only heatherquay may write keys that begin with journal/");
}

std::string encodeNumberRow(std::uint64_t number)
{
    return json::serialize(json::object{{"number", number}});
}

std::uint64_t decodeNumberRow(std::string_view text)
{
    const json::value value = parseJson(text, "journal row");
    return jsonNumber(jsonObject(value, "journal row"), "number");
}

} // namespace heatherquay::coordination
