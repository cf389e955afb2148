#include "heatherquay/transport/server_messages.hpp"

#include <boost/beast/core/string.hpp>

namespace heatherquay::transport
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

bool isFramingField(std::string_view name)
{
    return beast::iequals(name, "Content-Length") || beast::iequals(name, "Transfer-Encoding");
}

} // namespace

HttpRequest toRequest(http::request<GrowingBody> &&message, const std::string &remote)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        const std::string name(field.name_string());
        if (!isFramingField(name)) {
            request.fields.add(name, std::string(field.value()));
        }
    }
    request.body = std::move(message.body());
    request.remoteAddress = remote;
    return request;
}

http::response<http::string_body> toMessage(HttpResponse &&response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(response.status);
    for (const HttpField &field : response.fields.all()) {
        if (!isFramingField(field.name) && !beast::iequals(field.name, "Connection")) {
            message.insert(field.name, field.value);
        }
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

} // namespace heatherquay::transport
