#include "platform/ingress.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;

namespace
{

std::optional<transport::HttpResponse> peerAnswer(unsigned status)
{
    if (status == 0) {
        return std::nullopt;
    }
    transport::HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_ingress)

// Guards against returning 401 for a job that runs later: a store transaction without a response can be applied seconds
// later, while a peer with a newer configuration rejects the job's key.
BOOST_DATA_TEST_CASE(peer_rejections_are_not_returned_while_the_job_may_be_stored,
                     boost::unit_test::data::make({0U, 400U, 401U, 404U, 409U, 429U, 503U, 504U}), status)
{
    BOOST_TEST(platform::chooseSubmissionResponse(true, peerAnswer(status)).status == 504U);
}

// Guards against hiding a peer's status from the caller when the outcome is certain.
BOOST_DATA_TEST_CASE(the_peer_response_is_returned_when_nothing_was_stored_here,
                     boost::unit_test::data::make({200U, 401U, 404U, 409U, 503U, 504U}), status)
{
    BOOST_TEST(platform::chooseSubmissionResponse(false, peerAnswer(status)).status == status);
}

// Guards against 504 for a job that a peer has certainly stored.
BOOST_AUTO_TEST_CASE(a_peer_acceptance_is_returned_after_an_unanswered_call)
{
    BOOST_TEST(platform::chooseSubmissionResponse(true, peerAnswer(200)).status == 200U);
}

// Guards against a final error, or one without a retry delay, during a short outage of the store.
BOOST_AUTO_TEST_CASE(a_job_that_is_not_stored_gets_503_with_retry_after)
{
    const auto answer = platform::chooseSubmissionResponse(false, std::nullopt);
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
}

BOOST_AUTO_TEST_SUITE_END()
