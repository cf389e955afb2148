#include "system/caller.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace heatherquay::system_test
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using boost::asio::ip::tcp;

CallerResponse sendOnce(std::uint16_t port, const std::string &method, const std::string &target, const std::string &id,
                        const std::string &key, const std::string &body, std::chrono::milliseconds timeout)
{
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    beast::error_code lastError;
    http::request<http::string_body> request(http::string_to_verb(method), target, 11, body);
    request.set(http::field::host, "entry");
    request.set(http::field::authorization, "Bearer caller-token");
    request.set("X-Request-Id", id);
    if (!key.empty()) {
        request.set("Idempotency-Key", key);
    }
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(32 * 1024 * 1024);
    // The timeout of a Beast stream applies to asynchronous operations only.
    stream.expires_after(timeout);
    stream.async_connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), [&](beast::error_code error) {
        lastError = error;
        if (error) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            lastError = writeError;
            if (!writeError) {
                http::async_read(stream, buffer, parser, [&](beast::error_code readError, std::size_t) {
                    lastError = readError;
                });
            }
        });
    });
    io.run();
    CallerResponse response;
    if (lastError || !parser.is_done() || parser.need_eof()) {
        return response;
    }
    response.received = true;
    response.status = parser.get().result_int();
    response.outcome = std::string(parser.get()["Heatherquay-Outcome"]);
    response.body = parser.get().body();
    return response;
}

CallerLoad::CallerLoad(std::vector<std::uint16_t> ports, unsigned callers)
    : m_ports(std::move(ports))
{
    for (unsigned caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] {
            run(caller);
        });
    }
}

CallerLoad::~CallerLoad()
{
    stop();
}

void CallerLoad::stop()
{
    m_running = false;
    m_threads.clear();
}

std::vector<std::string> CallerLoad::rejectedIds() const
{
    const std::lock_guard lock(m_mutex);
    return m_rejectedIds;
}

void CallerLoad::run(unsigned caller)
{
    for (unsigned number = 0; m_running; ++number) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(number);
        const std::string path = "/item?n=" + id;
        const std::string body = "body of " + id;
        const std::string method = number % 2 == 0 ? "GET" : "POST";
        const std::string sentBody = method == "GET" ? "" : body;
        const CallerResponse response = sendOnce(m_ports[(caller + number) % m_ports.size()], method,
                                                 "/services/hire-desk" + path, id, "", sentBody);
        if (!response.received) {
            ++incomplete;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        if (response.outcome == "not-run") {
            ++rejected;
            const std::lock_guard lock(m_mutex);
            m_rejectedIds.push_back(id);
            continue;
        }
        beast::error_code error;
        const json::value echo = json::parse(response.body, error);
        const json::value expected = {{"method", method}, {"path", path}, {"id", id}, {"body", sentBody}};
        bool matches = response.status == 200 && !error && echo.is_object();
        for (const auto &[key, value] : expected.as_object()) {
            const json::value *found = matches ? echo.get_object().if_contains(key) : nullptr;
            matches = found && *found == value;
        }
        // If the endpoint of a POST without idempotency key fails, there is no endpoint response to verify.
        const bool ran = response.outcome == "ran";
        ++(matches ? matching : ran ? mismatched : incomplete);
    }
}

} // namespace heatherquay::system_test
