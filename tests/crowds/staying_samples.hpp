#pragma once

#include "crowds/crowd_samples.hpp"
#include "crowds/staying_crowd.hpp"

#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::crowds
{

inline constexpr std::size_t withoutEnd = 1'000'000'000;
inline constexpr std::size_t bodyBytesMax = 262'144; ///< Largest body that both builds take.
inline constexpr std::chrono::milliseconds slowByteInterval{100};
inline constexpr std::chrono::seconds crowdTime{3};

using ScriptMaker = std::function<StayingScript(const Target &)>;

inline StayingScript silentClient(const Target &)
{
    return {};
}

inline StayingScript headerByByte(const Target &target)
{
    return {"", target.get + "X-Field: value\r\n", withoutEnd, slowByteInterval};
}

inline StayingScript requestAndEndlessInput(const Target &target)
{
    return {target.get + "\r\n", std::string(1'024, 'i'), withoutEnd};
}

/// Whole requests one behind the other.
inline StayingScript wholeRequests(const Target &target, const std::string &body)
{
    return {"", postHead(target, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body, withoutEnd};
}

inline StayingScript largeRequests(const Target &target)
{
    return wholeRequests(target, std::string(bodyBytesMax, 'b'));
}

inline StayingScript smallRequests(const Target &target)
{
    return {"", target.get + "\r\n", withoutEnd};
}

inline StayingScript largeChunks(const Target &target)
{
    const ClientScript script = largeChunksShortOfTheEnd(target);
    return {script.prefix, script.piece, script.pieces};
}

inline StayingScript tinyChunks(const Target &target)
{
    const ClientScript script = tinyChunksShortOfTheEnd(target);
    return {script.prefix, script.piece, script.pieces};
}

inline StayingScript stayingTrailers(const Target &target)
{
    const ClientScript script = endlessTrailers(target);
    return {script.prefix, script.piece, withoutEnd};
}

inline StayingScript stayingExtension(const Target &target)
{
    const ClientScript script = endlessExtension(target);
    return {script.prefix, script.piece, withoutEnd};
}

/// A crowd of several kinds of clients.
struct StayingSample
{
    std::string name;
    std::vector<std::pair<ScriptMaker, std::size_t>> clients;
    std::size_t addresses{};
};

inline std::ostream &operator<<(std::ostream &stream, const StayingSample &sample)
{
    return stream << sample.name;
}

inline const std::vector<StayingSample> stayingSamples{
    {"connections without a byte", {{silentClient, 900}}, 60},
    {"connections without a byte, from one address", {{silentClient, 900}}, 1},
    {"a header a byte at a time", {{headerByByte, 900}}, 60},
    {"a request, its response not read, input without end", {{requestAndEndlessInput, 200}}, 20},
    {"whole large requests, responses not read", {{largeRequests, 200}}, 20},
    {"large chunks, short of the end", {{largeChunks, 900}}, 60},
    {"tiny chunks, short of the end", {{tinyChunks, 900}}, 60},
    {"trailers, extensions, large and tiny chunks",
     {{stayingTrailers, 225}, {stayingExtension, 225}, {largeChunks, 225}, {tinyChunks, 225}},
     90},
    {"whole small requests, responses not read", {{smallRequests, 200}}, 20}};
inline const StayingSample &mixedSample = stayingSamples[7];

/// A JSON body of the largest size: an opening, an element again and again, and a closing.
struct JsonForm
{
    std::string name;
    std::string opening;
    std::string element;
    std::string closing;

    std::string body() const
    {
        std::string text = opening;
        while (text.size() + element.size() + closing.size() <= bodyBytesMax) {
            text += element;
        }
        return text + closing;
    }
};

inline std::ostream &operator<<(std::ostream &stream, const JsonForm &form)
{
    return stream << form.name;
}

inline const std::string validJob = R"({"spec":"s","steps":[{"count":1)";
inline const std::vector<JsonForm> jsonForms{
    {"numbers", R"({"steps":[)", "1,", "1]}"},
    {"lists", R"({"steps":[)", "[],", "1]}"},
    {"lists of one number", R"({"steps":[)", "[1],", "1]}"},
    {"objects", R"({"steps":[)", "{},", "1]}"},
    {"objects of one member", R"({"steps":[)", R"({"a":1},)", "1]}"},
    {"members", R"({"steps":{)", R"("a":1,)", R"("a":1}})"},
    {"texts", R"({"steps":[)", R"("a",)", "1]}"},
    {"long texts", R"({"steps":[)", R"("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",)", "1]}"},
    {"escapes", R"({"steps":[")", R"(\u00e9)", R"("]})"},
    {"depth", "", "[", ""},
    {"depth in steps", R"({"steps":[)", "[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]],", "1]}"},
    {"long numbers", R"({"steps":[)", "0.12345678901234567890e-300,", "1]}"},
    {"a job of many dependencies", validJob + R"(},{"count":1,"after":[)", "0,", "0]}]}"},
    {"a job of many steps", R"({"spec":"s","steps":[)", R"({"count":1},)", R"({"count":1}]})"},
    {"a job beside many numbers", validJob + R"(}],"x":[)", "1,", "1]}"}};

} // namespace heatherquay::crowds
