#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/impl/forward_declarations.h>

namespace heatherquay::app::detail
{

/// Collects the errors of one settings file, so that they are reported together.
class ErrorList
{
public:
    explicit ErrorList(std::string file);

    /// @param line 0 if the error has no line, for example when a section is missing
    /// @param key the full path of the key, or empty if the error concerns the whole file
    void add(std::uint32_t line, const std::string &key, const std::string &problem, const std::string &remedy);
    /// @throws Error(BadInput) listing all errors, if there are any
    void throwIfAny() const;

private:
    std::string m_file;
    std::vector<std::string> m_errors;
};

enum class Presence
{
    Optional,
    Required
};

/// Reads the keys of one TOML table into variables. A variable keeps its default when the key is absent. Invalid values
/// are added to the error list.
class Section
{
public:
    /// @param table null if the section is absent
    /// @param path the path of the table for error messages, empty for the root
    Section(const toml::table *table, std::string path, ErrorList &errors);

    /// A non-empty string.
    void text(std::string_view key, std::string &value, Presence presence = Presence::Optional);
    /// One of the strings in @p allowed.
    void choice(std::string_view key, std::string &value, const std::vector<std::string> &allowed);
    /// An IP address and a port.
    void address(std::string_view key, std::string &value, Presence presence = Presence::Optional);
    /// An integer from @p low to @p high.
    void integer(std::string_view key, std::uint32_t &value, std::uint32_t low, std::uint32_t high);
    /// A number from @p low to @p high, with or without decimals.
    void fraction(std::string_view key, double &value, double low, double high);
    /// A string such as "500ms" or "2h", from @p low to @p high.
    void duration(std::string_view key, std::chrono::milliseconds &value, std::chrono::milliseconds low,
                  std::chrono::milliseconds high);
    /// A string such as "16KiB", from @p low to @p high bytes.
    void size(std::string_view key, std::uint64_t &value, std::uint64_t low, std::uint64_t high);
    /// A list of at least one SHA-256 hash in lower-case hexadecimal. Required.
    void hashes(std::string_view key, std::vector<std::string> &value);
    /// @return the subsection [key], whose keys keep their defaults if it is absent
    Section section(std::string_view key);
    /// @return the sections of the list [[key]], empty if it is absent
    std::vector<Section> sections(std::string_view key);
    /// Adds an error for each key that no other function has read. Call it last.
    void reportUnknownKeys();
    /// Adds an error at the line of a key, or at the line of the section if the key is absent.
    void addError(std::string_view key, const std::string &problem, const std::string &remedy);

private:
    const toml::node *find(std::string_view key, Presence presence);
    std::string pathOf(std::string_view key) const;
    std::uint32_t line() const;

    const toml::table *m_table;
    std::string m_path;
    ErrorList *m_errors;
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace heatherquay::app::detail
