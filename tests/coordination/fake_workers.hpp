#pragma once

#include "heatherquay/coordination/gang_members.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace heatherquay::tests
{

enum class StartFault
{
    None,
    Refuse,
    RequestLost, ///< No response and no effect.
    ResponseLost ///< The task starts, but there is no response.
};
enum class StopFault
{
    None,
    RequestLostOnce, ///< No response and no effect to the first stop.
    Unreachable, ///< No response and no effect to any stop or renewal.
    StopsLater ///< The first stop is answered with Stopping.
};

/// In-memory workers that record the running tasks. A task stops when its lease expires, as on a real worker.
class FakeWorkers
{
public:
    using Clock = std::chrono::steady_clock;

    std::map<std::string, StartFault> startFaults; ///< Fault of all starts, by worker address.
    std::map<std::string, StopFault> stopFaults; ///< By worker address; Unreachable also applies to renewals.
    std::map<std::string, protocol::TaskState> reportedStates; ///< Task state that renew() returns, by worker address.
    unsigned starts{};

    boost::asio::awaitable<protocol::StartAnswer> start(std::string address, protocol::StartRequest task)
    {
        ++starts;
        const StartFault fault = startFaults[address];
        if (fault == StartFault::Refuse || m_stopped.contains({address, task.gang})) {
            co_return protocol::StartAnswer::Refused;
        }
        if (fault == StartFault::RequestLost) {
            co_return protocol::StartAnswer::NoResponse;
        }
        m_leases[{address, task.gang}] = Clock::now() + task.lease;
        co_return fault == StartFault::ResponseLost ? protocol::StartAnswer::NoResponse
                                                    : protocol::StartAnswer::Accepted;
    }

    boost::asio::awaitable<protocol::StopAnswer> stop(std::string address, protocol::GangRef gang, bool,
                                                      std::chrono::milliseconds)
    {
        StopFault &fault = stopFaults[address];
        if (fault == StopFault::Unreachable) {
            co_return protocol::StopAnswer::NoResponse;
        }
        if (fault == StopFault::RequestLostOnce) {
            fault = StopFault::None;
            co_return protocol::StopAnswer::NoResponse;
        }
        if (fault == StopFault::StopsLater) {
            fault = StopFault::None;
            co_return protocol::StopAnswer::Stopping;
        }
        m_leases.erase({address, gang});
        m_stopped.insert({address, gang});
        co_return protocol::StopAnswer::Stopped;
    }

    boost::asio::awaitable<protocol::RenewAnswer> renew(std::string address, std::chrono::milliseconds lease,
                                                        std::vector<protocol::GangRef> gangs)
    {
        protocol::RenewAnswer answer;
        answer.reached = stopFaults[address] != StopFault::Unreachable;
        for (const protocol::GangRef &gang : gangs) {
            const auto task = m_leases.find({address, gang});
            if (task != m_leases.end() && answer.reached) {
                task->second = Clock::now() + lease;
                answer.tasks.push_back({gang, reportedStates[address]});
            }
        }
        co_return answer;
    }

    /// @return number of running members of the gang
    std::size_t runningMembers(const protocol::GangRef &gang) const
    {
        std::size_t count = 0;
        for (const auto &[task, until] : m_leases) {
            count += task.second == gang && until > Clock::now() ? 1U : 0U;
        }
        return count;
    }

private:
    using Task = std::pair<std::string, protocol::GangRef>;
    std::map<Task, Clock::time_point> m_leases;
    std::set<Task> m_stopped;
};

} // namespace heatherquay::tests
