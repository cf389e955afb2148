#include "heatherquay/coordination/batch/term.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/json_fields.hpp"

namespace heatherquay::coordination::batch
{

std::string encodeTerm(const TermRecord &term)
{
    boost::json::object json;
    json["token"] = term.token.value;
    json["owner"] = term.owner;
    json["life"] = term.incarnationId;
    json["address"] = term.address;
    return boost::json::serialize(json);
}

std::optional<TermRecord> decodeTerm(const std::string &text)
{
    boost::system::error_code error;
    const boost::json::value json = boost::json::parse(text, error);
    if (error) {
        return std::nullopt;
    }
    try {
        TermRecord term;
        protocol::detail::FieldReader reader(json, "term");
        reader("token", term.token.value);
        reader("owner", term.owner);
        reader("life", term.incarnationId);
        reader("address", term.address);
        return term;
    } catch (const Error &) {
        return std::nullopt;
    }
}

} // namespace heatherquay::coordination::batch
