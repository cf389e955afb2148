#pragma once

#include <cstdint>
#include <string>

namespace heatherquay::transport
{

/// @return a pseudo-random number from a thread-local generator; predictable, so not for secrets
std::uint64_t randomNumber();

/// Generates an unpredictable identifier.
/// @return @p bytes cryptographically secure random bytes in lower-case hexadecimal
/// @throws Error(Internal) when OpenSSL fails
std::string randomHex(std::size_t bytes);

} // namespace heatherquay::transport
