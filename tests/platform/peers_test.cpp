#include "heatherquay/error.hpp"
#include "platform/peers.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using heatherquay::platform::Peers;

BOOST_AUTO_TEST_SUITE(platform_peers)

// Guards against a member row of another writer, whose address ended the task that fetches configurations from peers.
BOOST_AUTO_TEST_CASE(a_member_without_a_usable_address_is_refused)
{
    boost::asio::io_context context;
    Peers peers(context.get_executor(), "10.0.0.1:80");
    peers.setMember("a", "10.0.0.2:80");
    BOOST_CHECK_THROW(peers.setMember("b", "10.0.0.3:99999"), Error);
    BOOST_CHECK_THROW(peers.setMember("a", "nowhere"), Error);
    BOOST_TEST(peers.memberCount() == 0U);
    peers.setSeeds({"10.0.0.2:70000", "10.0.0.2:80"});
    peers.setMember("a", "10.0.0.2:80");
    BOOST_TEST(peers.memberCount() == 1U);
    peers.setMember("a", "");
    BOOST_TEST(peers.memberCount() == 0U);
}

// Guards against handing the term to a weak process while a strong one is there, and to one that has left.
BOOST_AUTO_TEST_CASE(the_highest_rank_is_that_of_a_present_peer)
{
    boost::asio::io_context context;
    Peers peers(context.get_executor(), "10.0.0.1:80");
    peers.setRank("own", 0.9);
    peers.setRank("strong", 0.5);
    peers.setRank("weak", 0.1);
    BOOST_TEST(peers.highestRank() == 0.0);
    peers.setMember("own", "10.0.0.1:80");
    peers.setMember("weak", "10.0.0.2:80");
    BOOST_TEST(peers.highestRank() == 0.1);
    peers.setMember("strong", "10.0.0.3:80");
    BOOST_TEST(peers.highestRank() == 0.5);
    peers.setMember("strong", "");
    BOOST_TEST(peers.highestRank() == 0.1);
}

// Guards against probes by every process, which a leader of a large cluster would have to answer.
BOOST_AUTO_TEST_CASE(only_the_strongest_members_watch_the_leader)
{
    boost::asio::io_context context;
    Peers peers(context.get_executor(), "10.0.0.1:80");
    for (int i = 1; i < 9; ++i) {
        peers.setMember("vm-" + std::to_string(i), "10.0.1." + std::to_string(i) + ":80");
        peers.setRank("vm-" + std::to_string(i), i == 8 ? 0.5 : 0.1);
    }
    BOOST_TEST(peers.isAmongStrongest("vm-8", 1));
    BOOST_TEST(!peers.isAmongStrongest("vm-1", 1));
    BOOST_TEST(peers.isAmongStrongest("vm-1", 2));
    BOOST_TEST(!peers.isAmongStrongest("vm-2", 2));
    BOOST_TEST(!peers.isAmongStrongest("vm-9", 20));
}

BOOST_AUTO_TEST_SUITE_END()
