#include "crowds/small_process.hpp"
#include "crowds/staying_samples.hpp"
#include "emulator/platform_emulator.hpp"

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::crowds;

namespace
{

/// A process beside a platform, and a crowd that stays while ordinary requests are sent.
struct CrowdedProcess
{
    explicit CrowdedProcess(ProcessLimits limits = {})
        : platform(workers, 100ms)
    {
        platform.configure(platformConfiguration);
        small = std::make_unique<SmallProcess>(platform.storeAddress(), limits);
        BOOST_REQUIRE(small->answers(200));
    }

    /// Runs a crowd against one of the process's ports.
    void play(const StayingSample &sample, std::uint16_t port, const std::function<void()> &beside) const
    {
        StayingCrowd crowd({small->process->pid(), serverAddress, port}, sample.addresses);
        for (const auto &[script, clients] : sample.clients) {
            crowd.add(script(platformTarget), clients);
        }
        crowd.start();
        std::this_thread::sleep_for(crowdTime);
        beside();
        crowd.stop();
        small->checkBounds(crowd.peak());
    }
    void playAgainstCallers(const StayingSample &sample) const
    {
        play(sample, small->ports[0], [this] {
            BOOST_TEST(small->answersWithRetries(), "an ordinary request was not answered beside the crowd");
        });
        BOOST_TEST(small->answers(200));
    }

    test::PlatformEmulator platform;
    std::unique_ptr<SmallProcess> small;
};

StayingSample jsonCrowd(const JsonForm &form, std::size_t clients)
{
    const std::string body = form.body();
    const ScriptMaker script = [body](const Target &target) {
        return wholeRequests(target, body);
    };
    return {form.name, {{script, clients}}, 20};
}

/// Waits until a process holds at most half of its memory.
bool returnsMemory(const SmallProcess &small)
{
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (residentMemory(small.process->pid()) > small.limits.memoryMb * 1'000'000 / 2) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

/// An address of the process beside that for callers.
struct ControlAddress
{
    std::string name;
    std::size_t port{}; ///< Index in SmallProcess::ports; beyond them the metrics.
};

std::ostream &operator<<(std::ostream &stream, const ControlAddress &address)
{
    return stream << address.name;
}

constexpr std::uint16_t metricsPort = 9'464;
const std::vector<ControlAddress> controlAddresses{{"readiness", 1}, {"peers", 2}, {"metrics", 3}};
const std::vector<StayingSample> controlSamples{stayingSamples[0], stayingSamples[2], stayingSamples[4],
                                                stayingSamples[5]};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_staying_crowds)

// Guards against crowds that take all connections, the kernel's memory, or the time of ordinary callers.
BOOST_DATA_TEST_CASE(ordinary_callers_are_answered_beside_a_crowd, stayingSamples)
{
    const CrowdedProcess crowded;
    crowded.playAgainstCallers(sample);
}

// Guards against whole bodies inside the limit of size that take many times their size when they are parsed.
BOOST_DATA_TEST_CASE(whole_bodies_of_each_form_stay_within_the_memory, jsonForms)
{
    const CrowdedProcess crowded;
    crowded.playAgainstCallers(jsonCrowd(sample, 200));
}

// Guards against bodies that few connections can send, so that no limit of connections holds them.
BOOST_AUTO_TEST_CASE(whole_bodies_of_few_clients_stay_within_the_memory)
{
    const CrowdedProcess crowded;
    crowded.playAgainstCallers(jsonCrowd(jsonForms.front(), 20));
}

// Guards against memory that grows with the requests of callers without a key.
BOOST_AUTO_TEST_CASE(whole_bodies_without_a_key_stay_within_the_memory)
{
    const CrowdedProcess crowded;
    const std::string body = jsonForms.front().body();
    const ScriptMaker script = [body](const Target &) {
        return wholeRequests({"POST /batch/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n", ""}, body);
    };
    crowded.playAgainstCallers({"without a key", {{script, 200}}, 20});
}

// The smallest VM in force: more descriptors than the memory of as many connections.
BOOST_AUTO_TEST_CASE(whole_bodies_stay_within_the_memory_of_the_smallest_vm)
{
    const CrowdedProcess crowded({120, 3'075});
    crowded.playAgainstCallers(jsonCrowd(jsonForms.front(), 800));
}

// Guards against a crowd that takes more connections than the smallest VM has memory for.
BOOST_DATA_TEST_CASE(a_crowd_stays_within_the_memory_of_the_smallest_vm, stayingSamples)
{
    const CrowdedProcess crowded({120, 3'075});
    crowded.playAgainstCallers(sample);
}

// Guards against memory that the process keeps after a crowd, so that the next one finds less.
BOOST_AUTO_TEST_CASE(a_crowd_that_returns_finds_the_same_room)
{
    const CrowdedProcess crowded;
    for (int visit = 0; visit < 3; ++visit) {
        crowded.playAgainstCallers(mixedSample);
        crowded.playAgainstCallers(jsonCrowd(jsonForms.front(), 200));
    }
}

// Guards against memory that the process keeps, so that it holds a crowd's share without a client.
BOOST_AUTO_TEST_CASE(memory_is_returned_when_a_crowd_has_left)
{
    const CrowdedProcess crowded;
    crowded.playAgainstCallers(jsonCrowd(jsonForms.front(), 200));
    BOOST_TEST(returnsMemory(*crowded.small));
}

// Guards against crowds at the addresses that are not for callers.
BOOST_DATA_TEST_CASE(a_crowd_at_another_address_stays_within_the_limits,
                     boost::unit_test::data::make(controlAddresses) * controlSamples, controlAddress, crowdSample)
{
    const CrowdedProcess crowded;
    const auto &ports = crowded.small->ports;
    const std::uint16_t port = controlAddress.port < ports.size() ? ports[controlAddress.port] : metricsPort;
    crowded.play(crowdSample, port, [&crowded] {
        BOOST_TEST(crowded.small->answersWithRetries(), "an ordinary request was not answered beside the crowd");
        BOOST_TEST(crowded.small->isReadyWithRetries(), "a readiness check was not answered beside the crowd");
    });
    BOOST_TEST(crowded.small->answers(200));
}

BOOST_AUTO_TEST_SUITE_END()
