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

// A peer with a newer configuration refused the key of a job whose first, unanswered transaction was carried out
// seconds later: the job ran although its caller had been told 401.
BOOST_DATA_TEST_CASE(no_refusal_is_passed_on_while_the_job_may_be_stored,
                     boost::unit_test::data::make({0U, 400U, 401U, 404U, 429U, 503U, 504U}), status)
{
    BOOST_TEST(platform::settleSubmission(true, peerAnswer(status)).status == 504U);
}

BOOST_DATA_TEST_CASE(a_peers_answer_stands_when_nothing_was_stored_here,
                     boost::unit_test::data::make({200U, 401U, 404U, 503U, 504U}), status)
{
    BOOST_TEST(platform::settleSubmission(false, peerAnswer(status)).status == status);
}

BOOST_AUTO_TEST_CASE(a_peers_acceptance_counts_even_if_an_earlier_call_went_unanswered)
{
    BOOST_TEST(platform::settleSubmission(true, peerAnswer(200)).status == 200U);
}

BOOST_AUTO_TEST_CASE(a_job_that_is_certainly_not_stored_may_come_back_soon)
{
    const auto answer = platform::settleSubmission(false, std::nullopt);
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
}

BOOST_AUTO_TEST_SUITE_END()
