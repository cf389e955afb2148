#include "heatherquay/app/settings_section.hpp"

#include "heatherquay/app/toml_library.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/state/units.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace heatherquay::app::detail
{

namespace
{

constexpr std::size_t sha256HexLength = 64;

std::string formatNumber(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

bool isSha256(const std::string &text)
{
    return text.size() == sha256HexLength && std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

} // namespace

ErrorList::ErrorList(std::string file)
    : m_file(std::move(file))
{
}

void ErrorList::add(std::uint32_t line, const std::string &key, const std::string &problem, const std::string &remedy)
{
    const std::string location = line == 0 ? m_file : m_file + ":" + std::to_string(line);
    const std::string keyPrefix = key.empty() ? std::string() : key + ": ";
    m_errors.push_back(location + ": " + keyPrefix + problem + "; " + remedy);
}

void ErrorList::throwIfAny() const
{
    if (m_errors.empty()) {
        return;
    }
    std::string message = m_errors.front();
    for (std::size_t index = 1; index < m_errors.size(); ++index) {
        message += "\n" + m_errors[index];
    }
    throw Error(ErrorKind::BadInput, message, "docs/settings.md describes every key");
}

Section::Section(const toml::table *table, std::string path, ErrorList &errors)
    : m_table(table)
    , m_path(std::move(path))
    , m_errors(&errors)
{
}

std::string Section::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

std::uint32_t Section::line() const
{
    return m_table ? m_table->source().begin.line : 0;
}

const toml::node *Section::find(std::string_view key, Presence presence)
{
    m_knownKeys.emplace(key);
    const toml::node *node = m_table ? m_table->get(key) : nullptr;
    if (!node && presence == Presence::Required) {
        m_errors->add(line(), pathOf(key), "the key is missing", "add it");
    }
    return node;
}

void Section::addError(std::string_view key, const std::string &problem, const std::string &remedy)
{
    const toml::node *node = m_table ? m_table->get(key) : nullptr;
    m_errors->add(node ? node->source().begin.line : line(), pathOf(key), problem, remedy);
}

void Section::text(std::string_view key, std::string &value, Presence presence)
{
    const toml::node *node = find(key, presence);
    if (!node) {
        return;
    }
    const auto found = node->value_exact<std::string>();
    if (!found || found->empty()) {
        addError(key, "the value is not a non-empty string", "write a string in quotes that is not empty");
        return;
    }
    value = *found;
}

void Section::choice(std::string_view key, std::string &value, const std::vector<std::string> &allowed)
{
    text(key, value);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
        return;
    }
    std::string list;
    for (const std::string &word : allowed) {
        list += (list.empty() ? "\"" : ", \"") + word + "\"";
    }
    addError(key, "\"" + value + "\" is not known", "use one of " + list);
}

void Section::address(std::string_view key, std::string &value, Presence presence)
{
    text(key, value, presence);
    if (value.empty()) {
        return;
    }
    try {
        transport::parseAddress(value);
    } catch (const Error &error) {
        addError(key, "\"" + value + "\" is not an address", error.remedy());
    }
}

void Section::integer(std::string_view key, std::uint32_t &value, std::uint32_t low, std::uint32_t high)
{
    const toml::node *node = find(key, Presence::Optional);
    if (!node) {
        return;
    }
    const auto found = node->value_exact<std::int64_t>();
    if (!found || *found < low || *found > high) {
        addError(key, "the value is not in range",
                 "write a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    value = static_cast<std::uint32_t>(*found);
}

void Section::fraction(std::string_view key, double &value, double low, double high)
{
    const toml::node *node = find(key, Presence::Optional);
    if (!node) {
        return;
    }
    const auto found = node->is_number() ? node->value<double>() : std::nullopt;
    // The negated range check also rejects NaN.
    if (!found || !(*found >= low && *found <= high)) {
        addError(key, "the value is not in range",
                 "write a number from " + formatNumber(low) + " to " + formatNumber(high));
        return;
    }
    value = *found;
}

void Section::duration(std::string_view key, std::chrono::milliseconds &value, std::chrono::milliseconds low,
                       std::chrono::milliseconds high)
{
    std::string valueText;
    text(key, valueText);
    if (valueText.empty()) {
        return;
    }
    try {
        const auto parsed = state::parseDuration(valueText);
        if (parsed < low || parsed > high) {
            addError(key, "\"" + valueText + "\" is not in range",
                     "write a time from " + state::formatDuration(low) + " to " + state::formatDuration(high));
            return;
        }
        value = parsed;
    } catch (const Error &error) {
        addError(key, "\"" + valueText + "\" is not a time", error.remedy());
    }
}

void Section::size(std::string_view key, std::uint64_t &value, std::uint64_t low, std::uint64_t high)
{
    std::string valueText;
    text(key, valueText);
    if (valueText.empty()) {
        return;
    }
    try {
        const std::uint64_t parsed = state::parseSize(valueText);
        if (parsed < low || parsed > high) {
            addError(key, "\"" + valueText + "\" is not in range",
                     "write a size from " + std::to_string(low) + "B to " + std::to_string(high) + "B");
            return;
        }
        value = parsed;
    } catch (const Error &error) {
        addError(key, "\"" + valueText + "\" is not a size", error.remedy());
    }
}

void Section::hashes(std::string_view key, std::vector<std::string> &value)
{
    const toml::node *node = find(key, Presence::Required);
    if (!node) {
        return;
    }
    const toml::array *list = node->as_array();
    if (!list || list->empty()) {
        addError(key, "the value is not a list of hashes", "write a list of SHA-256 hashes, such as [\"9f86d0...\"]");
        return;
    }
    for (const toml::node &item : *list) {
        const auto hash = item.value_exact<std::string>();
        if (!hash || !isSha256(*hash)) {
            m_errors->add(item.source().begin.line, pathOf(key), "an item is not a SHA-256 hash",
                          "write 64 lower-case hexadecimal digits, as printed by sha256sum");
            continue;
        }
        value.push_back(*hash);
    }
}

Section Section::section(std::string_view key)
{
    const toml::node *node = find(key, Presence::Optional);
    if (node && !node->is_table()) {
        addError(key, "it is not a section", "write [" + pathOf(key) + "] on a line of its own");
    }
    return {node ? node->as_table() : nullptr, pathOf(key), *m_errors};
}

std::vector<Section> Section::sections(std::string_view key)
{
    std::vector<Section> found;
    const toml::node *node = find(key, Presence::Optional);
    if (!node) {
        return found;
    }
    const toml::array *list = node->as_array();
    const std::string remedy = "write [[" + pathOf(key) + "]] on a line of its own";
    if (!list) {
        addError(key, "it is not a list of sections", remedy);
        return found;
    }
    for (const toml::node &item : *list) {
        if (const toml::table *table = item.as_table()) {
            found.emplace_back(table, pathOf(key), *m_errors);
        } else {
            m_errors->add(item.source().begin.line, pathOf(key), "an item is not a section", remedy);
        }
    }
    return found;
}

void Section::reportUnknownKeys()
{
    if (!m_table) {
        return;
    }
    for (const auto &[key, node] : *m_table) {
        if (m_knownKeys.find(key.str()) != m_knownKeys.end()) {
            continue;
        }
        std::string known;
        for (const std::string &name : m_knownKeys) {
            known += (known.empty() ? "" : ", ") + name;
        }
        m_errors->add(key.source().begin.line, pathOf(key.str()), "the key is not known",
                      "remove it or use one of " + known);
    }
}

} // namespace heatherquay::app::detail
