#pragma once

#include "heatherquay/transport/http_message.hpp"

#include <chrono>
#include <string>

namespace heatherquay::app
{

/// Address and credentials for the operator interface of an entry.
struct OperatorAccess
{
    std::string address; ///< IP address and port.
    std::string token;
    std::chrono::milliseconds timeout{10'000};
};

/// Sends one request to the operator interface and waits for the response.
/// @param body JSON, or empty for a request without a body
/// @throws Error(Unavailable) when nothing was sent, or when a GET request got no response
/// @throws Error(OutcomeUnknown) when another request was sent but got no response
/// @throws Error(BadInput) when the address is malformed
transport::HttpResponse callOperator(const OperatorAccess &access, const std::string &method, const std::string &target,
                                     const std::string &body = {});

} // namespace heatherquay::app
