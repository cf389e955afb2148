#include "heatherquay/app/operator_client.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace heatherquay::app
{

transport::HttpResponse callOperator(const OperatorAccess &access, const std::string &method, const std::string &target,
                                     const std::string &body)
{
    boost::asio::io_context io;
    transport::HttpClient client(io.get_executor(), transport::parseAddress(access.address), 1);
    transport::HttpRequest request{.method = method, .target = target, .body = body};
    request.fields.add("Authorization", "Bearer " + access.token);
    if (!body.empty()) {
        request.fields.add("Content-Type", "application/json");
    }
    auto future = boost::asio::co_spawn(io, client.send(std::move(request), access.timeout), boost::asio::use_future);
    io.run();
    transport::ExchangeResult result = future.get();
    if (result.progress == transport::ExchangeProgress::Answered) {
        return std::move(result.response);
    }
    if (result.progress == transport::ExchangeProgress::NothingSent || method == "GET") {
        throw Error(ErrorKind::Unavailable, "no response from " + access.address + ": " + result.failure,
                    "try another entry with --operator");
    }
    throw Error(ErrorKind::OutcomeUnknown, "the request was sent to " + access.address + ", but " + result.failure,
                "check the state before you repeat the command; repeating confirm is safe");
}

} // namespace heatherquay::app
