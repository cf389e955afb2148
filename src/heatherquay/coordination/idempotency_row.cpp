#include "heatherquay/coordination/idempotency_row.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/digest.hpp"

#include <array>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace detail
{

constexpr std::array<std::string_view, 4> claimStateNames{"claimed", "kept", "unknown", "released"};

std::string_view nameOf(ClaimState state)
{
    return claimStateNames.at(static_cast<std::size_t>(state));
}

ClaimState claimStateOf(std::string_view name)
{
    for (std::size_t i = 0; i < claimStateNames.size(); ++i) {
        if (claimStateNames.at(i) == name) {
            return static_cast<ClaimState>(i);
        }
    }
    throw Error(ErrorKind::Internal, "unknown claim state " + std::string(name),
                "check the table rows with the prefix idem/; the states are claimed, kept, unknown and released");
}

std::string toBase64(std::string_view raw)
{
    std::string text(base64::encoded_size(raw.size()), '\0');
    text.resize(base64::encode(text.data(), raw.data(), raw.size()));
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string raw(base64::decoded_size(text.size()), '\0');
    raw.resize(base64::decode(raw.data(), text.data(), text.size()).first);
    return raw;
}

json::object responseToJson(const transport::HttpResponse &response)
{
    json::array fields;
    for (const transport::HttpField &field : response.fields.all()) {
        fields.push_back(json::array{toBase64(field.name), toBase64(field.value)});
    }
    return {{"status", response.status}, {"fields", std::move(fields)}, {"body", toBase64(response.body)}};
}

transport::HttpResponse responseFromJson(const json::object &object)
{
    transport::HttpResponse response;
    response.status = object.at("status").to_number<unsigned>();
    for (const json::value &field : object.at("fields").as_array()) {
        const json::array &pair = field.as_array();
        response.fields.add(fromBase64(pair.at(0).as_string()), fromBase64(pair.at(1).as_string()));
    }
    response.body = fromBase64(object.at("body").as_string());
    return response;
}

template<typename Parse>
auto parseJsonObject(std::string_view text, Parse parse)
{
    try {
        return parse(json::parse(text).as_object());
    } catch (const std::exception &error) {
        throw Error(ErrorKind::Internal, std::string("malformed idempotency row or stored response: ") + error.what(),
                    "check which program writes the table rows with the prefix idem/");
    }
}

} // namespace detail

std::string idempotencyRowKey(const state::TeamId &team, std::string_view key)
{
    return "idem/" + transport::sha256Hex({team.value, key});
}

std::string encodeRow(const IdempotencyRow &row)
{
    json::object object;
    object["attempt"] = row.claimId;
    object["fingerprint"] = row.fingerprint;
    object["state"] = detail::nameOf(row.state);
    object["entry"] = row.entry.value;
    object["incarnation"] = row.incarnation;
    object["created_ms"] = row.createdAt.time_since_epoch().count();
    if (!row.objectKey.empty()) {
        object["object"] = row.objectKey;
    } else if (row.state == ClaimState::Completed) {
        object["answer"] = detail::responseToJson(row.storedResponse);
    }
    return json::serialize(object);
}

IdempotencyRow decodeRow(std::string_view text)
{
    return detail::parseJsonObject(text, [](const json::object &object) {
        IdempotencyRow row;
        row.claimId = object.at("attempt").as_string();
        row.fingerprint = object.at("fingerprint").as_string();
        row.state = detail::claimStateOf(object.at("state").as_string());
        row.entry.value = object.at("entry").as_string();
        row.incarnation = object.at("incarnation").to_number<std::uint64_t>();
        row.createdAt
            = decltype(row.createdAt)(std::chrono::milliseconds(object.at("created_ms").to_number<std::int64_t>()));
        if (const json::value *key = object.if_contains("object")) {
            row.objectKey = key->as_string();
        } else if (row.state == ClaimState::Completed) {
            row.storedResponse = detail::responseFromJson(object.at("answer").as_object());
        }
        return row;
    });
}

std::string encodeResponse(const transport::HttpResponse &response)
{
    return json::serialize(detail::responseToJson(response));
}

transport::HttpResponse decodeResponse(std::string_view text)
{
    return detail::parseJsonObject(text, [](const json::object &object) {
        return detail::responseFromJson(object);
    });
}

} // namespace heatherquay::coordination
