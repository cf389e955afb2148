#pragma once

#include <cstddef>
#include <string_view>

#include <boost/json/value.hpp>

namespace heatherquay::protocol
{

enum class JsonProblem
{
    None,
    Malformed, ///< Not JSON, or nested too deeply.
    TooLarge ///< The values take more memory than allowed.
};

struct JsonDocument
{
    boost::json::value value; ///< Null when there is a problem.
    JsonProblem problem{JsonProblem::None};
};

/// Parses JSON from a sender that is not trusted. Many small values take more than ten times their text.
/// @param bytesMax most memory that the parser and the values take together
JsonDocument parseJsonWithin(std::string_view text, std::size_t bytesMax);

} // namespace heatherquay::protocol
