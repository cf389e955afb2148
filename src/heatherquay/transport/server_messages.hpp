#pragma once

#include "heatherquay/transport/growing_body.hpp"
#include "heatherquay/transport/http_message.hpp"

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace heatherquay::transport
{

/// Converts a received message. The framing fields are dropped.
/// @param remote IP address of the client
HttpRequest toRequest(boost::beast::http::request<GrowingBody> &&message, const std::string &remote);

/// Converts a response to the message that is sent, with framing fields of its own.
/// @param version HTTP version, 10 or 11
boost::beast::http::response<boost::beast::http::string_body> toMessage(HttpResponse &&response, unsigned version,
                                                                        bool keepAlive);

} // namespace heatherquay::transport
