#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/time.hpp"

#include <bit>
#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace heatherquay::state::detail
{

/// Writes values as text. A space follows each value, and the length precedes each string.
class SnapshotWriter
{
public:
    static constexpr bool reads = false;
    template<typename T>
    using Ref = const T &;

    void number(std::uint64_t value);
    void text(const std::string &value);
    std::string take()
    {
        return std::move(m_text);
    }

private:
    std::string m_text;
};

/// Reads the text of a SnapshotWriter. All functions throw Error(BadInput) if the text does not have the expected
/// format.
class SnapshotReader
{
public:
    static constexpr bool reads = true;
    template<typename T>
    using Ref = T &;

    explicit SnapshotReader(const std::string &text)
        : m_text(text)
    {
    }
    std::uint64_t number();
    std::string text();
    /// Reads a number of elements or bytes. A number larger than the rest of the text is an error, so a damaged
    /// snapshot cannot cause a huge allocation.
    std::size_t size();
    /// Checks that the whole text has been read.
    void expectEnd() const;

private:
    const std::string &m_text;
    std::size_t m_position{};
};

// transfer(archive, value) writes the value to a SnapshotWriter or reads it from a SnapshotReader, so that one list of
// a type's members serves both directions.

template<typename T>
requires std::integral<T> || std::is_enum_v<T>
void transfer(SnapshotWriter &archive, const T &value)
{
    archive.number(static_cast<std::uint64_t>(value));
}
template<typename T>
requires std::integral<T> || std::is_enum_v<T>
void transfer(SnapshotReader &archive, T &value)
{
    value = static_cast<T>(archive.number());
}
inline void transfer(SnapshotWriter &archive, const double &value)
{
    archive.number(std::bit_cast<std::uint64_t>(value));
}
inline void transfer(SnapshotReader &archive, double &value)
{
    value = std::bit_cast<double>(archive.number());
}
inline void transfer(SnapshotWriter &archive, const std::string &value)
{
    archive.text(value);
}
inline void transfer(SnapshotReader &archive, std::string &value)
{
    value = archive.text();
}
inline void transfer(SnapshotWriter &archive, const Duration &value)
{
    archive.number(static_cast<std::uint64_t>(value.count()));
}
inline void transfer(SnapshotReader &archive, Duration &value)
{
    value = Duration(static_cast<std::int64_t>(archive.number()));
}
inline void transfer(SnapshotWriter &archive, const Instant &value)
{
    transfer(archive, value.time_since_epoch());
}
inline void transfer(SnapshotReader &archive, Instant &value)
{
    Duration sinceEpoch{};
    transfer(archive, sinceEpoch);
    value = Instant(sinceEpoch);
}
template<typename Archive, typename Tag, typename Value>
void transfer(Archive &archive, StrongId<Tag, Value> &id)
{
    transfer(archive, id.value);
}
template<typename Archive, typename Tag, typename Value>
void transfer(Archive &archive, const StrongId<Tag, Value> &id)
{
    transfer(archive, id.value);
}
template<typename First, typename Second>
void transfer(SnapshotWriter &archive, const std::pair<First, Second> &value)
{
    transfer(archive, value.first);
    transfer(archive, value.second);
}
template<typename First, typename Second>
void transfer(SnapshotReader &archive, std::pair<First, Second> &value)
{
    transfer(archive, value.first);
    transfer(archive, value.second);
}
template<typename T>
void transfer(SnapshotWriter &archive, const std::optional<T> &value)
{
    transfer(archive, value.has_value());
    if (value.has_value()) {
        transfer(archive, *value);
    }
}
template<typename T>
void transfer(SnapshotReader &archive, std::optional<T> &value)
{
    bool present = false;
    transfer(archive, present);
    value.reset();
    if (present) {
        transfer(archive, value.emplace());
    }
}
template<typename T>
void transfer(SnapshotWriter &archive, const std::shared_ptr<const T> &value)
{
    transfer(archive, *value);
}
template<typename T>
void transfer(SnapshotReader &archive, std::shared_ptr<const T> &value)
{
    T object;
    transfer(archive, object);
    value = std::make_shared<const T>(std::move(object));
}
template<typename T>
void transfer(SnapshotWriter &archive, const std::vector<T> &values)
{
    archive.number(values.size());
    for (const T &value : values) {
        transfer(archive, value);
    }
}
template<typename T>
void transfer(SnapshotReader &archive, std::vector<T> &values)
{
    values.resize(archive.size());
    for (T &value : values) {
        transfer(archive, value);
    }
}
template<typename Key, typename Value>
void transfer(SnapshotWriter &archive, const std::map<Key, Value> &values)
{
    archive.number(values.size());
    for (const auto &[key, value] : values) {
        transfer(archive, key);
        transfer(archive, value);
    }
}
template<typename Key, typename Value>
void transfer(SnapshotReader &archive, std::map<Key, Value> &values)
{
    values.clear();
    for (std::size_t rest = archive.size(); rest > 0; --rest) {
        Key key{};
        transfer(archive, key);
        transfer(archive, values[key]);
    }
}
template<typename T>
void transfer(SnapshotWriter &archive, const std::set<T> &values)
{
    archive.number(values.size());
    for (const T &value : values) {
        transfer(archive, value);
    }
}
template<typename T>
void transfer(SnapshotReader &archive, std::set<T> &values)
{
    values.clear();
    for (std::size_t rest = archive.size(); rest > 0; --rest) {
        T value{};
        transfer(archive, value);
        values.insert(std::move(value));
    }
}

} // namespace heatherquay::state::detail
