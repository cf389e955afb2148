#include "system/platform_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::system_test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t paddingLines = 400'000;

/// @return whether the process has the file open
bool reads(const EntryProcess &process, const std::filesystem::path &file)
{
    std::error_code ignored;
    const std::filesystem::path descriptors = "/proc/" + std::to_string(process.pid()) + "/fd";
    for (const auto &descriptor : std::filesystem::directory_iterator(descriptors, ignored)) {
        if (std::filesystem::read_symlink(descriptor.path(), ignored) == file) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(signals)

// Guards against a process that a reload during its start ends.
BOOST_FIXTURE_TEST_CASE(a_reload_during_the_start_does_not_end_the_process, PlatformFixture)
{
    processes[0]->signal(SIGKILL);
    processes[0]->wait(2s);
    std::string settings = settingsOf(0);
    for (std::size_t line = 0; line < paddingLines; ++line) {
        settings += "# Makes the process read for a while.\n";
    }
    EntryProcess process("late", settings, directory, "HEATHERQUAY_NODE_FILE");
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (!reads(process, directory / "late.toml")) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
    }
    process.signal(SIGHUP);
    BOOST_TEST(waitFor(
        [this] {
            return call(0, "GET", "/batch/", "").status == 200;
        },
        10s));
    process.signal(SIGTERM);
    BOOST_TEST(process.wait(7s).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
