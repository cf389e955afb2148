#include "heatherquay/state/policy_keys.hpp"

#include "heatherquay/error.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <variant>

namespace heatherquay::state::detail
{

namespace
{

using Member = std::variant<double PolicySettings::*, Duration PolicySettings::*, std::uint32_t PolicySettings::*>;

struct PolicyKey
{
    std::string_view name;
    Member member;
};

const std::array<PolicyKey, 8> &policyKeyTable()
{
    static const std::array<PolicyKey, 8> keys{{
        {"policy.ageing_period", &PolicySettings::ageingPeriod},
        {"policy.gang_wait_bound", &PolicySettings::gangWaitBound},
        {"policy.job_failure_bound", &PolicySettings::jobFailureBound},
        {"policy.probation_failures", &PolicySettings::probationFailures},
        {"policy.probation_period", &PolicySettings::probationPeriod},
        {"policy.reclaim_grace", &PolicySettings::reclaimGrace},
        {"policy.weight_completion", &PolicySettings::weightCompletion},
        {"policy.weight_fragmentation", &PolicySettings::weightFragmentation},
    }};
    return keys;
}

/// @throws Error(BadInput) if @p key does not exist
const PolicyKey &findPolicyKey(const std::string &key)
{
    std::string known;
    for (const PolicyKey &candidate : policyKeyTable()) {
        if (candidate.name == key) {
            return candidate;
        }
        known += (known.empty() ? "" : ", ") + std::string(candidate.name);
    }
    throw Error(ErrorKind::BadInput, "setting " + key + " cannot be changed at run time", "use one of " + known);
}

/// Parses a number at the start of @p text.
/// @return the rest of the text after the number
/// @throws Error(BadInput) if the text does not start with a number
template<typename Number>
std::string_view readNumber(const std::string &key, std::string_view text, Number &number)
{
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc()) {
        throw Error(ErrorKind::BadInput, key + " has the value \"" + std::string(text) + "\"", "give a number");
    }
    return text.substr(static_cast<std::size_t>(end - text.data()));
}

/// @return the number of milliseconds in @p unit; nothing if the unit is unknown. Without a unit, a number is in
/// milliseconds.
std::optional<std::int64_t> millisecondsOf(std::string_view unit)
{
    if (unit.empty() || unit == "ms") {
        return 1;
    }
    if (unit == "s") {
        return 1'000;
    }
    if (unit == "m" || unit == "min") {
        return 60'000;
    }
    return unit == "h" ? std::optional<std::int64_t>(3'600'000) : std::nullopt;
}

void parse(const std::string &key, const std::string &text, double &value)
{
    double number = 0;
    if (!readNumber(key, text, number).empty() || !(number >= 0.0 && number <= 1.0)) {
        throw Error(ErrorKind::BadInput, key + " has the value \"" + text + "\"", "give a number from 0 to 1");
    }
    value = number;
}

void parse(const std::string &key, const std::string &text, Duration &value)
{
    constexpr std::int64_t longestMilliseconds = 30LL * 24 * 3'600'000;
    std::int64_t number = 0;
    const std::optional<std::int64_t> unit = millisecondsOf(readNumber(key, text, number));
    if (!unit.has_value() || number < 1 || number > longestMilliseconds / *unit) {
        throw Error(ErrorKind::BadInput, key + " has the value \"" + text + "\"",
                    "give a time of 1 ms to 30 days, for example 500ms, 10s, 5m or 2h");
    }
    value = Duration(number * *unit);
}

void parse(const std::string &key, const std::string &text, std::uint32_t &value)
{
    std::uint32_t number = 0;
    if (!readNumber(key, text, number).empty() || number == 0) {
        throw Error(ErrorKind::BadInput, key + " has the value \"" + text + "\"",
                    "give a whole number from 1 to 4294967295");
    }
    value = number;
}

std::string format(double value)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::string format(Duration value)
{
    return std::to_string(value.count()) + "ms";
}

std::string format(std::uint32_t value)
{
    return std::to_string(value);
}

} // namespace

std::vector<std::string> policyKeys()
{
    std::vector<std::string> keys;
    for (const PolicyKey &key : policyKeyTable()) {
        keys.emplace_back(key.name);
    }
    return keys;
}

void setPolicy(PolicySettings &settings, const std::string &key, const std::string &value)
{
    std::visit(
        [&](auto member) {
            parse(key, value, settings.*member);
        },
        findPolicyKey(key).member);
}

std::string policyValue(const PolicySettings &settings, const std::string &key)
{
    return std::visit(
        [&settings](auto member) {
            return format(settings.*member);
        },
        findPolicyKey(key).member);
}

} // namespace heatherquay::state::detail
