#pragma once

#include "server.hpp"
#include "standin.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace heatherquay::standins
{

/// An entry of the VM list.
struct Vm
{
    std::string id;
    std::string address;
    std::string role; ///< One of "endpoint", "entry" and "worker".
    std::string service; ///< Service of an endpoint; empty for other roles.
    std::string state{"live"}; ///< Either "live" or "leaving".
};

/// Simulates the platform's VM list, which may show changes with a delay.
class StandinVms : public Standin
{
public:
    /// @param lag delay after which readers see a change
    explicit StandinVms(const boost::asio::any_io_executor &executor, const std::string &address = "127.0.0.1:0",
                        std::chrono::milliseconds lag = {});

    std::string address() const;
    Server &server();
    /// Adds or replaces a VM. Readers see the change after the lag.
    void put(const Vm &vm);
    /// Removes a VM. Readers see the change after the lag.
    void remove(const std::string &id);

    std::string kind() const override;
    /// Also accepts {"put":{..vm..}}, {"remove":"id"}, {"leaving":"id"} (sets the state of the VM) and {"lag_ms":n}.
    void control(const std::string &serverId, const boost::json::object &settings) override;
    /// @return the number of calls and the current number of VMs
    boost::json::object record() const override;

private:
    struct State;
    std::shared_ptr<State> m_state;
    Server m_server;
};

} // namespace heatherquay::standins
