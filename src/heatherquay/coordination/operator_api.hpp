#pragma once

#include "heatherquay/coordination/plan.hpp"
#include "heatherquay/coordination/plan_service.hpp"
#include "heatherquay/state/entry_settings.hpp"
#include "heatherquay/state/intents.hpp"
#include "heatherquay/transport/http_message.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

struct StatusMember
{
    std::string id;
    std::string address;
};

/// State of the entry that handles the request.
struct EntryStatus
{
    std::string entry;
    std::string version; ///< Version of the program.
    bool ready{};
    bool mayAct{};
    std::uint64_t journalNumber{};
    std::vector<StatusMember> members;
};

/// Operations and data sources of the operator interface.
struct OperatorPorts
{
    std::function<boost::asio::awaitable<Plan>(const state::Intent &)> propose;
    std::function<boost::asio::awaitable<Confirmation>(const state::PlanId &)> confirm;
    std::function<void(const std::function<void(const state::Cluster &)> &)> readCluster;
    std::function<EntryStatus()> status;
    std::function<boost::asio::awaitable<std::string>()>
        burn; ///< Latency counts of requests as JSON, merged over all entries.
    std::function<std::string()> metrics; ///< Metrics in the Prometheus text format.
};

/// HTTP interface for operators. All paths except health, readiness and metrics require the bearer token of an
/// operator.
class OperatorApi
{
public:
    OperatorApi(std::vector<state::OperatorCredential> credentials, OperatorPorts ports);

    /// Handles one request. Errors become problem responses; none is thrown. Can be used as an HttpHandler.
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);

private:
    bool authorized(const transport::HttpRequest &request) const;
    boost::asio::awaitable<transport::HttpResponse> route(const transport::HttpRequest &request);
    boost::asio::awaitable<transport::HttpResponse> propose(std::string body);
    boost::asio::awaitable<transport::HttpResponse> confirm(std::string plan);
    transport::HttpResponse statusResponse() const;
    transport::HttpResponse jobsResponse() const;
    transport::HttpResponse jobResponse(const std::string &id) const;
    transport::HttpResponse teamsResponse() const;
    transport::HttpResponse workersResponse() const;

    std::vector<state::OperatorCredential> m_credentials;
    OperatorPorts m_ports;
};

} // namespace heatherquay::coordination
