#pragma once

#include "heatherquay/coordination/journal_record.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/state/commands.hpp"

#include <string>
#include <vector>

#include <boost/json.hpp>

namespace heatherquay::testing
{

/// State machine for tests: logs the values of all setting changes in order and rejects all other events.
struct SettingLogMachine
{
    std::string log; ///< The values, each followed by a semicolon.

    std::vector<state::Command> apply(const state::Event &event, state::Instant)
    {
        const auto *changed = std::get_if<state::SettingChanged>(&event);
        if (changed == nullptr) {
            throw Error(ErrorKind::Conflict, "the event is not a setting change", "");
        }
        log += changed->setting.value + ";";
        return {state::NotifyOperator{state::Severity::Info, changed->setting.value}};
    }
    std::string serialize() const
    {
        return log;
    }
    static SettingLogMachine deserialize(const std::string &text)
    {
        return {text};
    }
};

/// @return a codec that encodes a setting change as its value and any other event as null, which it decodes as a tick
inline coordination::EventCodec settingLogCodec()
{
    return {.encode =
                [](const state::Event &event) {
                    const auto *changed = std::get_if<state::SettingChanged>(&event);
                    return changed == nullptr ? boost::json::value() : boost::json::value(changed->setting.value);
                },
            .decode = [](const boost::json::value &value) -> state::Event {
                if (value.is_null()) {
                    return state::Tick{};
                }
                if (!value.is_string()) {
                    throw Error(ErrorKind::BadInput, "unknown event", "");
                }
                return state::SettingChanged{{"k", std::string(value.get_string())}};
            }};
}

} // namespace heatherquay::testing
