#include "heatherquay/app/command_line.hpp"

#include "heatherquay/app/operator_views.hpp"
#include "heatherquay/app/shape_argument.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/state/units.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "standins/server.hpp"

#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;

namespace
{

/// Runs commands against a stand-in for an entry's operator interface, which sends `response` and records the last
/// request.
struct OperatorFixture
{
    boost::asio::io_context io;
    transport::HttpRequest lastRequest;
    transport::HttpResponse response;
    standins::Server server{io.get_executor(),
                            [this](transport::HttpRequest request, const standins::ClientDisconnected &)
                                -> boost::asio::awaitable<transport::HttpResponse> {
                                lastRequest = std::move(request);
                                co_return response;
                            }};
    std::thread thread;
    std::ostringstream out;
    std::ostringstream err;

    OperatorFixture()
    {
        server.listen("127.0.0.1:0");
        thread = std::thread([this] {
            io.run();
        });
    }
    ~OperatorFixture()
    {
        io.stop();
        thread.join();
    }

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "heatherquay");
        arguments.insert(arguments.end(), {"--operator", server.address(), "--token", "t", "--timeout", "1s"});
        std::vector<const char *> pointers;
        pointers.reserve(arguments.size());
        for (const std::string &argument : arguments) {
            pointers.push_back(argument.c_str());
        }
        return app::runCommandLine(static_cast<int>(pointers.size()), pointers.data(), out, err);
    }
};

struct IntentCase
{
    std::vector<std::string> arguments;
    const char *body;
};

std::ostream &operator<<(std::ostream &stream, const IntentCase &value)
{
    return stream << value.body;
}

const IntentCase intentCases[] = {
    {{"plan", "team", "guitars", "--quota", "16"}, R"({"kind":"team","id":"guitars","share":1,"quota":16})"},
    {{"plan", "cancel", "j1"}, R"({"kind":"cancel","job":"j1"})"},
    {{"plan", "guarantee", "--withdraw", "g1"}, R"("withdraw":true)"},
    {{"plan", "guarantee", "--team", "t", "--shape", "8xa100/h100@rack", "--shape", "2", "g1"}, R"("count":8)"},
    {{"plan", "job", "j1", "--team", "t", "--shape", "4", "--urgent", "--run-time", "90min"},
     R"("declared_run_time_ms":5400000)"},
    {{"plan", "drain", "--endpoint", "hire-desk=10.0.0.1:80"}, R"("endpoint":"10.0.0.1:80")"},
    {{"plan", "drain", "--worker", "w1", "--readmit"}, R"("draining":false)"},
    {{"plan", "setting", "policy.reclaim_grace", "20s"}, R"("value":"20s")"},
};

} // namespace

// Guards against a request body that the intent decoder of an entry cannot read.
BOOST_DATA_TEST_CASE_F(OperatorFixture, command_line_sends_the_encoded_intent,
                       boost::unit_test::data::make(intentCases))
{
    response.body = R"({"id":"p1","admitted":true,"changes":[{"object":"team/x","text":"declared"}]})";
    BOOST_TEST(run(sample.arguments) == 0);
    BOOST_TEST(err.str() == "");
    BOOST_TEST(lastRequest.target == "/v1/plans");
    BOOST_TEST(lastRequest.fields.get("authorization") == "Bearer t");
    BOOST_TEST(lastRequest.body.find(sample.body) != std::string::npos, lastRequest.body);
    BOOST_TEST(out.str().find("confirm p1") != std::string::npos);
}

// Guards against a plan that is not admitted being reported as a success.
BOOST_FIXTURE_TEST_CASE(command_line_rejected_plan_exits_with_1, OperatorFixture)
{
    response.body = R"({"id":"p1","admitted":false,"refusal":"no rack is large enough"})";
    BOOST_TEST(run({"plan", "cancel", "j1"}) == 1);
    BOOST_TEST(out.str() == "not admitted: no rack is large enough\n");
}

// Guards against an error message without the reason that the entry gave.
BOOST_FIXTURE_TEST_CASE(command_line_problem_is_shown_with_its_detail, OperatorFixture)
{
    response.status = 409;
    response.body = R"({"title":"Out of date","status":409,"detail":"job j1 changed; plan again"})";
    BOOST_TEST(run({"confirm", "p1"}) == 1);
    BOOST_TEST(err.str() == "heatherquay: Out of date: job j1 changed; plan again (status 409)\n");
}

// Guards against a confirmation whose response was lost being reported as rejected.
BOOST_FIXTURE_TEST_CASE(command_line_lost_confirmation_exits_with_4, OperatorFixture)
{
    server.setFaults({.loseResponses = 1});
    BOOST_TEST(run({"confirm", "p1"}) == 4);
    server.setFaults({.loseResponses = 1});
    BOOST_TEST(run({"status"}) == 3);
    response.status = 504;
    response.fields.add("Heatherquay-Outcome", "unknown");
    BOOST_TEST(run({"confirm", "p1"}) == 4);
}

// Guards against exit codes by which a script cannot tell an unreachable entry, invalid usage and help apart.
BOOST_AUTO_TEST_CASE(command_line_unreachable_entry_exits_with_3_and_bad_usage_with_2)
{
    std::ostringstream out;
    const char *unreachable[] = {"heatherquay", "confirm", "p", "--operator", "127.0.0.1:1", "--token", "t"};
    BOOST_TEST(app::runCommandLine(7, unreachable, out, out) == 3);
    const char *unknown[] = {"heatherquay", "dance"};
    BOOST_TEST(app::runCommandLine(2, unknown, out, out) == 2);
    const char *help[] = {"heatherquay", "plan", "--help"};
    BOOST_TEST(app::runCommandLine(3, help, out, out) == 0);
}

// Guards against an escape sequence in a name manipulating the operator's terminal.
BOOST_AUTO_TEST_CASE(command_line_tables_replace_control_characters)
{
    std::ostringstream out;
    app::printJobs("{\"jobs\":[{\"id\":\"a\\u001b[2J\",\"team\":\"t\",\"progress\":0.5}]}", out);
    BOOST_TEST(out.str().find('\x1b') == std::string::npos);
    BOOST_TEST(out.str().find("50.0%") != std::string::npos);
}

// Guards against a malformed shape being sent as another shape.
BOOST_DATA_TEST_CASE(shape_argument_is_rejected_when_malformed,
                     boost::unit_test::data::make({"", "x", "0", "8x", "8y", "8xa@", "8xa@moon", "-1", "8xa//b"}))
{
    BOOST_CHECK_THROW(app::parseShape({sample}), Error);
}

// Guards against wrong conversions of units and against an overflow of large durations.
BOOST_AUTO_TEST_CASE(units_are_parsed_and_printed)
{
    BOOST_TEST(state::parseDuration("90min").count() == 5'400'000);
    BOOST_TEST(state::formatDuration(state::parseDuration("7200s")) == "2h");
    BOOST_TEST(state::parseSize("16KiB") == 16'384u);
    BOOST_CHECK_THROW(state::parseDuration("9223372036854775807h"), Error);
}
