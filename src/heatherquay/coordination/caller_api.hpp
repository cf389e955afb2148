#pragma once

#include "heatherquay/coordination/forwarder.hpp"
#include "heatherquay/coordination/request_record.hpp"
#include "heatherquay/state/entry_settings.hpp"
#include "heatherquay/transport/http_message.hpp"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

/// A request with an idempotency key, which must not run more than once.
struct KeyedRequest
{
    state::TeamId team;
    std::string key;
    std::string fingerprint; ///< SHA-256 of service, method, path, query and body in lower-case hexadecimal.
    std::string requestId;
    std::chrono::steady_clock::time_point deadline;
};

/// Forwards a request to an endpoint. Must be called at most once.
using ForwardOperation = std::function<boost::asio::awaitable<ForwardResult>()>;

/// Runs a keyed request at most once across all entries.
using KeyedRunner = std::function<boost::asio::awaitable<ForwardResult>(KeyedRequest, ForwardOperation)>;

struct CallerApiHooks
{
    KeyedRunner runKeyed; ///< If empty, keyed requests are rejected with the outcome not-run.
    std::function<bool()> ready; ///< Result of /readyz; ready if empty.
    /// Called for each completed request of a known team and service.
    std::function<void(const RequestRecord &)> record;
};

/// HTTP interface for callers: authenticates a request and forwards it to an endpoint of the service in its path.
class CallerApi
{
public:
    CallerApi(std::shared_ptr<Forwarder> forwarder, std::shared_ptr<const state::EntrySettings> settings,
              CallerApiHooks hooks);
    ~CallerApi();
    CallerApi(const CallerApi &) = delete;
    CallerApi &operator=(const CallerApi &) = delete;

    /// Handles one request, as a transport::HttpHandler.
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);
    /// Creates the problem response to input that the HTTP server rejects and to a request whose handler failed, as a
    /// transport::HttpErrorResponder.
    /// @param status HTTP status; 500 means that the handler failed, so that the outcome is unknown
    static transport::HttpResponse refuse(unsigned status, const std::string &detail);
    void applySettings(std::shared_ptr<const state::EntrySettings> settings);

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace heatherquay::coordination
