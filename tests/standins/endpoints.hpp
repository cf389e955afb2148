#pragma once

#include "server.hpp"
#include "standin.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace heatherquay::standins
{

struct EndpointsOptions
{
    std::string service{"hire-desk"};
    std::uint32_t count{6};
    std::uint32_t slots{8}; ///< Maximum number of concurrent requests per endpoint.
    std::uint32_t connections{64}; ///< Maximum number of open connections per endpoint.
    bool enforceLimits{true}; ///< Refuse requests and connections beyond the limits; otherwise only count them.
    std::chrono::milliseconds serviceTime{20}; ///< Mean; a run takes 0.5 to 1.5 times this value.
    std::vector<double> speedFactors{1.0}; ///< Divisors of the service time, assigned to the endpoints round-robin.
    bool cancelOnDisconnect{true}; ///< Cancel a run when its caller closes the connection.
    std::uint64_t seed{1}; ///< Seed of the random service times.
    std::string host{"127.0.0.1"};
    std::uint16_t firstPort{0}; ///< Endpoint n listens on firstPort + n; 0 selects free ports.
};

/// Simulated endpoints of one service, each on its own port. The response to any path is a JSON object that echoes the
/// method, the path, the body and the field X-Request-Id. The query parameter "ms" sets the service time of the
/// request. GET /healthz takes no slot; its status is 200, or 503 while the endpoint is leaving or refuses requests.
class StandinEndpoints : public Standin
{
public:
    StandinEndpoints(const boost::asio::any_io_executor &executor, const EndpointsOptions &options = {});
    ~StandinEndpoints() override;

    std::vector<std::string> addresses() const;
    std::string service() const;
    Server &server(const std::string &address);

    std::string kind() const override;
    /// Also accepts leaving (bool: responses carry the field Heatherquay-Leaving and close the connection), refuse
    /// (bool: all requests get status 503), fail (number of requests that get status 500), service_ms and guard (bool:
    /// enforce the limits). The last two apply to all endpoints.
    /// @param serverId the address of an endpoint; empty selects all endpoints
    void control(const std::string &serverId, const boost::json::object &settings) override;
    /// @return totals, counters of each endpoint with the peaks of concurrent runs and open connections, and up to 100
    /// idempotency keys that ran more than once
    boost::json::object record() const override;
    /// @return the number of runs started for each Idempotency-Key ("keys") and each X-Request-Id ("ids")
    boost::json::object history() const override;
    /// @return the number of runs that all endpoints started for this Idempotency-Key
    std::uint64_t runsOfKey(const std::string &key) const;

private:
    struct Endpoint;
    struct State;
    std::shared_ptr<State> m_state;
    std::vector<Server> m_servers;
};

} // namespace heatherquay::standins
