#pragma once

#include <stdexcept>
#include <string>

#include <toml++/impl/forward_declarations.h>

namespace heatherquay::app::detail
{

constexpr void requireParserAssumption(bool holds, const char *assumption)
{
    if (!holds) {
        throw std::logic_error(std::string("the parser's assumption failed: ") + assumption);
    }
}

} // namespace heatherquay::app::detail

// The parser of toml++ 3.3 asserts on some malformed keys that it should reject, such as a key that begins with a
// control character. Assertions therefore throw std::logic_error, which parseSettings() reports as a malformed key.
// Include toml++ only through this header, and only in .cpp files.
#undef TOML_ASSERT
#define TOML_ASSERT(expression)                                                                                        \
    ::heatherquay::app::detail::requireParserAssumption(static_cast<bool>(expression), #expression)

#include <toml++/toml.h>
