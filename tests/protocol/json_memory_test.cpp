#include "heatherquay/protocol/json_memory.hpp"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace heatherquay::protocol;

namespace
{

constexpr std::size_t bytesMax = 64 * 1024;

std::string listOf(std::size_t numbers)
{
    std::string text = "[1";
    for (std::size_t i = 1; i < numbers; ++i) {
        text += ",1";
    }
    return text + "]";
}

} // namespace

BOOST_AUTO_TEST_SUITE(protocol_json_memory)

BOOST_AUTO_TEST_CASE(a_document_within_the_memory_is_parsed)
{
    const JsonDocument document = parseJsonWithin(listOf(100), bytesMax);
    BOOST_TEST((document.problem == JsonProblem::None));
    BOOST_TEST(document.value.as_array().size() == 100U);
}

// Guards against a short text whose values take many times its size.
BOOST_AUTO_TEST_CASE(a_short_text_of_many_values_is_too_large)
{
    const std::string text = listOf(10'000);
    BOOST_TEST(text.size() < bytesMax);
    const JsonDocument document = parseJsonWithin(text, bytesMax);
    BOOST_TEST((document.problem == JsonProblem::TooLarge));
    BOOST_TEST(document.value.is_null());
}

BOOST_AUTO_TEST_CASE(malformed_text_is_told_apart)
{
    BOOST_TEST((parseJsonWithin("[1", bytesMax).problem == JsonProblem::Malformed));
    BOOST_TEST((parseJsonWithin(std::string(100, '['), bytesMax).problem == JsonProblem::Malformed));
    BOOST_TEST((parseJsonWithin("", bytesMax).problem == JsonProblem::Malformed));
}

BOOST_AUTO_TEST_SUITE_END()
