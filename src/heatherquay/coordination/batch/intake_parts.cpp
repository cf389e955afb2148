#include "heatherquay/coordination/batch/intake_parts.hpp"

#include "heatherquay/coordination/batch/layout.hpp"

#include <algorithm>

namespace heatherquay::coordination::batch
{

namespace detail
{

/// FNV-1a, the same in all builds and on all processors.
std::uint32_t hashText(std::string_view text)
{
    constexpr std::uint32_t offsetBasis = 2'166'136'261;
    constexpr std::uint32_t prime = 16'777'619;
    std::uint32_t hash = offsetBasis;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= prime;
    }
    return hash;
}

} // namespace detail

std::string intakePartName(std::uint32_t index)
{
    return index == 0 ? intakePart : std::string(intakePart) + "-" + std::to_string(index);
}

std::vector<std::string> intakePartNames()
{
    std::vector<std::string> names;
    for (std::uint32_t index = 0; index < intakePartsMax; ++index) {
        names.push_back(intakePartName(index));
    }
    return names;
}

std::optional<std::uint32_t> intakePartIndex(std::string_view part)
{
    for (std::uint32_t index = 0; index < intakePartsMax; ++index) {
        if (part == intakePartName(index)) {
            return index;
        }
    }
    return std::nullopt;
}

std::vector<std::string> orderIntakeParts(const state::JobId &job, std::uint32_t parts)
{
    const std::uint32_t count = std::clamp(parts, 1U, intakePartsMax);
    const std::uint32_t first = detail::hashText(job.value) % count;
    std::vector<std::string> names;
    for (std::uint32_t offset = 0; offset < count; ++offset) {
        names.push_back(intakePartName((first + offset) % count));
    }
    return names;
}

std::optional<std::string> firstIntakePart(const IntakePartSet &parts)
{
    for (std::uint32_t index = 0; index < intakePartsMax; ++index) {
        if (parts.test(index)) {
            return intakePartName(index);
        }
    }
    return std::nullopt;
}

} // namespace heatherquay::coordination::batch
