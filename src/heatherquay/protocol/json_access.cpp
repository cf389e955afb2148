#include "heatherquay/protocol/json_access.hpp"

#include "heatherquay/error.hpp"

#include <boost/json.hpp>

namespace heatherquay::protocol
{

namespace json = boost::json;

namespace detail
{

[[noreturn]] void throwMalformed(std::string_view name, const std::string &problem)
{
    throw Error(ErrorKind::BadInput, "malformed JSON: " + std::string(name) + " " + problem,
                "check that the sender runs a compatible version");
}

const json::value &requireMember(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        throwMalformed(key, "is missing");
    }
    return *value;
}

} // namespace detail

json::value parseJson(std::string_view text, std::string_view name)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        detail::throwMalformed(name, "cannot be parsed: " + error.message());
    }
    return value;
}

const json::object &jsonObject(const json::value &value, std::string_view name)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        detail::throwMalformed(name, "is not an object");
    }
    return *object;
}

const json::array &jsonArray(const json::object &object, std::string_view key)
{
    const json::array *array = detail::requireMember(object, key).if_array();
    if (array == nullptr) {
        detail::throwMalformed(key, "is not an array");
    }
    return *array;
}

std::string jsonString(const json::object &object, std::string_view key)
{
    const json::string *text = detail::requireMember(object, key).if_string();
    if (text == nullptr) {
        detail::throwMalformed(key, "is not a string");
    }
    return std::string(*text);
}

std::uint64_t jsonNumber(const json::object &object, std::string_view key)
{
    const json::value &value = detail::requireMember(object, key);
    if (value.is_uint64()) {
        return value.get_uint64();
    }
    if (!value.is_int64() || value.get_int64() < 0) {
        detail::throwMalformed(key, "is not a whole number of at least 0");
    }
    return static_cast<std::uint64_t>(value.get_int64());
}

} // namespace heatherquay::protocol
