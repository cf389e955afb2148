#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace heatherquay::transport
{

/// Hashes several parts as one message. The length precedes each part, so that the same bytes split at another position
/// have another digest. A single part is hashed without its length.
/// @return the SHA-256 digest in lower-case hexadecimal
/// @throws Error(Internal) when OpenSSL fails
std::string sha256Hex(std::initializer_list<std::string_view> parts);

/// Compares two secrets in a time that depends only on their lengths, so that it does not reveal where they differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace heatherquay::transport
