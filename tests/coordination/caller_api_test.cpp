#include "request_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::test;
using transport::HttpRequest;
using transport::HttpResponse;

namespace
{

struct CallerFixture
{
    Runtime runtime;
    FakeEndpoint endpoint{runtime};
    Entry entry{runtime, requestSettings(), {endpoint.address()}};

    CallerFixture()
    {
        entry.ledger->adopt(memberList(1, {"e1"}));
    }
    HttpResponse send(HttpRequest request)
    {
        return runtime.run(entry.api->handle(std::move(request)));
    }
};

} // namespace

// Guards against a response that loses its body or the outcome of the request, and against a missing request record.
BOOST_FIXTURE_TEST_CASE(caller_receives_the_full_response_with_its_outcome, CallerFixture)
{
    const HttpResponse response = send(callerRequest("POST", "/services/desk/a/b?c=d", "hello"));
    BOOST_TEST(response.status == 200u);
    BOOST_TEST(response.body == "POST /a/b?c=d hello");
    BOOST_TEST(response.fields.get("Heatherquay-Outcome") == "ran");
    BOOST_TEST(entry.records.size() == 1u);
}

// Guards against a team's token or hop-by-hop fields that reach an endpoint or a caller of another organisation.
BOOST_FIXTURE_TEST_CASE(hop_by_hop_fields_are_not_forwarded, CallerFixture)
{
    endpoint.behaviour = [](const HttpRequest &) {
        HttpResponse response;
        response.fields.add("Connection", "X-Private");
        response.fields.add("X-Private", "1");
        response.fields.add("X-Public", "1");
        return response;
    };
    HttpRequest request = callerRequest("GET", "/services/desk/");
    request.fields.add("Connection", "close, X-Hop");
    request.fields.add("X-Hop", "1");
    request.fields.add("TE", "trailers");
    request.fields.add("X-End", "1");
    const HttpResponse response = send(std::move(request));
    BOOST_TEST(!endpoint.last.fields.has("X-Hop"));
    BOOST_TEST(!endpoint.last.fields.has("TE"));
    BOOST_TEST(!endpoint.last.fields.has("Authorization"));
    BOOST_TEST(endpoint.last.fields.get("X-End") == "1");
    BOOST_TEST(response.fields.get("X-Public") == "1");
    BOOST_TEST(!response.fields.has("Connection"));
}

// Guards against a second run of a request whose handler was still at work when a stop answered it.
BOOST_AUTO_TEST_CASE(a_request_that_a_stop_answers_may_have_run)
{
    BOOST_TEST(coordination::CallerApi::refuse(504, "").fields.get("Heatherquay-Outcome") == "unknown");
    BOOST_TEST(coordination::CallerApi::refuse(503, "").fields.get("Heatherquay-Outcome") == "not-run");
}
