#include "heatherquay/protocol/problem.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace heatherquay::protocol
{

transport::HttpResponse toResponse(const Problem &problem)
{
    boost::json::object body;
    body["type"] = "urn:heatherquay:problem:" + problem.type;
    body["title"] = problem.title;
    body["status"] = problem.status;
    body["detail"] = problem.detail;
    if (!problem.instance.empty()) {
        body["instance"] = problem.instance;
    }
    transport::HttpResponse response;
    response.status = problem.status;
    response.fields.add("Content-Type", "application/problem+json");
    response.fields.add(std::string(outcomeField), std::string(toString(problem.outcome)));
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter);
        response.fields.add("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    response.body = boost::json::serialize(body);
    return response;
}

} // namespace heatherquay::protocol
