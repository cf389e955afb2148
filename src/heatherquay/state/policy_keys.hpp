#pragma once

#include "heatherquay/state/policy_settings.hpp"

#include <string>
#include <vector>

namespace heatherquay::state::detail
{

/// @return the keys of all settings that can change at run time, in alphabetical order
std::vector<std::string> policyKeys();
/// Sets the value of one key.
/// @throws Error(BadInput) if the key is unknown or the value is invalid; @p settings is then unchanged
void setPolicy(PolicySettings &settings, const std::string &key, const std::string &value);
/// @return the value of @p key as text that setPolicy() accepts
/// @throws Error(BadInput) if the key is unknown
std::string policyValue(const PolicySettings &settings, const std::string &key);

} // namespace heatherquay::state::detail
