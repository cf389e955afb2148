#pragma once

#include "heatherquay/state/events.hpp"
#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/fwd.hpp>

namespace heatherquay::coordination
{

/// Converts events to and from JSON. decode throws Error(BadInput) for unknown or malformed events.
struct EventCodec
{
    std::function<boost::json::value(const state::Event &)> encode;
    std::function<state::Event(const boost::json::value &)> decode;
};

/// The decoded content of a journal record.
struct RecordContent
{
    std::uint64_t number{};
    state::Instant at;
    std::string id; ///< Id of the proposal, for example a plan id; the same for all attempts to commit it.
    state::EntryId by; ///< The entry that wrote the record.
    std::vector<state::Event> events;
};

std::string encodeRecord(const RecordContent &record, const EventCodec &codec);
/// @throws Error(BadInput) for a malformed record
RecordContent decodeRecord(std::string_view text, const EventCodec &codec);

/// @return the key of the row that holds record @p number
std::string recordKey(std::uint64_t number);
/// @return the record number in @p key
/// @throws Error(BadInput) if @p key is not the key of a record
std::uint64_t recordNumber(std::string_view key);

inline constexpr std::string_view journalHeadKey = "journal/head";
inline constexpr std::string_view journalSnapshotKey = "journal/snapshot";
/// The first key after the keys of all records, as ':' sorts after '9'.
inline constexpr std::string_view journalRecordsEnd = "journal/:";

/// @return the value of the rows journal/head and journal/snapshot, which hold a record number
std::string encodeNumberRow(std::uint64_t number);
/// @throws Error(BadInput) for a malformed value
std::uint64_t decodeNumberRow(std::string_view text);

} // namespace heatherquay::coordination
