#pragma once

#include "heatherquay/protocol/worker_client.hpp"
#include "heatherquay/state/ids.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::coordination
{

/// The part of a gang that runs on one worker.
struct GangMember
{
    state::WorkerId worker;
    std::string address; ///< IP address and port of the worker's task interface.
    std::vector<std::uint16_t> accelerators;
};

/// A gang with all data needed to start and stop it.
struct Gang
{
    protocol::GangRef ref;
    std::vector<GangMember> members;
    std::string command; ///< Passed to the workers unchanged.
};

/// Requirements on a client for the workers. Satisfied by protocol::WorkerClient and the fakes of the tests.
template<typename T>
concept WorkerPort = requires(T port, std::string address, protocol::StartRequest task, protocol::GangRef gang,
                              std::chrono::milliseconds time, std::vector<protocol::GangRef> gangs)
{
    {
        port.start(address, task)
        } -> std::same_as<boost::asio::awaitable<protocol::StartAnswer>>;
    {
        port.stop(address, gang, true, time)
        } -> std::same_as<boost::asio::awaitable<protocol::StopAnswer>>;
    {
        port.renew(address, time, gangs)
        } -> std::same_as<boost::asio::awaitable<protocol::RenewAnswer>>;
};

} // namespace heatherquay::coordination
