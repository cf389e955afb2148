#include "heatherquay/app/settings_parser.hpp"

#include "heatherquay/error.hpp"

#include <filesystem>
#include <fstream>
#include <random>
#include <regex>
#include <set>
#include <sstream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace std::chrono_literals;

namespace
{

std::string readRepositoryFile(const std::string &name)
{
    const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
    std::ostringstream text;
    text << std::ifstream(root / name).rdbuf();
    return text.str();
}

std::string exampleSettings()
{
    return readRepositoryFile("examples/entry.toml");
}

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

/// @return the error message of the parser, empty if it accepts the text
std::string rejectionMessage(const std::string &text)
{
    try {
        app::parseSettings(text, "f.toml");
    } catch (const Error &error) {
        BOOST_TEST((error.kind() == ErrorKind::BadInput));
        return error.what();
    }
    return {};
}

struct BadValue
{
    const char *from;
    const char *to;
    const char *expected;
};

std::ostream &operator<<(std::ostream &out, const BadValue &value)
{
    return out << value.to;
}

const BadValue badValues[] = {
    {"threads = 2", "threads = 0", "f.toml:8: entry.threads: the value is not in range; write a whole number"},
    {"threads = 2", "threads = \"2\"", "entry.threads"},
    {"threads = 2", "thraeds = 2", "f.toml:8: entry.thraeds: the key is not known; remove it or use one of"},
    {"timeout = \"1s\"", "timeout = \"5 parsecs\"", "table.timeout: \"5 parsecs\" is not a time; write a whole number"},
    {"timeout = \"1s\"", "timeout = 1", "table.timeout: the value is not a non-empty string"},
    {"timeout = \"1s\"", "timeout = \"1ms\"", "write a time from 10ms to 1min"},
    {"timeout = \"1s\"", "timeout = \"99999999999999999999s\"", "is not a time"},
    {"header = \"16KiB\"", "header = \"16KB\"", "limits.header: \"16KB\" is not a size"},
    {"callers = \"127.0.0.1:8080\"", "callers = \"localhost\"", "listen.callers: \"localhost\" is not an address"},
    {"callers = \"127.0.0.1:8080\"", "", "listen.callers: the key is missing; add it"},
    {"weight_completion = 1.0", "weight_completion = nan", "policy.weight_completion: the value is not in range"},
    {"strategy = \"shares-with-loans\"", "strategy = \"best\"", "use one of \"shares\""},
    {"lease = \"6s\"", "lease = \"3s\"", "membership.lease: the lease is shorter than two renewals"},
    {"connections_per_endpoint = 64", "connections_per_endpoint = 17", "at least twice membership.entries_max"},
    {"[plans]", "[planz]", "planz: the key is not known"},
    {"[[team]]", "[team]", "team: it is not a list of sections"},
    {"id = \"guitars\"", "id = \"\"", "team.id: the value is not a non-empty string"},
    {"[entry]", "[entry", "f.toml:3: not TOML"},
};

} // namespace

// Guards against values being stored in the wrong field or in the wrong unit.
BOOST_AUTO_TEST_CASE(settings_example_is_accepted_with_its_values)
{
    const state::EntrySettings settings = app::parseSettings(exampleSettings(), "entry.toml");
    BOOST_TEST(settings.id.value == "suva-1");
    BOOST_TEST(settings.table.timeout.count() == 1000);
    BOOST_TEST(settings.callerLimits.headerBytes == 16384u);
    BOOST_TEST(settings.idempotencyRetention.count() == 24);
    BOOST_REQUIRE(settings.services.size() == 1);
    BOOST_TEST(settings.services.front().objectives.front().latencyShare == 0.99);
    BOOST_TEST(settings.teams.front().tokenSha256.front().size() == 64u);
    BOOST_TEST((settings.policy.gangWaitBound == 2h));
}

// Guards against an invalid value being accepted, and against an error message without location or remedy.
BOOST_DATA_TEST_CASE(settings_invalid_value_is_rejected_with_key_and_remedy, boost::unit_test::data::make(badValues))
{
    const std::string message = rejectionMessage(replaceFirst(exampleSettings(), sample.from, sample.to));
    BOOST_TEST_INFO(message);
    BOOST_TEST(message.find(sample.expected) != std::string::npos);
}

// Guards against the parser stopping at the first error.
BOOST_AUTO_TEST_CASE(settings_errors_are_reported_together)
{
    std::string text = replaceFirst(exampleSettings(), "threads = 2", "threads = -1");
    text = replaceFirst(text, "every = \"1s\"", "every = \"never\"");
    const std::string message = rejectionMessage(text);
    BOOST_TEST(message.find("entry.threads") != std::string::npos);
    BOOST_TEST(message.find("vm_list.every") != std::string::npos);
}

// Guards against keys that appear only in docs/settings.md or only in the example; the example is parsed by other
// tests, which reject unknown keys.
BOOST_AUTO_TEST_CASE(settings_page_and_example_list_the_same_keys)
{
    const std::string page = readRepositoryFile("docs/settings.md");
    const std::regex row(R"(\n\| `([a-z_0-9.]+)` )");
    std::set<std::string> documented;
    for (std::sregex_iterator match(page.begin(), page.end(), row), end; match != end; ++match) {
        documented.insert((*match)[1]);
    }
    std::set<std::string> inExample;
    std::istringstream lines(exampleSettings());
    std::string section;
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.front() == '[') {
            section = line.substr(line.find_first_not_of('['), line.find(']') - line.find_first_not_of('['));
        } else if (!line.empty() && line.front() != '#') {
            inExample.insert(section + "." + line.substr(0, line.find(' ')));
        }
    }
    BOOST_TEST(documented == inExample, boost::test_tools::per_element());
}

// Guards against a crash, a hang or an error of another kind on corrupted files.
BOOST_AUTO_TEST_CASE(settings_corrupted_files_are_rejected_or_parsed)
{
    std::mt19937 random(20261204);
    const std::string original = exampleSettings();
    for (int round = 0; round < 3000; ++round) {
        std::string text = original;
        const std::size_t edits = 1 + random() % 4;
        for (std::size_t edit = 0; edit < edits && !text.empty(); ++edit) {
            const std::size_t at = random() % text.size();
            switch (random() % 4) {
            case 0:
                text[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(at, random() % 40);
                break;
            case 2:
                text.insert(at, text.substr(random() % text.size(), random() % 40));
                break;
            default:
                text.resize(at + 1);
            }
        }
        rejectionMessage(text);
    }
}
