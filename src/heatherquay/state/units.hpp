#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace heatherquay::state
{

/// Parses a duration such as "500ms", "2s", "5min" or "24h".
/// @throws Error(BadInput) if @p text is not a whole number with one of these units or is out of range
std::chrono::milliseconds parseDuration(std::string_view text);

/// Parses a size such as "512B", "16KiB", "8MiB" or "1GiB".
/// @return the size in bytes
/// @throws Error(BadInput) if @p text is not a whole number with one of these units or is out of range
std::uint64_t parseSize(std::string_view text);

/// @return the duration as a whole number of the largest possible unit, in the format of parseDuration(); a negative
/// duration gives "0ms"
std::string formatDuration(std::chrono::milliseconds duration);

} // namespace heatherquay::state
