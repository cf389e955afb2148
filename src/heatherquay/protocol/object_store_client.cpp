#include "heatherquay/protocol/object_store_client.hpp"

#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <string_view>

namespace heatherquay::protocol
{

namespace asio = boost::asio;
using transport::ExchangeProgress;
using transport::ExchangeResult;

namespace detail
{

/// Percent-encodes a key for the request path. Unreserved characters and slashes stay as they are.
std::string escapeKey(std::string_view key)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
    std::string escaped;
    for (const char byte : key) {
        if (unreserved.find(byte) != std::string_view::npos) {
            escaped += byte;
            continue;
        }
        const auto value = static_cast<unsigned char>(byte);
        escaped += '%';
        escaped += digits[value >> 4U];
        escaped += digits[value & 15U];
    }
    return escaped;
}

transport::HttpClientLimits clientLimits(const ObjectStoreSettings &settings)
{
    transport::HttpClientLimits limits;
    limits.bodyBytes = settings.objectBytesMax;
    return limits;
}

bool succeeded(const ExchangeResult &result)
{
    return result.progress == ExchangeProgress::Answered && result.response.status / 100 == 2;
}

bool isAbsent(const ExchangeResult &result)
{
    return result.progress == ExchangeProgress::Answered && result.response.status == 404;
}

} // namespace detail

struct ObjectStoreClient::Shared
{
    Shared(const asio::any_io_executor &executor, const ObjectStoreSettings &settings)
        : client(executor, transport::parseAddress(settings.address), settings.connections,
                 detail::clientLimits(settings))
        , timeout(settings.timeout)
    {
    }

    asio::awaitable<ExchangeResult> send(std::string method, std::string key, std::string body)
    {
        transport::HttpRequest request;
        request.method = std::move(method);
        request.target = "/objects/" + detail::escapeKey(key);
        request.body = std::move(body);
        return client.send(std::move(request), timeout);
    }

    transport::HttpClient client;
    std::chrono::milliseconds timeout;
};

ObjectStoreClient::ObjectStoreClient(const asio::any_io_executor &executor, const ObjectStoreSettings &settings)
    : m_shared(std::make_shared<Shared>(executor, settings))
{
}

asio::awaitable<bool> ObjectStoreClient::put(std::string key, std::string body)
{
    const auto shared = m_shared;
    const ExchangeResult result = co_await shared->send("PUT", std::move(key), std::move(body));
    co_return detail::succeeded(result);
}

asio::awaitable<ObjectResult> ObjectStoreClient::get(std::string key)
{
    const auto shared = m_shared;
    ExchangeResult result = co_await shared->send("GET", std::move(key), std::string());
    ObjectResult object;
    object.ok = detail::succeeded(result) || detail::isAbsent(result);
    if (detail::succeeded(result)) {
        object.body = std::move(result.response.body);
    } else if (!object.ok) {
        object.failure = result.progress == ExchangeProgress::Answered
            ? "status " + std::to_string(result.response.status)
            : result.failure;
    }
    co_return object;
}

asio::awaitable<bool> ObjectStoreClient::remove(std::string key)
{
    const auto shared = m_shared;
    const ExchangeResult result = co_await shared->send("DELETE", std::move(key), std::string());
    co_return detail::succeeded(result) || detail::isAbsent(result);
}

} // namespace heatherquay::protocol
