#include "heatherquay/error.hpp"
#include "heatherquay/protocol/event_codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::protocol;

BOOST_AUTO_TEST_SUITE(event_codec)

// Guards against an event or one of its fields that is lost when the event is encoded and decoded again.
BOOST_AUTO_TEST_CASE(every_event_round_trips)
{
    const state::Shape shape{{{8, {"a100"}, state::Adjacency::FailureDomain}}};
    state::JobSpec job;
    job.id.value = "j";
    job.team.value = "t";
    job.shape = shape;
    job.command = "run \"x\"\n";
    const state::WorkerSpec worker{{"w"}, "127.0.0.1:1", {"r"}, {"d"}, {"k"}, 4, 1024, {{"a100"}}};
    const std::vector<state::Event> events{state::WorkerAdded{worker},
                                           state::WorkerLost{{"w"}},
                                           state::WorkerReturned{{"w"}},
                                           state::WorkerDraining{{"w"}, false},
                                           state::EndpointDraining{{"s"}, "127.0.0.1:2", true},
                                           state::TeamDeclared{{{"t"}, 2, 3}},
                                           state::GuaranteeGranted{{{"g"}, {"t"}, shape}},
                                           state::GuaranteeWithdrawn{{"g"}},
                                           state::JobSubmitted{job},
                                           state::JobCancelled{{"j"}},
                                           state::GangStarted{{"j"}, {7}},
                                           state::GangStartFailed{{"j"}, {7}, state::WorkerId{"w"}},
                                           state::TaskFailed{{"j"}, {7}, std::nullopt},
                                           state::JobFinished{{"j"}, {18'000'000'000'000'000'000U}},
                                           state::TasksStopped{{"j"}, {7}, true},
                                           state::UsageReported{{"j"}, {7}, -1.0, state::Duration(5)},
                                           state::SettingChanged{{"k", "v"}},
                                           state::Tick{}};
    for (const state::Event &event : events) {
        const std::string text = encode(event);
        const state::Event decoded = decodeEvent(text);
        BOOST_TEST(decoded.index() == event.index(), text);
        BOOST_TEST(encode(decoded) == text);
    }
    BOOST_TEST(std::get<state::JobSubmitted>(decodeEvent(encode(events[8]))).job.command == job.command);
}

// Guards against a decoder that rejects or misreads the documented JSON of operators' intents.
BOOST_AUTO_TEST_CASE(operator_intents_are_decoded_as_documented)
{
    const auto job = std::get<state::JobIntent>(decodeIntent(
        R"({"kind":"job","id":"j1","team":"t1","shape":[{"count":8,"kinds":["a100"],"adjacency":"worker"}],"urgent":true,)"
        R"("use_guarantee":false,"declared_run_time_ms":60000,"class":"quote","command":"x"})"));
    BOOST_TEST(job.job.urgent);
    BOOST_TEST(!job.job.useGuarantee);
    BOOST_TEST(job.job.declaredRunTime.count() == 60'000);
    BOOST_TEST((job.job.shape.parts.at(0).adjacency == state::Adjacency::Worker));
    BOOST_TEST(
        std::get<state::GuaranteeIntent>(decodeIntent(R"({"kind":"guarantee","id":"g","withdraw":true})")).withdraw);
    BOOST_TEST(std::get<state::DrainIntent>(decodeIntent(R"({"kind":"drain","worker":"w1"})")).draining);
    BOOST_TEST(encode(decodeIntent(R"({"kind":"team","id":"t1","share":2,"quota":0})"))
               == R"({"kind":"team","id":"t1","share":2,"quota":0})");
}

// Guards against input of which a part is silently ignored.
BOOST_AUTO_TEST_CASE(bad_input_is_rejected_with_key_and_remedy)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"{", "not JSON"},
        {"[]", "not an object"},
        {R"({"kind":"cancel"})", "\"job\" is missing"},
        {R"({"kind":"cancel","job":"j","x":1})", "\"x\" is unknown"},
        {R"({"kind":"cancel","job":""})", "\"job\" is empty"},
        {R"({"kind":"fly"})", "use one of team"},
        {R"({"kind":"team","id":"t","share":-1})", "\"share\" is not a whole number"},
        {R"({"kind":"team","id":"t","share":4294967296})", "\"share\" is not a whole number"},
        {R"({"kind":"guarantee","id":"g","team":"t","shape":[{"count":1,"adjacency":"room"}]})", "shape[0].adjacency"},
        {R"({"kind":"drain"})", "worker"},
        {R"({"kind":"drain","service":"s"})", "\"endpoint\" is missing"}};
    for (const auto &[text, expected] : cases) {
        BOOST_CHECK_EXCEPTION(decodeIntent(text), Error, [&expected = expected](const Error &error) {
            BOOST_TEST(std::string(error.what()).find(expected) != std::string::npos, error.what());
            return error.kind() == ErrorKind::BadInput;
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()
