#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/fwd.hpp>

namespace heatherquay::protocol
{

// Checked access to JSON documents that other systems send. Every function throws Error(BadInput), which names the
// document or the member, if the document is malformed, or if a member is missing or has the wrong type.

/// @param name what the text is, for error messages
boost::json::value parseJson(std::string_view text, std::string_view name);
/// @param name what the value is, for error messages
const boost::json::object &jsonObject(const boost::json::value &value, std::string_view name);
const boost::json::array &jsonArray(const boost::json::object &object, std::string_view key);
std::string jsonString(const boost::json::object &object, std::string_view key);
/// @return the member as a non-negative integer
std::uint64_t jsonNumber(const boost::json::object &object, std::string_view key);

} // namespace heatherquay::protocol
