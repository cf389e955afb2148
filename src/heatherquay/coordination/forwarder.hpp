#pragma once

#include "heatherquay/coordination/endpoint_directory.hpp"
#include "heatherquay/coordination/loan_client.hpp"
#include "heatherquay/coordination/slot_ledger.hpp"
#include "heatherquay/protocol/problem.hpp"
#include "heatherquay/transport/http_message.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

/// A request to be forwarded to an endpoint of a service.
struct ForwardRequest
{
    state::ServiceId service;
    transport::HttpRequest request; ///< The request in the form in which the endpoint receives it.
    std::string requestId;
    std::chrono::steady_clock::time_point deadline;
    bool idempotent{}; ///< May be resent even if an endpoint may have received part of it.
};

/// Result of a forwarded request: the complete response of the endpoint, or a problem.
struct ForwardResult
{
    protocol::Outcome outcome{protocol::Outcome::NotRun};
    std::optional<transport::HttpResponse> answer; ///< Response; present if and only if the outcome is Ran.
    protocol::Problem problem; ///< Valid if there is no response.
};

struct ForwarderStatistics
{
    std::uint64_t queued{}; ///< Requests that waited for a slot.
    std::uint64_t loans{}; ///< Slots borrowed from other entries.
    std::uint64_t retries{};
    std::uint64_t refused{}; ///< Requests that were refused because they got no slot.
};

/// Acquires a slot for each request and forwards the request to the endpoint of the slot. A request that finds a free
/// slot takes no lock. The queue of waiting requests has one mutex per service.
class Forwarder
{
public:
    /// @param mayAct returns whether this entry has the authority to start requests; called right before bytes are
    /// written
    /// @param loans client that borrows slots from other entries; may be empty
    Forwarder(boost::asio::any_io_executor executor, std::shared_ptr<EndpointDirectory> directory,
              std::shared_ptr<SlotLedger> ledger, std::shared_ptr<const state::EntrySettings> settings,
              std::function<bool()> mayAct, AnyLoanClient loans);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Forwards a request and retries it within the retry budget and the deadline. Does not throw for failures of
    /// endpoints or peers.
    boost::asio::awaitable<ForwardResult> forward(ForwardRequest job);
    void applySettings(std::shared_ptr<const state::EntrySettings> settings);
    ForwarderStatistics statistics() const;
    /// Stops background probes. Requests in progress continue.
    void stop();

private:
    struct Core;
    std::shared_ptr<Core> m_core;
};

} // namespace heatherquay::coordination
