#pragma once

#include "heatherquay/state/entry_settings.hpp"

#include <string>
#include <string_view>

namespace heatherquay::app
{

/// Parses the settings of an entry. docs/settings.md describes all keys.
/// @param text a TOML document
/// @param file the file name for error messages
/// @throws Error(BadInput) listing file, line, key and remedy of each error found
state::EntrySettings parseSettings(std::string_view text, const std::string &file);

/// Reads and parses a settings file.
/// @throws Error(BadInput) when the file cannot be read, and as parseSettings() does
state::EntrySettings readSettings(const std::string &file);

} // namespace heatherquay::app
