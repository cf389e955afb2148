#pragma once

#include "heatherquay/protocol/outcome.hpp"
#include "heatherquay/transport/http_message.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace heatherquay::protocol
{

/// Error response to a caller or an operator, in the problem details format of RFC 9457.
struct Problem
{
    unsigned status{500};
    std::string type; ///< Last part of the problem type's URN, for example "no-capacity".
    std::string title;
    std::string detail; ///< Cause of the error and its remedy.
    std::string instance; ///< ID of the request.
    Outcome outcome{Outcome::NotRun};
    std::optional<std::chrono::milliseconds> retryAfter; ///< Rounded up to seconds.
};

/// @return the response with the problem as its JSON body and the header fields for the outcome and Retry-After
transport::HttpResponse toResponse(const Problem &problem);

} // namespace heatherquay::protocol
