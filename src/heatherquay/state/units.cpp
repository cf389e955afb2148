#include "heatherquay/state/units.hpp"

#include "heatherquay/error.hpp"

#include <array>
#include <charconv>
#include <limits>

namespace heatherquay::state
{

namespace detail
{

struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<Unit, 4> durationUnits{{{"h", 3'600'000}, {"min", 60'000}, {"s", 1'000}, {"ms", 1}}};
constexpr std::array<Unit, 4> sizeUnits{{{"GiB", 1ULL << 30}, {"MiB", 1ULL << 20}, {"KiB", 1ULL << 10}, {"B", 1}}};

/// Parses a whole number that is followed by the name of a unit.
/// @param what noun for the error message, for example "a size"
/// @throws Error(BadInput) if the text is malformed or the product exceeds the range of std::int64_t
template<std::size_t Count>
std::uint64_t parseWithUnit(std::string_view text, const std::array<Unit, Count> &units, const char *what,
                            const char *remedy)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    for (const Unit &known : units) {
        const bool fits = number <= std::numeric_limits<std::int64_t>::max() / known.factor;
        if (error == std::errc() && unit == known.name && fits) {
            return number * known.factor;
        }
    }
    throw Error(ErrorKind::BadInput, "\"" + std::string(text) + "\" is not " + what, remedy);
}

} // namespace detail

std::chrono::milliseconds parseDuration(std::string_view text)
{
    const std::uint64_t milliseconds = detail::parseWithUnit(
        text, detail::durationUnits, "a time", "write a whole number with the unit ms, s, min or h, such as \"500ms\"");
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

std::uint64_t parseSize(std::string_view text)
{
    return detail::parseWithUnit(text, detail::sizeUnits, "a size",
                                 "write a whole number with the unit B, KiB, MiB or GiB, such as \"16KiB\"");
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    const auto count = static_cast<std::uint64_t>(duration.count() < 0 ? 0 : duration.count());
    for (const detail::Unit &unit : detail::durationUnits) {
        if (count != 0 && count % unit.factor == 0) {
            return std::to_string(count / unit.factor) + std::string(unit.name);
        }
    }
    return std::to_string(count) + "ms";
}

} // namespace heatherquay::state
