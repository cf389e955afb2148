#pragma once

#include "heatherquay/coordination/gang_members.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

/// A worker whose leases this entry renews, and the gangs that should be running on it.
struct RenewalTarget
{
    state::WorkerId worker;
    std::string address;
    bool lost{}; ///< The state lists the worker as lost: it is still contacted, but no lease is renewed.
    std::vector<protocol::GangRef> gangs;
};

/// Data sources and callbacks of the renewer. All are called on the renewer's executor.
struct RenewalPorts
{
    std::function<std::vector<RenewalTarget>()> targets; ///< Workers for which this entry is currently responsible.
    std::function<bool()> mayAct; ///< Whether this entry currently has the authority to renew leases.
    std::function<void(const state::WorkerId &, const protocol::TaskReport &)> onTaskReport;
    std::function<void(const state::WorkerId &)> onLost; ///< The worker was out of contact for RenewalTimes::lostAfter.
    std::function<void(const state::WorkerId &)> onReturned; ///< A lost worker responded.
};

struct RenewalTimes
{
    std::chrono::milliseconds renewInterval{5'000}; ///< Time between the starts of two passes.
    std::chrono::milliseconds lease{15'000};
    /// Time without contact after which no task whose lease this entry renewed can still be running.
    std::chrono::milliseconds lostAfter{23'000};
};

/// Renews the task leases with one message per worker and period and passes on the task states that the workers report.
/// Contacts the workers directly and does not use the table, so that a table outage stops no task.
/// @tparam Workers client for the workers
template<WorkerPort Workers>
class LeaseRenewer
{
public:
    LeaseRenewer(boost::asio::any_io_executor executor, Workers &workers, RenewalPorts ports, RenewalTimes times);

    /// Renews until stop() is called.
    boost::asio::awaitable<void> run();
    void stop();
    /// Renews the leases on all targets once.
    boost::asio::awaitable<void> renewOnce();

private:
    using Clock = std::chrono::steady_clock;

    /// @return whether the worker was reached
    boost::asio::awaitable<bool> renewWorker(RenewalTarget target);
    void recordContact(const RenewalTarget &target, bool reached);

    boost::asio::any_io_executor m_executor;
    Workers &m_workers;
    RenewalPorts m_ports;
    RenewalTimes m_times;
    std::atomic<bool> m_stopped{false};
    /// Latest contact, or the first attempt since this entry became responsible for the worker.
    std::map<state::WorkerId, Clock::time_point> m_lastContact;
};

} // namespace heatherquay::coordination
