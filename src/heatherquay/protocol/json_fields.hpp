#pragma once

#include "heatherquay/error.hpp"
#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/time.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace heatherquay::protocol::detail
{

// A type declares its JSON members once, for encoding and decoding, in a function
// `template<typename Archive> void fields(Archive &, Archive::Ref<T>)`. FieldWriter and FieldReader are the archives.

template<typename Value>
struct EnumName
{
    Value value;
    std::string_view name;
};

/// Each specialization has a member `all` with the JSON names of the enumeration's values.
template<typename Value>
struct EnumNames;

template<typename Value>
std::string_view nameOf(Value value)
{
    for (const EnumName<Value> &entry : EnumNames<Value>::all) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown";
}

/// @throws Error(BadInput) for the key at @p path
[[noreturn]] inline void throwFieldError(const std::string &path, const std::string &problem, const std::string &remedy)
{
    throw Error(ErrorKind::BadInput, "key \"" + path + "\" " + problem, remedy);
}

/// Writes the fields of a value into a JSON object.
class FieldWriter
{
public:
    template<typename T>
    using Ref = const T &;

    template<typename T>
    void operator()(std::string_view key, const T &value);
    template<typename T>
    void optional(std::string_view key, const T &value)
    {
        (*this)(key, value);
    }
    template<typename T>
    void optional(std::string_view key, const std::optional<T> &value)
    {
        if (value.has_value()) {
            (*this)(key, *value);
        }
    }
    boost::json::object take()
    {
        return std::move(m_object);
    }

private:
    boost::json::object m_object;
};

/// Reads the fields of a value from a JSON object.
class FieldReader
{
public:
    template<typename T>
    using Ref = T &;

    /// @param path path of the object within the document, for error messages; empty for the document itself
    /// @throws Error(BadInput) if @p value is not an object
    FieldReader(const boost::json::value &value, std::string path);

    /// @throws Error(BadInput) if the key is missing or its value has the wrong type
    template<typename T>
    void operator()(std::string_view key, T &value);
    /// Leaves @p value unchanged if the key is absent.
    template<typename T>
    void optional(std::string_view key, T &value);
    /// Resets @p value if the key is absent or null.
    template<typename T>
    void optional(std::string_view key, std::optional<T> &value);
    /// @throws Error(BadInput) if the object has keys that were never read
    void rejectUnknownKeys() const;

private:
    std::string pathOf(std::string_view key) const;
    /// Adds the key to the known keys. @return its value, or null if the key is absent
    const boost::json::value *find(std::string_view key);

    const boost::json::object *m_object;
    std::string m_path;
    std::vector<std::string_view> m_knownKeys;
};

inline boost::json::value toJson(const std::string &value)
{
    return boost::json::value(value);
}
inline boost::json::value toJson(bool value)
{
    return value;
}
inline boost::json::value toJson(double value)
{
    return value;
}
template<std::unsigned_integral T>
boost::json::value toJson(T value)
{
    return static_cast<std::uint64_t>(value);
}
inline boost::json::value toJson(std::int64_t value)
{
    return value;
}
inline boost::json::value toJson(state::Duration value)
{
    return value.count();
}
inline boost::json::value toJson(state::Instant value)
{
    return value.time_since_epoch().count();
}
template<typename T>
requires std::is_enum_v<T> boost::json::value toJson(T value)
{
    return boost::json::value(nameOf(value));
}
template<typename Tag, typename Value>
boost::json::value toJson(const state::StrongId<Tag, Value> &id)
{
    return toJson(id.value);
}
template<typename T>
requires std::is_class_v<T> boost::json::value toJson(const T &value)
{
    FieldWriter writer;
    fields(writer, value);
    return writer.take();
}
template<typename T>
boost::json::value toJson(const std::vector<T> &values)
{
    boost::json::array array;
    array.reserve(values.size());
    for (const T &value : values) {
        array.push_back(toJson(value));
    }
    return array;
}

inline void fromJson(const boost::json::value &json, boost::json::value &value, const std::string &)
{
    value = json;
}
inline void fromJson(const boost::json::value &json, std::string &value, const std::string &path)
{
    if (!json.is_string()) {
        throwFieldError(path, "is not a string", "give a string");
    }
    value = std::string(json.get_string());
}
inline void fromJson(const boost::json::value &json, bool &value, const std::string &path)
{
    if (!json.is_bool()) {
        throwFieldError(path, "is not a boolean", "give true or false");
    }
    value = json.get_bool();
}
inline void fromJson(const boost::json::value &json, double &value, const std::string &path)
{
    if (!json.is_number()) {
        throwFieldError(path, "is not a number", "give a number");
    }
    value = json.to_number<double>();
}
template<std::unsigned_integral T>
void fromJson(const boost::json::value &json, T &value, const std::string &path)
{
    const bool negative = json.is_int64() && json.get_int64() < 0;
    const bool whole = (json.is_int64() && !negative) || json.is_uint64();
    const std::uint64_t number = whole ? json.to_number<std::uint64_t>() : 0;
    if (!whole || number > std::numeric_limits<T>::max()) {
        throwFieldError(path, "is not a whole number in range",
                        "give a whole number from 0 to " + std::to_string(std::numeric_limits<T>::max()));
    }
    value = static_cast<T>(number);
}
inline void fromJson(const boost::json::value &json, std::int64_t &value, const std::string &path)
{
    if (!json.is_int64()) {
        throwFieldError(path, "is not a whole number", "give a whole number");
    }
    value = json.get_int64();
}
inline void fromJson(const boost::json::value &json, state::Instant &value, const std::string &path)
{
    std::int64_t milliseconds = 0;
    fromJson(json, milliseconds, path);
    value = state::Instant(state::Duration(milliseconds));
}
inline void fromJson(const boost::json::value &json, state::Duration &value, const std::string &path)
{
    constexpr std::int64_t millisecondsMax = 100LL * 365 * 24 * 3'600'000;
    if (!json.is_int64() || json.get_int64() < 0 || json.get_int64() > millisecondsMax) {
        throwFieldError(path, "is not a time in milliseconds",
                        "give a whole number of milliseconds from 0 to 100 years of 365 days");
    }
    value = state::Duration(json.get_int64());
}
template<typename T>
requires std::is_enum_v<T>
void fromJson(const boost::json::value &json, T &value, const std::string &path)
{
    std::string allowed;
    for (const EnumName<T> &entry : EnumNames<T>::all) {
        if (json.is_string() && json.get_string() == entry.name) {
            value = entry.value;
            return;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
    }
    throwFieldError(path, "has an unknown value", "use one of " + allowed);
}
template<typename Tag, typename Value>
void fromJson(const boost::json::value &json, state::StrongId<Tag, Value> &id, const std::string &path)
{
    fromJson(json, id.value, path);
    if constexpr (std::same_as<Value, std::string>) {
        if (id.value.empty()) {
            throwFieldError(path, "is empty", "give an id");
        }
    }
}
template<typename T>
requires std::is_class_v<T>
void fromJson(const boost::json::value &json, T &value, const std::string &path)
{
    FieldReader reader(json, path);
    fields(reader, value);
    reader.rejectUnknownKeys();
}
template<typename T>
void fromJson(const boost::json::value &json, std::vector<T> &values, const std::string &path)
{
    if (!json.is_array()) {
        throwFieldError(path, "is not a list", "give a list");
    }
    values.clear();
    for (const boost::json::value &element : json.get_array()) {
        T &value = values.emplace_back();
        fromJson(element, value, path + "[" + std::to_string(values.size() - 1) + "]");
    }
}

template<typename T>
void FieldWriter::operator()(std::string_view key, const T &value)
{
    m_object[key] = toJson(value);
}

inline FieldReader::FieldReader(const boost::json::value &value, std::string path)
    : m_object(value.if_object())
    , m_path(std::move(path))
{
    if (m_object == nullptr) {
        throwFieldError(m_path.empty() ? "(document)" : m_path, "is not an object", "give a JSON object");
    }
}

inline std::string FieldReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

inline const boost::json::value *FieldReader::find(std::string_view key)
{
    m_knownKeys.push_back(key);
    return m_object->if_contains(key);
}

template<typename T>
void FieldReader::operator()(std::string_view key, T &value)
{
    const boost::json::value *json = find(key);
    if (json == nullptr) {
        throwFieldError(pathOf(key), "is missing", "add it");
    }
    fromJson(*json, value, pathOf(key));
}

template<typename T>
void FieldReader::optional(std::string_view key, T &value)
{
    if (const boost::json::value *json = find(key)) {
        fromJson(*json, value, pathOf(key));
    }
}

template<typename T>
void FieldReader::optional(std::string_view key, std::optional<T> &value)
{
    value.reset();
    const boost::json::value *json = find(key);
    if (json != nullptr && !json->is_null()) {
        fromJson(*json, value.emplace(), pathOf(key));
    }
}

inline void FieldReader::rejectUnknownKeys() const
{
    for (const auto &member : *m_object) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), member.key()) == m_knownKeys.end()) {
            std::string allowed;
            for (const std::string_view key : m_knownKeys) {
                allowed += (allowed.empty() ? "" : ", ") + std::string(key);
            }
            throwFieldError(pathOf(member.key()), "is unknown", "remove it or use one of " + allowed);
        }
    }
}

} // namespace heatherquay::protocol::detail
