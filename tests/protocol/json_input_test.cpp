#include "heatherquay/error.hpp"
#include "heatherquay/protocol/event_codec.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace heatherquay;

// Guards against corrupted intents of an operator that terminate the entry process or cause an error other than
// BadInput.
BOOST_AUTO_TEST_CASE(corrupted_intents_are_rejected_as_bad_input_or_decoded)
{
    const std::string intents[] = {
        R"({"kind":"job","id":"j1","team":"t","shape":[{"count":8,"kinds":["a100"],"adjacency":"rack"}],"urgent":true})",
        R"({"kind":"drain","service":"hire-desk","endpoint":"10.0.0.1:80","draining":true})",
        R"({"kind":"setting","key":"policy.reclaim_grace","value":"20s"})"};
    std::mt19937 random(20261204);
    int refused = 0;
    for (int iteration = 0; iteration < 6000; ++iteration) {
        std::string text = intents[static_cast<std::size_t>(iteration) % std::size(intents)];
        for (int edit = 0; edit < 2; ++edit) {
            const std::size_t position = random() % text.size();
            if (random() % 3 == 0) {
                text[position] = static_cast<char>(random() % 256);
            } else {
                text.insert(position, text.substr(random() % text.size(), random() % 20));
            }
        }
        try {
            protocol::decodeIntent(text);
        } catch (const Error &error) {
            ++refused;
            BOOST_TEST((error.kind() == ErrorKind::BadInput), text);
        }
    }
    BOOST_TEST(refused > 0);
    BOOST_CHECK_THROW(protocol::decodeIntent(std::string(100'000, '[')), Error);
}
